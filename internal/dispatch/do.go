package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/forward"
	"github.com/agatestep/agatestep/internal/httpanswer"
	"github.com/agatestep/agatestep/internal/limit"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// Send waits until r may be sent to its backend server, sends it and returns the
// response. An error is a *verdict.Error. The caller must close the response's body.
func (d *Dispatcher) Send(ctx context.Context, r *Request) (*http.Response, error) {
	id, refusal := d.beginRequest()
	if refusal != nil {
		return nil, refusal
	}
	ctx, answered := d.calls.Until(ctx)
	ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(d.cfg.Clock.Now()))
	end := func() {
		answered()
		r.closeBody()
		cancel()
		d.endRequest()
	}
	resp, err := d.admitAndSend(ctx, id, r)
	if err != nil {
		end()
		return nil, err
	}
	resp.Body.(*responseBody).onEnd(end)
	if !answered() {
		_ = resp.Body.Close() // the body is incomplete because the call was ended
		return nil, verdict.NewContextEndError(ctx)
	}
	return resp, nil
}

func (d *Dispatcher) admitAndSend(ctx context.Context, id uint64, r *Request) (*http.Response, error) {
	s := d.server(serverKey{r.Service, r.Backend})
	if s == nil {
		return nil, moved("this host is not the dispatcher of the backend server")
	}
	f, err := s.admit(ctx, id, r)
	if err != nil {
		return nil, err
	}
	return f.send(ctx)
}

// admittedRequest is a request that holds an admission and is counted in flight.
type admittedRequest struct {
	s         *server
	r         *Request
	key       inFlightKey
	admission *limit.Admission
	transport *httpanswer.Transport
	address   string
	fencing   fencingHeaders
	startedAt time.Time
}

// admit waits until r may be sent and counts it in flight. The count and the
// last check happen under one lock, so that the order loop never releases a
// slice while a request for it is about to be sent.
func (s *server) admit(ctx context.Context, id uint64, r *Request) (*admittedRequest, *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if _, err := s.waitUntilSendable(ctx, r); err != nil {
			return nil, err
		}
		admission := s.admission
		if offerAgain, err := s.waitInQueue(ctx, id, r); err != nil {
			return nil, err
		} else if offerAgain {
			continue
		}
		now := s.dispatcher.cfg.Clock.Now()
		if ctx.Err() != nil {
			s.returnAdmission(admission, now)
			return nil, endedBeforeSend(ctx)
		}
		decision, slice, err := s.checkSend(r, now)
		if decision == maySend {
			return s.markInFlight(r, slice, admission, now), nil
		}
		s.returnAdmission(admission, now)
		if err != nil {
			return nil, err
		}
	}
}

// returnAdmission ends an admission that was not used; s.mu is held.
func (s *server) returnAdmission(admission *limit.Admission, now time.Time) {
	admission.Finish(now, limit.Outcome{Cancelled: true})
	s.resolveQueued(now)
}

func (s *server) markInFlight(r *Request, slice table.Slice, admission *limit.Admission, now time.Time) *admittedRequest {
	key := inFlightKey{r.Hash, slice.Start}
	s.inFlight[key]++
	s.totalInFlight++
	s.load.add(r, slice.Start)
	return &admittedRequest{s: s, r: r, key: key, admission: admission, transport: s.traffic, address: s.record.Address,
		fencing: s.fencingFor(r, slice), startedAt: now}
}

// waitUntilSendable waits until checkSend allows or refuses r. The number of waiting requests
// and the wait are bounded. s.mu is held on entry and released while waiting.
func (s *server) waitUntilSendable(ctx context.Context, r *Request) (table.Slice, *verdict.Error) {
	for {
		decision, slice, err := s.checkSend(r, s.dispatcher.cfg.Clock.Now())
		if decision != mustWait {
			return slice, err
		}
		if s.awaitingConfirmation >= s.dispatcher.cfg.PendingLen {
			return slice, verdict.Unavailable(verdict.ReasonNotConfirmed, "too many requests wait for the order to be confirmed")
		}
		changed := s.changed
		s.awaitingConfirmation++
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		s.mu.Lock()
		s.awaitingConfirmation--
		if ctx.Err() != nil {
			e := endedBeforeSend(ctx)
			if e.Reason == verdict.ReasonDeadline {
				e.Reason, e.Detail = verdict.ReasonNotConfirmed, "the order was not confirmed before the deadline"
			}
			return slice, e
		}
	}
}

// waitInQueue offers r to the admission and waits until it may run. It reports whether
// r must be offered again. s.mu is held on entry and released while waiting.
func (s *server) waitInQueue(ctx context.Context, id uint64, r *Request) (offerAgain bool, err *verdict.Error) {
	now := s.dispatcher.cfg.Clock.Now()
	admission := s.admission
	switch admission.Offer(now, id, r.Deadline) {
	case limit.Run:
		return false, nil
	case limit.Refuse:
		return false, verdict.Unavailable(verdict.ReasonOverloaded, "the backend server cannot answer before the deadline or its queue is full")
	}
	w := make(chan waitResult, 1)
	s.waiters[id] = w
	s.mu.Unlock()
	var result waitResult
	select {
	case result = <-w:
	case <-ctx.Done():
	}
	s.mu.Lock()
	if result == 0 {
		select {
		case result = <-w:
		default: // still queued
			delete(s.waiters, id)
			admission.Cancel(id)
			return false, endedBeforeSend(ctx)
		}
	}
	if result == waitExpired {
		return false, verdict.Unavailable(verdict.ReasonDeadline, "the deadline cannot be met after the wait in the queue")
	}
	return result == waitAgain, nil
}

// endedBeforeSend returns the refusal of a request whose context ended before it was sent.
func endedBeforeSend(ctx context.Context) *verdict.Error {
	reason, detail := verdict.ContextEndReason(ctx)
	return verdict.Unavailable(reason, detail+" before the request was sent")
}

// resolveQueued tells queued requests that they may run or have expired; s.mu is held.
func (s *server) resolveQueued(now time.Time) {
	run, expired := s.admission.Ready(now)
	for _, id := range run {
		s.resolveWaiter(id, waitRun)
	}
	for _, id := range expired {
		s.resolveWaiter(id, waitExpired)
	}
}

func (s *server) resolveWaiter(id uint64, result waitResult) {
	if w, ok := s.waiters[id]; ok {
		w <- result
		delete(s.waiters, id)
	}
}

// recheck repeats checkSend once a connection was obtained: opening it may
// have taken long, and the fencing headers may be stale.
func (f *admittedRequest) recheck() *verdict.Error {
	s := f.s
	s.mu.Lock()
	defer s.mu.Unlock()
	decision, slice, err := s.checkSend(f.r, s.dispatcher.cfg.Clock.Now())
	switch {
	case err != nil:
		return err
	case decision != maySend || s.record.Epoch != f.fencing.epoch || s.lease.number != f.fencing.lease || slice.Start != f.fencing.slice:
		return moved("the order or the lease changed while a connection was opened")
	}
	return nil
}

// maxStaleConnections bounds the closed idle connections that one request may try.
const maxStaleConnections = 3

// exchange sends the request at most once. If a connection turns out to be closed
// before anything was written, the request has not been sent and another
// connection is tried.
func (f *admittedRequest) exchange(ctx context.Context) (*http.Response, error) {
	for stale := 0; ; stale++ {
		out, err := f.r.outgoing(ctx, f.address, f.fencing)
		if err != nil {
			return nil, err
		}
		if f.r.Body != nil {
			out.Body = f.r.Body
		}
		resp, err := forward.Send(ctx, f.transport, out, f.recheck)
		if err == nil {
			return resp, nil
		}
		e := forward.AsError(err)
		if e.Verdict != verdict.NotRun || e.Reason != verdict.ReasonConnectionLost || f.r.Body != nil || stale == maxStaleConnections {
			return nil, e
		}
	}
}

// send forwards the request and maps the response or the failure to a verdict.
func (f *admittedRequest) send(ctx context.Context) (*http.Response, error) {
	resp, err := f.exchange(ctx)
	if err != nil {
		f.finish(f.failureOutcome(ctx, forward.AsError(err)))
		return nil, err
	}
	latency := f.latency()
	if e := forward.ResponseVerdict(resp); e != nil {
		resp.Body.Close()
		f.finish(limit.Outcome{Latency: latency, Shed: resp.StatusCode == http.StatusServiceUnavailable, Cancelled: resp.StatusCode == http.StatusConflict})
		return nil, backendRefusal(e, resp.StatusCode)
	}
	forward.RemoveInternalHeaders(resp.Header)
	resp.Header.Set(wire.HeaderRequestID, f.r.ID)
	resp.Header.Set(verdict.Header, verdict.Answered.String())
	outcome := limit.Outcome{Latency: latency, Failed: resp.StatusCode >= http.StatusInternalServerError}
	resp.Body = &responseBody{ReadCloser: resp.Body, end: func() { f.finish(outcome) }}
	return resp, nil
}

// backendRefusal maps a refusal of the backend server to the reasons that callers see.
func backendRefusal(e *verdict.Error, status int) *verdict.Error {
	e.Detail = "backend server refused the request: " + string(e.Reason)
	e.Reason = verdict.ReasonBackendRefused
	switch {
	case e.Verdict == verdict.NotRun:
		e.Status = http.StatusServiceUnavailable
		if status == http.StatusServiceUnavailable {
			e.Reason = verdict.ReasonOverloaded
		}
	case status == http.StatusGatewayTimeout:
		// Backend servers send this status only because of Agatestep-Deadline, the caller's deadline.
		e.Reason = verdict.ReasonDeadline
	default:
		e.Status = http.StatusBadGateway
	}
	return e
}

// failureOutcome returns the outcome of a failed exchange for the admission. Refusals
// by this host, stale connections and callers that disconnected count as cancelled, because
// they say nothing about the server.
func (f *admittedRequest) failureOutcome(ctx context.Context, e *verdict.Error) limit.Outcome {
	notServersFault := e.Verdict == verdict.NotRun && e.Reason != verdict.ReasonConnect
	return limit.Outcome{Latency: f.latency(), Failed: true, Cancelled: notServersFault || errors.Is(ctx.Err(), context.Canceled)}
}

// latency returns the time since the start, less the time spent waiting for the
// sender of the body, which says nothing about the backend server.
func (f *admittedRequest) latency() time.Duration {
	return max(f.s.dispatcher.cfg.Clock.Now().Sub(f.startedAt)-f.r.Body.WaitTime(), 0)
}

// finish counts the request out and reports its outcome to the admission.
func (f *admittedRequest) finish(o limit.Outcome) {
	s := f.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.dispatcher.cfg.Clock.Now()
	if s.inFlight[f.key]--; s.inFlight[f.key] == 0 {
		delete(s.inFlight, f.key)
		if !s.settled {
			s.wakeOrderLoop()
		}
	}
	s.totalInFlight--
	s.load.busyTime += now.Sub(f.startedAt)
	f.admission.Finish(now, o)
	s.resolveQueued(now)
}

// responseBody runs end once, when the body is closed.
type responseBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// onEnd adds f to the functions that run at the end.
func (b *responseBody) onEnd(f func()) {
	end := b.end
	b.end = func() { end(); f() }
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}
