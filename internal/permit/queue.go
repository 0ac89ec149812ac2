package permit

import (
	"math"
	"time"
)

// ID identifies a permit request within a queue.
type ID uint64

// Request is a request for a permit to send one caller's request.
type Request struct {
	ID ID
	// Rank is the priority of the request, 0 first.
	Rank int
	// Target is the time by which a response should arrive, Deadline when the caller gives up.
	Target, Deadline time.Time
	// Service is the usual service time of such requests, used for a server without
	// history.
	Service time.Duration
	// Class names the kind of request, such as its route, for a queue that decides by cost.
	Class string
}

// State is the state of a permit request.
type State uint8

// States of a permit request.
const (
	Waiting State = iota + 1
	Granted
	Refused
	Unknown
)

const (
	// serviceWeight is the weight of a new sample in the mean service time of the server.
	serviceWeight = 0.1
	// minWorkShare is the part of the usual service time that must be left when a request
	// is sent: half of the requests take less than the mean.
	minWorkShare = 0.6
	// onTimeWorkShare is the part of the usual service time that must be left until the
	// target of a request for it to go before late ones. With less, half of these requests
	// miss their target by a little, and an overloaded server answers nothing on time.
	onTimeWorkShare = 1.2
	// lowestRankShare is the part of its time left within which a request of the lowest rank
	// must be expected to be served; one of the highest rank may use all of it.
	lowestRankShare = 0.6
	// maxWaitShare is the part of its time that a request may wait. One that has waited
	// longer is refused while its caller still has time to retry.
	maxWaitShare = 0.5
	// rankCount is the number of distinct priorities.
	rankCount = 4
	// abandonTimeout is how long a permit request is kept without a poll of its host. It is
	// longer than two poll intervals.
	abandonTimeout = time.Second
	// permitGrace is how long a permit is kept after its caller gave up, if its host is gone
	// and never reports the end.
	permitGrace = 300 * time.Millisecond
)

// prefetch returns the number of requests that a server is sent beyond its slots, so that it
// has the next ones while the reports of finished requests are in flight.
func prefetch(slots int) int { return max(1, slots/2) }

// Queue is the queue of one backend server. It is not safe for concurrent use.
type Queue struct {
	slots       int
	waiting     []*permitRequest // in order of arrival
	granted     map[ID]*permitRequest
	refused     map[ID]time.Duration // expected waits, kept until the next poll
	expired     []ID                 // refused by expire since the previous call of Advance
	meanService time.Duration        // zero before the first response
	cost        *costOrder           // nil unless the queue decides by cost
}

type permitRequest struct {
	Request
	arrived  time.Time
	lastPoll time.Time
	begun    time.Time // when the server is assumed to have begun it, in a queue by cost
}

// New returns the queue of an idle server with a number of slots, at least one.
func New(slots int) *Queue {
	return &Queue{slots: max(slots, 1), granted: map[ID]*permitRequest{}, refused: map[ID]time.Duration{}}
}

// Idle reports whether no request waits or runs.
func (q *Queue) Idle() bool { return len(q.waiting) == 0 && len(q.granted) == 0 }

// SetSlots changes the number of slots of the server.
func (q *Queue) SetSlots(n int) { q.slots = max(n, 1) }

// serviceTime returns the expected service time of a request.
func (q *Queue) serviceTime(r *Request) time.Duration {
	if q.meanService > 0 {
		return q.meanService
	}
	return r.Service
}

func clampRank(n int) int { return min(max(n, 0), rankCount-1) }

// admissionLimit returns the longest expected time to a response with which a request is
// admitted.
func (e *permitRequest) admissionLimit(now time.Time) time.Duration {
	share := 1 - (1-lowestRankShare)*float64(clampRank(e.Rank))/float64(rankCount-1)
	return time.Duration(share * float64(e.Deadline.Sub(now)))
}

// maxWait returns the longest time that a request waits.
func (e *permitRequest) maxWait() time.Duration {
	return time.Duration(maxWaitShare * float64(e.Deadline.Sub(e.arrived)))
}

// precedes reports whether e is sent before other at now: by rank, then those that
// can still meet their target, then by arrival.
func (q *Queue) precedes(now time.Time, e, other *permitRequest) bool {
	if a, b := clampRank(e.Rank), clampRank(other.Rank); a != b {
		return a < b
	}
	if a, b := q.onTime(now, e), q.onTime(now, other); a != b {
		return a
	}
	return e.arrived.Before(other.arrived)
}

func (q *Queue) onTime(now time.Time, e *permitRequest) bool {
	return !now.Add(time.Duration(onTimeWorkShare * float64(q.serviceTime(&e.Request)))).After(e.Target)
}

// Submit grants a permit, queues the request, or refuses it. A refusal comes with the time
// after which the caller may retry.
func (q *Queue) Submit(now time.Time, r Request) (State, time.Duration) {
	e := &permitRequest{Request: r, arrived: now, lastPoll: now}
	if q.cost != nil {
		return q.submitByCost(now, e)
	}
	q.expire(now)
	if len(q.waiting) == 0 && q.freePermits() > 0 {
		q.granted[r.ID] = e
		return Granted, 0
	}
	position := 0
	for _, other := range q.waiting {
		if q.precedes(now, other, e) {
			position++
		}
	}
	wait := q.expectedWait(r, position)
	if wait+time.Duration(minWorkShare*float64(q.serviceTime(&r))) > e.admissionLimit(now) || wait > e.maxWait() {
		return Refused, q.expectedWait(r, len(q.waiting))
	}
	q.waiting = append(q.waiting, e)
	return Waiting, wait
}

// expectedWait estimates the time until a request at a position of the queue is sent.
func (q *Queue) expectedWait(a Request, position int) time.Duration {
	rounds := float64(position+1) / float64(q.slots)
	return time.Duration(rounds * float64(q.serviceTime(&a)))
}

func (q *Queue) freePermits() int { return q.slots + prefetch(q.slots) - len(q.granted) }

// Poll returns the state of a permit request, and for a refused one the time after which the
// caller may retry. It keeps a waiting request from being dropped as abandoned.
func (q *Queue) Poll(now time.Time, id ID) (State, time.Duration) {
	if _, ok := q.granted[id]; ok {
		return Granted, 0
	}
	if wait, ok := q.refused[id]; ok {
		delete(q.refused, id)
		return Refused, wait
	}
	for _, e := range q.waiting {
		if e.ID == id {
			e.lastPoll = now
			return Waiting, 0
		}
	}
	return Unknown, 0
}

// Done records the end of a request that was sent, with its service time if a server
// worked on it (else zero), or withdraws a waiting permit request. It reports whether the
// permit request was known.
func (q *Queue) Done(now time.Time, id ID, took time.Duration) (known bool) {
	if e, ok := q.granted[id]; ok {
		delete(q.granted, id)
		if q.cost != nil {
			q.doneByCost(now, e, took)
		} else if took > 0 {
			q.updateMean(took)
		}
		return true
	}
	return q.remove(id)
}

func (q *Queue) updateMean(took time.Duration) {
	if q.meanService == 0 {
		q.meanService = took
	}
	q.meanService += time.Duration(serviceWeight * float64(took-q.meanService))
}

func (q *Queue) remove(id ID) (known bool) {
	for i, e := range q.waiting {
		if e.ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Advance grants permits to the next waiting requests and refuses those that can no longer be
// served in time. It is called after each change and returns the requests whose state
// changed.
func (q *Queue) Advance(now time.Time) (changed []ID) {
	if q.cost != nil {
		return q.advanceByCost(now)
	}
	q.expire(now)
	changed, q.expired = q.expired, nil
	for q.freePermits() > 0 && len(q.waiting) > 0 {
		best := 0
		for i, e := range q.waiting {
			if q.precedes(now, e, q.waiting[best]) {
				best = i
			}
		}
		e := q.waiting[best]
		q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
		q.granted[e.ID] = e
		changed = append(changed, e.ID)
	}
	return changed
}

// expire drops abandoned requests, refuses those that can no longer be served in time, and
// drops permits whose hosts are gone.
func (q *Queue) expire(now time.Time) {
	kept := q.waiting[:0]
	for _, e := range q.waiting {
		work := time.Duration(minWorkShare * float64(q.serviceTime(&e.Request)))
		switch {
		case now.Sub(e.lastPoll) > abandonTimeout:
		case now.Add(work).After(e.Deadline), now.Sub(e.arrived) > e.maxWait():
			q.refused[e.ID] = q.expectedWait(e.Request, len(q.waiting))
			q.expired = append(q.expired, e.ID)
		default:
			kept = append(kept, e)
		}
	}
	q.waiting = kept
	for id, e := range q.granted {
		if now.Sub(e.Deadline) > permitGrace {
			delete(q.granted, id)
		}
	}
	q.boundRefusals()
}

func (q *Queue) boundRefusals() {
	if len(q.refused) > maxKeptRefusals {
		q.refused = map[ID]time.Duration{} // their hosts are gone, or the next poll returns Unknown
	}
}

// maxKeptRefusals bounds the refusals that are kept for hosts that do not poll.
const maxKeptRefusals = 1024

// Load returns the number of requests that run or wait, divided by the number of slots.
func (q *Queue) Load() float64 {
	return float64(len(q.granted)+len(q.waiting)) / math.Max(float64(q.slots), 1)
}
