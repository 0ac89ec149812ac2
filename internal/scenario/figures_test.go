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

// BenchmarkFigures measures times of real processes. It is not a test, because
// the times depend on the load of the machine. The environment variable FIGURES
// selects one script.
func BenchmarkFigures(b *testing.B) {
	p := scriptParams("testdata/figures")
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

// cmdRecover repeatedly kills processes and measures the time until all keys are served
// again. It fails if the largest time is above BOUND: recover TIMES WHAT BOUND
func cmdRecover(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	times, err := strconv.Atoi(args[0])
	ts.Check(err)
	bound, err := time.ParseDuration(args[2])
	ts.Check(err)
	var recoveryTimes []time.Duration
	for n := range times {
		victims, survivor := c.chooseVictims(ts, args[1], n)
		begin := time.Now()
		cmdSignal(ts, false, append([]string{"kill"}, victims...))
		c.waitAllServed(ts, survivor)
		recoveryTimes = append(recoveryTimes, time.Since(begin))
		c.restartVictims(ts, victims)
	}
	slices.Sort(recoveryTimes)
	fmt.Printf("%s: %d kills, median %d ms, largest %d ms\n", args[1], times,
		recoveryTimes[len(recoveryTimes)/2].Milliseconds(), recoveryTimes[len(recoveryTimes)-1].Milliseconds())
	if recoveryTimes[len(recoveryTimes)-1] > bound {
		ts.Fatalf("largest time %s is over %s", recoveryTimes[len(recoveryTimes)-1], bound)
	}
}

// chooseVictims returns the processes to kill in round n, and a host that survives.
func (c *cluster) chooseVictims(ts *testscript.TestScript, what string, n int) (victims []string, survivor string) {
	cmdControlHost(ts, false, nil)
	leader := ts.Getenv("LEADER")
	switch what {
	case "backend-server":
		return []string{fmt.Sprintf("d%d", 1+n%4)}, leader
	case "leader":
		return []string{leader}, ts.Getenv("OTHER")
	}
	if what == "leader-and-dispatcher" {
		// h4 is not a control replica: two of the three must survive.
		cmdDispatcher(ts, false, []string{"d4", "h4"})
		return []string{leader, "h4"}, ts.Getenv("FOLLOWER")
	}
	dispatcher := c.dispatcherOtherThan(ts, leader)
	survivor = ts.Getenv("FOLLOWER")
	if survivor == dispatcher {
		survivor = ts.Getenv("OTHER")
	}
	return []string{dispatcher}, survivor
}

// dispatcherOtherThan returns a host other than the leader that is the dispatcher of a
// backend server with keys of the load.
func (c *cluster) dispatcherOtherThan(ts *testscript.TestScript, leader string) (dispatcher string) {
	c.waitUntil(ts, "a dispatcher besides the leader", func() bool {
		var s admin.Status
		if c.adminGet(leader, "/v1/status", &s) != nil {
			return false
		}
		owners := c.keyOwners()
		for _, b := range s.Backends {
			if b.Dispatcher != leader && owners[b.Backend] > 0 && b.Dispatcher > dispatcher {
				dispatcher = b.Dispatcher
			}
		}
		return dispatcher != ""
	})
	return dispatcher
}

func (c *cluster) waitAllServed(ts *testscript.TestScript, host string) {
	for k := range loadKeys {
		c.waitUntil(ts, "key "+keyName(k), func() bool {
			status, _, _ := c.sendRequest(host, http.MethodGet, keyName(k), "", 100*time.Millisecond)
			return status == http.StatusOK
		})
	}
}

// restartVictims starts the killed processes again and waits until the slices are
// balanced.
func (c *cluster) restartVictims(ts *testscript.TestScript, victims []string) {
	for _, name := range victims {
		if name[0] == 'h' {
			cmdStart(ts, false, []string{name})
			c.waitUntil(ts, "session of "+name, func() bool {
				var s admin.Status
				return c.adminGet(name, "/v1/status", &s) == nil && s.Session.Valid
			})
			continue
		}
		cmdBackend(ts, false, []string{name, "desk", "dc" + name[1:], "--key-header", "X-Key", "--work-time", "1ms", "--checks-orders"})
	}
	cmdBalanced(ts, false, nil)
	c.waitAllServed(ts, "h1")
}
