package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/agatestep/agatestep/internal/wire"
)

// trackedKeys bounds the keys counted per backend server between two reports.
const trackedKeys = 1024

// counts is the load of one backend server since the last report.
type counts struct {
	slices map[uint64]uint64
	keys   map[uint64]uint64
	busy   time.Duration
}

func newCounts() counts { return counts{slices: map[uint64]uint64{}, keys: map[uint64]uint64{}} }

func (c *counts) add(r *Request, slice uint64) {
	if !r.Keyed {
		return
	}
	c.slices[slice]++
	if _, ok := c.keys[r.Hash]; !ok && len(c.keys) >= trackedKeys {
		c.evict()
	}
	c.keys[r.Hash]++
}

// evict halves all counts and drops the keys that reach zero, so that a key
// that is hot stays known however many cold ones pass.
func (c *counts) evict() {
	for len(c.keys) >= trackedKeys {
		for hash, n := range c.keys {
			if n /= 2; n == 0 {
				delete(c.keys, hash)
			} else {
				c.keys[hash] = n
			}
		}
	}
}

// Loads returns the load of each backend server since the last call.
func (d *Dispatcher) Loads() []wire.SliceLoads {
	d.mu.Lock()
	servers := make([]*server, 0, len(d.servers))
	for _, s := range d.servers {
		servers = append(servers, s)
	}
	d.mu.Unlock()
	var out []wire.SliceLoads
	for _, s := range servers {
		if l := s.takeLoads(); l.BusyMs > 0 || len(l.Slices) > 0 {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b wire.SliceLoads) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Backend, b.Backend))
	})
	return out
}

func (s *server) takeLoads() wire.SliceLoads {
	s.mu.Lock()
	c := s.counts
	s.counts = newCounts()
	s.counts.busy = c.busy % time.Millisecond
	s.mu.Unlock()
	l := wire.SliceLoads{Service: s.key.service, Backend: s.key.name, BusyMs: c.busy.Milliseconds()}
	for start, n := range c.slices {
		l.Slices = append(l.Slices, wire.SliceCount{Start: start, Count: n})
	}
	slices.SortFunc(l.Slices, func(a, b wire.SliceCount) int { return cmp.Compare(a.Start, b.Start) })
	for hash, n := range c.keys {
		l.Keys = append(l.Keys, wire.KeyCount{Hash: hash, Count: n})
	}
	slices.SortFunc(l.Keys, func(a, b wire.KeyCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Hash, b.Hash))
	})
	l.Keys = l.Keys[:min(len(l.Keys), s.d.cfg.MaxTopKeys)]
	return l
}
