package gateway

import (
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// loads counts what backend servers did for this host since the last report.
type loads struct {
	mu      sync.Mutex
	servers map[serverKey]*serverLoads
}

type serverLoads struct {
	slices map[uint64]uint64
	keys   map[uint64]uint64
	busy   time.Duration
}

func newLoads() *loads { return &loads{servers: map[serverKey]*serverLoads{}} }

// add counts a request of a key.
func (l *loads) add(b *table.Backend, slice, hash uint64, busy time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := keyOf(b)
	s := l.servers[key]
	if s == nil {
		s = &serverLoads{slices: map[uint64]uint64{}, keys: map[uint64]uint64{}}
		l.servers[key] = s
	}
	s.slices[slice]++
	s.keys[hash]++
	s.busy += busy
}

func (l *loads) take() []wire.SliceLoads {
	l.mu.Lock()
	servers := l.servers
	l.servers = map[serverKey]*serverLoads{}
	l.mu.Unlock()
	var out []wire.SliceLoads
	for key, s := range servers {
		report := wire.SliceLoads{Service: key.service, Backend: key.backend, BusyMs: s.busy.Milliseconds()}
		for start, n := range s.slices {
			report.Slices = append(report.Slices, wire.SliceCount{Start: start, Count: n})
		}
		for hash, n := range s.keys {
			report.Keys = append(report.Keys, wire.KeyCount{Hash: hash, Count: n})
		}
		out = append(out, report)
	}
	return out
}
