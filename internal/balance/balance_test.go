package balance

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a pick that is excluded, is no candidate or has more outstanding
// requests per slot than another candidate while all are equally fast.
func TestPickChoosesFewestOutstandingPerSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, seed := time.Unix(0, 0), rapid.Uint64().Draw(t, "seed")
		p, twin, outstanding := NewPicker(seed), NewPicker(seed), map[string]int{}
		candidates := []Candidate{{"a", false, 2}, {"b", false, 2}, {"c", false, 4}, {"d", false, 0}}
		for range 30 {
			exclude := map[string]bool{}
			for _, c := range candidates {
				exclude[c.Name] = rapid.Bool().Draw(t, "exclude")
			}
			name, ok := p.Pick(now, candidates, exclude)
			if again, _ := twin.Pick(now, candidates, exclude); again != name {
				t.Fatalf("the same seed gave %s and %s", name, again)
			}
			score := map[string]float64{}
			for _, c := range candidates {
				score[c.Name] = float64(outstanding[c.Name]+1) / float64(max(c.Slots, 1))
			}
			for _, c := range candidates {
				if !exclude[c.Name] && (!ok || exclude[name] || score[c.Name] < score[name]) {
					t.Fatalf("picked %q of %v, excluded %v", name, score, exclude)
				}
			}
			if ok && rapid.Bool().Draw(t, "send") {
				outstanding[name]++
				p.RecordSent(now, name)
				twin.RecordSent(now, name)
			} else if ok && outstanding[name] > 0 {
				outstanding[name]--
				p.RecordDone(now, name, 0, true)
				twin.RecordDone(now, name, 0, true)
			}
		}
	})
}

// Guards against a straggler that keeps its traffic, one that is never tried
// again, and a local server that is preferred although it is slower.
func TestPickAvoidsStragglers(t *testing.T) {
	is, now, p := is.New(t), time.Unix(0, 0), NewPicker(1)
	candidates := []Candidate{{"far", false, 2}, {"near", true, 2}}
	answer := func(name string, latency time.Duration, ok bool) {
		p.RecordSent(now, name)
		now = now.Add(latency)
		p.RecordDone(now, name, latency, ok)
	}
	picked := func() string { name, _ := p.Pick(now, candidates, nil); return name }
	_, ok := p.HedgeDelay(now)
	is.True(!ok) // no responses known
	for range 50 {
		answer("far", 9*time.Millisecond, true)
		answer("near", 10*time.Millisecond, true)
	}
	after, ok := p.HedgeDelay(now)
	is.True(ok && after > 9*time.Millisecond && after < 11*time.Millisecond)
	is.Equal(picked(), "near")
	p.RecordSent(now, "near")
	is.Equal(picked(), "near") // has a free slot
	p.RecordSent(now, "near")
	is.Equal(picked(), "far") // near has no free slot
	p.RecordDone(now, "near", 10*time.Millisecond, true)
	now = now.Add(30 * time.Millisecond)
	is.Equal(picked(), "far") // one outstanding for too long
	p.RecordDone(now, "near", 30*time.Millisecond, true)
	is.Equal(picked(), "far") // one slow response
	now = now.Add(5 * time.Second)
	is.Equal(picked(), "near") // tried again
	answer("near", 0, false)
	is.Equal(picked(), "far") // refusals are not fast responses
	now = now.Add(time.Minute)
	_, ok = p.HedgeDelay(now)
	is.True(!ok) // all samples are too old
}

// Guards against stragglers that raise the tail latency beyond the target, and against
// more than 5% of extra requests to avoid that.
func TestStragglersLeaveTailLatencyBounded(t *testing.T) {
	c := cluster{servers: 8, slots: 2, hedges: true, runTime: 20 * time.Second}
	healthy := c.simulate(1)
	c.slow = true
	slow := c.simulate(1)
	if slow["p99-ms"] > 1.5*healthy["p99-ms"] || slow["extra-%"] > 5 {
		t.Errorf("p99 %v ms, %v ms without stragglers, extra load %v%%", slow["p99-ms"], healthy["p99-ms"], slow["extra-%"])
	}
}

// Guards against more extra requests than the ratio and the burst allow, from
// several goroutines.
func TestBudgetBoundsExtraRequests(t *testing.T) {
	b, spent, wg, mu := NewBudget(0.1, 5), 0, sync.WaitGroup{}, sync.Mutex{}
	for range 4 {
		wg.Go(func() {
			for range 250 {
				b.OnRequest()
				if b.TrySpend() {
					mu.Lock()
					spent++
					mu.Unlock()
				}
			}
		})
	}
	if wg.Wait(); spent < 99 || spent > 105 {
		t.Errorf("spent %d extra requests on 1000, want 100 and a burst of 5", spent)
	}
}
