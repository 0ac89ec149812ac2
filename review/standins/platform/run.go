package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// run is one play of a case.
type run struct {
	trouble bool
	began   time.Time
	folder  string
	daemon  string
	port    int // first port of every host; each has a loopback address of its own

	controls, entries []*host

	mu     sync.Mutex
	record *os.File
	wg     sync.WaitGroup
	done   chan struct{}

	stopOnce sync.Once
}

func newRun(daemon, recordPath string, trouble bool) (*run, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	port, err := freePorts()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, began: time.Now(), folder: folder, daemon: daemon, port: port, record: record, done: make(chan struct{})}
	r.note("trouble: %t", trouble)
	return r, nil
}

// portsPerHost is the number of ports of a host.
const portsPerHost = 5

// Range of the first port: below the ports that outgoing connections use.
const (
	minPort = 15000
	maxPort = 30000
)

// freePorts returns the first of portsPerHost ports that are free.
func freePorts() (int, error) {
	for range 500 {
		if port := minPort + rand.IntN(maxPort-minPort); allFree(port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func allFree(port int) bool {
	for i := range portsPerHost {
		l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// goDo runs f until the end of the play.
func (r *run) goDo(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

func (r *run) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// stopStandIns ends the stand-ins. It may be called more than once.
func (r *run) stopStandIns() {
	r.stopOnce.Do(func() { close(r.done) })
	r.wg.Wait()
}

// close ends the stand-ins and all processes.
func (r *run) close() {
	r.stopStandIns()
	for _, h := range append(append([]*host{}, r.entries...), r.controls...) {
		h.kill()
	}
	_ = r.record.Close()
	_ = os.RemoveAll(r.folder)
}

// host is one host of the deployment with its process.
type host struct {
	r        *run
	role     string
	name, dc string
	ip       string
	form     bool
	process  *exec.Cmd
}

// Ports of a host, as offsets.
const (
	portPeer = iota
	portAdmin
	portControl
	portTraffic
	portReadiness
)

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, h.r.port+port) }

// startHosts starts a small deployment: control hosts in as many data centres, and entry hosts.
func (r *run) startHosts(controls, entries int) {
	for i := range controls {
		r.controls = append(r.controls, &host{r: r, role: "control", name: fmt.Sprint("core-", i+1), dc: fmt.Sprint("dc-", i+1), ip: fmt.Sprint("127.0.1.", i+1), form: true})
	}
	for i := range entries {
		r.entries = append(r.entries, &host{r: r, role: "entry", name: fmt.Sprint("front-", i+1), dc: fmt.Sprint("dc-", i+1), ip: fmt.Sprint("127.0.2.", i+1), form: true})
	}
	for _, h := range append(append([]*host{}, r.controls...), r.entries...) {
		h.start()
	}
}

func (h *host) start() {
	path := filepath.Join(h.r.folder, h.name+".yaml")
	err := os.WriteFile(path, []byte(h.settings()), 0o600)
	require(err == nil, "writing settings: %v", err)
	log, err := os.OpenFile(filepath.Join(h.r.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require(err == nil, "opening a log: %v", err)
	defer log.Close()
	h.process = exec.Command(h.r.daemon, "run", "--settings", path)
	h.process.Stdout, h.process.Stderr = log, log
	err = h.process.Start()
	require(err == nil, "starting %s: %v", h.name, err)
	h.form = false
	h.r.note("%s started, process %d", h.name, h.process.Process.Pid)
}

func (h *host) kill() {
	if h.process != nil {
		_ = h.process.Process.Kill()
		_ = h.process.Wait()
		h.process = nil
	}
}

// settings returns the settings file, as the templates in deploy/ give it.
func (h *host) settings() string {
	var seeds []string
	for _, c := range h.r.controls[:min(3, len(h.r.controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", c.address(portControl)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "host: %s\ndata_centre: %s\nregion: region-1\n", h.name, h.dc)
	if h.role == "control" {
		fmt.Fprintf(&b, "data_folder: %s\n", filepath.Join(h.r.folder, h.name))
		fmt.Fprintf(&b, "listen: {control: %q, peer: %q, admin: %q}\n", h.address(portControl), h.address(portPeer), h.address(portAdmin))
	} else {
		fmt.Fprintf(&b, "listen: {traffic: %q, readiness: %q, peer: %q, admin: %q}\n", h.address(portTraffic), h.address(portReadiness), h.address(portPeer), h.address(portAdmin))
		fmt.Fprintf(&b, "limits: {link_mbps: 1000.0, pipelined_requests: 8}\n")
	}
	fmt.Fprintf(&b, "control: {group: agatestep}\ndeployment:\n  role: %s\n  seeds: [%s]\n  seed_peer_port: %d\n  form: %t\n  tolerated_losses: %d\n",
		h.role, strings.Join(seeds, ", "), h.r.port+portPeer, h.form, (len(h.r.controls)-1)/2)
	b.WriteString("  heartbeat: 870ms\n  max_hold: 10000ms\n  retry_ratio: 0.2\n  retry_slack: 56\n  retry_window: 10s\n  cold_overshoot: 1.5\n  cold_slack: 5\n" +
		"  drain_time: 2000ms\n  apply_time: 2000ms\n  evacuate_time: 5000ms\n  stop_time: 6s\n")
	if h.role == "entry" {
		b.WriteString("  nearby_tables: true\n  spare_round_trips: true\n")
	}
	b.WriteString("timing: {election_ticks_min: 16, election_ticks_max: 32, session_ttl: 4s, renew_interval: 700ms, watch_poll: 500ms}\n" +
		"memory: {gc_percent: 50, limit_mb: 284}\ntls: {mode: \"off\"}\nadmin: {insecure: true}\n")
	return b.String()
}

// post sends a call to the control address of a host and returns the answer.
func post(address, call, of string, body []byte) (status int, answer []byte, err error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(fmt.Sprintf("http://%s/api/rpc?call=%s&of=%s", address, call, of), "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// configure sends the first configuration until it is acknowledged: a service that is divided by
// key, and a route to it.
func (r *run) configure() {
	const version = "00000001"
	r.patch(map[string]any{"upsert": map[string]any{
		"routes": map[string]any{"r-book": map[string]any{"host": "shop.example", "path_prefix": "/book/", "route_type": "unsafe", "timeout_ms": 2000,
			"target_latency_ms": 500, "priority": 1, "service": "desk", "max_attempts": 2, "version": version}},
		"services": map[string]any{"desk": map[string]any{"health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false, "warmup_s": 3,
			"warmup_per_s": 18, "sharded": true, "warm_s": 2, "grants": "heartbeat", "version": version}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "version": version},
	}, "remove": map[string]any{"routes": []any{}}})
}

// patch sends a change of the configuration until it is acknowledged.
func (r *run) patch(change map[string]any) {
	body, err := json.Marshal(change)
	require(err == nil, "encoding the configuration: %v", err)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, c := range r.controls {
			if status, _, err := post(c.address(portControl), "config.patch", "", body); err == nil && status == http.StatusOK {
				r.note("operator: configuration acknowledged by %s", c.name)
				return
			}
		}
	}
	require(false, "the configuration was not acknowledged")
}
