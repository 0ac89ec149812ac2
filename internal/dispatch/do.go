package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/forward"
	"github.com/agatestep/agatestep/internal/limit"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// Do sends r to its backend server when that is allowed, and returns the
// answer. An error is a *verdict.Error. The caller closes the answer's body.
func (d *Dispatcher) Do(ctx context.Context, r *Request) (*http.Response, error) {
	id, refusal := d.begin()
	if refusal != nil {
		return nil, refusal
	}
	ctx, answered := d.calls.Until(ctx)
	ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(d.cfg.Clock.Now()))
	end := func() {
		answered()
		r.closeBody()
		cancel()
		d.end()
	}
	resp, err := d.do(ctx, id, r)
	if err != nil {
		end()
		return nil, err
	}
	resp.Body.(*answerBody).onEnd(end)
	if !answered() {
		_ = resp.Body.Close() // it breaks off with the call
		return nil, verdict.EndedAnswer(ctx)
	}
	return resp, nil
}

func (d *Dispatcher) do(ctx context.Context, id uint64, r *Request) (*http.Response, error) {
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

// flight is one admitted request.
type flight struct {
	s         *server
	r         *Request
	as        sentAs
	admission *limit.Admission
	transport *http.Transport
	address   string
	stamp     stamp
	began     time.Time
}

// admit waits until r may be sent and counts it in flight. The count and the
// last check happen under one lock, so that the order loop never gives up a
// slice while a request for it is about to be sent.
func (s *server) admit(ctx context.Context, id uint64, r *Request) (*flight, *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if _, err := s.await(ctx, r); err != nil {
			return nil, err
		}
		admission := s.admission
		if again, err := s.queue(ctx, id, r); err != nil {
			return nil, err
		} else if again {
			continue
		}
		now := s.d.cfg.Clock.Now()
		if ctx.Err() != nil {
			s.giveBack(admission, now)
			return nil, ended(ctx)
		}
		p, slice, err := s.permit(r, now)
		if p == permitted {
			return s.launch(r, slice, admission, now), nil
		}
		s.giveBack(admission, now)
		if err != nil {
			return nil, err
		}
	}
}

// giveBack returns an admission that was not used; s.mu is held.
func (s *server) giveBack(admission *limit.Admission, now time.Time) {
	admission.Finish(now, limit.Outcome{Cancelled: true})
	s.pump(now)
}

func (s *server) launch(r *Request, slice table.Slice, admission *limit.Admission, now time.Time) *flight {
	as := sentAs{r.Hash, slice.Start}
	s.inFlight[as]++
	s.total++
	s.counts.add(r, slice.Start)
	return &flight{s: s, r: r, as: as, admission: admission, transport: s.traffic, address: s.rec.Address,
		stamp: s.stampFor(r, slice), began: now}
}

// await waits, bounded in number and time, until permit allows r; s.mu is held
// and released while waiting.
func (s *server) await(ctx context.Context, r *Request) (table.Slice, *verdict.Error) {
	for {
		p, slice, err := s.permit(r, s.d.cfg.Clock.Now())
		if p != later {
			return slice, err
		}
		if s.pending >= s.d.cfg.PendingLen {
			return slice, verdict.Unavailable(verdict.ReasonNotConfirmed, "too many requests wait for the order to be confirmed")
		}
		changed := s.changed
		s.pending++
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		s.mu.Lock()
		s.pending--
		if ctx.Err() != nil {
			e := ended(ctx)
			if e.Reason == verdict.ReasonDeadline {
				e.Reason, e.Detail = verdict.ReasonNotConfirmed, "the order was not confirmed before the deadline"
			}
			return slice, e
		}
	}
}

// queue offers r to the admission and waits for its turn; s.mu is held and
// released while waiting. It reports whether r must be offered again.
func (s *server) queue(ctx context.Context, id uint64, r *Request) (again bool, err *verdict.Error) {
	now := s.d.cfg.Clock.Now()
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
		default: // not decided: leave the queue
			delete(s.waiters, id)
			admission.Cancel(id)
			return false, ended(ctx)
		}
	}
	if result == waitExpired {
		return false, verdict.Unavailable(verdict.ReasonDeadline, "the deadline cannot be met after the wait in the queue")
	}
	return result == waitAgain, nil
}

// ended returns the refusal of a request whose context ended before it was sent.
func ended(ctx context.Context) *verdict.Error {
	reason, detail := verdict.Ended(ctx)
	return verdict.Unavailable(reason, detail+" before the request was sent")
}

// pump lets queued requests run or expire; s.mu is held.
func (s *server) pump(now time.Time) {
	run, expired := s.admission.Ready(now)
	for _, id := range run {
		s.decide(id, waitRun)
	}
	for _, id := range expired {
		s.decide(id, waitExpired)
	}
}

func (s *server) decide(id uint64, result waitResult) {
	if w, ok := s.waiters[id]; ok {
		w <- result
		delete(s.waiters, id)
	}
}

// check repeats permit when a connection was obtained, because opening it may
// have taken long and the stamp may have become stale.
func (f *flight) check() *verdict.Error {
	s := f.s
	s.mu.Lock()
	defer s.mu.Unlock()
	p, slice, err := s.permit(f.r, s.d.cfg.Clock.Now())
	switch {
	case err != nil:
		return err
	case p != permitted || s.rec.Epoch != f.stamp.epoch || s.lease.number != f.stamp.lease || slice.Start != f.stamp.slice:
		return moved("the order or the lease changed while a connection was opened")
	}
	return nil
}

// maxStale bounds the idle connections that one request may find closed.
const maxStale = 3

// exchange sends the request once. A connection that turns out to be closed
// before anything was written has not carried it, so another one is taken.
func (f *flight) exchange(ctx context.Context) (*http.Response, error) {
	for stale := 0; ; stale++ {
		out, err := f.r.outgoing(ctx, f.address, f.stamp)
		if err != nil {
			return nil, err
		}
		if f.r.Body != nil {
			out.Body = f.r.Body
		}
		resp, err := forward.Send(ctx, f.transport, out, f.check)
		if err == nil {
			return resp, nil
		}
		e := forward.AsError(err)
		if e.Verdict != verdict.NotRun || e.Reason != verdict.ReasonConnectionLost || f.r.Body != nil || stale == maxStale {
			return nil, e
		}
	}
}

// send forwards the request and checks whose answer comes back.
func (f *flight) send(ctx context.Context) (*http.Response, error) {
	resp, err := f.exchange(ctx)
	if err != nil {
		f.finish(f.failed(ctx, forward.AsError(err)))
		return nil, err
	}
	latency := f.latency()
	if e := forward.AnswerVerdict(resp); e != nil {
		resp.Body.Close()
		f.finish(limit.Outcome{Latency: latency, Shed: resp.StatusCode == http.StatusServiceUnavailable, Cancelled: resp.StatusCode == http.StatusConflict})
		return nil, backendRefusal(e, resp.StatusCode)
	}
	forward.RemoveInternal(resp.Header)
	resp.Header.Set(wire.HeaderRequestID, f.r.ID)
	resp.Header.Set(verdict.Header, verdict.Answered.String())
	outcome := limit.Outcome{Latency: latency, Failed: resp.StatusCode >= http.StatusInternalServerError}
	resp.Body = &answerBody{ReadCloser: resp.Body, end: func() { f.finish(outcome) }}
	return resp, nil
}

// backendRefusal maps a refusal of the backend server to the stable reasons.
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
		// The only reason for this status is Agatestep-Deadline, which is the caller's own.
		e.Reason = verdict.ReasonDeadline
	default:
		e.Status = http.StatusBadGateway
	}
	return e
}

// failed tells the admission what a failed exchange says of the server. Refusals
// of this host, stale connections and callers that left say nothing.
func (f *flight) failed(ctx context.Context, e *verdict.Error) limit.Outcome {
	own := e.Verdict == verdict.NotRun && e.Reason != verdict.ReasonConnect
	return limit.Outcome{Latency: f.latency(), Failed: true, Cancelled: own || errors.Is(ctx.Err(), context.Canceled)}
}

// latency is the time since the start without the waits for the sender of the
// body, which say nothing of the backend server.
func (f *flight) latency() time.Duration {
	return max(f.s.d.cfg.Clock.Now().Sub(f.began)-f.r.Body.Waited(), 0)
}

// finish ends the flight.
func (f *flight) finish(o limit.Outcome) {
	s := f.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.cfg.Clock.Now()
	if s.inFlight[f.as]--; s.inFlight[f.as] == 0 {
		delete(s.inFlight, f.as)
		if !s.settled {
			s.wake()
		}
	}
	s.total--
	s.counts.busy += now.Sub(f.began)
	f.admission.Finish(now, o)
	s.pump(now)
}

// answerBody ends a flight once when the answer was read or given up.
type answerBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// onEnd adds f to what happens at the end.
func (b *answerBody) onEnd(f func()) {
	end := b.end
	b.end = func() { end(); f() }
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}
