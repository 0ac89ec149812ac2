package scenario

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/agatestep/agatestep/internal/admin"
)

// BenchmarkFigures measures times of real processes. It is no test, because
// the times depend on what else the machine does. FIGURES names one script.
func BenchmarkFigures(b *testing.B) {
	p := params("testdata/figures")
	p.Cmds["recover"] = cmdRecover
	p.Cmds["drain-time"] = cmdDrainTime
	p.Cmds["gaps"] = cmdGaps
	p.Cmds["latency"] = cmdLatency
	p.Cmds["throughput"] = cmdThroughput
	p.Cmds["heap"] = cmdHeap
	p.Cmds["upload"] = cmdUpload
	if script := os.Getenv("FIGURES"); script != "" {
		p.Dir, p.Files = "", []string{filepath.Join("testdata/figures", script+".txtar")}
	}
	testscript.RunT(benchmarkT{b}, p)
}

// benchmarkT runs scripts one after the other in a benchmark.
type benchmarkT struct{ *testing.B }

func (benchmarkT) Parallel() {}

func (benchmarkT) Verbose() bool { return true }

func (t benchmarkT) Run(_ string, f func(testscript.T)) { f(t) }

// cmdRecover kills processes and measures until all keys are served again,
// each time by a key of its own worker: recover TIMES WHAT BOUND
func cmdRecover(ts *testscript.TestScript, _ bool, args []string) {
	c := of(ts)
	times, err := strconv.Atoi(args[0])
	ts.Check(err)
	bound, err := time.ParseDuration(args[2])
	ts.Check(err)
	var took []time.Duration
	for n := range times {
		victims, survivor := c.victims(ts, args[1], n)
		begin := time.Now()
		cmdSignal(ts, false, append([]string{"kill"}, victims...))
		c.untilAllServed(ts, survivor)
		took = append(took, time.Since(begin))
		c.revive(ts, victims)
	}
	slices.Sort(took)
	fmt.Printf("%s: %d kills, median %d ms, largest %d ms\n", args[1], times,
		took[len(took)/2].Milliseconds(), took[len(took)-1].Milliseconds())
	if took[len(took)-1] > bound {
		ts.Fatalf("largest time %s is over %s", took[len(took)-1], bound)
	}
}

// victims chooses what to kill in round n, and a host that stays.
func (c *cluster) victims(ts *testscript.TestScript, what string, n int) (victims []string, survivor string) {
	cmdControlHost(ts, false, nil)
	leader := ts.Getenv("LEADER")
	switch what {
	case "backend-server":
		return []string{fmt.Sprintf("d%d", 1+n%4)}, leader
	case "leader":
		return []string{leader}, ts.Getenv("OTHER")
	}
	if what == "leader-and-dispatcher" {
		// h4 is no control replica: two of the three must stay.
		cmdDispatcher(ts, false, []string{"d4", "h4"})
		return []string{leader, "h4"}, ts.Getenv("FOLLOWER")
	}
	dispatcher := c.dispatcherBesides(ts, leader)
	survivor = ts.Getenv("FOLLOWER")
	if survivor == dispatcher {
		survivor = ts.Getenv("OTHER")
	}
	return []string{dispatcher}, survivor
}

// dispatcherBesides returns a host other than the leader that dispatches to a
// backend server with keys of the load.
func (c *cluster) dispatcherBesides(ts *testscript.TestScript, leader string) (dispatcher string) {
	c.until(ts, "a dispatcher besides the leader", func() bool {
		var s admin.Status
		if c.get(leader, "/v1/status", &s) != nil {
			return false
		}
		owners := c.owners()
		for _, b := range s.Backends {
			if b.Dispatcher != leader && owners[b.Backend] > 0 && b.Dispatcher > dispatcher {
				dispatcher = b.Dispatcher
			}
		}
		return dispatcher != ""
	})
	return dispatcher
}

func (c *cluster) untilAllServed(ts *testscript.TestScript, host string) {
	for k := range loadKeys {
		c.until(ts, "key "+keyName(k), func() bool {
			status, _, _ := c.send(host, http.MethodGet, keyName(k), "", 100*time.Millisecond)
			return status == http.StatusOK
		})
	}
}

// revive starts what was killed again and waits until the slices are spread.
func (c *cluster) revive(ts *testscript.TestScript, victims []string) {
	for _, name := range victims {
		if name[0] == 'h' {
			cmdStart(ts, false, []string{name})
			c.until(ts, "session of "+name, func() bool {
				var s admin.Status
				return c.get(name, "/v1/status", &s) == nil && s.Session.Valid
			})
			continue
		}
		cmdBackend(ts, false, []string{name, "desk", "dc" + name[1:], "--key-header", "X-Key", "--work-time", "1ms", "--checks-orders"})
	}
	cmdBalanced(ts, false, nil)
	c.untilAllServed(ts, "h1")
}
