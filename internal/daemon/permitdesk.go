package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/coldgate"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/wire"
)

const (
	// maxPermitPoll bounds how long an ask waits for its turn before it is asked
	// again. Hosts ask for less.
	maxPermitPoll = 500 * time.Millisecond
	// queueForget is how long an unused queue is kept.
	queueForget = 10 * time.Second
)

// permitDesk keeps the queues of the backend servers for which this host gives permits.
type permitDesk struct {
	clock clock.Clock

	mu     sync.Mutex
	cold   *coldgate.Gate
	queues map[coldgate.Key]*deskQueue
	taken  *takenBack
}

type deskQueue struct {
	*permit.Queue
	wake map[permit.ID]chan struct{}
	used time.Time
}

func newPermitDesk(c clock.Clock) *permitDesk {
	return &permitDesk{clock: c, cold: coldgate.New(), queues: map[coldgate.Key]*deskQueue{}, taken: newTakenBack()}
}

func (d *permitDesk) queue(key coldgate.Key, slots int) *deskQueue {
	q := d.queues[key]
	if q == nil {
		q = &deskQueue{Queue: permit.New(slots), wake: map[permit.ID]chan struct{}{}}
		d.queues[key] = q
	}
	q.SetSlots(slots)
	q.used = d.clock.Now()
	return q
}

// notify wakes the asks whose state changed.
func (q *deskQueue) notify(changed []permit.ID) {
	for _, id := range changed {
		if c, ok := q.wake[id]; ok {
			close(c)
			delete(q.wake, id)
		}
	}
}

// cleanLoop drops unused queues once a second.
func (d *permitDesk) cleanLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, time.Second)
		d.clean()
	}
}

func (d *permitDesk) clean() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.taken.clean(d.clock.Now())
	for key, q := range d.queues {
		if q.Idle() && d.clock.Now().Sub(q.used) > queueForget {
			delete(d.queues, key)
		}
	}
}

// ask lets a request in, and waits for its turn for a moment.
func (d *permitDesk) ask(ctx context.Context, key coldgate.Key, slots int, rate coldgate.Rate, r wire.PermitAsk) wire.PermitReply {
	d.mu.Lock()
	now, id := d.clock.Now(), permit.ID(r.ID)
	if d.taken.has(now, askKey{key, id}) {
		d.mu.Unlock()
		return wire.PermitReply{State: wire.PermitUnable, Reason: "the ask was taken back"}
	}
	q := d.queue(key, slots)
	var state permit.State
	var wait time.Duration
	if r.Again {
		q.notify(q.Next(now))
		state, wait = q.Poll(now, id)
	} else {
		if ok, retry := d.cold.Take(now, key, rate); !ok {
			d.mu.Unlock()
			return wire.PermitReply{State: wire.PermitRefused, WaitMs: retry.Milliseconds(), Reason: "the rate of the cold backend server is used up"}
		}
		state, wait = q.Ask(now, permit.Ask{ID: id, Rank: r.Rank, Target: now.Add(time.Duration(r.TargetMs) * time.Millisecond),
			Until: now.Add(time.Duration(r.LeftMs) * time.Millisecond), Service: time.Duration(r.ServiceMs) * time.Millisecond})
	}
	if state != permit.Waiting {
		d.mu.Unlock()
		return permitReply(state, wait)
	}
	turn := make(chan struct{})
	q.wake[id] = turn
	d.mu.Unlock()
	waitTurn(ctx, turn, min(time.Duration(r.PollMs)*time.Millisecond, maxPermitPoll))
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(q.wake, id)
	now = d.clock.Now()
	q.notify(q.Next(now))
	return permitReply(q.Poll(now, id))
}

func waitTurn(ctx context.Context, turn <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
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
		return wire.PermitReply{State: wire.PermitUnable, Reason: "the ask is not known"}
	}
}

func (d *permitDesk) done(key coldgate.Key, r wire.PermitDone) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, id := d.clock.Now(), permit.ID(r.ID)
	q, ok := d.queues[key]
	if !ok || !q.Done(id, time.Duration(r.TookMs)*time.Millisecond) {
		d.taken.add(now, askKey{key, id})
	}
	if ok {
		q.notify(q.Next(now))
	}
}
