package scenario

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/agatestep/agatestep/internal/standin"
	"github.com/agatestep/agatestep/internal/verdict"
)

// cmdJudge judges the run by the records of the backend servers, not by the
// router's opinion: judge [MIN-ANSWERED]
func cmdJudge(ts *testscript.TestScript, _ bool, args []string) {
	c := of(ts)
	executions := c.executions(ts)
	judgeOwners(ts, executions)
	if c.load == nil {
		return
	}
	answered := judgeVerdicts(ts, c.load, executions)
	ts.Logf("%d requests, %d answered, %d executions", len(c.load.verdicts), answered, len(executions))
	if len(args) == 0 {
		return
	}
	least, err := strconv.Atoi(args[0])
	ts.Check(err)
	if answered < least {
		ts.Fatalf("only %d requests were answered, which is below %d", answered, least)
	}
}

func (c *cluster) executions(ts *testscript.TestScript) []standin.Execution {
	files, err := filepath.Glob(filepath.Join(c.dir, "*.record"))
	ts.Check(err)
	var out []standin.Execution
	for _, name := range files {
		file, err := os.Open(name)
		ts.Check(err)
		for lines := bufio.NewScanner(file); lines.Scan(); {
			var e standin.Execution
			if json.Unmarshal(lines.Bytes(), &e) == nil { // a killed server may leave half a line
				out = append(out, e)
			}
		}
		ts.Check(file.Close())
	}
	return out
}

// judgeOwners demands that no two backend servers worked on one key at the
// same time, and that committed work of a key never goes back to an older epoch.
func judgeOwners(ts *testscript.TestScript, executions []standin.Execution) {
	byKey := map[string][]standin.Execution{}
	for _, e := range executions {
		if e.Committed && e.Key != "" {
			byKey[e.Key] = append(byKey[e.Key], e)
		}
	}
	for key, list := range byKey {
		sort.Slice(list, func(i, j int) bool { return list[i].Commit.Before(list[j].Commit) })
		for i := 1; i < len(list); i++ {
			before, after := list[i-1], list[i]
			if before.Backend != after.Backend && after.Start.Before(before.Commit) {
				ts.Fatalf("key %s had two owners at once: %+v and %+v", key, before, after)
			}
			if before.Backend != after.Backend && after.Epoch < before.Epoch {
				ts.Fatalf("key %s went back to an older epoch: %+v after %+v", key, after, before)
			}
		}
	}
}

// judgeVerdicts demands that no request committed twice, none committed that
// was reported as not run, and each answered one committed once.
func judgeVerdicts(ts *testscript.TestScript, l *load, executions []standin.Execution) (answered int) {
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
		case v == verdict.Answered:
			answered++
		}
	}
	return answered
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

// cmdJudgeStop demands that no request of the load ended with an open outcome.
func cmdJudgeStop(ts *testscript.TestScript, _ bool, _ []string) {
	l := of(ts).load
	for id, v := range l.verdicts {
		if v == verdict.MayHaveRun {
			ts.Fatalf("request %s was cut off by a planned stop: %s", id, l.details[id])
		}
	}
}
