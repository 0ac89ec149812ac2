package fleet

import (
	"net/netip"
	"strconv"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
)

// RecordHeartbeat records the state that a backend server sends in its heartbeats. It
// returns the servers whose processes were replaced: an address serves one process
// at a time, so a process that started later replaces whatever was at its address
// or had its name. It returns ErrInvalid when a field is not valid, and ErrStale
// when the process itself was replaced. A process that is lost and announces that it
// leaves stays lost; the announcement is kept, so that no late heartbeat undoes it.
func (f *Fleet) RecordHeartbeat(r *command.BackendReported, index uint64) (replaced []table.BackendRef, err error) {
	ref := table.BackendRef{Service: r.Service, Name: r.Backend}
	if err := checkReport(r); err != nil {
		return nil, err
	}
	old := f.backends[ref]
	if old != nil && r.Born < old.Born {
		return nil, stalef("backend server %s/%s: the process born at %d was replaced by one born at %d",
			r.Service, r.Backend, r.Born, old.Born)
	}
	if old != nil && old.Lost && old.Born == r.Born && r.Leaving {
		if !old.Leaving {
			old.Leaving = true
			f.changedBackends[ref] = true
		}
		return nil, nil
	}
	others, err := f.replacedAtAddress(ref, r)
	if err != nil {
		return nil, err
	}
	for _, other := range others {
		f.recordBackendLoss(other, index)
	}
	replaced = others
	next := newReportedBackend(r)
	if old != nil {
		next.Past, next.Epoch = old.Past, old.Epoch
		next.Dispatcher, next.StandbyDispatcher = old.Dispatcher, old.StandbyDispatcher
		if old.Born == r.Born {
			next.Leaving = r.Leaving || old.Leaving
		} else if !old.Lost {
			replaced = append(replaced, ref)
		}
	}
	next.Draining = f.isDrained(ref, r.DataCentre)
	if old != nil && old.Backend == next.Backend {
		return replaced, nil
	}
	if old == nil {
		f.insertBackendRef(ref)
	}
	if old == nil || old.Lost || old.Born != next.Born || old.Address != next.Address {
		next.Epoch = index
	}
	f.backends[ref] = next
	f.changedBackends[ref] = true
	f.assignDispatchers(index, ref)
	return replaced, nil
}

func newReportedBackend(r *command.BackendReported) *Backend {
	return &Backend{Backend: table.Backend{
		Name:        r.Backend,
		Service:     r.Service,
		Incarnation: strconv.FormatInt(r.Born, 10),
		Born:        r.Born,
		DataCentre:  r.DataCentre,
		Address:     r.Address,
		Slots:       r.Slots,
		Cold:        r.Cold,
		Leaving:     r.Leaving,
		ByHeartbeat: true,
	}}
}

func checkReport(r *command.BackendReported) error {
	switch {
	case r.Backend == "" || r.DataCentre == "":
		return invalidf("heartbeat of backend server %q in data centre %q: both names are required", r.Backend, r.DataCentre)
	case r.Slots < 1:
		return invalidf("backend server %s/%s: slots is %d, must be at least 1", r.Service, r.Backend, r.Slots)
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return invalidf("backend server %s/%s: address %q is not IP:port", r.Service, r.Backend, r.Address)
	}
	return nil
}

// replacedAtAddress returns the other servers at the address of r, which the
// reporting process replaces. When one of them did not start before it, the report
// is out of date and the result is ErrStale.
func (f *Fleet) replacedAtAddress(ref table.BackendRef, r *command.BackendReported) ([]table.BackendRef, error) {
	var out []table.BackendRef
	for _, other := range f.sortedBackendRefs() {
		b := f.backends[other]
		if other == ref || b.Address != r.Address || b.Lost {
			continue
		}
		if r.Born <= b.Born {
			return nil, stalef("backend server %s/%s born at %d: its address %s belongs to %s/%s, born at %d",
				r.Service, r.Backend, r.Born, r.Address, other.Service, other.Name, b.Born)
		}
		out = append(out, other)
	}
	return out, nil
}

func (f *Fleet) recordBackendLoss(ref table.BackendRef, index uint64) {
	b := f.backends[ref]
	b.Lost, b.LostAt, b.Epoch = true, index, index
	f.changedBackends[ref] = true
	f.evictLostBackends()
}
