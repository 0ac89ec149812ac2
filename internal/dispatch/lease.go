package dispatch

import "time"

// lease is the backend lease as its granter sees it.
type lease struct {
	number uint64
	ttl    time.Duration
	// readMs is the backend server's clock at readAt or earlier. Adding the time
	// since readAt to it errs on the early side.
	readMs  int64
	readAt  time.Time
	granted bool
}

// endMs is the end of the lease on the backend server's clock, which counts
// from when it sent the announcement.
func (l *lease) endMs() int64 { return l.readMs + l.ttl.Milliseconds() }

// usable reports whether the lease holds even on a clock that runs fast.
func (l *lease) usable(now time.Time, drift float64) bool {
	return l.granted && now.Before(l.readAt.Add(scale(l.ttl, 1-drift)))
}

// surelyOver returns the time from which the lease has ended even on a clock
// that runs slow.
func (l *lease) surelyOver(drift float64) time.Time {
	return l.readAt.Add(scale(l.ttl, 1+drift))
}

// onServerClock converts a local time to the backend server's clock.
func (l *lease) onServerClock(t time.Time) int64 {
	return l.readMs + t.Sub(l.readAt).Milliseconds()
}

// renew grants the lease for ttl. It raises the number and reports true when the
// lease may have lapsed on either clock.
func (l *lease) renew(now time.Time, clockMs int64, ttl time.Duration, drift float64) (lapsed bool) {
	lapsed = l.granted && (clockMs >= l.endMs() || !l.usable(now, drift))
	if lapsed {
		l.number++
	}
	l.ttl, l.readMs, l.readAt, l.granted = ttl, clockMs, now, true
	return lapsed
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
