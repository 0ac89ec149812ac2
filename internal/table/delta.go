package table

import (
	"maps"
	"slices"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/items"
)

// ErrRevisionMismatch is returned for a delta that cannot be applied to the table,
// because its base is another revision or its own revision is not higher.
const ErrRevisionMismatch = errors.ConstError("delta does not fit the revision of the table")

// ErrInvalid is returned for a delta or an encoding that is malformed or
// inconsistent.
const ErrInvalid = errors.ConstError("invalid table data")

// Delta is the difference between the tables of the revisions Base and Revision.
type Delta struct {
	Base            uint64
	Revision        uint64
	Services        []Service // added or replaced
	Backends        []Backend // added or replaced
	RemovedBackends []BackendRef
	Hosts           []Host // added or replaced
	RemovedHosts    []string
	Drains          []DrainChange
	Items           []items.Item
	Slices          []SliceChanges
}

// BackendRef identifies a backend server.
type BackendRef struct {
	Service string
	Name    string
}

// DrainChange records that a data centre was taken out of service or restored.
type DrainChange struct {
	DataCentre string
	Out        bool
}

// SliceChanges holds the new and changed slices of one service. Their field Last is
// ignored; it follows from the start of the next slice.
type SliceChanges struct {
	Service string
	Slices  []Slice
}

// Empty reports whether the delta changes nothing but the revision.
func (d *Delta) Empty() bool {
	return len(d.Services) == 0 && len(d.Backends) == 0 && len(d.RemovedBackends) == 0 &&
		len(d.Hosts) == 0 && len(d.RemovedHosts) == 0 && len(d.Drains) == 0 && len(d.Slices) == 0 && len(d.Items) == 0
}

// SliceCount returns the number of slice changes.
func (d *Delta) SliceCount() int {
	n := 0
	for i := range d.Slices {
		n += len(d.Slices[i].Slices)
	}
	return n
}

// Apply returns the table that results from d; t never changes. It returns
// ErrRevisionMismatch when the base of d is not the revision of t or the revision
// of d is not higher, and ErrInvalid when d refers to an unknown service or has
// invalid slices.
func (t *Table) Apply(d *Delta) (*Table, error) {
	if d.Base != t.revision || d.Revision <= t.revision {
		return nil, errors.Annotatef(ErrRevisionMismatch, "delta from %d to %d on table of revision %d", d.Base, d.Revision, t.revision)
	}
	return t.apply(d)
}

func (t *Table) apply(d *Delta) (*Table, error) {
	a := &applier{out: *t, copied: map[*serviceEntry]bool{}}
	a.out.revision = d.Revision
	a.out.entries = slices.Clone(t.entries)
	a.putServices(d.Services)
	if err := a.putBackends(d); err != nil {
		return nil, err
	}
	a.putHosts(d)
	a.putDrains(d.Drains)
	a.out.items, _ = t.items.Apply(d.Items)
	for i := range d.Slices {
		if err := a.putSlices(&d.Slices[i]); err != nil {
			return nil, err
		}
	}
	return &a.out, nil
}

// applier builds the next table. It copies each part before the first change to it.
type applier struct {
	out    Table
	copied map[*serviceEntry]bool // entries that only the new table has
}

// mutableEntry returns the entry of a service in the new table, copied if it is
// shared.
func (a *applier) mutableEntry(service string) (*serviceEntry, error) {
	i, ok := a.out.services[service]
	if !ok {
		return nil, errors.Annotatef(ErrInvalid, "service %q is not in the table", service)
	}
	e := a.out.entries[i]
	if !a.copied[e] {
		c := *e
		e = &c
		a.out.entries[i] = e
		a.copied[e] = true
	}
	return e, nil
}

func (a *applier) putServices(services []Service) {
	if len(services) == 0 {
		return
	}
	a.out.services = maps.Clone(a.out.services)
	for _, s := range services {
		name := s.File.Service
		if e, err := a.mutableEntry(name); err == nil {
			e.service = &s
			continue
		}
		e := &serviceEntry{service: &s, names: newNameIndex()}
		a.copied[e] = true
		a.out.services[name] = len(a.out.entries)
		a.out.entries = append(a.out.entries, e)
	}
	a.out.matcher = newMatcher(a.out.Services())
}

func (a *applier) putBackends(d *Delta) error {
	changed := map[*serviceEntry]bool{}
	entryWithMutableBackends := func(service string) (*serviceEntry, error) {
		e, err := a.mutableEntry(service)
		if err == nil && !changed[e] {
			changed[e] = true
			e.backends = slices.Clone(e.backends)
		}
		return e, err
	}
	for _, ref := range d.RemovedBackends {
		e, err := entryWithMutableBackends(ref.Service)
		if err != nil {
			return err
		}
		if i, ok := e.findBackend(ref.Name); ok {
			e.backends = slices.Delete(e.backends, i, i+1)
		}
	}
	for _, b := range d.Backends {
		e, err := entryWithMutableBackends(b.Service)
		if err != nil {
			return err
		}
		if i, ok := e.findBackend(b.Name); ok {
			e.backends[i] = &b
		} else {
			e.backends = slices.Insert(e.backends, i, &b)
		}
	}
	for e := range changed {
		e.available = nil
		for _, b := range e.backends {
			if !b.Lost && !b.Draining && !b.Leaving {
				e.available = append(e.available, b)
			}
		}
	}
	return nil
}

func (a *applier) putHosts(d *Delta) {
	if len(d.Hosts) == 0 && len(d.RemovedHosts) == 0 {
		return
	}
	hosts := slices.Clone(a.out.hosts)
	for _, name := range d.RemovedHosts {
		if i, ok := findHost(hosts, name); ok {
			hosts = slices.Delete(hosts, i, i+1)
		}
	}
	for _, h := range d.Hosts {
		if i, ok := findHost(hosts, h.Name); ok {
			hosts[i] = h
		} else {
			hosts = slices.Insert(hosts, i, h)
		}
	}
	a.out.hosts = hosts
}

func (a *applier) putDrains(drains []DrainChange) {
	if len(drains) == 0 {
		return
	}
	drained := slices.Clone(a.out.drained)
	for _, c := range drains {
		i, ok := slices.BinarySearch(drained, c.DataCentre)
		if c.Out && !ok {
			drained = slices.Insert(drained, i, c.DataCentre)
		} else if !c.Out && ok {
			drained = slices.Delete(drained, i, i+1)
		}
	}
	a.out.drained = drained
}

func (a *applier) putSlices(changes *SliceChanges) error {
	e, err := a.mutableEntry(changes.Service)
	if err != nil || len(changes.Slices) == 0 {
		return err
	}
	packed := make([]packedSlice, 0, len(changes.Slices))
	for i := range changes.Slices {
		s := &changes.Slices[i]
		if s.State < SliceOwned || s.State > SliceUnowned {
			return errors.Annotatef(ErrInvalid, "slice %016x of service %q has state %d", s.Start, changes.Service, s.State)
		}
		packed = append(packed, packedSlice{
			start: s.Start, epoch: s.Epoch, state: s.State,
			owner: e.names.intern(s.Owner), next: e.names.intern(s.Next), standby: e.names.intern(s.Standby),
		})
	}
	packed = sortAndDedupe(packed)
	if e.slices.count == 0 && packed[0].start != 0 {
		return errors.Annotatef(ErrInvalid, "the first slice of service %q starts at %016x", changes.Service, packed[0].start)
	}
	e.slices = e.slices.withChanges(packed)
	return nil
}
