package table

import (
	"maps"
	"slices"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/items"
)

// ErrRevision is returned for a delta that does not fit the table: it builds on
// another revision, or it does not lead to a higher one.
const ErrRevision = errors.ConstError("delta does not fit the revision of the table")

// ErrInvalid is returned for a delta or an encoding that contradicts itself.
const ErrInvalid = errors.ConstError("invalid table data")

// Delta is the difference between the tables of two revisions.
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

// BackendRef names a backend server.
type BackendRef struct {
	Service string
	Name    string
}

// DrainChange says that a data centre was taken out or restored.
type DrainChange struct {
	DataCentre string
	Out        bool
}

// SliceChanges are the slices of one service that are new or changed. Last is
// not part of a change; it follows from the next start.
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

// Apply returns the table that results from d. It refuses a delta that builds on
// another revision or does not lead to a higher one; t never changes.
func (t *Table) Apply(d *Delta) (*Table, error) {
	if d.Base != t.revision || d.Revision <= t.revision {
		return nil, errors.Annotatef(ErrRevision, "delta from %d to %d on table of revision %d", d.Base, d.Revision, t.revision)
	}
	return t.apply(d)
}

func (t *Table) apply(d *Delta) (*Table, error) {
	a := &applier{out: *t, owned: map[*serviceEntry]bool{}}
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

// applier builds the next table and copies each part that it changes once.
type applier struct {
	out   Table
	owned map[*serviceEntry]bool // entries that belong to the new table alone
}

// entry returns an entry of the new table that may be changed.
func (a *applier) entry(service string) (*serviceEntry, error) {
	i, ok := a.out.services[service]
	if !ok {
		return nil, errors.Annotatef(ErrInvalid, "service %q is not in the table", service)
	}
	e := a.out.entries[i]
	if !a.owned[e] {
		c := *e
		e = &c
		a.out.entries[i] = e
		a.owned[e] = true
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
		if e, err := a.entry(name); err == nil {
			e.service = &s
			continue
		}
		e := &serviceEntry{service: &s, names: newNames()}
		a.owned[e] = true
		a.out.services[name] = len(a.out.entries)
		a.out.entries = append(a.out.entries, e)
	}
	a.out.matcher = newMatcher(a.out.Services())
}

func (a *applier) putBackends(d *Delta) error {
	changed := map[*serviceEntry]bool{}
	touch := func(service string) (*serviceEntry, error) {
		e, err := a.entry(service)
		if err == nil && !changed[e] {
			changed[e] = true
			e.backends = slices.Clone(e.backends)
		}
		return e, err
	}
	for _, ref := range d.RemovedBackends {
		e, err := touch(ref.Service)
		if err != nil {
			return err
		}
		if i, ok := e.find(ref.Name); ok {
			e.backends = slices.Delete(e.backends, i, i+1)
		}
	}
	for _, b := range d.Backends {
		e, err := touch(b.Service)
		if err != nil {
			return err
		}
		if i, ok := e.find(b.Name); ok {
			e.backends[i] = &b
		} else {
			e.backends = slices.Insert(e.backends, i, &b)
		}
	}
	for e := range changed {
		e.members = nil
		for _, b := range e.backends {
			if !b.Lost && !b.Draining && !b.Leaving {
				e.members = append(e.members, b)
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
	e, err := a.entry(changes.Service)
	if err != nil || len(changes.Slices) == 0 {
		return err
	}
	entries := make([]entry, 0, len(changes.Slices))
	for i := range changes.Slices {
		s := &changes.Slices[i]
		if s.State < SliceOwned || s.State > SliceUnowned {
			return errors.Annotatef(ErrInvalid, "slice %016x of service %q has state %d", s.Start, changes.Service, s.State)
		}
		entries = append(entries, entry{
			start: s.Start, epoch: s.Epoch, state: s.State,
			owner: e.names.intern(s.Owner), next: e.names.intern(s.Next), standby: e.names.intern(s.Standby),
		})
	}
	entries = sortEntries(entries)
	if e.slices.count == 0 && entries[0].start != 0 {
		return errors.Annotatef(ErrInvalid, "the first slice of service %q starts at %016x", changes.Service, entries[0].start)
	}
	e.slices = e.slices.put(entries)
	return nil
}
