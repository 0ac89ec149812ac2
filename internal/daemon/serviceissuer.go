package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/servermodel"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

const (
	// unusedPoolTTL is how long the model of a service that gets no requests is kept.
	unusedPoolTTL = time.Minute
	// memberRefreshInterval is the time after which the slots of a pool are summed again
	// although the table did not change.
	memberRefreshInterval = 50 * time.Millisecond
	// maxReportedMs bounds times that a host reports.
	maxReportedMs = int64(time.Hour / time.Millisecond)
)

// serviceIssuer issues permits for services without keys. It is safe for concurrent use.
type serviceIssuer struct {
	clock  clock.Clock
	logger *zap.Logger

	mu        sync.Mutex
	pools     map[string]*servicePool
	cancelled *cancellations
}

type servicePool struct {
	*servermodel.Pool
	waiters   map[permit.ID]chan struct{}
	table     *table.Table // of the members
	refreshed time.Time
	lastUsed  time.Time
}

func newServiceIssuer(c clock.Clock, logger *zap.Logger) *serviceIssuer {
	return &serviceIssuer{clock: c, logger: logger, pools: map[string]*servicePool{}, cancelled: newCancellations()}
}

// cancelKey returns the key of a permit request of a service among the cancellations.
func cancelKey(service string, id permit.ID) requestKey {
	return requestKey{permitKey(service, "", 0), id}
}

// pool returns the pool of a service with the members of a table. The caller holds mu.
func (i *serviceIssuer) pool(now time.Time, service string, t *table.Table) *servicePool {
	p := i.pools[service]
	if p == nil {
		p = &servicePool{Pool: servermodel.NewPool(), waiters: map[permit.ID]chan struct{}{}}
		i.pools[service] = p
		i.logger.Info("permits for a service begin without knowledge", zap.String("service", service))
	}
	p.lastUsed = now
	if p.table != t || now.Sub(p.refreshed) >= memberRefreshInterval {
		p.table, p.refreshed = t, now
		p.SetMembers(now, warmMembers(t, service))
	}
	return p
}

// warmMembers returns the servers of a service that take requests without the permit of a
// dispatcher.
func warmMembers(t *table.Table, service string) []servermodel.Member {
	var out []servermodel.Member
	for _, b := range t.AvailableBackends(service) {
		if !b.Cold {
			out = append(out, servermodel.Member{Name: b.Name, Born: b.Born, DataCentre: b.DataCentre, Slots: b.Slots})
		}
	}
	return out
}

func (p *servicePool) notify(changed []permit.ID) {
	for _, id := range changed {
		if c, ok := p.waiters[id]; ok {
			close(c)
			delete(p.waiters, id)
		}
	}
}

// request decides on a permit request, and waits for its turn for at most its poll time.
func (i *serviceIssuer) request(ctx context.Context, t *table.Table, r wire.ServicePermitRequest) wire.ServicePermitReply {
	i.mu.Lock()
	defer i.mu.Unlock()
	now, id := i.clock.Now(), permit.ID(r.ID)
	if i.cancelled.has(now, cancelKey(r.Service, id)) {
		return i.reply(wire.ServicePermitReply{State: wire.PermitUnavailable, Reason: "the permit request was withdrawn"})
	}
	p := i.pool(now, r.Service, t)
	p.notify(p.Advance(now))
	if !r.IsPoll {
		if state, wait := p.Submit(now, poolRequest(now, r)); state == permit.Refused || state == permit.Unknown {
			return i.reply(serviceReply(state, servermodel.Member{}, wait))
		}
	}
	state, m, wait := p.Poll(now, id)
	if state == permit.Waiting {
		turn := make(chan struct{})
		p.waiters[id] = turn
		i.mu.Unlock()
		waitTurn(ctx, turn, min(time.Duration(r.PollMs)*time.Millisecond, maxPermitPoll))
		i.mu.Lock()
		delete(p.waiters, id)
		now = i.clock.Now()
		p.notify(p.Advance(now))
		state, m, wait = p.Poll(now, id)
	}
	return i.reply(serviceReply(state, m, wait))
}

func (i *serviceIssuer) reply(r wire.ServicePermitReply) wire.ServicePermitReply {
	workMetrics.servicePermits.Add(string(r.State), 1)
	return r
}

func poolRequest(now time.Time, r wire.ServicePermitRequest) servermodel.Request {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return servermodel.Request{Route: r.Route, DataCentre: r.DataCentre, Remote: ms(r.RemoteMs), Excluded: r.Excluded, Connected: r.Connected,
		Request: permit.Request{ID: permit.ID(r.ID), Rank: r.Rank, Target: now.Add(ms(r.TargetMs)), Deadline: now.Add(ms(r.LeftMs)), Service: ms(r.ServiceMs)}}
}

func serviceReply(state permit.State, m servermodel.Member, wait time.Duration) wire.ServicePermitReply {
	switch state {
	case permit.Granted:
		return wire.ServicePermitReply{State: wire.PermitGranted, Backend: m.Name, Born: m.Born}
	case permit.Waiting:
		return wire.ServicePermitReply{State: wire.PermitWaiting}
	case permit.Refused:
		return wire.ServicePermitReply{State: wire.PermitRefused, WaitMs: wait.Milliseconds(), Reason: "the expected wait leaves no time for the work"}
	default:
		return wire.ServicePermitReply{State: wire.PermitUnavailable, Reason: "no backend server of the service can be chosen"}
	}
}

// release records the end of a request.
func (i *serviceIssuer) release(r wire.ServicePermitRelease) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now, id := i.clock.Now(), permit.ID(r.ID)
	p, ok := i.pools[r.Service]
	if !ok || !p.Done(now, id, poolOutcome(r)) {
		i.cancelled.add(now, cancelKey(r.Service, id))
	}
	if ok {
		p.notify(p.Advance(now))
	}
}

func poolOutcome(r wire.ServicePermitRelease) servermodel.Outcome {
	ms := func(n int64) time.Duration { return time.Duration(min(max(n, 0), maxReportedMs)) * time.Millisecond }
	o := servermodel.Outcome{Route: r.Route, Work: ms(r.WorkMs), Failed: r.Failed, Refused: r.Refused, Pause: ms(r.PauseMs)}
	if l := r.Load; l != nil {
		o.Load = &servermodel.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowdown: float64(l.SlowdownPercent) / 100, Age: ms(l.AgeMs)}
	}
	return o
}

// cleanupLoop removes unused pools once a second.
func (i *serviceIssuer) cleanupLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, time.Second)
		i.removeUnused()
	}
}

func (i *serviceIssuer) removeUnused() {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.Now()
	i.cancelled.removeExpired(now)
	for service, p := range i.pools {
		p.notify(p.Advance(now)) // drops what its hosts never reported as ended
		if p.Idle() && now.Sub(p.lastUsed) > unusedPoolTTL {
			delete(i.pools, service)
		}
	}
}
