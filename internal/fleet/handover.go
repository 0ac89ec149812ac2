package fleet

import (
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
)

// HandOver names the host that the dispatcher of a backend server is to hand its
// role to. The dispatcher keeps the role until it reports that it sends nothing more.
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

// HandedOver gives the role of a dispatcher that stopped sending to the next host,
// or to the standby dispatcher when none is named.
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
		f.setStandby(f.countRoles(), ref, b)
	}
	return nil
}

// maxHandOvers bounds the hand-overs that are under way at the same time, because
// requests wait during each of them.
const maxHandOvers = 8

// PlanHandOvers returns the hand-overs that bring dispatchers back to the data
// centres of their backend servers and even out their roles. Backend servers that
// do not check orders are left out: requests that the old dispatcher still has in
// flight would not be fenced.
func PlanHandOvers(t *table.Table) []command.HandOver {
	hosts := t.Hosts()
	roles, under := map[string]int{}, 0
	each(t, func(b *table.Backend) {
		roles[b.Dispatcher]++
		if b.NextDispatcher != "" {
			under++
		}
	})
	var out []command.HandOver
	each(t, func(b *table.Backend) {
		current := t.Host(b.Dispatcher)
		if under+len(out) >= maxHandOvers || current == nil || !b.ChecksOrders || b.NextDispatcher != "" {
			return
		}
		best := current
		for i := range hosts {
			if prefers(b, &hosts[i], best, roles) {
				best = &hosts[i]
			}
		}
		if best != current {
			roles[current.Name]--
			roles[best.Name]++
			out = append(out, command.HandOver{Service: b.Service, Backend: b.Name, From: current.Name, To: best.Name})
		}
	})
	return out
}

func each(t *table.Table, visit func(*table.Backend)) {
	for _, s := range t.Services() {
		for _, b := range t.Backends(s.File.Service) {
			if !b.Lost {
				visit(b)
			}
		}
	}
}

// prefers reports whether x is a better dispatcher than y. Among hosts that are
// placed alike the one with fewer roles is better, unless they would only swap.
func prefers(b *table.Backend, x, y *table.Host, roles map[string]int) bool {
	rx := rank(x.Draining, x.DataCentre != b.DataCentre)
	ry := rank(y.Draining, y.DataCentre != b.DataCentre)
	if rx != ry {
		return rx < ry
	}
	return roles[x.Name]+1 < roles[y.Name]
}
