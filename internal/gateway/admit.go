package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/backlog"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// unableFor is how long a dispatcher that did not answer is not asked. Its session
// ends within two seconds, and another one takes over.
const unableFor = time.Second

// An ask takes a part of the request's time at most, so that there is time for the
// estimate when the dispatcher does not answer. Small links delay answers by some
// hundred milliseconds while uploads pass.
const (
	askShare    = 0.2
	minAskTime  = 150 * time.Millisecond
	maxAskTime  = 700 * time.Millisecond
	askPollPart = 0.4 // of the time of an ask that the dispatcher may use
)

func askTime(left time.Duration) time.Duration {
	return min(max(time.Duration(askShare*float64(left)), minAskTime), maxAskTime)
}

// pass is the leave to send one request, or the reason why there is none.
type pass struct {
	id      uint64 // zero when no dispatcher was asked
	refusal *verdict.Error
	// delay is when a refused caller should return.
	delay time.Duration
	// moved is set when the key got another owner in the meantime, held when the
	// request should wait and try again.
	moved bool
	held  bool
}

// admit gets the leave to send a call to its target: from the dispatcher of the
// backend server, or by this host's own estimate while the dispatcher does not
// answer. A cold backend server gets nothing without its dispatcher.
func (g *Gateway) admit(ctx context.Context, c *call, t target) pass {
	b := t.backend
	if !c.keyed && !b.Cold {
		return pass{} // the choice of the server was the admission
	}
	if g.mayAsk(b.Dispatcher) {
		p, answered := g.ask(ctx, c, t)
		if answered {
			return p
		}
		if g.retargeted(c, t) {
			return pass{moved: true}
		}
	}
	if b.Cold {
		return pass{refusal: verdict.Unavailable(verdict.ReasonOverloaded, "the backend server is cold and its dispatcher does not answer"), delay: unableFor}
	}
	return g.estimate(c, b)
}

func (g *Gateway) mayAsk(dispatcher string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return dispatcher != "" && !g.cfg.Clock.Now().Before(g.unable[dispatcher])
}

func (g *Gateway) markUnable(dispatcher string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unable[dispatcher] = g.cfg.Clock.Now().Add(unableFor)
}

// ask asks the dispatcher until it decides. answered is false if it cannot.
func (g *Gateway) ask(ctx context.Context, c *call, t target) (p pass, answered bool) {
	b, now := t.backend, g.cfg.Clock.Now()
	s, a := g.server(b), permit.Ask{Rank: c.match.Priority, Until: c.until}
	if retry, refused := s.refuses(now, a); refused {
		return pass{refusal: verdict.Unavailable(verdict.ReasonOverloaded, "the dispatcher has just refused a request like this one"), delay: retry}, true
	}
	request := wire.PermitAsk{Service: b.Service, Backend: b.Name, Born: b.Born, ID: rand.Uint64() | 1, Rank: c.match.Priority,
		TargetMs: c.arrived.Add(c.match.Target).Sub(now).Milliseconds(), LeftMs: c.left(now).Milliseconds(),
		ServiceMs: g.times(c.service).mean(c.match.Name).Milliseconds()}
	timeout := askTime(c.left(now))
	request.PollMs = int64(askPollPart * float64(timeout.Milliseconds()))
	for {
		reply, err := g.askOnce(ctx, b, request, timeout)
		switch {
		case ctx.Err() != nil:
			g.cfg.Permits.Done(b, wire.PermitDone{Service: b.Service, Backend: b.Name, Born: b.Born, ID: request.ID})
			return pass{refusal: ended(ctx)}, true
		case err != nil || reply.State == wire.PermitUnable:
			// The dispatcher may have let the request in, and the answer is late.
			g.cfg.Permits.Done(b, wire.PermitDone{Service: b.Service, Backend: b.Name, Born: b.Born, ID: request.ID})
			g.markUnable(b.Dispatcher)
			g.cfg.Logger.Info("dispatcher does not answer", append(c.fields(), zap.String("backend", b.Name),
				zap.String("dispatcher", b.Dispatcher), zap.String("reason", reply.Reason), logging.Error(err))...)
			return pass{}, false
		case reply.State == wire.PermitGranted && !g.retargeted(c, t):
			return pass{id: request.ID}, true
		case reply.State == wire.PermitRefused:
			wait := time.Duration(reply.WaitMs) * time.Millisecond
			s.refused(g.cfg.Clock.Now(), a, wait)
			return pass{refusal: verdict.Unavailable(verdict.ReasonOverloaded, reply.Reason), delay: wait}, true
		}
		request.Again = true
		if g.retargeted(c, t) {
			g.cfg.Permits.Done(b, wire.PermitDone{Service: b.Service, Backend: b.Name, Born: b.Born, ID: request.ID})
			return pass{moved: true}, true
		}
	}
}

func (g *Gateway) askOnce(ctx context.Context, b *table.Backend, r wire.PermitAsk, timeout time.Duration) (wire.PermitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return g.cfg.Permits.Ask(ctx, b, r)
}

// retargeted reports whether a call must not go to its target any more: what the table
// said when it was chosen may have changed while the call waited.
func (g *Gateway) retargeted(c *call, t target) bool {
	b := g.cfg.Tables().Backend(t.backend.Service, t.backend.Name)
	if b == nil || b.Born != t.backend.Born || !g.mayServeHeld(b, g.cfg.Clock.Now()) {
		return true
	}
	if !c.keyed {
		return b.Leaving || b.Draining
	}
	slice, ok := g.cfg.Tables().Lookup(c.service, c.Hash)
	return !ok || slice.Owner != t.slice.Owner || slice.Epoch != t.slice.Epoch
}

// unaidedRequests bounds the requests that this host has at a server without the
// server's dispatcher: all other hosts may be without it too.
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

// refuses reports whether the dispatcher of the server would refuse an ask.
func (s *server) refuses(now time.Time, a permit.Ask) (retry time.Duration, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outlook.Refuses(now, a)
}

// refused notes that the dispatcher refused an ask.
func (s *server) refused(now time.Time, a permit.Ask, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outlook.Refused(now, a, wait)
}

// release reports the end of a request that had a permit.
func (g *Gateway) release(b *table.Backend, id uint64, took time.Duration) {
	if id != 0 {
		g.cfg.Permits.Done(b, wire.PermitDone{Service: b.Service, Backend: b.Name, Born: b.Born, ID: id, TookMs: took.Milliseconds()})
	}
}
