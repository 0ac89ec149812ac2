package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/backlog"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// coldRetry is when callers of a cold backend server return whose dispatcher does not
// answer. Its session ends within two seconds, and another one takes over.
const coldRetry = time.Second

// An ask takes a part of the request's time at most, so that there is time for another
// host or the estimate when there is no answer. Small links delay answers by some hundred
// milliseconds while uploads pass.
const (
	askShare    = 0.3
	minAskTime  = 150 * time.Millisecond
	maxAskTime  = 800 * time.Millisecond
	askPollPart = 0.4 // of the time of an ask that the asked host may use
)

func askTime(left time.Duration) time.Duration {
	return min(max(time.Duration(askShare*float64(left)), minAskTime), maxAskTime)
}

// pass is the leave to send one request, or the reason why there is none.
type pass struct {
	id      uint64 // zero when no permit was asked for
	desk    Desk   // that gave the permit
	refusal *verdict.Error
	// delay is when a refused caller should return.
	delay time.Duration
	// moved is set when the key got another owner in the meantime, held when the
	// request should wait and try again.
	moved bool
	held  bool
}

// admit gets the leave to send a call to its target: from the host that keeps the queue
// of the backend server, or by this host's own estimate while none answers. A cold
// backend server gets nothing without its dispatcher.
func (g *Gateway) admit(ctx context.Context, c *call, t target) pass {
	b := t.backend
	if !c.keyed && !b.Cold {
		return pass{} // the choice of the server was the admission
	}
	asked := ""
	for range maxDesksAsked {
		d, ok := g.desk(b, asked)
		if !ok {
			break
		}
		p, answered := g.ask(ctx, c, t, d)
		if answered {
			return p
		}
		if g.retargeted(c, t) {
			return pass{moved: true}
		}
		asked = d.Host
	}
	if b.Cold {
		return pass{refusal: verdict.Unavailable(verdict.ReasonOverloaded, "the backend server is cold and its dispatcher does not answer"), delay: coldRetry}
	}
	return g.estimate(c, b)
}

// maxDesksAsked is the number of hosts that one attempt asks for a permit. A lost host is
// learnt by its first silence, and a request that is sent unasked may be one of many at a
// busy server.
const maxDesksAsked = 2

// desk returns the first host that may keep the queue of a backend server, answers and was
// not asked.
func (g *Gateway) desk(b *table.Backend, asked string) (Desk, bool) {
	now := g.cfg.Clock.Now()
	desks := g.cfg.Permits.Desks(b)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range desks {
		if d.Host != asked && g.reach.MayAsk(now, d.Host) {
			return d, true
		}
	}
	return Desk{}, false
}

// heard notes whether a host answered an ask that was sent at sent.
func (g *Gateway) heard(d Desk, sent time.Time, err error) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil:
		g.reach.Answered(now, d.Host)
	case errors.Is(err, syscall.ECONNREFUSED):
		g.reach.Unreachable(now, d.Host)
	default:
		g.reach.Silent(now, sent, d.Host)
	}
}

// ask asks for a permit until there is a decision. answered is false if there is none.
func (g *Gateway) ask(ctx context.Context, c *call, t target, d Desk) (p pass, answered bool) {
	b, now := t.backend, g.cfg.Clock.Now()
	s, a := g.server(b), permit.Ask{Rank: c.match.Priority, Until: c.until}
	if retry, refused := s.refuses(now, a); refused {
		return pass{refusal: verdict.Unavailable(verdict.ReasonOverloaded, "a request like this one has just been refused"), delay: retry}, true
	}
	if c.opening == nil {
		c.opening = g.client.Prepare(b.Address, g.connections(c.service))
	}
	request := wire.PermitAsk{Service: b.Service, Backend: b.Name, Born: b.Born, ID: rand.Uint64() | 1, Rank: c.match.Priority,
		TargetMs: c.arrived.Add(c.match.Target).Sub(now).Milliseconds(), LeftMs: c.left(now).Milliseconds(),
		ServiceMs: g.times(c.service).mean(c.match.Name).Milliseconds()}
	timeout := askTime(c.left(now))
	request.PollMs = int64(askPollPart * float64(timeout.Milliseconds()))
	takeBack := func() {
		g.cfg.Permits.Done(d, wire.PermitDone{Service: b.Service, Backend: b.Name, Born: b.Born, ID: request.ID})
	}
	for {
		sent := g.cfg.Clock.Now()
		reply, err := g.askOnce(ctx, d, request, timeout)
		if ctx.Err() == nil {
			g.heard(d, sent, err)
		}
		switch {
		case ctx.Err() != nil:
			takeBack()
			return pass{refusal: ended(ctx)}, true
		case err != nil || reply.State == wire.PermitUnable:
			// The request may have been let in, and the answer is late.
			takeBack()
			g.cfg.Logger.Info("no permit decision", append(c.fields(), zap.String("backend", b.Name),
				zap.String("asked", d.Host), zap.String("reason", reply.Reason), zap.Duration("took", g.cfg.Clock.Now().Sub(sent)), logging.Error(err))...)
			return pass{}, false
		case reply.State == wire.PermitElsewhere:
			return pass{held: true}, true
		case reply.State == wire.PermitGranted && !g.retargeted(c, t):
			return pass{id: request.ID, desk: d}, true
		case reply.State == wire.PermitRefused:
			wait := time.Duration(reply.WaitMs) * time.Millisecond
			s.refused(g.cfg.Clock.Now(), a, wait)
			return pass{refusal: verdict.Unavailable(verdict.ReasonOverloaded, reply.Reason), delay: wait}, true
		}
		request.Again = true
		if g.retargeted(c, t) {
			takeBack()
			return pass{moved: true}, true
		}
	}
}

func (g *Gateway) askOnce(ctx context.Context, d Desk, r wire.PermitAsk, timeout time.Duration) (wire.PermitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return g.cfg.Permits.Ask(ctx, d, r)
}

// retargeted reports whether a call must not go to its target any more: what the table
// said when it was chosen may have changed while the call waited.
func (g *Gateway) retargeted(c *call, t target) bool {
	b := g.cfg.Tables().Backend(t.backend.Service, t.backend.Name)
	if b == nil || b.Born != t.backend.Born || !g.mayServeHeld(b, g.cfg.Clock.Now()) {
		return true
	}
	if g.server(b).paused(g.cfg.Clock.Now()) > 0 {
		return true
	}
	if !c.keyed {
		return b.Draining || g.leaves(b)
	}
	slice, ok := g.cfg.Tables().Lookup(c.service, c.Hash)
	return !ok || slice.Owner != t.slice.Owner || slice.Epoch != t.slice.Epoch
}

// unaidedRequests bounds the requests without a permit that this host has at a server:
// all other hosts may have as many.
const unaidedRequests = 1

// estimate decides by what this host knows of the server's load.
func (g *Gateway) estimate(c *call, b *table.Backend) pass {
	now := g.cfg.Clock.Now()
	d := g.demand(c, now)
	s := g.server(b)
	s.mu.Lock()
	decision, delay := s.backlog.Admit(now, d)
	alone := s.backlog.InFlight() < unaidedRequests
	s.mu.Unlock()
	switch decision {
	case backlog.Refuse:
		return pass{refusal: overloaded(delay), delay: delay - d.Left/2}
	case backlog.Hold:
		return pass{held: true}
	}
	if !alone {
		return pass{held: true}
	}
	return pass{}
}

// refuses reports whether the host that keeps the queue of the server would refuse an ask.
func (s *server) refuses(now time.Time, a permit.Ask) (retry time.Duration, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outlook.Refuses(now, a)
}

// refused notes that an ask was refused.
func (s *server) refused(now time.Time, a permit.Ask, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outlook.Refused(now, a, wait)
}

// release reports the end of a request that had a permit.
func (g *Gateway) release(b *table.Backend, p pass, took time.Duration) {
	if p.id != 0 {
		g.cfg.Permits.Done(p.desk, wire.PermitDone{Service: b.Service, Backend: b.Name, Born: b.Born, ID: p.id, TookMs: took.Milliseconds()})
	}
}
