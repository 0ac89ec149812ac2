package gateway

import (
	"context"
	"errors"
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

// coldRetryAfter is the Retry-After of requests for a cold backend server whose dispatcher
// does not answer. The dispatcher's session ends within two seconds, and another host
// takes over.
const coldRetryAfter = time.Second

// Timeouts of permit requests. A permit request takes at most a part of the time left to
// the caller's request, so that there is time to ask another host or to fall back to the
// local estimate. Uploads on small links delay replies by some hundred milliseconds.
const (
	permitTimeoutShare = 0.3
	minPermitTimeout   = 150 * time.Millisecond
	maxPermitTimeout   = 800 * time.Millisecond
	permitPollShare    = 0.4 // part of the timeout for which the permit host may hold the reply
)

func permitTimeout(left time.Duration) time.Duration {
	return min(max(time.Duration(permitTimeoutShare*float64(left)), minPermitTimeout), maxPermitTimeout)
}

// admission is the decision whether a call may be sent to its target.
type admission struct {
	permitID   uint64 // zero if the call needs no permit
	permitHost Issuer // the host that granted the permit
	// service is the permit of a request without a key whose server a control host chose.
	service *serviceGrant
	refusal *verdict.Error
	// retryAfter is when the caller of a refused request should retry.
	retryAfter time.Duration
	// targetChanged is set if the target became invalid in the meantime, queueFull if
	// the call should wait and try again.
	targetChanged bool
	queueFull     bool
}

// admit decides whether a call may be sent to its target: by a permit from the host that
// manages the queue of the backend server, or by a local estimate while no such host
// answers. A cold backend server gets no requests without its dispatcher.
func (g *Gateway) admit(ctx context.Context, c *call, t target) admission {
	b := t.backend
	if !c.keyed && !b.Cold {
		return admission{} // selectBackend has already checked the queue of the server
	}
	if g.maySendAhead(c, t, g.cfg.Clock.Now()) {
		if host, ok := g.nextPermitHost(b, ""); ok {
			return g.sendAhead(c, t, host)
		}
	}
	asked := ""
	for range maxPermitHosts {
		host, ok := g.nextPermitHost(b, asked)
		if !ok {
			break
		}
		decision, answered := g.requestPermit(ctx, c, t, host)
		if answered {
			return decision
		}
		if g.targetInvalid(c, t) {
			return admission{targetChanged: true}
		}
		asked = host.Host
	}
	if b.Cold {
		return admission{refusal: verdict.Unavailable(verdict.ReasonOverloaded, "the backend server is cold and its dispatcher does not answer"), retryAfter: coldRetryAfter}
	}
	return g.admitByEstimate(c, b)
}

// maxPermitHosts is the number of hosts that one attempt asks for a permit. A lost host is
// noticed by its first timeout, and without a second host the request would be sent without
// a permit, possibly as one of many to a busy server.
const maxPermitHosts = 2

// nextPermitHost returns the first host that may manage the queue of a backend server, is
// not skipped after timeouts, and is not the one already asked.
func (g *Gateway) nextPermitHost(b *table.Backend, asked string) (Issuer, bool) {
	now := g.cfg.Clock.Now()
	hosts := g.cfg.Permits.Issuers(b)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, host := range hosts {
		if host.Host != asked && g.permitHosts.MayRequest(now, host.Host) {
			return host, true
		}
	}
	return Issuer{}, false
}

// recordPermitReply records whether a host replied to a permit request sent at sent.
func (g *Gateway) recordPermitReply(host Issuer, sent time.Time, err error) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil:
		g.permitHosts.RecordReply(now, host.Host)
	case errors.Is(err, syscall.ECONNREFUSED):
		g.permitHosts.RecordUnreachable(now, host.Host)
	default:
		g.permitHosts.RecordTimeout(now, sent, host.Host)
	}
}

// requestPermit asks a host for a permit and polls it until there is a decision. answered
// is false if the host gives none.
func (g *Gateway) requestPermit(ctx context.Context, c *call, t target, host Issuer) (decision admission, answered bool) {
	b, now := t.backend, g.cfg.Clock.Now()
	s, a := g.server(b), permit.Request{Rank: c.rank(), Deadline: c.deadline}
	if g.cfg.OrderedByCost {
		a.Service, a.Class = g.serviceTimesOf(c.service).mean(c.match.Name), c.match.Name
	}
	if retry, refused := s.predictRefusal(now, a); refused {
		return admission{refusal: verdict.Unavailable(verdict.ReasonOverloaded, "a request like this one has just been refused"), retryAfter: retry}, true
	}
	if c.pendingConn == nil {
		c.pendingConn = g.client.PrepareConn(b.Address, g.maxConnections(c.service))
	}
	request := g.newPermitRequest(c, t, now)
	timeout := permitTimeout(g.timeLeft(c, now))
	request.PollMs = int64(permitPollShare * float64(timeout.Milliseconds()))
	withdraw := func() {
		g.cfg.Permits.ReleasePermit(host, wire.PermitRelease{Service: b.Service, Backend: b.Name, Born: b.Born, ID: request.ID})
	}
	for {
		sent := g.cfg.Clock.Now()
		reply, err := g.callPermitHost(ctx, host, request, timeout)
		if ctx.Err() == nil {
			g.recordPermitReply(host, sent, err)
			if !request.IsPoll {
				g.recordTrip(c.service, t, sent, reply, err)
			}
		}
		switch {
		case ctx.Err() != nil:
			withdraw()
			return admission{refusal: contextError(ctx)}, true
		case err != nil || reply.State == wire.PermitUnavailable:
			// The permit may have been granted, and only the reply is late.
			withdraw()
			g.cfg.Logger.Info("no permit decision", append(c.logFields(), zap.String("backend", b.Name),
				zap.String("asked", host.Host), zap.String("reason", reply.Reason), zap.Duration("took", g.cfg.Clock.Now().Sub(sent)), logging.Error(err))...)
			return admission{}, false
		case reply.State == wire.PermitWrongIssuer:
			return admission{queueFull: true}, true
		case reply.State == wire.PermitGranted && !g.targetInvalid(c, t):
			return admission{permitID: request.ID, permitHost: host}, true
		case reply.State == wire.PermitRefused:
			wait := time.Duration(reply.WaitMs) * time.Millisecond
			s.recordRefusal(g.cfg.Clock.Now(), a, wait)
			return admission{refusal: verdict.Unavailable(verdict.ReasonOverloaded, reply.Reason), retryAfter: wait}, true
		}
		request.IsPoll = true
		if g.targetInvalid(c, t) {
			withdraw()
			return admission{targetChanged: true}, true
		}
	}
}

func (g *Gateway) callPermitHost(ctx context.Context, host Issuer, r wire.PermitRequest, timeout time.Duration) (wire.PermitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return g.cfg.Permits.RequestPermit(ctx, host, r)
}

// targetInvalid reports whether a call may no longer be sent to its target: the table or
// the state of the server may have changed while the call waited.
func (g *Gateway) targetInvalid(c *call, t target) bool {
	b := g.cfg.Tables().Backend(t.backend.Service, t.backend.Name)
	if b == nil || b.Born != t.backend.Born || !g.mayStillServe(b, g.cfg.Clock.Now()) {
		return true
	}
	if g.server(b).pauseLeft(g.cfg.Clock.Now()) > 0 {
		return true
	}
	if !c.keyed {
		return b.Draining || g.isLeaving(b)
	}
	slice, ok := g.cfg.Tables().Lookup(c.service, c.Hash)
	return !ok || slice.Owner != t.slice.Owner || slice.Epoch != t.slice.Epoch
}

// maxUnpermittedRequests bounds the requests in flight that this host sends to a server
// without a permit. All other hosts may send as many.
const maxUnpermittedRequests = 1

// admitByEstimate decides by this host's own estimate of the server's load.
func (g *Gateway) admitByEstimate(c *call, b *table.Backend) admission {
	now := g.cfg.Clock.Now()
	d := g.demand(c, now)
	s := g.server(b)
	s.mu.Lock()
	decision, delay := s.backlog.Admit(now, d)
	belowLimit := s.backlog.InFlight() < maxUnpermittedRequests
	s.mu.Unlock()
	switch decision {
	case backlog.Refuse:
		return admission{refusal: overloadError(delay), retryAfter: delay - d.TimeLeft/2}
	case backlog.Hold:
		return admission{queueFull: true}
	}
	if !belowLimit {
		return admission{queueFull: true}
	}
	return admission{}
}

// predictRefusal reports whether the server's permit host would refuse a request, judged by
// its recent refusals, and when the caller may retry.
func (s *server) predictRefusal(now time.Time, a permit.Request) (retry time.Duration, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals.Predict(now, a)
}

// recordRefusal records that a permit was refused.
func (s *server) recordRefusal(now time.Time, a permit.Request, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals.Record(now, a, wait)
}

// releasePermit reports the end of a request to the host that granted its permit, if any.
func (g *Gateway) releasePermit(b *table.Backend, admitted admission, took time.Duration) {
	if admitted.permitID != 0 {
		release := wire.PermitRelease{Service: b.Service, Backend: b.Name, Born: b.Born, ID: admitted.permitID, TookMs: took.Milliseconds()}
		if g.cfg.OrderedByCost && took > 0 {
			release.Slowdown = g.server(b).reportedSlowdown()
		}
		g.cfg.Permits.ReleasePermit(admitted.permitHost, release)
	}
}

// reportedSlowdown returns the slowdown that the server reported last, or zero if it reported none.
func (s *server) reportedSlowdown() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backlog.ReportedSlowdown()
}
