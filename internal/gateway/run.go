package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/backlog"
	"github.com/agatestep/agatestep/internal/balance"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/upstream"
	"github.com/agatestep/agatestep/internal/verdict"
)

const (
	// maxSends bounds how often a request is written to backend servers that say
	// that they did not run it.
	maxSends = 4
	// holdShare is the part of a request's time that it may be held for its key's
	// next owner. A caller that is refused later than that has no time to return.
	holdShare = 0.35
	// misdirectedPause is the first wait after a backend server did not hold the
	// key; a newer table ends it earlier.
	misdirectedPause = 60 * time.Millisecond
	// maxMisdirected is how often a call is sent to an owner that says that it does not
	// hold the key. It may get the key with the answer to its next heartbeat; only a newer
	// table makes a further try worthwhile.
	maxMisdirected = 2
	// holdPause is how long a request is held when its server's queue is full.
	holdPause = 15 * time.Millisecond
	// minRetryAfter and retrySpread set when refused callers come back, so that
	// they do not all return at once.
	minRetryAfter = 40 * time.Millisecond
	retrySpread   = 0.3
)

// next says what follows a step of a call.
type next uint8

const (
	finish next = iota
	again       // at once
	wait        // for a newer table or a pause
)

// outcome is what the caller of a call is answered: the answer of a backend server, or a
// failure with the time after which to return.
type outcome struct {
	answer     *held
	failure    *verdict.Error
	retryAfter time.Duration
}

// step is what one look or attempt came to.
type step struct {
	next    next
	outcome outcome // of a call that is finished
	// reason is why the call is not finished, and pause how long to wait then.
	reason *verdict.Error
	pause  time.Duration
}

func finished(o outcome) step { return step{outcome: o} }

func waitFurther(reason *verdict.Error, pause time.Duration) step {
	return step{next: wait, reason: reason, pause: pause}
}

// run sends a call until it is answered, or may not or cannot be sent again.
func (g *Gateway) run(ctx context.Context, c *call) outcome {
	budget := g.budget(c.service)
	budget.OnRequest()
	defer func() { c.opening.Forsake() }()
	for {
		changed := g.tableChange()
		s := g.once(ctx, c, budget)
		if s.next == wait {
			s = g.await(ctx, c, s, changed)
		}
		if s.next == finish {
			return s.outcome
		}
	}
}

// await waits before the next look at a call that could not be sent. The wait ends with the
// call's context as well, so that nothing is sent for a caller that has left.
func (g *Gateway) await(ctx context.Context, c *call, s step, changed <-chan struct{}) step {
	if !g.mayHold(c) {
		return finished(c.end(s.reason, s.pause))
	}
	waitFor(ctx, changed, s.pause)
	if e := ended(ctx); e != nil {
		return finished(c.end(e, 0))
	}
	return step{next: again}
}

// once looks for the target of a call, gets the leave to send to it, and sends it.
func (g *Gateway) once(ctx context.Context, c *call, budget *balance.Budget) step {
	if refusal := g.awaitCurrent(ctx, c.left(g.cfg.Clock.Now())); refusal != nil {
		return finished(c.end(refusal, currentRetry))
	}
	t, refusal, delay := g.target(c)
	switch {
	case refusal != nil:
		return finished(c.end(refusal, delay))
	case t.backend == nil && c.fallback != nil:
		return finished(outcome{answer: c.fallback})
	case t.backend == nil:
		return waitFurther(notServed(t.reason), delay)
	}
	p, s := g.letIn(ctx, c, t, budget)
	if p == nil {
		return s
	}
	return g.judge(ctx, c, t, *p)
}

// letIn gets the leave to send a call to its target. Without it, the step says what follows.
func (g *Gateway) letIn(ctx context.Context, c *call, t target, budget *balance.Budget) (*pass, step) {
	asked := g.cfg.Clock.Now()
	c.opening.Forsake() // of an attempt before
	c.opening = nil
	p := g.admit(ctx, c, t)
	c.admitted += g.cfg.Clock.Now().Sub(asked)
	switch {
	case p.refusal != nil:
		return nil, finished(c.end(p.refusal, p.delay))
	case p.moved:
		return nil, step{next: again}
	case p.held:
		return nil, waitFurther(notServed("the queue of the backend server is full"), holdPause)
	}
	if c.sends > 0 && !budget.TrySpend() {
		g.release(t.backend, p, 0)
		return nil, finished(c.end(verdict.Unavailable(verdict.ReasonOverloaded, "the retry budget is used up"), minRetryAfter))
	}
	return &p, step{}
}

// judge sends a call that was let in and says what follows its answer or failure.
func (g *Gateway) judge(ctx context.Context, c *call, t target, p pass) step {
	resp, failure, follow := g.attempt(ctx, c, t, p)
	c.worst = verdict.Worse(c.worst, failure)
	switch {
	case resp != nil && (follow == finish || ctx.Err() != nil || !c.maySend() || resp.rest):
		return finished(outcome{answer: resp})
	case follow == finish || ctx.Err() != nil || !c.maySend():
		return finished(c.end(failure, minRetryAfter))
	case resp != nil:
		resp.Body.Close()
		c.fallback = resp
	}
	g.counters.Retries.Add(1)
	if follow == wait {
		return waitFurther(failure, misdirectedPause)
	}
	return step{next: again}
}

// end finishes a call that is not sent again, for the reason given: with an answer that is at
// hand, or else with the failure after which most may have run.
func (c *call) end(reason *verdict.Error, retryAfter time.Duration) outcome {
	if c.fallback != nil {
		return outcome{answer: c.fallback}
	}
	return outcome{failure: verdict.Worse(c.worst, reason), retryAfter: spread(retryAfter)}
}

func notServed(reason string) *verdict.Error {
	return verdict.Unavailable(verdict.ReasonNoBackend, reason)
}

// ended is the failure of a request that was not sent before its context ended.
func ended(ctx context.Context) *verdict.Error {
	if ctx.Err() == nil {
		return nil
	}
	reason, detail := verdict.Ended(ctx)
	return verdict.Unavailable(reason, detail)
}

// maySend reports whether the call may be written once more.
func (c *call) maySend() bool {
	return c.sends < maxSends && c.body.replayable() && c.ran < max(c.match.MaxAttempts, 1)
}

// mayHold reports whether the call may still be held back.
func (g *Gateway) mayHold(c *call) bool {
	whole := c.until.Sub(c.arrived)
	return float64(g.cfg.Clock.Now().Sub(c.arrived)) < holdShare*float64(whole)
}

func spread(d time.Duration) time.Duration {
	d = max(d, minRetryAfter)
	return d + time.Duration(rand.Float64()*retrySpread*float64(d))
}

// target is where a call goes.
type target struct {
	backend *table.Backend
	slice   table.Slice
	reason  string // why there is no backend
}

// target chooses the backend server of a call. Without one, the delay is how long
// to wait for a change; with a refusal, it is when the caller should return.
func (g *Gateway) target(c *call) (target, *verdict.Error, time.Duration) {
	t := g.cfg.Tables()
	now := g.cfg.Clock.Now()
	demand := g.demand(c, now)
	if c.keyed {
		return g.owner(t, c, now)
	}
	return g.pick(t, c, now, demand)
}

func (g *Gateway) demand(c *call, now time.Time) backlog.Demand {
	return backlog.Demand{Service: g.times(c.service).mean(c.match.Name), Left: c.left(now), Rank: c.match.Priority, Ranks: maxRank}
}

// maxRank is the number of priorities that are told apart; routes of lower
// priority count as the last one.
const maxRank = 4

// owner returns the owner of a keyed call's key.
func (g *Gateway) owner(t *table.Table, c *call, now time.Time) (target, *verdict.Error, time.Duration) {
	slice, ok := t.Lookup(c.service, c.Hash)
	if !ok || slice.Owner == "" {
		return target{reason: "the key has no owner"}, nil, misdirectedPause
	}
	b := t.Backend(c.service, slice.Owner)
	if b == nil || !g.mayServeHeld(b, now) {
		return target{reason: "the key's owner is leaving or lost"}, nil, misdirectedPause
	}
	if c.misdirected[slice.Epoch] >= maxMisdirected {
		return target{reason: "the key's owner says that it does not hold the key"}, nil, misdirectedPause
	}
	s := g.server(b)
	if left, down := s.isDown(now); down {
		return target{reason: "the key's owner cannot be reached"}, nil, min(left, misdirectedPause)
	}
	if left := s.paused(now); left > 0 {
		return g.awaitPause(c, now, left)
	}
	return target{backend: b, slice: slice}, nil, 0
}

// awaitPause is the target of a call that only servers could take which want no requests for
// the time left: it waits for them if it may be held for so long, and is refused at once if not.
func (g *Gateway) awaitPause(c *call, now time.Time, left time.Duration) (target, *verdict.Error, time.Duration) {
	const reason = "the backend server asked for a pause"
	whole := c.until.Sub(c.arrived)
	if now.Add(left).Sub(c.arrived) < time.Duration(holdShare*float64(whole)) {
		return target{reason: reason}, nil, left
	}
	return target{}, verdict.Unavailable(verdict.ReasonOverloaded, reason), left
}

func overloaded(wait time.Duration) *verdict.Error {
	return verdict.Unavailable(verdict.ReasonOverloaded, "the expected wait of "+wait.Round(time.Millisecond).String()+" leaves no time for the work")
}

// attempt sends the call to its target once.
func (g *Gateway) attempt(ctx context.Context, c *call, t target, p pass) (*held, *verdict.Error, next) {
	s := g.server(t.backend)
	var took time.Duration
	defer func() { g.release(t.backend, p, took) }()
	s.mu.Lock()
	s.backlog.Sent()
	s.mu.Unlock()
	began := g.cfg.Clock.Now()
	defer func() { c.served += g.cfg.Clock.Now().Sub(began) }()
	resp, failure := g.send(ctx, c, t)
	if failure == nil {
		defer s.done()
		answer, failure, follow := g.received(ctx, c, t, s, resp, began)
		if failure == nil {
			took = g.cfg.Clock.Now().Sub(began)
		}
		return answer, failure, follow
	}
	s.done()
	return nil, failure, g.failed(c, t, s, failure)
}

func (s *server) free(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backlog.Free(now)
}

func (s *server) done() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backlog.Done()
}

func (g *Gateway) send(ctx context.Context, c *call, t target) (*upstream.Response, *verdict.Error) {
	header := c.header.Clone()
	req := &upstream.Request{ID: c.ID, Address: t.backend.Address, Method: c.request.Method, URI: c.request.RequestURI, Host: c.request.Host,
		Header: header, Length: c.request.ContentLength, Fresh: c.ran > 0,
		MaxOpen: g.connections(c.service), Opening: c.opening}
	if c.body != nil {
		req.Body = c.body.reader()
	}
	req.Left = func(h http.Header) *verdict.Error {
		left := c.left(g.cfg.Clock.Now())
		if left <= 0 {
			return verdict.Unavailable(verdict.ReasonDeadline, "the time is over before the request was sent")
		}
		if refusal := g.mayWrite(c, t); refusal != nil {
			return refusal
		}
		g.cfg.Dialect.Address(h, t.backend.Name, left)
		c.written = g.cfg.Clock.Now()
		return nil
	}
	c.tried[keyOf(t.backend)] = true
	c.sends++
	return g.client.Do(ctx, req)
}

// failed judges a failure without an answer.
func (g *Gateway) failed(c *call, t target, s *server, e *verdict.Error) next {
	now := g.cfg.Clock.Now()
	g.cfg.Logger.Info("attempt failed", append(c.fields(), zap.String("backend", t.backend.Name), zap.Uint64("epoch", t.slice.Epoch),
		zap.String("verdict", e.Verdict.String()), zap.String("reason", string(e.Reason)), zap.String("detail", e.Detail), zap.Duration("written_ago", c.writtenAgo(now)), zap.Duration("link_queue", g.cfg.Link.Queue()),
		logging.Cause("cause", e.Cause))...)
	if e.Reason == verdict.ReasonCancelled || e.Reason == verdict.ReasonDeadline || e.Reason == verdict.ReasonShutdown {
		if e.Verdict != verdict.NotRun {
			c.ran++
		}
		return finish
	}
	if e.Reason == verdict.ReasonOldTable || e.Reason == verdict.ReasonRetargeted {
		c.sends-- // the server was not reached, and says nothing of itself by it
		delete(c.tried, keyOf(t.backend))
		return again
	}
	var body *upstream.BodyError
	if errors.As(e.Cause, &body) { // says nothing of the server, and another one gets no more
		c.ran++
		if bodyTooLarge(e.Cause) {
			e.Status = http.StatusRequestEntityTooLarge
		}
		return finish
	}
	s.mu.Lock()
	s.backlog.Outcome(now, true)
	s.mu.Unlock()
	if e.Verdict == verdict.NotRun {
		switch {
		case errors.Is(e.Cause, upstream.ErrOpening):
			s.late(now)
		case e.Reason == verdict.ReasonConnect:
			s.unreachable(now)
		}
		return wait
	}
	c.ran++
	if !c.match.Idempotent {
		return finish
	}
	return again
}

// received judges an answer. An answer that need not be final comes back with
// what may follow.
func (g *Gateway) received(ctx context.Context, c *call, t target, s *server, resp *upstream.Response, began time.Time) (*held, *verdict.Error, next) {
	said := g.cfg.Dialect.ReadAnswer(resp.StatusCode, resp.Header)
	now := g.cfg.Clock.Now()
	s.mu.Lock()
	if said.Load != nil {
		s.backlog.Reported(now, *said.Load)
	}
	s.lateOpenings = 0
	s.backlog.Outcome(now, !said.Misdirected && resp.StatusCode >= http.StatusInternalServerError)
	s.mu.Unlock()
	if !said.Misdirected { // else another server may have answered at this address
		g.heed(t.backend, s, said, now)
	}
	if said.NotRun {
		resp.CloseRefused()
		e := g.notRun(c, t, resp.StatusCode, said)
		if !said.Misdirected && s.free(now) {
			return nil, e, again // it refuses a share of its requests, whatever its load
		}
		return nil, e, wait
	}
	c.ran++
	answer, err := hold(resp)
	if err != nil {
		resp.Body.Close()
		e := &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway, Reason: verdict.ReasonConnectionLost,
			Detail: "the answer broke off", Cause: err}
		if ctx.Err() != nil {
			e.End(ctx)
		}
		follow := finish
		if c.match.Idempotent && ctx.Err() == nil {
			follow = again
		}
		return nil, e, follow
	}
	if c.match.Idempotent && resp.StatusCode >= http.StatusInternalServerError {
		return answer, nil, again
	}
	g.learn(c, t, now.Sub(began), said)
	return answer, nil, finish
}

// heed takes in what an answer says of its server's wishes.
func (g *Gateway) heed(b *table.Backend, s *server, said Answer, now time.Time) {
	if said.Leaving {
		g.saidLeaving(b, now)
	}
	if said.Pause > 0 {
		s.pause(now.Add(said.Pause))
		g.cfg.Logger.Info("backend server asks for a pause", zap.String("backend", b.Name), zap.String("service", b.Service), zap.Duration("pause", said.Pause))
	}
}

// learn takes in the time of an answered request.
func (g *Gateway) learn(c *call, t target, took time.Duration, said Answer) {
	work := took
	if l := said.Load; l != nil && l.Waiting > 0 && l.Slots > 0 {
		// Part of the time was spent in the server's queue.
		work = time.Duration(float64(took) * float64(l.Slots) / float64(l.Slots+l.Waiting))
	}
	g.times(c.service).add(c.match.Name, work)
	if c.keyed {
		g.loads.add(t.backend, t.slice.Start, c.Hash, work)
	}
}

// notRun is the failure of an attempt that the backend server did not run.
func (g *Gateway) notRun(c *call, t target, status int, said Answer) *verdict.Error {
	e := verdict.Unavailable(verdict.ReasonBackendRefused, "the backend server did not run the request: status "+strconv.Itoa(status))
	if said.Misdirected {
		e.Reason, e.Detail = verdict.ReasonMoved, "the backend server does not hold the key"
		c.misdirected[t.slice.Epoch]++
	}
	g.cfg.Logger.Info("attempt not run", append(c.fields(), zap.String("backend", t.backend.Name), zap.Uint64("epoch", t.slice.Epoch),
		zap.String("slice_owner", t.slice.Owner), zap.Int("status", status), zap.String("reason", string(e.Reason)),
		zap.Uint64("revision", g.cfg.Tables().Revision()), zap.Duration("table_age", g.tableAge()))...)
	return e
}

func itoa(n int) string { return strconv.Itoa(n) }
