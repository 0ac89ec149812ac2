package dispatch

import "time"

// lease is the grantor's view of a backend lease.
type lease struct {
	number uint64
	ttl    time.Duration
	// serverMs is the backend server's clock, in milliseconds, when it sent the
	// announcement that was received at receivedAt. Adding the time since receivedAt
	// gives at most the current reading.
	serverMs   int64
	receivedAt time.Time
	granted    bool
}

// endMs is the end of the lease on the backend server's clock, which counts
// from when it sent the announcement.
func (l *lease) endMs() int64 { return l.serverMs + l.ttl.Milliseconds() }

// usable reports whether the lease is valid even on a clock that runs fast by drift.
func (l *lease) usable(now time.Time, drift float64) bool {
	return l.granted && now.Before(l.receivedAt.Add(scale(l.ttl, 1-drift)))
}

// latestEnd returns the time from which the lease has expired even on a clock
// that runs slow by drift.
func (l *lease) latestEnd(drift float64) time.Time {
	return l.receivedAt.Add(scale(l.ttl, 1+drift))
}

// toServerClock converts a local time to milliseconds on the backend server's clock.
func (l *lease) toServerClock(t time.Time) int64 {
	return l.serverMs + t.Sub(l.receivedAt).Milliseconds()
}

// renew grants the lease for ttl. If the lease may have lapsed on either clock, it
// raises the lease number and returns true.
func (l *lease) renew(now time.Time, clockMs int64, ttl time.Duration, drift float64) (lapsed bool) {
	lapsed = l.granted && (clockMs >= l.endMs() || !l.usable(now, drift))
	if lapsed {
		l.number++
	}
	l.ttl, l.serverMs, l.receivedAt, l.granted = ttl, clockMs, now, true
	return lapsed
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
