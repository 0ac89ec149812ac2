package table

import (
	"cmp"
	"maps"
	"slices"

	"github.com/agatestep/agatestep/internal/items"
)

// Builder collects changes to a table and returns them as one Delta. A later
// change of the same record replaces an earlier one.
type Builder struct {
	base     uint64
	services map[string]Service
	backends map[BackendRef]*Backend // nil means removed
	hosts    map[string]*Host        // nil means removed
	drains   map[string]bool
	slices   map[string]map[uint64]Slice
	items    map[items.Key]items.Item
}

// NewBuilder returns a builder of a delta that applies to revision base.
func NewBuilder(base uint64) *Builder {
	return &Builder{
		base:     base,
		services: map[string]Service{},
		backends: map[BackendRef]*Backend{},
		hosts:    map[string]*Host{},
		drains:   map[string]bool{},
		slices:   map[string]map[uint64]Slice{},
		items:    map[items.Key]items.Item{},
	}
}

// PutService adds or replaces a service.
func (b *Builder) PutService(s Service) { b.services[s.File.Service] = s }

// PutBackend adds or replaces a backend server.
func (b *Builder) PutBackend(r Backend) {
	b.backends[BackendRef{Service: r.Service, Name: r.Name}] = &r
}

// RemoveBackend removes a backend server.
func (b *Builder) RemoveBackend(ref BackendRef) { b.backends[ref] = nil }

// PutHost adds or replaces an entry host.
func (b *Builder) PutHost(h Host) { b.hosts[h.Name] = &h }

// RemoveHost removes an entry host.
func (b *Builder) RemoveHost(name string) { b.hosts[name] = nil }

// PutDrain takes a data centre out of service, or restores it.
func (b *Builder) PutDrain(dataCentre string, out bool) { b.drains[dataCentre] = out }

// PutSlice adds the slice that begins at s.Start or replaces it.
func (b *Builder) PutSlice(service string, s Slice) {
	m := b.slices[service]
	if m == nil {
		m = map[uint64]Slice{}
		b.slices[service] = m
	}
	m[s.Start] = s
}

// PutItem adds a new version of a configuration item, without its document.
func (b *Builder) PutItem(i items.Item) { b.items[i.Key] = i.WithoutDocument() }

// AddDelta adds the changes of d, which applies to the table that results from the changes
// collected so far.
func (b *Builder) AddDelta(d *Delta) {
	for _, s := range d.Services {
		b.PutService(s)
	}
	for _, r := range d.RemovedBackends {
		b.RemoveBackend(r)
	}
	for _, r := range d.Backends {
		b.PutBackend(r)
	}
	for _, name := range d.RemovedHosts {
		b.RemoveHost(name)
	}
	for _, h := range d.Hosts {
		b.PutHost(h)
	}
	for _, c := range d.Drains {
		b.PutDrain(c.DataCentre, c.Out)
	}
	for _, i := range d.Items {
		b.PutItem(i)
	}
	for i := range d.Slices {
		for _, s := range d.Slices[i].Slices {
			b.PutSlice(d.Slices[i].Service, s)
		}
	}
}

// Delta returns the collected changes as a delta to revision, in an order that does
// not depend on the order in which they were made.
func (b *Builder) Delta(revision uint64) *Delta {
	d := &Delta{Base: b.base, Revision: revision}
	for _, name := range sortedKeys(b.services) {
		d.Services = append(d.Services, b.services[name])
	}
	refs := slices.SortedFunc(maps.Keys(b.backends), func(x, y BackendRef) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Name, y.Name))
	})
	for _, ref := range refs {
		if r := b.backends[ref]; r != nil {
			d.Backends = append(d.Backends, *r)
		} else {
			d.RemovedBackends = append(d.RemovedBackends, ref)
		}
	}
	for _, name := range sortedKeys(b.hosts) {
		if h := b.hosts[name]; h != nil {
			d.Hosts = append(d.Hosts, *h)
		} else {
			d.RemovedHosts = append(d.RemovedHosts, name)
		}
	}
	for _, dc := range sortedKeys(b.drains) {
		d.Drains = append(d.Drains, DrainChange{DataCentre: dc, Out: b.drains[dc]})
	}
	for _, key := range slices.SortedFunc(maps.Keys(b.items), items.CompareKeys) {
		d.Items = append(d.Items, b.items[key])
	}
	for _, name := range sortedKeys(b.slices) {
		c := SliceChanges{Service: name}
		for _, start := range sortedKeys(b.slices[name]) {
			c.Slices = append(c.Slices, b.slices[name][start])
		}
		d.Slices = append(d.Slices, c)
	}
	return d
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
