package control

import (
	"time"

	"github.com/agatestep/agatestep/internal/table"
)

const (
	// settleHeartbeats is the time, in heartbeats, without a new backend server after
	// which the keys of a service without owners are given out. Servers that start
	// together are all heard within it.
	settleHeartbeats = 1.3
	// maxSettle bounds that wait while servers keep coming.
	maxSettle = 4 * time.Second
)

// arrivals is how the backend servers of a service without owners came.
type arrivals struct {
	servers int
	first   time.Time
	last    time.Time
}

// settled reports whether keys of a service may be given out. Keys that are given
// to the first server of many have to move soon after.
func (l *Leader) settled(t *table.Table, service string) bool {
	for s := range t.AllSlices(service) {
		if s.State != table.SliceUnowned {
			return true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n, now := len(t.Members(service)), l.cfg.Clock.Now()
	if n == 0 {
		delete(l.arrivals, service)
		return false
	}
	a, ok := l.arrivals[service]
	if !ok {
		a = arrivals{first: now}
	}
	if n != a.servers {
		a.servers, a.last = n, now
	}
	l.arrivals[service] = a
	return now.Sub(a.last) >= time.Duration(settleHeartbeats*float64(l.cfg.HeartbeatInterval)) || now.Sub(a.first) >= maxSettle
}
