package fleet

import (
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
)

// HandOver starts a handover: it records the host that the dispatcher of a backend
// server is to give its role to. The dispatcher keeps the role until it reports
// that it has stopped sending. HandOver returns ErrStale when h.From is not the
// dispatcher, and ErrInvalid when h.To is h.From or has no session.
func (f *Fleet) HandOver(h *command.HandOver) error {
	ref := table.BackendRef{Service: h.Service, Name: h.Backend}
	b := f.backends[ref]
	switch {
	case b == nil || b.Lost || b.Dispatcher != h.From:
		return stalef("host %s is not the dispatcher of %s/%s", h.From, h.Service, h.Backend)
	case h.To == h.From || f.Host(h.To) == nil:
		return invalidf("host %q cannot take over %s/%s from %s", h.To, h.Service, h.Backend, h.From)
	}
	b.NextDispatcher = h.To
	f.changedBackends[ref] = true
	return nil
}

// HandedOver completes a handover: it gives the role of a dispatcher that stopped
// sending to the next dispatcher, or to the standby dispatcher when there is none.
// It returns ErrStale when h.From is not the dispatcher or no other host can take
// over.
func (f *Fleet) HandedOver(h *command.HandedOver, index uint64) error {
	ref := table.BackendRef{Service: h.Service, Name: h.Backend}
	b := f.backends[ref]
	if b == nil || b.Lost || b.Dispatcher != h.From {
		return stalef("host %s is not the dispatcher of %s/%s", h.From, h.Service, h.Backend)
	}
	next := b.NextDispatcher
	if f.Host(next) == nil {
		next = b.StandbyDispatcher
	}
	if f.Host(next) == nil || next == h.From {
		return stalef("no other host can take over %s/%s", h.Service, h.Backend)
	}
	b.Dispatcher, b.Epoch = next, index
	b.NextDispatcher, b.WarmLimit, b.LeaseOver = "", h.Limit, false
	f.changedBackends[ref] = true
	if b.StandbyDispatcher == next || b.StandbyDispatcher == "" {
		f.assignStandby(f.countRoles(), ref, b)
	}
	return nil
}

// maxConcurrentHandOvers bounds the handovers that are in progress at the same
// time, because requests wait during each of them.
const maxConcurrentHandOvers = 8

// PlanHandOvers returns the handovers that move dispatcher roles back to the data
// centres of the backend servers and balance them across hosts. Backend servers
// that do not check orders are left out: requests that the old dispatcher still
// has in flight would not be fenced.
func PlanHandOvers(t *table.Table) []command.HandOver {
	hosts := t.Hosts()
	dispatcherCounts, inProgress := map[string]int{}, 0
	forEachLiveBackend(t, func(b *table.Backend) {
		dispatcherCounts[b.Dispatcher]++
		if b.NextDispatcher != "" {
			inProgress++
		}
	})
	var out []command.HandOver
	forEachLiveBackend(t, func(b *table.Backend) {
		current := t.Host(b.Dispatcher)
		if inProgress+len(out) >= maxConcurrentHandOvers || current == nil || !b.ChecksOrders || b.NextDispatcher != "" {
			return
		}
		best := current
		for i := range hosts {
			if isBetterDispatcher(b, &hosts[i], best, dispatcherCounts) {
				best = &hosts[i]
			}
		}
		if best != current {
			dispatcherCounts[current.Name]--
			dispatcherCounts[best.Name]++
			out = append(out, command.HandOver{Service: b.Service, Backend: b.Name, From: current.Name, To: best.Name})
		}
	})
	return out
}

func forEachLiveBackend(t *table.Table, visit func(*table.Backend)) {
	for _, s := range t.Services() {
		for _, b := range t.Backends(s.File.Service) {
			if !b.Lost {
				visit(b)
			}
		}
	}
}

// isBetterDispatcher reports whether x is a better dispatcher than y. Among hosts
// of the same rank, the one with fewer dispatcher roles is better, unless the
// handover would only swap the two counts.
func isBetterDispatcher(b *table.Backend, x, y *table.Host, dispatcherCounts map[string]int) bool {
	rx := rank(x.Draining, x.DataCentre != b.DataCentre)
	ry := rank(y.Draining, y.DataCentre != b.DataCentre)
	if rx != ry {
		return rx < ry
	}
	return dispatcherCounts[x.Name]+1 < dispatcherCounts[y.Name]
}
