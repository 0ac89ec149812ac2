package permit

import (
	"slices"
	"time"

	"github.com/agatestep/agatestep/internal/scheduling"
)

const (
	// slowServer is the slowdown from which a server is sent no requests beyond its slots: they
	// could not be given to a more urgent request while they wait there.
	slowServer = 2
	// maxPrefetchFactor is how many times the work of the shortest class a request may need to be
	// sent beyond the slots: a longer one would delay short requests that cannot overtake it.
	maxPrefetchFactor = 2
	// maxWaiting bounds the requests that wait for one server, and the time that a decision takes.
	maxWaiting = 200
	// minRemainingShare is the share of the expected work that a running request is expected to
	// need at least, also when it has run for longer than expected.
	minRemainingShare = 0.25
)

// costOrder orders and refuses the requests of a queue by what that costs their callers.
type costOrder struct {
	estimate scheduling.Estimate
	shares   scheduling.Shares
	returns  scheduling.Returns
	// running are the granted requests in the order of their permits; the first ones occupy the
	// slots of the server.
	running []*permitRequest
	// displaced are the waiting requests that the last Submit decided besides its own.
	displaced []ID
}

// NewByCost returns the queue of an idle server that decides by what a delay or a refusal costs
// callers: by priority, the time left and the work that a request needs on this server.
func NewByCost(slots int) *Queue {
	q := New(slots)
	q.cost = &costOrder{}
	return q
}

// Displaced returns the waiting requests that were granted or refused by the last Submit of another
// request. It is empty for a queue that does not decide by cost.
func (q *Queue) Displaced() []ID {
	if q.cost == nil {
		return nil
	}
	ids := q.cost.displaced
	q.cost.displaced = nil
	return ids
}

// RecordSlowdown records a slowdown that the server reported; zero is no report.
func (q *Queue) RecordSlowdown(now time.Time, slowdown float64) {
	if q.cost != nil {
		q.cost.estimate.RecordSlowdown(now, slowdown)
	}
}

func (q *Queue) submitByCost(now time.Time, e *permitRequest) (State, time.Duration) {
	q.cost.shares.RecordAsked(now, e.Class)
	q.waiting = append(q.waiting, e)
	for _, id := range q.advanceByCost(now) {
		if id != e.ID {
			q.cost.displaced = append(q.cost.displaced, id)
		}
	}
	return q.Poll(now, e.ID)
}

// advanceByCost grants the permits that are free and refuses the requests that are no longer reached.
func (q *Queue) advanceByCost(now time.Time) (changed []ID) {
	q.dropGoneHosts(now)
	if len(q.waiting) == 0 {
		return nil
	}
	byID := map[uint64]*permitRequest{}
	requests := make([]*scheduling.Request, 0, len(q.waiting))
	slowdown := q.slowdown(now)
	for _, e := range q.waiting {
		byID[uint64(e.ID)] = e
		requests = append(requests, &scheduling.Request{ID: uint64(e.ID), Class: e.Class, Rank: e.Rank, Arrived: e.arrived,
			Target: e.Target, Deadline: e.Deadline, Work: q.workByCost(now, e, slowdown)})
	}
	q.cost.shares.Favour(now, requests)
	q.waiting = q.waiting[:0]
	for _, p := range scheduling.Plan(now, q.slotsFreeAt(now, slowdown), requests) {
		e := byID[p.Request.ID]
		switch {
		case !p.Reached || len(q.waiting) == maxWaiting:
			q.refused[e.ID] = q.cost.returns.After(now, p.Start, p.Request.Work/time.Duration(q.slots))
		case q.mayPassFirst(now, p.Request) && q.mayGrant(now, p.Request, slowdown):
			q.grantByCost(now, e)
		default:
			q.waiting = append(q.waiting, e)
			continue
		}
		changed = append(changed, e.ID)
	}
	q.boundRefusals()
	return changed
}

func (q *Queue) grantByCost(now time.Time, e *permitRequest) {
	q.granted[e.ID] = e
	q.cost.running = append(q.cost.running, e)
	q.cost.shares.RecordServed(now, e.Class)
	q.markBegun(now)
}

// markBegun records when the requests that occupy a slot began.
func (q *Queue) markBegun(now time.Time) {
	for _, e := range q.cost.running[:min(q.slots, len(q.cost.running))] {
		if e.begun.IsZero() {
			e.begun = now
		}
	}
}

// mayGrant reports whether a request may be sent to the server: to a free slot, or beyond the slots so
// that the server has the next request while the reports of finished ones are in flight.
func (q *Queue) mayGrant(now time.Time, r *scheduling.Request, slowdown float64) bool {
	if len(q.granted) < q.slots {
		return true
	}
	shortest := q.cost.estimate.ShortestWork(now, r.Work) * time.Duration(maxPrefetchFactor)
	return slowdown < slowServer && r.Work <= shortest && q.freePermits() > 0
}

// mayPassFirst reports whether a request may be sent beyond the slots although the first one that waits
// is too long for that: if it is more urgent, until the first one has used half of the time that it
// may wait. It is then given the next slot.
func (q *Queue) mayPassFirst(now time.Time, r *scheduling.Request) bool {
	if len(q.waiting) == 0 {
		return true
	}
	first := q.waiting[0]
	return r.Rank < first.Rank && now.Sub(first.arrived) < first.maxWait()/2
}

func (q *Queue) workByCost(now time.Time, e *permitRequest, slowdown float64) time.Duration {
	work := q.cost.estimate.Work(now, e.Class, e.Service)
	return time.Duration(float64(work) * slowdown / q.cost.estimate.Slowdown(now))
}

// slowdown returns the slowdown of the server: the reported one, or more if all of its slots are
// occupied by requests that have run for longer than that explains. A server whose requests stop
// ending sends no reports.
func (q *Queue) slowdown(now time.Time) float64 {
	reported := q.cost.estimate.Slowdown(now)
	if len(q.cost.running) < q.slots {
		return reported
	}
	overdue := 0.0
	for i, e := range q.cost.running[:q.slots] {
		work := q.cost.estimate.Work(now, e.Class, e.Service)
		ratio := now.Sub(e.begun).Seconds() / max(work.Seconds(), time.Millisecond.Seconds())
		if i == 0 || ratio < overdue {
			overdue = ratio
		}
	}
	return reported * max(overdue, 1)
}

// slotsFreeAt estimates when each slot of the server has done the work that it has been sent.
func (q *Queue) slotsFreeAt(now time.Time, slowdown float64) []time.Time {
	free := make([]time.Time, q.slots)
	for i := range free {
		free[i] = now
	}
	for i, e := range q.cost.running {
		work := q.workByCost(now, e, slowdown)
		if i < q.slots {
			free[i] = now.Add(max(work-now.Sub(e.begun), time.Duration(minRemainingShare*float64(work))))
			continue
		}
		slot := 0
		for j := range free {
			if free[j].Before(free[slot]) {
				slot = j
			}
		}
		free[slot] = free[slot].Add(work)
	}
	return free
}

// doneByCost records the end of a granted request. took is zero if no response arrived, which says
// that the work was longer than the time that it had.
func (q *Queue) doneByCost(now time.Time, e *permitRequest, took time.Duration) {
	q.forgetRunning(e)
	if ran := now.Sub(e.begun); took == 0 && !e.begun.IsZero() && ran > q.cost.estimate.Work(now, e.Class, e.Service) {
		took = ran
	}
	if took > 0 {
		q.cost.estimate.RecordWork(now, e.Class, e.Service, took)
	}
	q.markBegun(now)
}

func (q *Queue) forgetRunning(e *permitRequest) {
	q.cost.running = slices.DeleteFunc(q.cost.running, func(r *permitRequest) bool { return r == e })
}

// dropGoneHosts drops the requests of hosts that no longer poll, and permits that were not released.
func (q *Queue) dropGoneHosts(now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(e *permitRequest) bool { return now.Sub(e.lastPoll) > abandonTimeout })
	for id, e := range q.granted {
		if now.Sub(e.Deadline) > permitGrace {
			delete(q.granted, id)
			q.forgetRunning(e)
		}
	}
	q.markBegun(now)
}
