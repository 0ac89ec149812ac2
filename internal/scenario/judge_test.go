package scenario

import (
	"path/filepath"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/agatestep/agatestep/internal/standin"
	"github.com/agatestep/agatestep/internal/verdict"
)

// cmdJudge judges the run by the records of the backend servers, not by the
// router's opinion.
func cmdJudge(ts *testscript.TestScript, _ bool, _ []string) {
	c := of(ts)
	executions := c.executions(ts)
	if violations := standin.FindViolations(executions); len(violations) > 0 {
		ts.Fatalf("%s", strings.Join(violations, "\n"))
	}
	judgeVerdicts(ts, c.load, executions)
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

// judgeVerdicts demands that no request committed twice, none committed that
// was reported as not run, and each answered one committed once.
func judgeVerdicts(ts *testscript.TestScript, l *load, executions []standin.Execution) {
	committed := map[string]int{}
	for _, e := range executions {
		if e.Committed {
			committed[e.RequestID]++
		}
	}
	for id, v := range l.verdicts {
		times := committed[id]
		switch {
		case times > 1:
			ts.Fatalf("request %s ran %d times", id, times)
		case v == verdict.NotRun && times > 0:
			ts.Fatalf("request %s ran and was reported as not run", id)
		case v == verdict.Answered && times != 1:
			ts.Fatalf("request %s was answered and ran %d times", id, times)
		}
	}
}

// cmdIdle demands that a backend server starts no request later than a bound
// after now, seen over the same time again: idle NAME BOUND
func cmdIdle(ts *testscript.TestScript, _ bool, args []string) {
	bound, err := time.ParseDuration(args[1])
	ts.Check(err)
	limit := time.Now().Add(bound)
	<-time.After(2 * bound)
	if n := startedAfter(of(ts).executions(ts), args[0], limit); n > 0 {
		ts.Fatalf("%s started %d requests more than %s after the command", args[0], n, bound)
	}
}

// cmdQuiet demands that a backend server starts no request any more. Requests that
// were on their way get the time of 30 answers: quiet NAME
func cmdQuiet(ts *testscript.TestScript, _ bool, args []string) {
	c := of(ts)
	more := func(n int) {
		least := c.load.answered() + n
		c.until(ts, "answers of the load", func() bool { return c.load.answered() >= least })
	}
	more(30)
	limit := time.Now()
	more(100)
	if n := startedAfter(c.executions(ts), args[0], limit); n > 0 {
		ts.Fatalf("%s started %d requests after it was taken out", args[0], n)
	}
}

// cmdBusy waits until a backend server starts requests again: busy NAME
func cmdBusy(ts *testscript.TestScript, _ bool, args []string) {
	c, now := of(ts), time.Now()
	c.until(ts, "work at "+args[0], func() bool { return startedAfter(c.executions(ts), args[0], now) > 0 })
}

func startedAfter(executions []standin.Execution, backend string, limit time.Time) (n int) {
	for _, e := range executions {
		if e.Backend == backend && e.Start.After(limit) {
			n++
		}
	}
	return n
}

// cmdJudgeUncut demands that no request of the load was cut off on its way; a
// deadline that passed is the caller's own.
func cmdJudgeUncut(ts *testscript.TestScript, _ bool, _ []string) {
	l := of(ts).load
	for id, v := range l.verdicts {
		if v == verdict.MayHaveRun && !strings.Contains(l.details[id], string(verdict.ReasonDeadline)) {
			ts.Fatalf("request %s was cut off: %s", id, l.details[id])
		}
	}
}
