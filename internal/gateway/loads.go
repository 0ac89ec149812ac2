package gateway

import (
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// loads counts the work that backend servers did for this host since the last report.
type loads struct {
	mu      sync.Mutex
	servers map[serverKey]*serverLoads
}

type serverLoads struct {
	requestsBySlice map[uint64]uint64
	requestsByKey   map[uint64]uint64
	busyTime        time.Duration
}

func newLoads() *loads { return &loads{servers: map[serverKey]*serverLoads{}} }

// record counts a request for a key and the time that the server worked on it.
func (l *loads) record(b *table.Backend, slice, hash uint64, busy time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := keyOf(b)
	s := l.servers[key]
	if s == nil {
		s = &serverLoads{requestsBySlice: map[uint64]uint64{}, requestsByKey: map[uint64]uint64{}}
		l.servers[key] = s
	}
	s.requestsBySlice[slice]++
	s.requestsByKey[hash]++
	s.busyTime += busy
}

func (l *loads) takeReports() []wire.SliceLoads {
	l.mu.Lock()
	servers := l.servers
	l.servers = map[serverKey]*serverLoads{}
	l.mu.Unlock()
	var out []wire.SliceLoads
	for key, s := range servers {
		report := wire.SliceLoads{Service: key.service, Backend: key.backend, BusyMs: s.busyTime.Milliseconds()}
		for start, n := range s.requestsBySlice {
			report.Slices = append(report.Slices, wire.SliceCount{Start: start, Count: n})
		}
		for hash, n := range s.requestsByKey {
			report.Keys = append(report.Keys, wire.KeyCount{Hash: hash, Count: n})
		}
		out = append(out, report)
	}
	return out
}
