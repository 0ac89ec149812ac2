package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/agatestep/agatestep/internal/wire"
)

// maxTrackedKeys bounds the keys counted per backend server between two reports.
const maxTrackedKeys = 1024

// load is the load of one backend server since the last report.
type load struct {
	bySlice  map[uint64]uint64 // requests by start of the slice
	byKey    map[uint64]uint64 // requests by hash of the key
	busyTime time.Duration     // total time that requests were in flight
}

func newLoad() load { return load{bySlice: map[uint64]uint64{}, byKey: map[uint64]uint64{}} }

func (l *load) add(r *Request, slice uint64) {
	if !r.Keyed {
		return
	}
	l.bySlice[slice]++
	if _, ok := l.byKey[r.Hash]; !ok && len(l.byKey) >= maxTrackedKeys {
		l.halveCounts()
	}
	l.byKey[r.Hash]++
}

// halveCounts halves all counts and drops the keys that reach zero, so that a hot key
// stays tracked however many cold ones are counted.
func (l *load) halveCounts() {
	for len(l.byKey) >= maxTrackedKeys {
		for hash, n := range l.byKey {
			if n /= 2; n == 0 {
				delete(l.byKey, hash)
			} else {
				l.byKey[hash] = n
			}
		}
	}
}

// TakeLoads returns the load of each backend server since the last call, sorted by
// service and backend server. Servers without load are left out.
func (d *Dispatcher) TakeLoads() []wire.SliceLoads {
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
	taken := s.load
	s.load = newLoad()
	s.load.busyTime = taken.busyTime % time.Millisecond
	s.mu.Unlock()
	l := wire.SliceLoads{Service: s.key.service, Backend: s.key.name, BusyMs: taken.busyTime.Milliseconds()}
	for start, n := range taken.bySlice {
		l.Slices = append(l.Slices, wire.SliceCount{Start: start, Count: n})
	}
	slices.SortFunc(l.Slices, func(a, b wire.SliceCount) int { return cmp.Compare(a.Start, b.Start) })
	for hash, n := range taken.byKey {
		l.Keys = append(l.Keys, wire.KeyCount{Hash: hash, Count: n})
	}
	slices.SortFunc(l.Keys, func(a, b wire.KeyCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Hash, b.Hash))
	})
	l.Keys = l.Keys[:min(len(l.Keys), s.dispatcher.cfg.MaxTopKeys)]
	return l
}
