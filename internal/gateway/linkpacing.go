package gateway

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/egress"
	"github.com/agatestep/agatestep/internal/hostlink"
	"github.com/agatestep/agatestep/internal/scheduling"
	"github.com/agatestep/agatestep/internal/verdict"
)

// lateBodies counts the requests that were refused because their body could not pass this host's link
// in time.
var lateBodies = expvar.NewInt("agatestep_gateway_late_bodies")

// linkPacers let bodies pass the link of this host in the order of what their callers lose. They are
// nil where bodies have a fixed share of the link.
type linkPacers struct {
	readPacer, sendPacer *hostlink.Pacer
	// bodyReturns spreads the return of callers whose bodies were refused. It is guarded by the
	// mutex of the gateway.
	bodyReturns scheduling.Returns
}

func newLinkPacers(link *egress.Link) linkPacers {
	return linkPacers{readPacer: hostlink.New(link.Inbound()), sendPacer: hostlink.New(link)}
}

// linkBody describes the body of a call to the pacers.
func (g *Gateway) linkBody(c *call) hostlink.Body {
	return hostlink.Body{Rank: c.rank(), Target: c.arrived.Add(c.match.Target), Deadline: c.deadline,
		Left: c.request.ContentLength, Work: g.serviceTimesOf(c.service).mean(c.match.Name)}
}

// paceOutgoing announces the body of a call for an attempt, in the place of that of an earlier one. The
// result is nil if bodies are not paced.
func (g *Gateway) paceOutgoing(c *call) func(ctx context.Context, n int) error {
	if g.sendPacer == nil {
		return nil
	}
	c.outgoing.End()
	c.outgoing = g.sendPacer.Begin(g.linkBody(c))
	return c.outgoing.Wait
}

// refuseLateBody refuses a call before its body is read if the body cannot pass this host's link in
// time, in either direction. The caller may retry when it could.
func (g *Gateway) refuseLateBody(c *call) (*verdict.Error, time.Duration) {
	if c.body == nil || c.body.transfer == nil || c.request.ContentLength <= maxReadAhead {
		return nil, 0
	}
	body := g.linkBody(c)
	lateIn, pass := g.readPacer.LateBy(body, c.body.transfer)
	lateOut, _ := g.sendPacer.LateBy(body, nil)
	late := max(lateIn, lateOut)
	if late == 0 {
		return nil, 0
	}
	lateBodies.Add(1)
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	retryAfter := g.bodyReturns.After(now, now.Add(late), pass)
	g.mu.Unlock()
	g.cfg.Logger.Info("body cannot pass the link in time", append(c.logFields(), zap.Int64("bytes", c.request.ContentLength),
		zap.Duration("late_in", lateIn), zap.Duration("late_out", lateOut), zap.Duration("pass", pass), zap.Duration("link_queue", g.cfg.Link.QueueDelay()))...)
	return verdict.Unavailable(verdict.ReasonOverloaded, "the body cannot pass the link of this host in time"), withJitter(retryAfter)
}

// pacedRest returns the rest of the body of a request that was answered. It passes after all bodies
// of its priority that are still of use. done must be called at the end.
func (g *Gateway) pacedRest(r *http.Request, c *call) (body io.Reader, done func()) {
	if g.readPacer == nil || c == nil {
		return r.Body, func() {}
	}
	rest := hostlink.Body{Rank: c.rank(), Deadline: g.cfg.Clock.Now().Add(callerStallTimeout), Left: -1}
	transfer := g.readPacer.Begin(rest)
	return &pacedReader{r: r.Body, ctx: r.Context(), transfer: transfer}, transfer.End
}

// pacedReader waits for a transfer after each read.
type pacedReader struct {
	r        io.Reader
	ctx      context.Context
	transfer *hostlink.Transfer
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b[:min(len(b), bodyReadSize)])
	if err == nil {
		err = p.transfer.Wait(p.ctx, n)
	}
	return n, err
}
