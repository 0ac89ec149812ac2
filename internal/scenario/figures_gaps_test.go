package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdDrainTime drains and restores a data centre, and prints when its backend server
// started the last request: drain-time DC BACKEND
func cmdDrainTime(ts *testscript.TestScript, _ bool, args []string) {
	c, begin := clusterOf(ts), time.Now()
	ts.Check(ts.Exec("agatestep", "drain", "data-centre", args[0]))
	inForce := time.Since(begin)
	<-time.After(5 * time.Second)
	var lastStart time.Duration
	for _, e := range c.executions(ts) {
		if e.Backend == args[1] && e.Start.After(begin) {
			lastStart = max(lastStart, e.Start.Sub(begin))
		}
	}
	ts.Check(ts.Exec("agatestep", "restore", "data-centre", args[0]))
	cmdBusy(ts, false, args[1:])
	fmt.Printf("data centre out: in force after %d ms, last request started after %d ms (target 3000)\n",
		inForce.Milliseconds(), lastStart.Milliseconds())
	if lastStart > 3*time.Second {
		ts.Fatalf("the last request started %s after the command", lastStart)
	}
}

// minGap is the time without a committed request above which a key counts as unavailable.
// Under this load each key is requested every 20 to 30 ms.
const minGap = 100 * time.Millisecond

// cmdGaps prints how long keys were unavailable since its last call: gaps LABEL...
func cmdGaps(ts *testscript.TestScript, _ bool, args []string) {
	c, now := clusterOf(ts), time.Now()
	since := c.gapsSince
	if since.IsZero() {
		since = c.load.startedAt
	}
	c.gapsSince = now
	var largest, total time.Duration
	for k := range loadKeys {
		l, sum := measureGaps(c.commitTimes(ts, keyName(k), since, now))
		largest = max(largest, l)
		total += sum
	}
	span := now.Sub(since)
	fmt.Printf("%s: largest unavailable time of a key %d ms, mean per key %d ms of %d ms\n", strings.Join(args, " "),
		largest.Milliseconds(), (total / loadKeys).Milliseconds(), span.Milliseconds())
}

// commitTimes returns the sorted commit times of a key, with both ends of the span.
func (c *cluster) commitTimes(ts *testscript.TestScript, key string, from, to time.Time) []time.Time {
	times := []time.Time{from, to}
	for _, e := range c.executions(ts) {
		if e.Key == key && e.Committed && e.Commit.After(from) && e.Commit.Before(to) {
			times = append(times, e.Commit)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

func measureGaps(times []time.Time) (largest, total time.Duration) {
	for i := 1; i < len(times); i++ {
		if gap := times[i].Sub(times[i-1]); gap > minGap {
			largest = max(largest, gap)
			total += gap
		}
	}
	return largest, total
}
