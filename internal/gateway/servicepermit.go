package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/balance"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// ServicePermitClient is the client of the hosts that choose the backend servers of requests
// without keys.
type ServicePermitClient interface {
	// ServiceIssuers returns the hosts that may choose for a service, in the order in which all
	// entry hosts ask them.
	ServiceIssuers(service string) []Issuer
	// RequestServicePermit requests a permit to send one request.
	RequestServicePermit(ctx context.Context, issuer Issuer, r wire.ServicePermitRequest) (wire.ServicePermitReply, error)
	// ReleaseServicePermit reports the end of a request, or withdraws a permit request.
	ReleaseServicePermit(issuer Issuer, r wire.ServicePermitRelease)
}

const (
	// targetShareForPermit is the part of the time to its target that a request waits for the
	// first reply: without one, the host chooses a server itself.
	targetShareForPermit = 0.25
	// targetShareForDistance is the part of the time to its target by which a server of this
	// data centre may answer a request later and still be preferred.
	targetShareForDistance = 0.2
	// maxNamedServers bounds the servers that a permit request names for each reason.
	maxNamedServers = 8
)

// servicePermitTimeout returns how long the first reply to a permit request is waited for.
func servicePermitTimeout(left, toTarget time.Duration) time.Duration {
	return min(permitTimeout(left), max(time.Duration(targetShareForPermit*float64(toTarget)), minPermitTimeout))
}

// serviceGrant is a permit to send one request without a key.
type serviceGrant struct {
	id   uint64
	host Issuer
}

// servicePermits is what a gateway knows about the issuers of such permits.
type servicePermits struct {
	hosts    *permit.HostHealth
	refusals map[string]*permit.RefusalCache // by service
}

func newServicePermits() servicePermits {
	return servicePermits{hosts: permit.NewHostHealth(), refusals: map[string]*permit.RefusalCache{}}
}

// serviceDecision is the reply to a permit request: a permit for a server, a refusal, or
// neither if the host is to choose itself.
type serviceDecision struct {
	grant      *serviceGrant
	backend    *table.Backend
	refusal    *verdict.Error
	retryAfter time.Duration
}

// tryWithServicePermit sends a call without a key to the server that a control host chooses.
// decided is false if this host has to choose itself.
func (g *Gateway) tryWithServicePermit(ctx context.Context, c *call, budget *balance.Budget) (s stepResult, decided bool) {
	c.coldOnly = false
	if g.cfg.ServicePermits == nil || c.keyed {
		return stepResult{}, false
	}
	began := g.cfg.Clock.Now()
	if g.repliesAreSlow(c, began) {
		g.counters.Unkeyed.Add("slow replies", 1)
		return stepResult{}, false
	}
	c.pendingConn.Abandon() // of an earlier attempt
	c.pendingConn = nil
	d := g.requestServicePermit(ctx, c)
	c.admissionTime += g.cfg.Clock.Now().Sub(began)
	switch {
	case d.refusal != nil && ctx.Err() == nil && g.hasColdServer(c):
		g.counters.Unkeyed.Add("cold", 1)
		c.coldOnly = true // a cold server may have room where the others have none
		return stepResult{}, false
	case d.refusal != nil:
		g.counters.Unkeyed.Add("refused", 1)
		return finishWith(c.finalResult(d.refusal, d.retryAfter)), true
	case d.grant == nil:
		g.counters.Unkeyed.Add("own choice", 1)
		return stepResult{}, false
	}
	g.counters.Unkeyed.Add("granted", 1)
	c.outcome = wire.ServicePermitRelease{}
	if refusal, retryAfter := g.ensureAllowance(ctx, c); refusal != nil {
		g.releaseServicePermit(c, d.grant)
		return finishWith(c.finalResult(refusal, retryAfter)), true
	}
	if refusal := g.spendRetry(c, d.backend, budget); refusal != nil {
		g.releaseServicePermit(c, d.grant)
		return finishWith(c.finalResult(refusal, minRetryAfter)), true
	}
	return g.sendAdmitted(ctx, c, target{backend: d.backend}, admission{service: d.grant}), true
}

func (g *Gateway) hasColdServer(c *call) bool {
	for _, b := range g.cfg.Tables().AvailableBackends(c.service) {
		if b.Cold && !c.tried[keyOf(b)] {
			return true
		}
	}
	return false
}

// nextServiceIssuer returns the first host that may choose for a service and is not skipped
// after timeouts.
func (g *Gateway) nextServiceIssuer(now time.Time, service string) (Issuer, bool) {
	issuers := g.cfg.ServicePermits.ServiceIssuers(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, host := range issuers {
		if g.servicePermits.hosts.MayRequest(now, host.Host) {
			return host, true
		}
	}
	return Issuer{}, false
}

func (g *Gateway) recordServiceReply(host Issuer, sent time.Time, err error) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil:
		g.servicePermits.hosts.RecordReply(now, host.Host)
	case errors.Is(err, syscall.ECONNREFUSED):
		g.servicePermits.hosts.RecordUnreachable(now, host.Host)
	default:
		g.servicePermits.hosts.RecordTimeout(now, sent, host.Host)
	}
}

// requestServicePermit asks one host for a permit and polls it until there is a decision.
func (g *Gateway) requestServicePermit(ctx context.Context, c *call) serviceDecision {
	now := g.cfg.Clock.Now()
	asked := permit.Request{Rank: c.rank(), Deadline: c.deadline}
	if retry, refused := g.predictServiceRefusal(now, c.service, asked); refused {
		return serviceDecision{refusal: verdict.Unavailable(verdict.ReasonOverloaded, "a request like this one has just been refused"), retryAfter: retry}
	}
	timeout := servicePermitTimeout(g.timeLeft(c, now), c.arrived.Add(c.match.Target).Sub(now))
	if g.cfg.Link.QueueDelay() > timeout {
		return serviceDecision{} // the request itself would leave too late
	}
	host, ok := g.nextServiceIssuer(now, c.service)
	if !ok {
		return serviceDecision{}
	}
	r := g.servicePermitRequest(c, now)
	grant := &serviceGrant{id: r.ID, host: host}
	for {
		r.PollMs = int64(permitPollShare * float64(timeout.Milliseconds()))
		sent := g.cfg.Clock.Now()
		reply, err := g.callServiceIssuer(ctx, host, r, timeout)
		if ctx.Err() != nil {
			g.withdrawServicePermit(c, grant)
			return serviceDecision{refusal: contextError(ctx)}
		}
		g.recordServiceReply(host, sent, err)
		if !r.IsPoll {
			g.recordServiceTrip(sent, reply, err)
			g.counters.latencies.Record("service permit", g.cfg.Clock.Now().Sub(sent))
		}
		switch {
		case err != nil || reply.State == wire.PermitUnavailable:
			g.withdrawServicePermit(c, grant) // it may have been granted, and only the reply is late
			g.cfg.Logger.Info("no permit for the service; this host chooses", append(c.logFields(), zap.String("asked", host.Host),
				zap.String("reason", reply.Reason), zap.Duration("took", g.cfg.Clock.Now().Sub(sent)), logging.Error(err))...)
			return serviceDecision{}
		case reply.State == wire.PermitGranted:
			return g.useServiceGrant(c, grant, reply)
		case reply.State == wire.PermitRefused:
			wait := time.Duration(reply.WaitMs) * time.Millisecond
			g.recordServiceRefusal(c.service, asked, wait)
			return serviceDecision{refusal: verdict.Unavailable(verdict.ReasonOverloaded, reply.Reason), retryAfter: wait}
		}
		r.IsPoll = true
		timeout = permitTimeout(g.timeLeft(c, g.cfg.Clock.Now())) // the host answers, and the request waits for its turn
	}
}

func (g *Gateway) callServiceIssuer(ctx context.Context, host Issuer, r wire.ServicePermitRequest, timeout time.Duration) (wire.ServicePermitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return g.cfg.ServicePermits.RequestServicePermit(ctx, host, r)
}

// useServiceGrant checks a permit against this host's own table, which may be newer than that
// of the host that granted it.
func (g *Gateway) useServiceGrant(c *call, grant *serviceGrant, reply wire.ServicePermitReply) serviceDecision {
	b := g.cfg.Tables().Backend(c.service, reply.Backend)
	if b == nil || b.Born != reply.Born || b.Cold || g.server(b).avoided(g.cfg.Clock.Now(), c) || g.targetInvalid(c, target{backend: b}) {
		g.withdrawServicePermit(c, grant)
		g.cfg.Logger.Info("server of a permit cannot be used; this host chooses", append(c.logFields(), zap.String("backend", reply.Backend),
			zap.String("asked", grant.host.Host))...)
		return serviceDecision{}
	}
	g.cfg.Logger.Debug("server chosen by permit", append(c.logFields(), zap.String("backend", b.Name), zap.String("by", grant.host.Host))...)
	return serviceDecision{grant: grant, backend: b}
}

func (g *Gateway) servicePermitRequest(c *call, now time.Time) wire.ServicePermitRequest {
	r := wire.ServicePermitRequest{Service: c.service, Route: c.match.Name, DataCentre: g.cfg.DataCentre, ID: rand.Uint64() | 1, Rank: c.rank(),
		TargetMs: c.arrived.Add(c.match.Target).Sub(now).Milliseconds(), LeftMs: g.timeLeft(c, now).Milliseconds(),
		ServiceMs: g.serviceTimesOf(c.service).mean(c.match.Name).Milliseconds(), RemoteMs: c.remoteCost(now).Milliseconds()}
	members := g.cfg.Tables().AvailableBackends(c.service)
	for _, i := range rand.Perm(len(members)) {
		b := members[i]
		switch {
		case b.Cold:
		case g.unusable(c, b, now, len(members)):
			r.Excluded = appendBounded(r.Excluded, b.Name)
		case b.DataCentre == g.cfg.DataCentre && g.client.HasIdle(b.Address):
			r.Connected = appendBounded(r.Connected, b.Name)
		}
	}
	return r
}

// remoteCost returns how much later a server of this data centre may answer and still be
// preferred.
func (c *call) remoteCost(now time.Time) time.Duration {
	toTarget := c.arrived.Add(c.match.Target).Sub(now)
	return max(time.Duration(targetShareForDistance*float64(toTarget)), c.localPreference())
}

func appendBounded(names []string, name string) []string {
	if len(names) >= maxNamedServers {
		return names
	}
	return append(names, name)
}

// unusable reports whether this host cannot use a server for a call, or tried it already while
// there are others.
func (g *Gateway) unusable(c *call, b *table.Backend, now time.Time, members int) bool {
	s := g.server(b)
	_, down := s.downTimeLeft(now)
	return down || s.avoided(now, c) || s.pauseLeft(now) > 0 || g.isLeaving(b) || c.tried[keyOf(b)] && len(c.tried) < members
}

func (g *Gateway) withdrawServicePermit(c *call, grant *serviceGrant) {
	g.cfg.ServicePermits.ReleaseServicePermit(grant.host, wire.ServicePermitRelease{Service: c.service, ID: grant.id})
}

// releaseServicePermit reports the end of a request to the host that granted its permit, if any.
func (g *Gateway) releaseServicePermit(c *call, grant *serviceGrant) {
	if grant == nil {
		return
	}
	r := c.outcome
	r.Service, r.Route, r.ID = c.service, c.match.Name, grant.id
	if r.Load != nil {
		r.Load.AgeMs = g.cfg.Clock.Now().Sub(c.reportedAt).Milliseconds()
	}
	g.cfg.ServicePermits.ReleaseServicePermit(grant.host, r)
}

// recordOutcome keeps what an answer says about its server for the release of the permit.
func (c *call) recordOutcome(info ResponseInfo, status int, now time.Time) {
	if info.Misdirected {
		return // another server may have answered
	}
	c.outcome = wire.ServicePermitRelease{Failed: status >= http.StatusInternalServerError && !info.NotRun, Refused: info.NotRun, PauseMs: info.Pause.Milliseconds()}
	c.reportedAt = now
	if l := info.Load; l != nil {
		c.outcome.Load = &wire.ReportedLoad{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, SlowdownPercent: int(100 * l.Slowdown)}
	}
}

// recordTimeout keeps that a server did not answer in the time of a request: its work takes at
// least so long.
func (c *call) recordTimeout(e *verdict.Error, now time.Time) {
	if e.Reason == verdict.ReasonDeadline && e.Verdict != verdict.NotRun {
		c.outcome = wire.ServicePermitRelease{Failed: true, WorkMs: c.timeSinceWrite(now).Milliseconds()}
	}
}

// predictServiceRefusal reports whether a permit request would be refused, judged by recent
// refusals, and when the caller may retry.
func (g *Gateway) predictServiceRefusal(now time.Time, service string, r permit.Request) (retry time.Duration, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cache := g.servicePermits.refusals[service]; cache != nil {
		return cache.Predict(now, r)
	}
	return 0, false
}

func (g *Gateway) recordServiceRefusal(service string, r permit.Request, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cache := g.servicePermits.refusals[service]
	if cache == nil {
		cache = &permit.RefusalCache{}
		g.servicePermits.refusals[service] = cache
	}
	cache.Record(g.cfg.Clock.Now(), r, wait)
}

// ownChoices is the number of servers that a host compares when it chooses itself although
// permits are in use: hosts that all take what each believes the best meet at the same servers.
const ownChoices = 2

// candidateOrder returns the order in which a host that chooses itself looks at the servers:
// with permits, those of its data centre first and cold ones last.
func (g *Gateway) candidateOrder(members []*table.Backend) []int {
	order := rand.Perm(len(members))
	if g.cfg.ServicePermits == nil {
		return order
	}
	var classes [3][]int
	for _, i := range order {
		switch b := members[i]; {
		case b.Cold:
			classes[2] = append(classes[2], i)
		case b.DataCentre != g.cfg.DataCentre:
			classes[1] = append(classes[1], i)
		default:
			classes[0] = append(classes[0], i)
		}
	}
	return append(append(classes[0], classes[1]...), classes[2]...)
}

// enoughChoices reports whether a host has looked at enough servers.
func (g *Gateway) enoughChoices(compared int) bool {
	return g.cfg.ServicePermits != nil && compared >= ownChoices
}
