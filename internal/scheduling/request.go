package scheduling

import (
	"cmp"
	"time"
)

// Request is a request that waits for a server.
type Request struct {
	ID uint64
	// Class names the kind of request, such as its route.
	Class string
	// Rank is the priority of the request, 0 first.
	Rank int
	// Target is the time by which a response should arrive, Deadline when the caller gives up.
	Arrived, Target, Deadline time.Time
	// Work is the time that the server is expected to work on the request.
	Work time.Duration
	// Favoured puts a request before all others that can be reached, because its class is
	// served too rarely.
	Favoured bool
}

const (
	// Ranks is the number of distinct priorities. Lower ones count as the lowest.
	Ranks = 4
	// rankWeight is how many requests weigh as much as one of the next higher priority.
	rankWeight = 4
	// lateWeight is the value of a response after the target, relative to one before it.
	lateWeight = 0.25
	// onTimeWorkShare is the share of the expected work that must be left until the target for
	// a request to count as one that meets it. Without the margin, an overloaded server works
	// on requests that miss their target by a little.
	onTimeWorkShare = 1.2
	// finishWorkShare is the share of the expected work that must be left until the deadline.
	// Half of the requests take less than the mean, and a server drops one that it has not
	// finished by its deadline.
	finishWorkShare = 0.9
	// maxWaitShare is the share of its time that a request may wait. A caller that is refused
	// later has no time to retry.
	maxWaitShare = 0.5
)

func clampRank(rank int) int { return min(max(rank, 0), Ranks-1) }

// Finishes reports whether the server is expected to finish a request that it begins at start.
func (r *Request) Finishes(start time.Time) bool {
	return !start.Add(time.Duration(finishWorkShare * float64(r.Work))).After(r.Deadline)
}

// latestStart returns the latest time at which a request that waits may be begun.
func (r *Request) latestStart() time.Time {
	total := r.Deadline.Sub(r.Arrived)
	bound := r.Arrived.Add(time.Duration(maxWaitShare * float64(total)))
	if last := r.Deadline.Add(-time.Duration(finishWorkShare * float64(r.Work))); last.Before(bound) {
		return last
	}
	return bound
}

// Reachable reports whether a request that waits may still be begun at start.
func (r *Request) Reachable(start time.Time) bool { return !start.After(r.latestStart()) }

// OnTime reports whether a request that the server begins at start is expected to meet its target.
func (r *Request) OnTime(start time.Time) bool {
	return !start.After(r.latestOnTimeStart())
}

func (r *Request) latestOnTimeStart() time.Time {
	return r.Target.Add(-time.Duration(onTimeWorkShare * float64(r.Work)))
}

// valueOnTime returns what a response that meets its target is worth to the caller.
func (r *Request) valueOnTime() float64 {
	v := 1.0
	for range Ranks - 1 - clampRank(r.Rank) {
		v *= rankWeight
	}
	return v
}

// value returns what a response is worth to the caller if the server begins the request at start.
func (r *Request) value(start time.Time) float64 {
	if r.OnTime(start) {
		return r.valueOnTime()
	}
	return lateWeight * r.valueOnTime()
}

// candidate is a request with its value at the time of a decision.
type candidate struct {
	*Request
	value float64
}

// precedes reports whether c is begun before other: the one of higher value, then of higher
// priority, then of less work, then the one that came first.
func (c candidate) precedes(other candidate) bool {
	if c.Favoured != other.Favoured {
		return c.Favoured
	}
	if c.value != other.value {
		return c.value > other.value
	}
	if a, b := clampRank(c.Rank), clampRank(other.Rank); a != b {
		return a < b
	}
	if c.Work != other.Work {
		return c.Work < other.Work
	}
	return cmp.Or(c.Arrived.Compare(other.Arrived), cmp.Compare(c.ID, other.ID)) < 0
}
