package hostlink

import "time"

// Body is a body that is to pass the link.
type Body struct {
	// Rank is the priority of its request, 0 first.
	Rank int
	// Target is the time by which a response should arrive, Deadline when the caller gives up.
	Target, Deadline time.Time
	// Left is the number of bytes that have not passed, or -1 if it is not known.
	Left int64
	// Work is the time that the request needs after its body has passed.
	Work time.Duration
}

// passTime returns how long n bytes take at a rate in bytes per second.
func passTime(n int64, bytesPerSecond float64) time.Duration {
	return time.Duration(float64(max(n, 0)) / max(bytesPerSecond, 1) * float64(time.Second))
}

// onTime reports whether a body that passes next at the given rate can still meet its target.
func (b *Body) onTime(now time.Time, bytesPerSecond float64) bool {
	return !now.Add(passTime(b.Left, bytesPerSecond) + b.Work).After(b.Target)
}

// reachable reports whether a body that passes next at the given rate can still be answered in time.
func (b *Body) reachable(now time.Time, bytesPerSecond float64) bool {
	return !now.Add(passTime(b.Left, bytesPerSecond) + b.Work).After(b.Deadline)
}

// precedes reports whether b passes before other: those that can be answered at all, by priority,
// then those that can still meet their target, then the one whose target is first. So one body after
// the other passes whole.
func (b *Body) precedes(other *Body, now time.Time, bytesPerSecond float64) bool {
	if x, y := b.reachable(now, bytesPerSecond), other.reachable(now, bytesPerSecond); x != y {
		return x
	}
	if b.Rank != other.Rank {
		return b.Rank < other.Rank
	}
	if x, y := b.onTime(now, bytesPerSecond), other.onTime(now, bytesPerSecond); x != y {
		return x
	}
	return b.Target.Before(other.Target)
}

// lateBy returns by how much a body passes too late to be read if it passes after those that precede
// it, at the given rate, or zero if it passes in time. One that could meet its target on a free link
// must meet it: once late, it would be overtaken by others until its deadline. One that is late in any
// case must meet its deadline.
func (b *Body) lateBy(now time.Time, others []*Body, bytesPerSecond float64) time.Duration {
	if b.Left < 0 {
		return 0
	}
	bound := b.Deadline
	if b.onTime(now, bytesPerSecond) && b.Target.Before(b.Deadline) {
		bound = b.Target
	}
	ahead := b.Left
	for _, o := range others {
		if !b.precedes(o, now, bytesPerSecond) {
			ahead += max(o.Left, 0)
		}
	}
	return max(now.Add(passTime(ahead, bytesPerSecond)+b.Work).Sub(bound), 0)
}
