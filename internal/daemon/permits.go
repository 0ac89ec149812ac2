package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/coldgate"
	"github.com/agatestep/agatestep/internal/gateway"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

const (
	// maxPermitPoll bounds how long an ask waits for its turn before it is asked
	// again. Hosts ask for less.
	maxPermitPoll = 500 * time.Millisecond
	// doneTimeout bounds the report of the end of a request.
	doneTimeout = 500 * time.Millisecond
	// queueForget is how long an unused queue is kept.
	queueForget = 10 * time.Second
)

// permitDesk keeps the queues of the backend servers whose dispatcher this host is.
type permitDesk struct {
	clock clock.Clock

	mu     sync.Mutex
	cold   *coldgate.Gate
	queues map[coldgate.Key]*deskQueue
}

type deskQueue struct {
	*permit.Queue
	wake map[permit.ID]chan struct{}
	used time.Time
}

func newPermitDesk(c clock.Clock) *permitDesk {
	return &permitDesk{clock: c, cold: coldgate.New(), queues: map[coldgate.Key]*deskQueue{}}
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
	for key, q := range d.queues {
		if q.Idle() && d.clock.Now().Sub(q.used) > queueForget {
			delete(d.queues, key)
		}
	}
}

// ask lets a request in, and waits for its turn for a moment.
func (d *permitDesk) ask(ctx context.Context, key coldgate.Key, slots int, rate coldgate.Rate, r wire.PermitAsk) wire.PermitReply {
	d.mu.Lock()
	q := d.queue(key, slots)
	now, id := d.clock.Now(), permit.ID(r.ID)
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
	q, ok := d.queues[key]
	if !ok {
		return // this host has not been the dispatcher since its start
	}
	q.Done(permit.ID(r.ID), time.Duration(r.TookMs)*time.Millisecond)
	q.notify(q.Next(d.clock.Now()))
}

// permitKey names the queue that a request about a permit belongs to.
func permitKey(service, backend string, born int64) coldgate.Key {
	return coldgate.Key{Service: service, Backend: backend, Born: born}
}

var _ gateway.Permits = (*EntryHost)(nil)

// Desks implements gateway.Permits. The control hosts keep the queues: their links are
// wide and their number does not grow with that of the entry hosts. A cold server gets
// permits from its dispatcher only, whose session proves that no other host gives any.
func (h *EntryHost) Desks(b *table.Backend) []gateway.Desk {
	control := h.session.ControlHosts()
	if b.Cold || len(control) == 0 {
		host := h.session.Table().Host(b.Dispatcher)
		if host == nil {
			return nil
		}
		return []gateway.Desk{{Host: host.Name, Address: host.PeerAddress}}
	}
	var out []gateway.Desk
	for _, address := range permit.Order(control, b.Service+"/"+b.Name) {
		out = append(out, gateway.Desk{Host: address, Address: address})
	}
	return out
}

// Ask implements gateway.Permits.
func (h *EntryHost) Ask(ctx context.Context, d gateway.Desk, r wire.PermitAsk) (wire.PermitReply, error) {
	if d.Host == h.settings.Host {
		return h.handlePermitAsk(ctx, r)
	}
	var reply wire.PermitReply
	err := h.client.Call(ctx, d.Address, wire.MethodPermitAsk, r, &reply)
	return reply, errors.Trace(err)
}

// Done implements gateway.Permits. A report that is lost is made up for by the end
// of the permit's time.
func (h *EntryHost) Done(d gateway.Desk, r wire.PermitDone) {
	if d.Host == h.settings.Host {
		h.permits.done(permitKey(r.Service, r.Backend, r.Born), r)
		return
	}
	go h.reportDone(d, r) // the answer does not wait for it
}

func (h *EntryHost) reportDone(d gateway.Desk, r wire.PermitDone) {
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	if err := h.client.Notify(ctx, d.Address, wire.MethodPermitDone, r); err != nil {
		h.logger.Debug("end of a request not reported", zap.String("to", d.Host), logging.Error(err))
	}
}

// handlePermitAsk answers for the backend servers whose dispatcher this host is,
// while its session proves that no other host is.
func (h *EntryHost) handlePermitAsk(ctx context.Context, r wire.PermitAsk) (wire.PermitReply, error) {
	t := h.session.Table()
	b := t.Backend(r.Service, r.Backend)
	switch {
	case !h.session.Valid():
		return wire.PermitReply{State: wire.PermitUnable, Reason: "the dispatcher has no session"}, nil
	case b == nil || b.Born != r.Born || b.Dispatcher != h.settings.Host:
		return wire.PermitReply{State: wire.PermitUnable, Reason: "this host is not the dispatcher of the backend server"}, nil
	}
	rate := coldgate.Rate{}
	if s := t.Items().Service(r.Service); s != nil && b.Cold {
		d := h.settings.Deployment
		rate = coldgate.Rate{PerSecond: coldRateUsed * d.ColdOvershoot * s.ColdRate, Burst: coldSlackUsed * d.ColdSlack}
	}
	return h.permits.ask(ctx, permitKey(r.Service, r.Backend, r.Born), b.Slots, rate, r), nil
}

func (h *EntryHost) handlePermitDone(_ context.Context, r wire.PermitDone) (struct{}, error) {
	h.permits.done(permitKey(r.Service, r.Backend, r.Born), r)
	return struct{}{}, nil
}

// handlePermitAsk answers for warm backend servers. What is lost with this host, or held
// twice while some entry hosts ask another one, costs a server a longer queue at most.
func (h *ControlHost) handlePermitAsk(ctx context.Context, r wire.PermitAsk) (wire.PermitReply, error) {
	b := h.state.Table().Backend(r.Service, r.Backend)
	switch {
	case b == nil || b.Lost || b.Born != r.Born:
		return wire.PermitReply{State: wire.PermitUnable, Reason: "this replica does not know the process of the backend server"}, nil
	case b.Cold:
		return wire.PermitReply{State: wire.PermitElsewhere, Reason: "the backend server is cold, and its dispatcher decides"}, nil
	}
	return h.permits.ask(ctx, permitKey(r.Service, r.Backend, r.Born), b.Slots, coldgate.Rate{}, r), nil
}

func (h *ControlHost) handlePermitDone(_ context.Context, r wire.PermitDone) (struct{}, error) {
	h.permits.done(permitKey(r.Service, r.Backend, r.Born), r)
	return struct{}{}, nil
}
