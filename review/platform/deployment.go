package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the hosts; each host has its own loopback address.
const (
	portControl   = 8166
	portFront     = 8161
	portReadiness = 8167
	portPeer      = 7720
	portAdmin     = 7721
)

const controlHosts = 5

var zones = []string{"zone-a", "zone-b", "zone-c"}

// host is one daemon process.
type host struct {
	name, role, zone, ip string
	settings, folder     string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// deployment is a small deployment: five control hosts, some entry hosts and the stand-ins.
type deployment struct {
	rec     *record
	root    string // of the repository
	dir     string // temporary folder
	prefix  string // of the loopback addresses
	control []*host
	entry   []*host
	seeds   []string
}

// newDeployment starts the processes.
func newDeployment(rec *record, root string, entryHosts int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, root: root, dir: dir}
	if d.prefix, err = freePrefix(); err != nil {
		return d, err
	}
	for i := range controlHosts + entryHosts {
		h := &host{role: "control", zone: zones[i%len(zones)], ip: fmt.Sprint(d.prefix, i+1)}
		if i >= controlHosts {
			h.role, h.zone = "entry", zones[(i-controlHosts)%len(zones)]
		}
		h.name = fmt.Sprintf("%s-%d", h.role, i+1)
		h.settings, h.folder = filepath.Join(dir, h.name+".yaml"), filepath.Join(dir, h.name)
		if h.role == "control" {
			d.control = append(d.control, h)
		} else {
			d.entry = append(d.entry, h)
		}
	}
	for _, h := range d.control[:3] {
		d.seeds = append(d.seeds, h.address(portControl))
	}
	for _, h := range d.hosts() {
		if err := d.writeSettings(h, true); err != nil {
			return d, err
		}
		if err := d.start(h); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) hosts() []*host { return append(append([]*host(nil), d.control...), d.entry...) }

// freePrefix returns the first three bytes of loopback addresses on which the ports are free.
func freePrefix() (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 70+os.Getpid()%100, (i*37+os.Getpid())%250)
		free := true
		for _, port := range []int{portControl, portFront, portPeer} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

var seedSection = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)

// allowanceSection matches what the template has for sites with bounds of allowances. The site of
// the review has none, for which such a section is empty.
var allowanceSection = regexp.MustCompile(`\{\{#bounds\.quota_\w+\}\}.*\{\{/bounds\.quota_\w+\}\}`)

// reuseSection matches what the template has for the time after which an address may be reused.
var reuseSection = regexp.MustCompile(`\{\{#bounds\.reuse_after_s\}\}.*\{\{/bounds\.reuse_after_s\}\}`)

// writeSettings fills in the template of the deploy file, with the bounds of the site file.
func (d *deployment) writeSettings(h *host, bootstrap bool) error {
	template, err := os.ReadFile(filepath.Join(d.root, "deploy", h.role+".yaml"))
	if err != nil {
		return err
	}
	text := seedSection.ReplaceAllString(string(template), `"`+strings.Join(d.seeds, `","`)+`"`)
	text = allowanceSection.ReplaceAllString(text, "")
	text = reuseSection.ReplaceAllString(text, "address_reuse_after: 2s")
	for name, value := range map[string]any{
		"node_name": h.name, "zone": h.zone, "region": "region-1", "data_dir": h.folder, "ip": h.ip,
		"listen.control": h.address(portControl), "listen.front": h.address(portFront), "listen.readiness": h.address(portReadiness),
		"port_range.0": portPeer, "port_range.1": portAdmin, "bootstrap|json": bootstrap, "fault_tolerance.machines": 2, "heartbeat_ms": 870,
		"bounds.hold_max_ms": 10000, "bounds.retry_budget_ratio": 0.2, "bounds.retry_slack": 56, "bounds.retry_window_s": 10,
		"bounds.warmup_overshoot": 1.5, "bounds.warmup_slack": 5, "bounds.drain_ms": 2000, "bounds.config_apply_ms": 2000,
		"bounds.evacuate_ms": 5000, "bounds.grace_s": 6, "limits.memory_mb": 284, "limits.link_mbps": 1000,
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", fmt.Sprint(value))
	}
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the template of %s has a field that is not filled in:\n%s", h.role, text)
	}
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the process of a host with the command of the deploy file.
func (d *deployment) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(d.root, "target", "agatestepd"), "run", "--settings", h.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.root, log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	started.add(cmd.Process)
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		d.rec.add("process of %s ended: %v", h.name, err)
		close(done)
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.done = cmd, done
	return nil
}

// signal sends a signal to the process of a host.
func (d *deployment) signal(h *host, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	err := h.cmd.Process.Signal(s)
	d.rec.add("%v sent to %s (%v)", s, h.name, err)
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	for _, h := range d.hosts() {
		h.mu.Lock()
		cmd, done := h.cmd, h.done
		h.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGKILL) // it may have ended already
		select {
		case <-done:
		case <-time.After(5 * time.Second):
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.dir)) // a debugging aid only
	}
	_ = os.RemoveAll(d.dir)
}

// startedProcesses are the processes that this program started.
type startedProcesses struct {
	mu   sync.Mutex
	list []*os.Process
}

var started startedProcesses

func (s *startedProcesses) add(p *os.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, p)
}

// killStarted kills the processes that were started. Those that have ended need no signal.
func killStarted() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.list {
		_ = p.Kill()
	}
}
