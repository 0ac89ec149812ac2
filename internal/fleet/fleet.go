package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/placement"
	"github.com/agatestep/agatestep/internal/table"
)

// The classes of errors. A call that returns one changes nothing.
const (
	// ErrInvalid means that a rule forbids the change.
	ErrInvalid = errors.ConstError("invalid")
	// ErrStale means that the change is based on an outdated state.
	ErrStale = errors.ConstError("stale")
	// ErrConflict means that another change took the same version.
	ErrConflict = errors.ConstError("conflict")
)

func invalidf(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrInvalid)
}

func stalef(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrStale)
}

// Bounds on the history that is kept.
const (
	// maxPast is the number of replaced incarnations or instances kept per name.
	maxPast = 8
	// maxLostRecords is the number of records of lost backend servers, and of lost
	// hosts, that are kept; those lost first are removed. It holds about four days
	// of replacements at 950 a day.
	maxLostRecords = 4096
)

// Backend is the record of a backend server.
type Backend struct {
	table.Backend
	Past   []string // replaced incarnations, oldest first
	LostAt uint64   // log index of the loss
}

// Host is the record of an entry host.
type Host struct {
	table.Host
	Instance string
	Past     []string // replaced instances, oldest first
	Absent   bool     // the host has no session
	LostAt   uint64   // log index of the loss
}

// Fleet holds the records of all entry hosts, backend servers and drains. It is
// not safe for concurrent use.
type Fleet struct {
	hosts      map[string]*Host
	backends   map[table.BackendRef]*Backend
	drains     map[DrainKey]*Drain
	term       uint64             // of the last leader that recorded its election
	sortedRefs []table.BackendRef // sorted references, nil after a removal

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
	f.resetChanges()
	return f
}

func (f *Fleet) resetChanges() {
	f.changedHosts = map[string]bool{}
	f.changedBackends = map[table.BackendRef]bool{}
	f.changedDrains = map[string]bool{}
}

// Flush adds the changes since the last call of Flush to b.
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
		b.PutDrain(dc, f.isDataCentreDrained(dc))
	}
	f.resetChanges()
}

// Backend returns the record of a backend server, also of a lost one, or nil.
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

// Available returns the backend servers of a service that may get slices, sorted
// by name: those that are not lost, draining or leaving.
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

// RaiseEpoch sets the epoch of a backend server's next order, after a change to its slices.
func (f *Fleet) RaiseEpoch(ref table.BackendRef, index uint64) {
	if b := f.backends[ref]; b != nil {
		b.Epoch = index
		f.changedBackends[ref] = true
	}
}

// sortedBackendRefs returns the references of all backend servers in a fixed
// order, so that every replica makes the same decisions over them.
func (f *Fleet) sortedBackendRefs() []table.BackendRef {
	if f.sortedRefs == nil {
		f.sortedRefs = slices.SortedFunc(maps.Keys(f.backends), compareRefs)
	}
	return f.sortedRefs
}

// insertBackendRef adds a new reference to sortedRefs.
func (f *Fleet) insertBackendRef(ref table.BackendRef) {
	refs := f.sortedBackendRefs()
	if at, ok := slices.BinarySearchFunc(refs, ref, compareRefs); !ok {
		f.sortedRefs = slices.Insert(refs, at, ref)
	}
}

func compareRefs(a, b table.BackendRef) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
}

// appendPast returns past with name added, limited to the latest maxPast names.
func appendPast(past []string, name string) []string {
	past = append(slices.Clone(past), name)
	if len(past) > maxPast {
		past = past[len(past)-maxPast:]
	}
	return past
}
