package control

import (
	"time"

	"github.com/agatestep/agatestep/internal/table"
)

const (
	// arrivalQuietHeartbeats is the time without a new backend server, in heartbeat
	// intervals, after which the keys of a service without owners are assigned.
	// Servers that start together all send a heartbeat within it.
	arrivalQuietHeartbeats = 1.3
	// maxArrivalWait bounds that wait while new servers keep appearing.
	maxArrivalWait = 4 * time.Second
)

// serverArrivals tracks the appearance of the backend servers of a service without
// owners.
type serverArrivals struct {
	servers int
	first   time.Time
	last    time.Time
}

// assignmentReady reports whether the keys of a service may be assigned. Keys that are
// assigned to the first server of many would have to move soon after.
func (l *Leader) assignmentReady(t *table.Table, service string) bool {
	for s := range t.AllSlices(service) {
		if s.State != table.SliceUnowned {
			return true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n, now := len(t.AvailableBackends(service)), l.cfg.Clock.Now()
	if n == 0 {
		delete(l.arrivals, service)
		return false
	}
	a, ok := l.arrivals[service]
	if !ok {
		a = serverArrivals{first: now}
	}
	if n != a.servers {
		a.servers, a.last = n, now
	}
	l.arrivals[service] = a
	return now.Sub(a.last) >= time.Duration(arrivalQuietHeartbeats*float64(l.cfg.HeartbeatInterval)) || now.Sub(a.first) >= maxArrivalWait
}
