package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/coldlimit"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/wire"
)

const (
	// maxPermitPoll bounds how long a permit request waits for its turn before the host
	// has to repeat it. Hosts set a shorter poll time.
	maxPermitPoll = 500 * time.Millisecond
	// unusedQueueTTL is how long an unused queue is kept.
	unusedQueueTTL = 10 * time.Second
)

// permitIssuer holds the permit queues of the backend servers for which this host issues
// permits. A permit admits one request to a backend server. It is safe for concurrent use.
type permitIssuer struct {
	clock clock.Clock
	// newQueue creates the queue of a backend server with a number of slots.
	newQueue func(slots int) *permit.Queue

	mu          sync.Mutex
	coldLimiter *coldlimit.Limiter
	queues      map[coldlimit.Key]*permitQueue
	cancelled   *cancellations
}

type permitQueue struct {
	*permit.Queue
	waiters  map[permit.ID]chan struct{}
	lastUsed time.Time
}

func newPermitIssuer(c clock.Clock) *permitIssuer {
	return &permitIssuer{clock: c, newQueue: permit.New, coldLimiter: coldlimit.New(), queues: map[coldlimit.Key]*permitQueue{}, cancelled: newCancellations()}
}

// orderByCost lets all queues decide by what a delay or a refusal costs callers. It must be called
// before the first request.
func (p *permitIssuer) orderByCost() { p.newQueue = permit.NewByCost }

func (p *permitIssuer) queue(key coldlimit.Key, slots int) *permitQueue {
	q := p.queues[key]
	if q == nil {
		q = &permitQueue{Queue: p.newQueue(slots), waiters: map[permit.ID]chan struct{}{}}
		p.queues[key] = q
	}
	q.SetSlots(slots)
	q.lastUsed = p.clock.Now()
	return q
}

// notify wakes the permit requests whose state changed.
func (q *permitQueue) notify(changed []permit.ID) {
	for _, id := range changed {
		if c, ok := q.waiters[id]; ok {
			close(c)
			delete(q.waiters, id)
		}
	}
}

// cleanupLoop removes unused queues once a second.
func (p *permitIssuer) cleanupLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, time.Second)
		p.removeUnused()
	}
}

func (p *permitIssuer) removeUnused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelled.removeExpired(p.clock.Now())
	for key, q := range p.queues {
		if q.Idle() && p.clock.Now().Sub(q.lastUsed) > unusedQueueTTL {
			delete(p.queues, key)
		}
	}
}

// requestPermit adds a request to the queue, or finds it there again, and waits for its
// turn for at most the poll time of the request.
func (p *permitIssuer) requestPermit(ctx context.Context, key coldlimit.Key, slots int, rate coldlimit.Rate, r wire.PermitRequest) wire.PermitReply {
	p.mu.Lock()
	now, id := p.clock.Now(), permit.ID(r.ID)
	if p.cancelled.has(now, requestKey{key, id}) {
		p.mu.Unlock()
		return wire.PermitReply{State: wire.PermitUnavailable, Reason: "the ask was taken back"}
	}
	q := p.queue(key, slots)
	if r.Sent {
		defer p.mu.Unlock()
		return wire.PermitReply{State: wire.PermitGranted, NoRoom: !q.Take(now, queueRequest(now, r))}
	}
	var state permit.State
	var wait time.Duration
	if r.IsPoll {
		q.notify(q.Advance(now))
		state, wait = q.Poll(now, id)
	} else {
		if ok, retry := p.coldLimiter.TakePermit(now, key, rate); !ok {
			p.mu.Unlock()
			return wire.PermitReply{State: wire.PermitRefused, WaitMs: retry.Milliseconds(), Reason: "the rate of the cold backend server is used up"}
		}
		state, wait = q.Submit(now, queueRequest(now, r))
		displaced := q.Displaced()
		q.notify(displaced)
		countPermitDecision(state, len(displaced))
	}
	if state != permit.Waiting {
		p.mu.Unlock()
		return permitReply(state, wait)
	}
	turn := make(chan struct{})
	q.waiters[id] = turn
	p.mu.Unlock()
	waitTurn(ctx, turn, min(time.Duration(r.PollMs)*time.Millisecond, maxPermitPoll))
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(q.waiters, id)
	now = p.clock.Now()
	q.notify(q.Advance(now))
	return permitReply(q.Poll(now, id))
}

// queueRequest returns the request of a queue for a permit request that arrives at now.
func queueRequest(now time.Time, r wire.PermitRequest) permit.Request {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return permit.Request{ID: permit.ID(r.ID), Rank: r.Rank, Target: now.Add(ms(r.TargetMs)), Deadline: now.Add(ms(r.LeftMs)), Service: ms(r.ServiceMs), Class: r.Class}
}

func waitTurn(ctx context.Context, turn <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-turn:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func permitReply(state permit.State, wait time.Duration) wire.PermitReply {
	switch state {
	case permit.Granted:
		return wire.PermitReply{State: wire.PermitGranted}
	case permit.Waiting:
		return wire.PermitReply{State: wire.PermitWaiting}
	case permit.Refused:
		return wire.PermitReply{State: wire.PermitRefused, WaitMs: wait.Milliseconds(), Reason: "the expected wait leaves no time for the work"}
	default:
		return wire.PermitReply{State: wire.PermitUnavailable, Reason: "the ask is not known"}
	}
}

func (p *permitIssuer) releasePermit(key coldlimit.Key, r wire.PermitRelease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, id := p.clock.Now(), permit.ID(r.ID)
	q, ok := p.queues[key]
	if ok {
		q.RecordSlowdown(now, r.Slowdown)
	}
	if !ok || !q.Done(now, id, time.Duration(r.TookMs)*time.Millisecond) {
		p.cancelled.add(now, requestKey{key, id})
	}
	if ok {
		q.notify(q.Advance(now))
	}
}
