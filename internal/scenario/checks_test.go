package scenario

import (
	"path/filepath"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/agatestep/agatestep/internal/standin"
	"github.com/agatestep/agatestep/internal/verdict"
)

// cmdJudge checks the guarantees against the execution records of the backend servers,
// independently of what the router reports: judge
func cmdJudge(ts *testscript.TestScript, _ bool, _ []string) {
	c := clusterOf(ts)
	executions := c.executions(ts)
	if violations := standin.FindViolations(executions); len(violations) > 0 {
		ts.Fatalf("%s", strings.Join(violations, "\n"))
	}
	checkVerdicts(ts, c.load, executions)
	ts.Logf("%d requests, %d answered, %d executions", len(c.load.verdicts), c.load.answered(), len(executions))
}

func (c *cluster) executions(ts *testscript.TestScript) []standin.Execution {
	files, err := filepath.Glob(filepath.Join(c.dir, "*.record"))
	ts.Check(err)
	var out []standin.Execution
	for _, name := range files {
		records, err := standin.ReadRecords(name)
		ts.Check(err)
		out = append(out, records...)
	}
	return out
}

// checkVerdicts checks that no request was committed twice, none was committed that was
// reported as not run, and each answered one was committed once.
func checkVerdicts(ts *testscript.TestScript, l *load, executions []standin.Execution) {
	committed := map[string]int{}
	for _, e := range executions {
		if e.Committed {
			committed[e.RequestID]++
		}
	}
	for id, v := range l.verdicts {
		runs := committed[id]
		switch {
		case runs > 1:
			ts.Fatalf("request %s ran %d times", id, runs)
		case v == verdict.NotRun && runs > 0:
			ts.Fatalf("request %s ran and was reported as not run", id)
		case v == verdict.Answered && runs != 1:
			ts.Fatalf("request %s was answered and ran %d times", id, runs)
		}
	}
}

// cmdIdle checks that a backend server starts no request later than BOUND after now. It
// watches for twice that time: idle NAME BOUND
func cmdIdle(ts *testscript.TestScript, _ bool, args []string) {
	bound, err := time.ParseDuration(args[1])
	ts.Check(err)
	limit := time.Now().Add(bound)
	<-time.After(2 * bound)
	if n := countStartedAfter(clusterOf(ts).executions(ts), args[0], limit); n > 0 {
		ts.Fatalf("%s started %d requests more than %s after the command", args[0], n, bound)
	}
}

// cmdQuiet checks that a backend server starts no more requests. It waits for 30 answers
// first, so that requests in transit do not count: quiet NAME
func cmdQuiet(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	waitForAnswers := func(n int) {
		least := c.load.answered() + n
		c.waitUntil(ts, "answers of the load", func() bool { return c.load.answered() >= least })
	}
	waitForAnswers(30)
	limit := time.Now()
	waitForAnswers(100)
	if n := countStartedAfter(c.executions(ts), args[0], limit); n > 0 {
		ts.Fatalf("%s started %d requests after it was drained", args[0], n)
	}
}

// cmdBusy waits until a backend server starts requests again: busy NAME
func cmdBusy(ts *testscript.TestScript, _ bool, args []string) {
	c, now := clusterOf(ts), time.Now()
	c.waitUntil(ts, "work at "+args[0], func() bool { return countStartedAfter(c.executions(ts), args[0], now) > 0 })
}

func countStartedAfter(executions []standin.Execution, backend string, limit time.Time) (n int) {
	for _, e := range executions {
		if e.Backend == backend && e.Start.After(limit) {
			n++
		}
	}
	return n
}

// cmdJudgeUncut checks that no request of the load was cut off in flight, except by its
// own deadline: judge-uncut
func cmdJudgeUncut(ts *testscript.TestScript, _ bool, _ []string) {
	l := clusterOf(ts).load
	for id, v := range l.verdicts {
		if v == verdict.MayHaveRun && !strings.Contains(l.details[id], string(verdict.ReasonDeadline)) {
			ts.Fatalf("request %s was cut off: %s", id, l.details[id])
		}
	}
}
