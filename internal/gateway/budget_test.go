package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/table"
)

// All hosts are killed and restart within one window, and their first tables list few of the
// others. Guards against a second retry burst for each, and against shares that add up to
// several times the bound for all hosts together.
func TestRestartsDoNotRaiseRetryBudget(t *testing.T) {
	is := is.New(t)
	const hosts, requests = 40, 20
	spent, sent := 0, 0
	spend := func(w *harness) {
		b := w.gateway.retryBudget("desk")
		for range requests {
			b.OnRequest()
			sent++
			for b.TrySpend() {
				spent++
			}
		}
	}
	limits := newHarness(t).gateway.cfg.Limits
	for joined := range hosts {
		w := newHarness(t)
		clear(w.gateway.budgets) // of a process that has just started
		listed := 0
		list := func(n int) {
			w.applyChange(func(b *table.Builder) {
				for ; listed < n; listed++ {
					b.PutHost(table.Host{Name: fmt.Sprint("h", listed)})
				}
			})
		}
		list(joined + 1) // this host and those that joined before it
		spend(w)
		list(hosts)
		spend(w)
	}
	is.True(float64(spent) <= limits.RetryRatio*float64(sent)+limits.RetryBurst)
}
