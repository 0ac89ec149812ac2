package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/placement"
	"github.com/agatestep/agatestep/internal/table"
)

// The classes of refusal. A refused call changes nothing.
const (
	// ErrInvalid means that a rule forbids the change.
	ErrInvalid = errors.ConstError("invalid")
	// ErrStale means that the change is based on a state that is gone.
	ErrStale = errors.ConstError("stale")
	// ErrConflict means that another change won.
	ErrConflict = errors.ConstError("conflict")
)

func invalidf(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrInvalid)
}

func stalef(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrStale)
}

// Bounds on what is remembered of the past.
const (
	// maxPast is the number of replaced incarnations or instances kept per name.
	maxPast = 8
	// maxAbsent is the number of lost backend servers and of lost hosts that are
	// kept; the ones lost first are forgotten. About four days of replacements at
	// 950 a day.
	maxAbsent = 4096
)

// Backend is the record of a backend server.
type Backend struct {
	table.Backend
	Past   []string // replaced incarnations, oldest first
	LostAt uint64   // index of the loss
}

// Host is the record of an entry host.
type Host struct {
	table.Host
	Instance string
	Past     []string // replaced instances, oldest first
	Absent   bool
	LostAt   uint64
}

// Fleet is the aggregate. It is not safe for concurrent use.
type Fleet struct {
	hosts    map[string]*Host
	backends map[table.BackendRef]*Backend
	drains   map[DrainKey]*Drain
	term     uint64             // of the last leader that recorded its election
	order    []table.BackendRef // sorted references, nil after a removal

	changedHosts    map[string]bool
	changedBackends map[table.BackendRef]bool
	changedDrains   map[string]bool
}

// New returns an empty fleet.
func New() *Fleet {
	f := &Fleet{
		hosts:    map[string]*Host{},
		backends: map[table.BackendRef]*Backend{},
		drains:   map[DrainKey]*Drain{},
	}
	f.clean()
	return f
}

func (f *Fleet) clean() {
	f.changedHosts = map[string]bool{}
	f.changedBackends = map[table.BackendRef]bool{}
	f.changedDrains = map[string]bool{}
}

// Flush adds the changes since the last call to b.
func (f *Fleet) Flush(b *table.Builder) {
	for name := range f.changedHosts {
		if h := f.hosts[name]; h != nil && !h.Absent {
			b.PutHost(h.Host)
		} else {
			b.RemoveHost(name)
		}
	}
	for ref := range f.changedBackends {
		if r := f.backends[ref]; r != nil {
			b.PutBackend(r.Backend)
		} else {
			b.RemoveBackend(ref)
		}
	}
	for dc := range f.changedDrains {
		b.PutDrain(dc, f.drainedDataCentre(dc))
	}
	f.clean()
}

// Backend returns the record of a backend server, or nil.
func (f *Fleet) Backend(ref table.BackendRef) *Backend { return f.backends[ref] }

// Host returns the record of an entry host that has a session, or nil.
func (f *Fleet) Host(name string) *Host {
	if h := f.hosts[name]; h != nil && !h.Absent {
		return h
	}
	return nil
}

// Alive reports whether a backend server may still hold a lease.
func (f *Fleet) Alive(ref table.BackendRef) bool {
	b := f.backends[ref]
	return b != nil && !b.Lost
}

// Available returns the backend servers of a service that may get slices,
// sorted by name.
func (f *Fleet) Available(service string) []placement.Server {
	var out []placement.Server
	for ref, b := range f.backends {
		if ref.Service == service && !b.Lost && !b.Draining && !b.Leaving {
			out = append(out, placement.Server{Name: b.Name, DataCentre: b.DataCentre, Slots: b.Slots})
		}
	}
	slices.SortFunc(out, func(a, b placement.Server) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Raise sets the epoch of a backend server's next order, after a change to its slices.
func (f *Fleet) Raise(ref table.BackendRef, index uint64) {
	if b := f.backends[ref]; b != nil {
		b.Epoch = index
		f.changedBackends[ref] = true
	}
}

// sortedBackends returns all references in a fixed order, so that decisions over
// all backend servers are the same on every replica.
func (f *Fleet) sortedBackends() []table.BackendRef {
	if f.order == nil {
		f.order = slices.SortedFunc(maps.Keys(f.backends), compareRefs)
	}
	return f.order
}

// insertOrder adds a new reference to the sorted ones.
func (f *Fleet) insertOrder(ref table.BackendRef) {
	order := f.sortedBackends()
	if at, ok := slices.BinarySearchFunc(order, ref, compareRefs); !ok {
		f.order = slices.Insert(order, at, ref)
	}
}

func compareRefs(a, b table.BackendRef) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
}

func pushPast(past []string, name string) []string {
	past = append(slices.Clone(past), name)
	if len(past) > maxPast {
		past = past[len(past)-maxPast:]
	}
	return past
}
