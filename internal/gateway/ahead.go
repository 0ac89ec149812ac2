package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/wire"
)

// aheadKey identifies a process of a backend server for permit.Ahead.
func aheadKey(t target) string { return t.backend.Service + "/" + t.backend.Name }

// maySendAhead reports whether a call is sent to its server before the reply to its permit
// request arrives.
func (g *Gateway) maySendAhead(c *call, t target, now time.Time) bool {
	if !g.cfg.SpareRoundTrips || !c.keyed || t.backend.Cold || c.sends > 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ahead.May(now, c.service, aheadKey(t), c.arrived.Add(c.match.Target).Sub(now))
}

// sendAhead admits a call before the reply to its permit request. The issuer counts the request,
// and its reply says whether the server had room.
func (g *Gateway) sendAhead(c *call, t target, host Issuer) admission {
	now := g.cfg.Clock.Now()
	request := g.newPermitRequest(c, t, now)
	request.Sent = true
	timeout := permitTimeout(g.timeLeft(c, now))
	g.counters.SentAhead.Add(1)
	g.mu.Lock()
	trip := g.ahead.Trip()
	g.mu.Unlock()
	g.cfg.Logger.Debug("sent ahead of the permit", append(c.logFields(), zap.String("backend", t.backend.Name), zap.Duration("trip", trip))...)
	go g.reportSentAhead(c.service, t, host, request, timeout)
	return admission{permitID: request.ID, permitHost: host}
}

func (g *Gateway) reportSentAhead(service string, t target, host Issuer, request wire.PermitRequest, timeout time.Duration) {
	sent := g.cfg.Clock.Now()
	reply, err := g.callPermitHost(context.Background(), host, request, timeout)
	g.recordPermitReply(host, sent, err)
	g.recordTrip(service, t, sent, reply, err)
	if err != nil {
		g.cfg.Logger.Debug("no reply about a request sent ahead", zap.String("backend", t.backend.Name), zap.String("asked", host.Host), logging.Error(err))
	}
}

// recordTrip records the reply to the first permit request of a call.
func (g *Gateway) recordTrip(service string, t target, sent time.Time, reply wire.PermitReply, err error) {
	if !g.cfg.SpareRoundTrips {
		return
	}
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err != nil:
		g.ahead.RecordTrip(now, now.Sub(sent))
	case reply.State == wire.PermitGranted:
		g.ahead.RecordReply(now, service, aheadKey(t), now.Sub(sent), !reply.NoRoom)
	case reply.State == wire.PermitWaiting, reply.State == wire.PermitRefused:
		g.ahead.RecordReply(now, service, aheadKey(t), now.Sub(sent), false)
	}
}

// recordServiceTrip records the reply to the first permit request of a call without a key.
func (g *Gateway) recordServiceTrip(sent time.Time, reply wire.ServicePermitReply, err error) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil || reply.State == wire.PermitGranted {
		g.ahead.RecordTrip(now, now.Sub(sent))
	}
}

// newPermitRequest returns the permit request of a call.
func (g *Gateway) newPermitRequest(c *call, t target, now time.Time) wire.PermitRequest {
	b := t.backend
	r := wire.PermitRequest{Service: b.Service, Backend: b.Name, Born: b.Born, ID: rand.Uint64() | 1, Rank: c.rank(),
		TargetMs: c.arrived.Add(c.match.Target).Sub(now).Milliseconds(), LeftMs: g.timeLeft(c, now).Milliseconds(),
		ServiceMs: g.serviceTimesOf(c.service).mean(c.match.Name).Milliseconds()}
	if g.cfg.OrderedByCost {
		r.Class = c.match.Name
	}
	return r
}

// repliesAreSlow reports whether a reply from a permit issuer would take so long that a call without a
// key is served sooner at a server that this host chooses.
func (g *Gateway) repliesAreSlow(c *call, now time.Time) bool {
	if !g.cfg.SpareRoundTrips {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ahead.Slow(now, c.arrived.Add(c.match.Target).Sub(now))
}

// connectionCost returns how much longer a request takes at a server to which this host has no
// idle connection.
func (g *Gateway) connectionCost(address string) time.Duration {
	if !g.cfg.SpareRoundTrips || g.client.HasIdle(address) {
		return 0
	}
	return g.client.ExpectedDial()
}
