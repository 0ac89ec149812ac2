package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/balance"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/upstream"
	"github.com/agatestep/agatestep/internal/verdict"
)

const (
	// maxSends bounds the attempts of a request, including those that the backend servers
	// say that they did not run.
	maxSends = 4
	// maxHoldShare is the part of a request's time for which it may wait for a target, such
	// as the next owner of its key. A caller that is refused later has no time to retry.
	maxHoldShare = 0.35
	// misdirectedDelay is the wait after a backend server did not hold the key or a call has
	// no target; a newer table ends it earlier.
	misdirectedDelay = 60 * time.Millisecond
	// maxMisdirected is how often a call is sent to an owner that says that it does not
	// hold the key. It may get the key with the reply to its next heartbeat; after that,
	// only a newer table makes another attempt worthwhile.
	maxMisdirected = 2
	// queueFullDelay is how long a request waits when its server's queue is full.
	queueFullDelay = 15 * time.Millisecond
	// minRetryAfter is the shortest Retry-After. retryJitter is the part of a Retry-After
	// that is added at random, so that refused callers do not all retry at once.
	minRetryAfter = 40 * time.Millisecond
	retryJitter   = 0.3
)

// action is what follows a step of a call.
type action uint8

const (
	actionFinish action = iota
	actionRetry         // at once
	actionWait          // for a newer table or the end of a delay
)

// callResult is what the caller is answered: the response of a backend server, or a failure
// with the time after which to retry.
type callResult struct {
	response   *bufferedResponse
	failure    *verdict.Error
	retryAfter time.Duration
}

// stepResult is the result of one attempt, or of looking for a target or admission.
type stepResult struct {
	action action
	result callResult // set if the action is actionFinish
	// reason is why the call has to wait, and delay how long.
	reason *verdict.Error
	delay  time.Duration
}

func finishWith(final callResult) stepResult { return stepResult{result: final} }

func waitWith(reason *verdict.Error, wait time.Duration) stepResult {
	return stepResult{action: actionWait, reason: reason, delay: wait}
}

// run makes attempts until the call is answered, or may not or cannot be sent again.
func (g *Gateway) run(ctx context.Context, c *call) callResult {
	budget := g.retryBudget(c.service)
	budget.OnRequest()
	defer func() { c.pendingConn.Abandon() }()
	for {
		changed := g.nextTableChange()
		s := g.tryOnce(ctx, c, budget)
		if s.action == actionWait {
			s = g.await(ctx, c, s, changed)
		}
		if s.action == actionFinish {
			return s.result
		}
	}
}

// await waits before a call that could not be sent is tried again. The wait ends with the
// call's context as well, so that nothing is sent for a caller that has disconnected.
func (g *Gateway) await(ctx context.Context, c *call, s stepResult, changed <-chan struct{}) stepResult {
	if !g.mayStillHold(c) {
		return finishWith(c.finalResult(s.reason, s.delay))
	}
	waitForChange(ctx, changed, s.delay)
	if e := contextError(ctx); e != nil {
		return finishWith(c.finalResult(e, 0))
	}
	return stepResult{action: actionRetry}
}

// tryOnce chooses the target of a call, acquires the admission to send to it, and sends it.
func (g *Gateway) tryOnce(ctx context.Context, c *call, budget *balance.Budget) stepResult {
	if refusal := g.awaitFreshTable(ctx, g.timeLeft(c, g.cfg.Clock.Now())); refusal != nil {
		return finishWith(c.finalResult(refusal, staleTableRetryAfter))
	}
	if refusal := g.tooLateForStop(c, g.cfg.Clock.Now()); refusal != nil {
		return finishWith(c.finalResult(refusal, minRetryAfter))
	}
	if s, decided := g.tryWithServicePermit(ctx, c, budget); decided {
		return s
	}
	t, refusal, delay := g.chooseTarget(c)
	switch {
	case refusal != nil:
		return finishWith(c.finalResult(refusal, delay))
	case t.backend == nil && c.fallback != nil:
		return finishWith(callResult{response: c.fallback})
	case t.backend == nil:
		return waitWith(noBackendError(t.reason), delay)
	}
	admitted, s := g.acquireAdmission(ctx, c, t, budget)
	if admitted == nil {
		return s
	}
	return g.sendAdmitted(ctx, c, t, *admitted)
}

// acquireAdmission gets the admission to send a call to its target. Without it, the result
// says what follows.
func (g *Gateway) acquireAdmission(ctx context.Context, c *call, t target, budget *balance.Budget) (*admission, stepResult) {
	asked := g.cfg.Clock.Now()
	c.pendingConn.Abandon() // of an earlier attempt
	c.pendingConn = nil
	decision := g.admit(ctx, c, t)
	c.admissionTime += g.cfg.Clock.Now().Sub(asked)
	switch {
	case decision.refusal != nil:
		return nil, finishWith(c.finalResult(decision.refusal, decision.retryAfter))
	case decision.targetChanged:
		return nil, stepResult{action: actionRetry}
	case decision.queueFull:
		return nil, waitWith(noBackendError("the queue of the backend server is full"), queueFullDelay)
	}
	if refusal, retryAfter := g.ensureAllowance(ctx, c); refusal != nil {
		g.releasePermit(t.backend, decision, 0)
		return nil, finishWith(c.finalResult(refusal, retryAfter))
	}
	if refusal := g.spendRetry(c, t.backend, budget); refusal != nil {
		g.releasePermit(t.backend, decision, 0)
		return nil, finishWith(c.finalResult(refusal, minRetryAfter))
	}
	return &decision, stepResult{}
}

// spendRetry charges an attempt beyond the first to the retry budget of the call's service. It
// returns a refusal if the budget is used up.
func (g *Gateway) spendRetry(c *call, b *table.Backend, budget *balance.Budget) *verdict.Error {
	if c.sends == 0 {
		c.sendKind = firstAttempt
		return nil
	}
	allowed := budget.TrySpend()
	c.sendKind = repeatedAttempt
	if g.server(b).inDoubt() {
		c.sendKind = repeatedTrial
		allowed = g.spendTrialRetry(c.service) && allowed
	}
	left, burst := budget.Left()
	g.cfg.Logger.Info("attempt charged to the retry budget", append(c.logFields(), zap.String("backend", b.Name), zap.String("address", b.Address),
		zap.Bool("allowed", allowed), zap.Bool("trial", c.sendKind == repeatedTrial), zap.Float64("left", left), zap.Float64("burst", burst))...)
	if allowed {
		g.counters.Repeats.Add(c.service, 1)
		return nil
	}
	g.counters.RepeatsRefused.Add(c.service, 1)
	return verdict.Unavailable(verdict.ReasonOverloaded, "the retry budget is used up")
}

// sendAdmitted sends an admitted call and decides what follows its response or failure.
func (g *Gateway) sendAdmitted(ctx context.Context, c *call, t target, admitted admission) stepResult {
	resp, failure, nextAction := g.attempt(ctx, c, t, admitted)
	if failure != nil && failure.Verdict == verdict.NotRun {
		g.restoreAllowance(c)
	}
	c.worstFailure = verdict.WorseFailure(c.worstFailure, failure)
	switch {
	case resp != nil && (nextAction == actionFinish || ctx.Err() != nil || !c.mayResend() || resp.partial):
		return finishWith(callResult{response: resp})
	case nextAction == actionFinish || ctx.Err() != nil || !c.mayResend():
		return finishWith(c.finalResult(failure, minRetryAfter))
	case resp != nil:
		resp.Body.Close()
		c.fallback = resp
	}
	g.counters.Retries.Add(1)
	if nextAction == actionWait {
		return waitWith(failure, misdirectedDelay)
	}
	return stepResult{action: actionRetry}
}

// finalResult ends a call that is not sent again, for the reason given: with the response of
// an earlier attempt if there is one, else with the failure with the most severe verdict.
func (c *call) finalResult(reason *verdict.Error, retryAfter time.Duration) callResult {
	if c.fallback != nil {
		return callResult{response: c.fallback}
	}
	return callResult{failure: verdict.WorseFailure(c.worstFailure, reason), retryAfter: withJitter(retryAfter)}
}

func noBackendError(reason string) *verdict.Error {
	return verdict.Unavailable(verdict.ReasonNoBackend, reason)
}

// contextError returns the failure of a request that was not sent before its context ended,
// or nil if the context has not ended.
func contextError(ctx context.Context) *verdict.Error {
	if ctx.Err() == nil {
		return nil
	}
	reason, detail := verdict.ContextEndReason(ctx)
	return verdict.Unavailable(reason, detail)
}

// mayResend reports whether the call may be sent again.
func (c *call) mayResend() bool {
	return c.sends < maxSends && c.body.replayable() && c.possibleRuns < max(c.match.MaxAttempts, 1)
}

// mayStillHold reports whether the call may wait longer for a target or admission.
func (g *Gateway) mayStillHold(c *call) bool {
	total := c.deadline.Sub(c.arrived)
	return float64(g.cfg.Clock.Now().Sub(c.arrived)) < maxHoldShare*float64(total)
}

func withJitter(d time.Duration) time.Duration {
	d = max(d, minRetryAfter)
	return d + time.Duration(rand.Float64()*retryJitter*float64(d))
}

// attempt sends the call to its target once.
func (g *Gateway) attempt(ctx context.Context, c *call, t target, admitted admission) (*bufferedResponse, *verdict.Error, action) {
	s := g.server(t.backend)
	var took time.Duration
	defer func() {
		g.releasePermit(t.backend, admitted, took)
		g.releaseServicePermit(c, admitted.service)
	}()
	s.mu.Lock()
	s.backlog.RecordSent()
	s.mu.Unlock()
	began := g.cfg.Clock.Now()
	defer func() { c.attemptTime += g.cfg.Clock.Now().Sub(began) }()
	resp, failure := g.send(ctx, c, t)
	if failure == nil {
		defer s.requestDone()
		answer, failure, nextAction := g.handleResponse(ctx, c, t, s, resp, began)
		if failure == nil {
			took = g.cfg.Clock.Now().Sub(began)
		}
		return answer, failure, nextAction
	}
	s.requestDone()
	return nil, failure, g.handleFailure(c, t, s, failure)
}

func (s *server) hasFreeSlot(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backlog.HasFreeSlot(now)
}

func (s *server) requestDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backlog.RecordDone()
}

func (g *Gateway) send(ctx context.Context, c *call, t target) (*upstream.Response, *verdict.Error) {
	header := c.forwardHeader.Clone()
	req := &upstream.Request{ID: c.ID, Address: t.backend.Address, Method: c.request.Method, URI: c.request.RequestURI, Host: c.request.Host,
		Header: header, Length: c.request.ContentLength, NewConnection: c.possibleRuns > 0,
		MaxConnections: g.maxConnections(c.service), Pending: c.pendingConn}
	if c.body != nil {
		req.Body = c.body.reader()
		req.PaceBody = g.paceOutgoing(c)
	}
	req.BeforeWrite = func(h http.Header) *verdict.Error {
		now := g.cfg.Clock.Now()
		if refusal := g.tooLateForStop(c, now); refusal != nil {
			return refusal
		}
		left := g.timeLeft(c, now)
		if left <= 0 {
			return verdict.Unavailable(verdict.ReasonDeadline, "the time is over before the request was sent")
		}
		if refusal := g.checkBeforeWrite(c, t); refusal != nil {
			return refusal
		}
		if refusal := g.spendAllowance(c); refusal != nil {
			return refusal
		}
		g.cfg.Dialect.SetTarget(h, t.backend.Name, left)
		c.writtenAt = now
		return nil
	}
	c.tried[keyOf(t.backend)] = true
	c.sends++
	return g.client.Do(ctx, req)
}

// handleFailure records an attempt that got no response and decides what follows.
func (g *Gateway) handleFailure(c *call, t target, s *server, e *verdict.Error) action {
	now := g.cfg.Clock.Now()
	g.cfg.Logger.Info("attempt failed", append(c.logFields(), zap.String("backend", t.backend.Name), zap.String("address", t.backend.Address), zap.Uint64("epoch", t.slice.Epoch),
		zap.String("verdict", e.Verdict.String()), zap.String("reason", string(e.Reason)), zap.String("detail", e.Detail), zap.Duration("written_ago", c.timeSinceWrite(now)), zap.Duration("link_queue", g.cfg.Link.QueueDelay()),
		logging.NamedError("cause", e.Cause))...)
	if e.Reason == verdict.ReasonCancelled || e.Reason == verdict.ReasonDeadline || e.Reason == verdict.ReasonShutdown {
		if e.Verdict != verdict.NotRun {
			c.possibleRuns++
		}
		c.recordTimeout(e, now)
		return actionFinish
	}
	if e.Reason == verdict.ReasonOldTable || e.Reason == verdict.ReasonRetargeted || e.Reason == verdict.ReasonAllowanceExpired {
		c.sends-- // the request was not written, which says nothing about the server
		delete(c.tried, keyOf(t.backend))
		return actionRetry
	}
	var bodyErr *upstream.BodyError
	if errors.As(e.Cause, &bodyErr) { // not the server's fault, and another attempt gets no more of the body
		c.possibleRuns++
		if bodyTooLarge(e.Cause) {
			e.Status = http.StatusRequestEntityTooLarge
		}
		return actionFinish
	}
	s.mu.Lock()
	s.backlog.RecordOutcome(now, true)
	s.mu.Unlock()
	c.outcome.Failed = true
	if e.Verdict == verdict.NotRun {
		switch {
		case errors.Is(e.Cause, upstream.ErrDialTimeout):
			s.recordSlowDial(now)
		case e.Reason == verdict.ReasonConnect:
			s.markDown(now)
		}
		return actionWait
	}
	c.possibleRuns++
	if !c.match.Idempotent {
		return actionFinish
	}
	return actionRetry
}

// handleResponse records a response and decides what follows. A response that need not be
// final is returned together with what may follow.
func (g *Gateway) handleResponse(ctx context.Context, c *call, t target, s *server, resp *upstream.Response, began time.Time) (*bufferedResponse, *verdict.Error, action) {
	info := g.cfg.Dialect.ParseResponse(resp.StatusCode, resp.Header)
	now := g.cfg.Clock.Now()
	s.mu.Lock()
	if info.Load != nil {
		s.backlog.RecordReport(now, *info.Load)
	}
	s.slowDials = 0
	s.backlog.RecordOutcome(now, !info.Misdirected && resp.StatusCode >= http.StatusInternalServerError)
	s.mu.Unlock()
	g.recordPresence(c, t, s, info, now)
	c.recordOutcome(info, resp.StatusCode, now)
	if !info.Misdirected { // otherwise another server may have answered at this address
		g.applyAnswerInfo(t.backend, s, info, now)
	}
	if info.NotRun {
		resp.CloseRefused()
		e := g.notRunError(c, t, s, resp.StatusCode, info)
		if !info.Misdirected && s.hasFreeSlot(now) {
			return nil, e, actionRetry // the server has free slots, so it refuses some requests regardless of load
		}
		return nil, e, actionWait
	}
	c.possibleRuns++
	buffered, err := bufferResponse(resp, c.held.answer, now)
	if err != nil {
		resp.Body.Close()
		e := brokenOffError(err)
		c.outcome.Failed = ctx.Err() == nil
		if ctx.Err() != nil {
			e.SetContextEnd(ctx)
		}
		nextAction := actionFinish
		if c.match.Idempotent && ctx.Err() == nil {
			nextAction = actionRetry
		}
		return nil, e, nextAction
	}
	if c.match.Idempotent && resp.StatusCode >= http.StatusInternalServerError {
		return buffered, nil, actionRetry
	}
	g.recordServiceTime(c, t, now.Sub(began), info)
	return buffered, nil, actionFinish
}

// applyAnswerInfo applies what a response says about its server: that it leaves, or asks for
// a pause.
func (g *Gateway) applyAnswerInfo(b *table.Backend, s *server, info ResponseInfo, now time.Time) {
	if info.Leaving {
		g.recordLeaving(b, now)
	}
	if info.Pause > 0 {
		s.pauseUntil(now.Add(info.Pause))
		g.cfg.Logger.Info("backend server asks for a pause", zap.String("backend", b.Name), zap.String("service", b.Service), zap.Duration("pause", info.Pause))
	}
}

// recordServiceTime records the service time of an answered request.
func (g *Gateway) recordServiceTime(c *call, t target, took time.Duration, info ResponseInfo) {
	work := took
	if l := info.Load; l != nil && l.Waiting > 0 && l.Slots > 0 {
		// Part of the time was spent in the server's queue.
		work = time.Duration(float64(took) * float64(l.Slots) / float64(l.Slots+l.Waiting))
	}
	c.outcome.WorkMs = work.Milliseconds()
	g.serviceTimesOf(c.service).add(c.match.Name, work)
	if c.keyed {
		g.loads.record(t.backend, t.slice.Start, c.Hash, work)
	}
}

// notRunError returns the failure of an attempt that the backend server did not run.
func (g *Gateway) notRunError(c *call, t target, s *server, status int, info ResponseInfo) *verdict.Error {
	e := verdict.Unavailable(verdict.ReasonBackendRefused, "the backend server did not run the request: status "+strconv.Itoa(status))
	if info.Misdirected {
		e.Reason, e.Detail = verdict.ReasonMoved, "the backend server does not hold the key"
		g.counters.Misdirected.Add(c.attemptKind(), 1)
		c.misdirected[t.slice.Epoch]++
	}
	g.cfg.Logger.Info("attempt not run", append(c.logFields(), zap.String("backend", t.backend.Name), zap.String("address", t.backend.Address), zap.Uint64("epoch", t.slice.Epoch),
		zap.String("slice_owner", t.slice.Owner), zap.Int("status", status), zap.String("reason", string(e.Reason)),
		zap.Duration("since_own_answer", s.sinceOwnAnswer(g.cfg.Clock.Now())),
		zap.Uint64("revision", g.cfg.Tables().Revision()), zap.Duration("table_age", g.tableAge()))...)
	return e
}

// attemptKind names the last attempt of a call in counters.
func (c *call) attemptKind() string {
	if c.sends > 1 {
		return "repeat"
	}
	return "first"
}

func itoa(n int) string { return strconv.Itoa(n) }
