package permit

import (
	"math"
	"time"
)

// ID names an ask within a queue.
type ID uint64

// Ask is a request for leave to send one request.
type Ask struct {
	ID ID
	// Rank is the priority of the request, 0 first.
	Rank int
	// Target is until when an answer has its full use, Until when its caller gives up.
	Target, Until time.Time
	// Service is the usual time of such requests, for a server that has no history.
	Service time.Duration
}

// State is what became of an ask.
type State uint8

// The states of an ask.
const (
	Waiting State = iota + 1
	Granted
	Refused
	Unknown
)

const (
	// serviceWeight is the weight of a new service time in the mean of the server.
	serviceWeight = 0.1
	// minWork is the part of the usual service time that must be left when a request
	// is sent: half of the requests take less than the mean.
	minWork = 0.6
	// onTimeWork is the part of the usual service time that must be left until the target
	// of a request that goes before late ones. With less, half of them miss it by a
	// little, and a server with too much to do answers nothing on time.
	onTimeWork = 1.2
	// lowestShare is the part of its time for which a request of the lowest rank may
	// be expected to wait; one of the highest rank may use all of it.
	lowestShare = 0.6
	// maxWaitShare is the part of its time that a request may wait. One that has
	// waited longer is refused while its caller has time to return.
	maxWaitShare = 0.5
	// ranks are the priorities that are told apart.
	ranks = 4
	// abandonedAfter is how long an ask is kept whose host does not ask about it. It
	// is longer than two polls.
	abandonedAfter = time.Second
	// overdueAfter is how long after its caller gave up a permit is kept whose end was
	// not reported, because its host is gone.
	overdueAfter = 300 * time.Millisecond
)

// ahead is the number of requests beyond its slots that a server is sent, so that
// it has the next ones while the ends of others are on their way.
func ahead(slots int) int { return max(1, slots/2) }

// Queue is the queue of one backend server. It is not safe for concurrent use.
type Queue struct {
	slots   int
	waiting []*entry // in order of arrival
	sent    map[ID]*entry
	refused map[ID]time.Duration // until the host asks
	expired []ID                 // refused since the last Next
	mean    time.Duration        // zero before the first answer
}

type entry struct {
	Ask
	arrived time.Time
	polled  time.Time
}

// New returns the queue of an idle server.
func New(slots int) *Queue {
	return &Queue{slots: max(slots, 1), sent: map[ID]*entry{}, refused: map[ID]time.Duration{}}
}

// Idle reports whether nothing waits or runs.
func (q *Queue) Idle() bool { return len(q.waiting) == 0 && len(q.sent) == 0 }

// SetSlots changes the number of slots of the server.
func (q *Queue) SetSlots(n int) { q.slots = max(n, 1) }

// service is the expected service time of a request.
func (q *Queue) service(a *Ask) time.Duration {
	if q.mean > 0 {
		return q.mean
	}
	return a.Service
}

func rank(n int) int { return min(max(n, 0), ranks-1) }

// patience is the time until which a request may be expected to be answered, so
// that it is let in.
func (e *entry) patience(now time.Time) time.Duration {
	share := 1 - (1-lowestShare)*float64(rank(e.Rank))/float64(ranks-1)
	return time.Duration(share * float64(e.Until.Sub(now)))
}

// maxWait is the longest time that a request waits.
func (e *entry) maxWait() time.Duration {
	return time.Duration(maxWaitShare * float64(e.Until.Sub(e.arrived)))
}

// before reports whether e is sent before other at now: by rank, then those that
// can still meet their target, then by arrival.
func (q *Queue) before(now time.Time, e, other *entry) bool {
	if a, b := rank(e.Rank), rank(other.Rank); a != b {
		return a < b
	}
	if a, b := q.onTime(now, e), q.onTime(now, other); a != b {
		return a
	}
	return e.arrived.Before(other.arrived)
}

func (q *Queue) onTime(now time.Time, e *entry) bool {
	return !now.Add(time.Duration(onTimeWork * float64(q.service(&e.Ask)))).After(e.Target)
}

// Ask lets a request in or refuses it. A refusal comes with the time after which
// the caller may return.
func (q *Queue) Ask(now time.Time, a Ask) (State, time.Duration) {
	e := &entry{Ask: a, arrived: now, polled: now}
	q.expire(now)
	if len(q.waiting) == 0 && q.free() > 0 {
		q.sent[a.ID] = e
		return Granted, 0
	}
	position := 0
	for _, other := range q.waiting {
		if q.before(now, other, e) {
			position++
		}
	}
	wait := q.wait(a, position)
	if wait+time.Duration(minWork*float64(q.service(&a))) > e.patience(now) || wait > e.maxWait() {
		return Refused, q.wait(a, len(q.waiting))
	}
	q.waiting = append(q.waiting, e)
	return Waiting, wait
}

// wait estimates the time until a request is sent that has others before it.
func (q *Queue) wait(a Ask, position int) time.Duration {
	rounds := float64(position+1) / float64(q.slots)
	return time.Duration(rounds * float64(q.service(&a)))
}

func (q *Queue) free() int { return q.slots + ahead(q.slots) - len(q.sent) }

// Poll returns the state of an ask whose host asks about it again.
func (q *Queue) Poll(now time.Time, id ID) (State, time.Duration) {
	if _, ok := q.sent[id]; ok {
		return Granted, 0
	}
	if wait, ok := q.refused[id]; ok {
		delete(q.refused, id)
		return Refused, wait
	}
	for _, e := range q.waiting {
		if e.ID == id {
			e.polled = now
			return Waiting, 0
		}
	}
	return Unknown, 0
}

// Done records the end of a request that was sent, with its service time if a
// server worked on it, or takes an ask back. It reports whether the ask was known.
func (q *Queue) Done(id ID, took time.Duration) (known bool) {
	if _, ok := q.sent[id]; ok {
		delete(q.sent, id)
		if took > 0 {
			q.learn(took)
		}
		return true
	}
	return q.remove(id)
}

func (q *Queue) learn(took time.Duration) {
	if q.mean == 0 {
		q.mean = took
	}
	q.mean += time.Duration(serviceWeight * float64(took-q.mean))
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

// Next grants what may be sent and refuses what cannot be served in time any more.
// It is called after each change and returns whose state changed.
func (q *Queue) Next(now time.Time) (changed []ID) {
	q.expire(now)
	changed, q.expired = q.expired, nil
	for q.free() > 0 && len(q.waiting) > 0 {
		best := 0
		for i, e := range q.waiting {
			if q.before(now, e, q.waiting[best]) {
				best = i
			}
		}
		e := q.waiting[best]
		q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
		q.sent[e.ID] = e
		changed = append(changed, e.ID)
	}
	return changed
}

// expire drops asks that were abandoned or cannot be served in time, and permits
// whose hosts are gone.
func (q *Queue) expire(now time.Time) {
	kept := q.waiting[:0]
	for _, e := range q.waiting {
		work := time.Duration(minWork * float64(q.service(&e.Ask)))
		switch {
		case now.Sub(e.polled) > abandonedAfter:
		case now.Add(work).After(e.Until), now.Sub(e.arrived) > e.maxWait():
			q.refused[e.ID] = q.wait(e.Ask, len(q.waiting))
			q.expired = append(q.expired, e.ID)
		default:
			kept = append(kept, e)
		}
	}
	q.waiting = kept
	for id, e := range q.sent {
		if now.Sub(e.Until) > overdueAfter {
			delete(q.sent, id)
		}
	}
	if len(q.refused) > maxRefused {
		q.refused = map[ID]time.Duration{} // their hosts are gone or learn by the poll that nothing is known
	}
}

// maxRefused bounds the refusals that are kept for hosts that do not ask.
const maxRefused = 1024

// Load is the number of requests that run or wait, in slots.
func (q *Queue) Load() float64 {
	return float64(len(q.sent)+len(q.waiting)) / math.Max(float64(q.slots), 1)
}
