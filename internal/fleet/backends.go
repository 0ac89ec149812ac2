package fleet

import (
	"net/netip"
	"slices"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
)

// RegisterBackend registers a backend server or a new incarnation of one and assigns
// its dispatchers. replaced is true when it ends an earlier incarnation that was
// alive, whose slices must be reassigned as after a loss. It returns ErrInvalid
// for an announcement that a rule forbids and ErrStale for an incarnation that
// was replaced before.
func (f *Fleet) RegisterBackend(a *command.BackendAnnounced, index uint64) (replaced bool, err error) {
	ref := table.BackendRef{Service: a.Service, Name: a.Backend}
	if err := f.checkAnnouncement(ref, a); err != nil {
		return false, err
	}
	old := f.backends[ref]
	next := newAnnouncedBackend(a)
	if old != nil {
		next.Past = old.Past
		next.Dispatcher, next.StandbyDispatcher = old.Dispatcher, old.StandbyDispatcher
		next.Epoch = old.Epoch
		if old.Incarnation == a.Incarnation && !old.Lost {
			next.NextDispatcher, next.WarmLimit = old.NextDispatcher, old.WarmLimit
		}
		if old.Incarnation != a.Incarnation {
			replaced = !old.Lost
			next.Past = appendPast(old.Past, old.Incarnation)
			next.Past = slices.DeleteFunc(next.Past, func(p string) bool { return p == a.Incarnation })
		}
	}
	next.Draining = f.isDrained(ref, a.DataCentre)
	if old != nil && old.Backend == next.Backend {
		return false, nil
	}
	if old == nil || replaced || old.Lost || old.Incarnation != next.Incarnation || old.Address != next.Address {
		next.Epoch = index
	}
	if old == nil {
		f.insertBackendRef(ref)
	}
	f.backends[ref] = next
	f.changedBackends[ref] = true
	f.assignDispatchers(index, ref)
	return replaced, nil
}

func newAnnouncedBackend(a *command.BackendAnnounced) *Backend {
	return &Backend{Backend: table.Backend{
		Name:         a.Backend,
		Service:      a.Service,
		Incarnation:  a.Incarnation,
		DataCentre:   a.DataCentre,
		Address:      a.Address,
		Slots:        a.Slots,
		Connections:  a.Connections,
		ChecksOrders: a.ChecksOrders,
	}}
}

func (f *Fleet) checkAnnouncement(ref table.BackendRef, a *command.BackendAnnounced) error {
	switch {
	case a.Backend == "":
		return invalidf("announcement without the name of the backend server")
	case a.Incarnation == "":
		return invalidf("backend server %s/%s: incarnation is missing", a.Service, a.Backend)
	case a.DataCentre == "":
		return invalidf("backend server %s/%s: data centre is missing", a.Service, a.Backend)
	case a.Slots < 1:
		return invalidf("backend server %s/%s: slots is %d, must be at least 1", a.Service, a.Backend, a.Slots)
	case a.Connections < 0:
		return invalidf("backend server %s/%s: connections is %d, must not be negative", a.Service, a.Backend, a.Connections)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return invalidf("backend server %s/%s: address %q is not IP:port", a.Service, a.Backend, a.Address)
	}
	if other, ok := f.addressInUse(ref, a.Address); ok {
		return invalidf("backend server %s/%s: address %s belongs to backend server %s/%s, which is alive",
			a.Service, a.Backend, a.Address, other.Service, other.Name)
	}
	return f.checkIncarnation(ref, a)
}

func (f *Fleet) addressInUse(ref table.BackendRef, address string) (table.BackendRef, bool) {
	for other, b := range f.backends {
		if other != ref && b.Address == address && !b.Lost {
			return other, true
		}
	}
	return table.BackendRef{}, false
}

// checkIncarnation rejects an incarnation that may not replace a live one.
// Incarnations have no order, so one that was replaced before is the older one.
// A live incarnation at another address may still hold a lease; the new one has
// to wait until that lease is over.
func (f *Fleet) checkIncarnation(ref table.BackendRef, a *command.BackendAnnounced) error {
	old := f.backends[ref]
	if old == nil || old.Lost {
		return nil
	}
	if old.Incarnation == a.Incarnation {
		if old.Address != a.Address || old.DataCentre != a.DataCentre {
			return invalidf("backend server %s/%s: incarnation %s is alive at %s in data centre %s and cannot move to %s in %s",
				a.Service, a.Backend, a.Incarnation, old.Address, old.DataCentre, a.Address, a.DataCentre)
		}
		return nil
	}
	if slices.Contains(old.Past, a.Incarnation) {
		return stalef("backend server %s/%s: incarnation %s was replaced by %s, which is alive",
			a.Service, a.Backend, a.Incarnation, old.Incarnation)
	}
	if old.Address != a.Address {
		return invalidf("backend server %s/%s: incarnation %s is alive at %s; incarnation %s at %s has to wait until its lease is over",
			a.Service, a.Backend, old.Incarnation, old.Address, a.Incarnation, a.Address)
	}
	return nil
}

// MarkBackendLost marks a backend server as lost, because the lease of the given
// incarnation is certainly over. It returns ErrStale when the server is not
// registered, has another incarnation or is lost already.
func (f *Fleet) MarkBackendLost(ref table.BackendRef, incarnation string, index uint64) error {
	b := f.backends[ref]
	switch {
	case b == nil:
		return stalef("backend server %s/%s is not registered", ref.Service, ref.Name)
	case b.Incarnation != incarnation:
		return stalef("backend server %s/%s has incarnation %s, not %s", ref.Service, ref.Name, b.Incarnation, incarnation)
	case b.Lost:
		return stalef("backend server %s/%s is lost already", ref.Service, ref.Name)
	}
	b.Lost, b.LostAt, b.Epoch = true, index, index
	b.NextDispatcher, b.WarmLimit = "", 0
	f.changedBackends[ref] = true
	f.evictLostBackends()
	return nil
}

// evictLostBackends removes the record of the backend server that was lost first
// when there are more than maxLostRecords. A lost backend server owns no slice.
func (f *Fleet) evictLostBackends() {
	lost := 0
	var oldest table.BackendRef
	for ref, b := range f.backends {
		if !b.Lost {
			continue
		}
		if lost == 0 || b.LostAt < f.backends[oldest].LostAt {
			oldest = ref
		}
		lost++
	}
	if lost > maxLostRecords {
		delete(f.backends, oldest)
		f.sortedRefs = nil
		f.changedBackends[oldest] = true
	}
}
