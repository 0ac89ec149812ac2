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

// tablePoll is the interval at which waiting requests look for a newer table.
const tablePoll = 2 * time.Millisecond

// route is where a request goes. Two equal routes give the same answer.
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
	return r.through(t, svc)
}

// through fills in the dispatcher.
func (r route) through(t *table.Table, svc string) route {
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

// awaitRoute waits until the key has a usable route other than old, at most
// until the context ends or the time given.
func (h *Handler) awaitRoute(ctx context.Context, c *call, old route, most time.Duration) (route, *verdict.Error) {
	if !h.startWaiting() {
		return old, verdict.Unavailable(verdict.ReasonOverloaded, "too many requests wait for a new owner")
	}
	defer h.stopWaiting()
	timer := time.NewTimer(most)
	defer timer.Stop()
	ticker := time.NewTicker(tablePoll)
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
			return old, noBackend(ctx)
		}
	}
}

// noBackend is the refusal of a request whose context ended while it waited for a route.
func noBackend(ctx context.Context) *verdict.Error {
	if reason, detail := verdict.Ended(ctx); reason != verdict.ReasonDeadline {
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

// chooser chooses among the backend servers of one service without keys.
type chooser struct {
	mu         sync.Mutex
	picker     *balance.Picker
	from       *table.Table // table that candidates were taken from
	candidates []balance.Candidate
}

func (h *Handler) chooser(svc string) *chooser {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.choosers[svc]
	if c == nil {
		c = &chooser{picker: balance.NewPicker(h.cfg.Seed)}
		h.choosers[svc] = c
	}
	return c
}

// pick chooses a backend server and counts the request as sent to it.
func (h *Handler) pick(c *call, exclude map[string]bool) (route, bool) {
	t := h.cfg.Tables()
	ch := h.chooser(c.file.Service)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.from != t {
		ch.refresh(t, c, h.cfg.DataCentre)
	}
	now := h.cfg.Clock.Now()
	name, ok := ch.picker.Pick(now, ch.candidates, exclude)
	if !ok {
		return route{}, false
	}
	ch.picker.Sent(now, name)
	return route{backend: name, usable: true}.through(t, c.file.Service), true
}

// refresh takes the candidates from t and forgets the servers that left.
func (ch *chooser) refresh(t *table.Table, c *call, dataCentre string) {
	gone := map[string]bool{}
	for _, old := range ch.candidates {
		gone[old.Name] = true
	}
	ch.from, ch.candidates = t, ch.candidates[:0]
	for _, b := range t.Members(c.file.Service) {
		if b.Dispatcher == "" {
			continue
		}
		local := c.file.DataCentres.Prefer == "local" && b.DataCentre == dataCentre
		ch.candidates = append(ch.candidates, balance.Candidate{Name: b.Name, Local: local, Slots: b.Slots})
		delete(gone, b.Name)
	}
	for name := range gone {
		ch.picker.Forget(name)
	}
}

// done ends what pick counted.
func (h *Handler) done(c *call, name string, latency time.Duration, ok bool) {
	ch := h.chooser(c.file.Service)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.picker.Done(h.cfg.Clock.Now(), name, latency, ok)
}

func (h *Handler) hedgeAfter(c *call) (time.Duration, bool) {
	if c.file.Prefer != service.PreferTailLatency {
		return 0, false
	}
	ch := h.chooser(c.file.Service)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.picker.HedgeAfter(h.cfg.Clock.Now())
}
