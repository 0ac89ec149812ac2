package table

import (
	"cmp"
	"slices"

	"github.com/agatestep/agatestep/internal/items"
)

// Table is the routing table of the whole system at one revision. It is immutable;
// Apply returns a new table that shares the unchanged parts.
type Table struct {
	revision uint64
	services map[string]int // index into entries
	entries  []*serviceEntry
	hosts    []Host   // sorted by name
	drained  []string // data centres that are out of service, sorted
	items    *items.Set
	matcher  *matcher
}

// serviceEntry is a service with its backend servers and slices.
type serviceEntry struct {
	service   *Service
	names     nameIndex
	backends  []*Backend // sorted by name
	available []*Backend // the backend servers that may get requests
	slices    sliceSet
}

// Empty returns the table of revision 0, which has no records.
func Empty() *Table {
	return &Table{services: map[string]int{}, matcher: newMatcher(nil), items: items.NewSet()}
}

// Items returns the configuration items, without the operators' documents.
func (t *Table) Items() *items.Set { return t.items }

// Revision returns the log index of the last command that the table reflects.
func (t *Table) Revision() uint64 { return t.revision }

func (t *Table) entry(service string) *serviceEntry {
	if i, ok := t.services[service]; ok {
		return t.entries[i]
	}
	return nil
}

// Service returns a published service, or nil.
func (t *Table) Service(name string) *Service {
	if e := t.entry(name); e != nil {
		return e.service
	}
	return nil
}

// Services returns all published services, sorted by name.
func (t *Table) Services() []*Service {
	out := make([]*Service, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.service)
	}
	slices.SortFunc(out, func(a, b *Service) int { return cmp.Compare(a.File.Service, b.File.Service) })
	return out
}

// Backend returns a backend server of a service, or nil.
func (t *Table) Backend(service, name string) *Backend {
	e := t.entry(service)
	if e == nil {
		return nil
	}
	if i, ok := e.findBackend(name); ok {
		return e.backends[i]
	}
	return nil
}

func (e *serviceEntry) findBackend(backend string) (int, bool) {
	return slices.BinarySearchFunc(e.backends, backend, func(b *Backend, name string) int {
		return cmp.Compare(b.Name, name)
	})
}

// Backends returns all backend servers of a service, sorted by name, the lost
// and the draining ones included. The caller must not change the result.
func (t *Table) Backends(service string) []*Backend {
	if e := t.entry(service); e != nil {
		return e.backends
	}
	return nil
}

// AvailableBackends returns the backend servers of a service that may get requests: those
// that are not lost, draining or leaving. The caller must not change the result.
func (t *Table) AvailableBackends(service string) []*Backend {
	if e := t.entry(service); e != nil {
		return e.available
	}
	return nil
}

// Host returns an entry host, or nil.
func (t *Table) Host(name string) *Host {
	if i, ok := findHost(t.hosts, name); ok {
		return &t.hosts[i]
	}
	return nil
}

func findHost(hosts []Host, name string) (int, bool) {
	return slices.BinarySearchFunc(hosts, name, func(h Host, name string) int {
		return cmp.Compare(h.Name, name)
	})
}

// Hosts returns all entry hosts, sorted by name. The caller must not change the result.
func (t *Table) Hosts() []Host { return t.hosts }

// Drained returns the data centres that operators have taken out of service, sorted.
// The caller must not change the result.
func (t *Table) Drained() []string { return t.drained }

// Lookup returns the slice of a keyed service that holds a key hash.
func (t *Table) Lookup(service string, hash uint64) (Slice, bool) {
	e := t.entry(service)
	if e == nil {
		return Slice{}, false
	}
	c, i, ok := e.slices.find(hash)
	if !ok {
		return Slice{}, false
	}
	return e.slice(c, i), true
}

func (e *serviceEntry) slice(chunk, at int) Slice {
	s := &e.slices.chunks[chunk][at]
	return Slice{
		Start:   s.start,
		Last:    e.slices.lastHash(chunk, at),
		Owner:   e.names.byID[s.owner],
		Next:    e.names.byID[s.next],
		Standby: e.names.byID[s.standby],
		Epoch:   s.epoch,
		State:   s.state,
	}
}

// SlicesOf returns the slices that a backend server owns, including those that it is
// releasing, sorted by start.
func (t *Table) SlicesOf(service, backend string) []Slice {
	e := t.entry(service)
	if e == nil || backend == "" {
		return nil
	}
	id, _, ok := e.names.find(backend)
	if !ok {
		return nil
	}
	var out []Slice
	for c, chunk := range e.slices.chunks {
		for i := range chunk {
			if chunk[i].owner == id {
				out = append(out, e.slice(c, i))
			}
		}
	}
	return out
}

// AllSlices returns an iterator over the slices of a service in the order of starts.
func (t *Table) AllSlices(service string) func(yield func(Slice) bool) {
	return func(yield func(Slice) bool) {
		e := t.entry(service)
		if e == nil {
			return
		}
		for c, chunk := range e.slices.chunks {
			for i := range chunk {
				if !yield(e.slice(c, i)) {
					return
				}
			}
		}
	}
}

// SliceCount returns the number of slices of a service.
func (t *Table) SliceCount(service string) int {
	if e := t.entry(service); e != nil {
		return e.slices.count
	}
	return 0
}
