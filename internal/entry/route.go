package entry

import (
	"context"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/balance"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
)

// tablePollInterval is the interval at which waiting requests check for a newer table.
const tablePollInterval = 2 * time.Millisecond

// route is the target of a request. Sending to an equal route again has the same result.
type route struct {
	backend    string
	dispatcher string
	address    string // relay address of the dispatcher
	epoch      uint64 // of the slice
	usable     bool
}

// keyedRoute returns the route of a key hash.
func keyedRoute(t *table.Table, svc string, hash uint64) route {
	s, ok := t.Lookup(svc, hash)
	if !ok {
		return route{}
	}
	r := route{backend: s.Owner, epoch: s.Epoch, usable: s.State == table.SliceOwned}
	return r.withDispatcher(t, svc)
}

// withDispatcher returns r with the dispatcher of its backend server filled in. The result
// is not usable when the server is lost or no dispatcher is known.
func (r route) withDispatcher(t *table.Table, svc string) route {
	b := t.Backend(svc, r.backend)
	if b == nil || b.Lost || b.Dispatcher == "" {
		r.usable = false
		return r
	}
	r.dispatcher = b.Dispatcher
	if host := t.Host(b.Dispatcher); host != nil {
		r.address = host.RelayAddress
	} else {
		r.usable = false
	}
	return r
}

// waitForRoute waits until the key has a usable route other than old. After maxWait it
// returns the current route, and an error when ctx ends or too many requests wait.
func (h *Handler) waitForRoute(ctx context.Context, c *call, old route, maxWait time.Duration) (route, *verdict.Error) {
	if !h.startWaiting() {
		return old, verdict.Unavailable(verdict.ReasonOverloaded, "too many requests wait for a new owner")
	}
	defer h.stopWaiting()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	ticker := time.NewTicker(tablePollInterval)
	defer ticker.Stop()
	var seen *table.Table
	for {
		if t := h.cfg.Tables(); t != seen {
			seen = t
			if r := keyedRoute(t, c.file.Service, c.hash); r.usable && r != old {
				return r, nil
			}
		}
		select {
		case <-ticker.C:
		case <-timer.C:
			return keyedRoute(h.cfg.Tables(), c.file.Service, c.hash), nil
		case <-ctx.Done():
			return old, endedWithoutRoute(ctx)
		}
	}
}

// endedWithoutRoute returns the refusal of a request whose context ended while it waited
// for a route.
func endedWithoutRoute(ctx context.Context) *verdict.Error {
	if reason, detail := verdict.ContextEndReason(ctx); reason != verdict.ReasonDeadline {
		return verdict.Unavailable(reason, detail)
	}
	return verdict.Unavailable(verdict.ReasonNoBackend, "no backend server became available before the deadline")
}

func (h *Handler) startWaiting() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting >= h.cfg.Limits.Waiting {
		return false
	}
	h.waiting++
	return true
}

func (h *Handler) stopWaiting() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting--
}

// serverChooser chooses among the backend servers of one service without keys.
type serverChooser struct {
	mu             sync.Mutex
	picker         *balance.Picker
	candidatesFrom *table.Table // table from which candidates were taken
	candidates     []balance.Candidate
}

func (h *Handler) chooser(svc string) *serverChooser {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.choosers[svc]
	if c == nil {
		c = &serverChooser{picker: balance.NewPicker(h.cfg.Seed)}
		h.choosers[svc] = c
	}
	return c
}

// pickServer chooses a backend server and counts the request as sent to it.
func (h *Handler) pickServer(c *call, exclude map[string]bool) (route, bool) {
	t := h.cfg.Tables()
	ch := h.chooser(c.file.Service)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.candidatesFrom != t {
		ch.refresh(t, c, h.cfg.DataCentre)
	}
	now := h.cfg.Clock.Now()
	name, ok := ch.picker.Pick(now, ch.candidates, exclude)
	if !ok {
		return route{}, false
	}
	ch.picker.RecordSent(now, name)
	return route{backend: name, usable: true}.withDispatcher(t, c.file.Service), true
}

// refresh takes the candidates from t and drops the estimates of servers that are gone from it.
func (ch *serverChooser) refresh(t *table.Table, c *call, dataCentre string) {
	removed := map[string]bool{}
	for _, old := range ch.candidates {
		removed[old.Name] = true
	}
	ch.candidatesFrom, ch.candidates = t, ch.candidates[:0]
	for _, b := range t.AvailableBackends(c.file.Service) {
		if b.Dispatcher == "" {
			continue
		}
		local := c.file.DataCentres.Prefer == "local" && b.DataCentre == dataCentre
		ch.candidates = append(ch.candidates, balance.Candidate{Name: b.Name, Local: local, Slots: b.Slots})
		delete(removed, b.Name)
	}
	for name := range removed {
		ch.picker.Forget(name)
	}
}

// recordOutcome ends the request that pickServer counted and records its latency.
func (h *Handler) recordOutcome(c *call, name string, latency time.Duration, ok bool) {
	ch := h.chooser(c.file.Service)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.picker.RecordDone(h.cfg.Clock.Now(), name, latency, ok)
}

// hedgeDelay returns how long to wait before a hedge, and false when the service does not
// prefer tail latency or the delay is not yet known.
func (h *Handler) hedgeDelay(c *call) (time.Duration, bool) {
	if c.file.Prefer != service.PreferTailLatency {
		return 0, false
	}
	ch := h.chooser(c.file.Service)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.picker.HedgeDelay(h.cfg.Clock.Now())
}
