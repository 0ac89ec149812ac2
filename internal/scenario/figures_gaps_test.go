package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdDrainTime takes a data centre out and brings it back, and prints when its
// backend server started the last request: drain-time DC BACKEND
func cmdDrainTime(ts *testscript.TestScript, _ bool, args []string) {
	c, begin := of(ts), time.Now()
	ts.Check(ts.Exec("agatestep", "drain", "data-centre", args[0]))
	confirmed := time.Since(begin)
	<-time.After(5 * time.Second)
	var last time.Duration
	for _, e := range c.executions(ts) {
		if e.Backend == args[1] && e.Start.After(begin) {
			last = max(last, e.Start.Sub(begin))
		}
	}
	ts.Check(ts.Exec("agatestep", "restore", "data-centre", args[0]))
	cmdBusy(ts, false, args[1:])
	fmt.Printf("data centre out: in force after %d ms, last request started after %d ms (target 3000)\n",
		confirmed.Milliseconds(), last.Milliseconds())
	if last > 3*time.Second {
		ts.Fatalf("the last request started %s after the command", last)
	}
}

// worstGap is the least time without an answered request of a key that counts as
// unavailable. Under this load each key is asked for every 20 to 30 ms.
const worstGap = 100 * time.Millisecond

// cmdGaps prints how long keys were unavailable since the last call: gaps LABEL...
func cmdGaps(ts *testscript.TestScript, _ bool, args []string) {
	c, now := of(ts), time.Now()
	since := c.gapsFrom
	if since.IsZero() {
		since = c.load.began
	}
	c.gapsFrom = now
	var largest, total time.Duration
	for k := range loadKeys {
		l, sum := gapsOf(c.commits(ts, keyName(k), since, now))
		largest = max(largest, l)
		total += sum
	}
	span := now.Sub(since)
	fmt.Printf("%s: largest unavailable time of a key %d ms, mean per key %d ms of %d ms\n", strings.Join(args, " "),
		largest.Milliseconds(), (total / loadKeys).Milliseconds(), span.Milliseconds())
}

// commits returns when work of a key was committed, with both ends of the span.
func (c *cluster) commits(ts *testscript.TestScript, key string, from, to time.Time) []time.Time {
	times := []time.Time{from, to}
	for _, e := range c.executions(ts) {
		if e.Key == key && e.Committed && e.Commit.After(from) && e.Commit.Before(to) {
			times = append(times, e.Commit)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

func gapsOf(times []time.Time) (largest, total time.Duration) {
	for i := 1; i < len(times); i++ {
		if gap := times[i].Sub(times[i-1]); gap > worstGap {
			largest = max(largest, gap)
			total += gap
		}
	}
	return largest, total
}
