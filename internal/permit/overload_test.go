package permit

import (
	"testing"
	"time"
)

// A key gets two and five times the load that its server can process, with callers that retry
// after refusals. Guards against a server that works on requests which then miss their target
// by a little, because they have priority until it is too late.
func TestOverloadedServerAnswersOnTime(t *testing.T) {
	const ms = time.Millisecond
	for name, sim := range map[string]simulation{
		"two slots":              {slots: 2, work: 170 * ms, target: 500 * ms, deadline: 3000 * ms, timeout: 1500 * ms, maxRetries: 2, networkDelay: 6 * ms, lateWorth: 0.5},
		"four slots, short time": {slots: 4, work: 60 * ms, target: 184 * ms, deadline: 784 * ms, timeout: 784 * ms, maxRetries: 1, networkDelay: 6 * ms, lateWorth: 0.3},
		"slow links":             {slots: 4, work: 240 * ms, target: 800 * ms, deadline: 3000 * ms, timeout: 2000 * ms, maxRetries: 1, networkDelay: 100 * ms, lateWorth: 0.3},
	} {
		for _, factor := range []float64{2, 5} {
			sim.loadFactor, sim.seconds = factor, 20
			const seeds = 8
			got := 0.0
			for seed := range uint64(seeds) {
				got += sim.run(seed).worth / seeds
			}
			bound := sim.maxWorth()
			t.Logf("%s, load %.0f: worth %.3f of all, %.3f at most", name, factor, got, bound)
			if got < minShareOfBound*bound {
				t.Errorf("%s, load %.0f: worth %.3f, want %.3f", name, factor, got, minShareOfBound*bound)
			}
		}
	}
}

// minShareOfBound is the part of the largest possible worth that an overloaded server must
// achieve.
const minShareOfBound = 0.65

// maxWorth returns the worth if the server always works on the most urgent requests and all
// of its responses are on time.
func (sim simulation) maxWorth() float64 {
	const urgent, urgentWorth = 1.0 / 3, 2.0
	total := urgent*urgentWorth + (1 - urgent)
	capacity := 1 / sim.loadFactor // of the number of requests
	first := min(capacity, urgent)
	return (first*urgentWorth + (capacity - first)) / total
}
