package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/agatestep/agatestep/internal/table"
)

// Dump is the complete state of a fleet, in a fixed order.
type Dump struct {
	Hosts    []Host
	Backends []Backend
	Drains   []Drain
	Term     uint64
}

// Dump returns the complete state of f.
func (f *Fleet) Dump() Dump {
	d := Dump{Term: f.term}
	for _, name := range slices.Sorted(maps.Keys(f.hosts)) {
		d.Hosts = append(d.Hosts, *f.hosts[name])
	}
	for _, ref := range f.sortedBackendRefs() {
		d.Backends = append(d.Backends, *f.backends[ref])
	}
	d.Drains = f.Drains()
	return d
}

// Drains returns a copy of all drain records, sorted by kind and name.
func (f *Fleet) Drains() []Drain {
	var out []Drain
	keys := slices.SortedFunc(maps.Keys(f.drains), func(a, b DrainKey) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	for _, key := range keys {
		out = append(out, *f.drains[key])
	}
	return out
}

// Load returns a fleet with the state d and no changes to flush.
func Load(d Dump) *Fleet {
	f := New()
	f.term = d.Term
	for _, h := range d.Hosts {
		f.hosts[h.Name] = &h
	}
	for _, b := range d.Backends {
		f.backends[table.BackendRef{Service: b.Service, Name: b.Name}] = &b
	}
	for _, r := range d.Drains {
		f.drains[r.DrainKey] = &r
	}
	return f
}
