package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/dispatch"
	"github.com/agatestep/agatestep/internal/forward"
	"github.com/agatestep/agatestep/internal/verdict"
)

// maxAttempts bounds the attempts of one request, the first one included.
const maxAttempts = 4

// staleTableWait is the first wait for another route after a response that shows that
// a routing table is outdated; it doubles with each attempt. Either table may be the
// older one: while this host waits for a newer one, the dispatcher may get it too.
const staleTableWait = 40 * time.Millisecond

// invalidSessionWait is the wait for a dispatcher whose session is not valid. It exceeds
// the renewal interval of sessions (200 ms), after which the session may be valid again.
const invalidSessionWait = 250 * time.Millisecond

// untilDeadline is a wait longer than any deadline: the request's context ends it first.
const untilDeadline = time.Hour

// sendWithRetries sends the call until it is answered or may not be sent again. On failure it
// returns the worst error of all attempts.
func (h *Handler) sendWithRetries(ctx context.Context, c *call) (*http.Response, *verdict.Error) {
	h.retries.OnRequest()
	send := h.sendKeyed
	if !c.keyed {
		h.hedges.OnRequest()
		send = h.sendUnkeyed
	}
	resp, err := send(ctx, c)
	if err != nil {
		return nil, c.failures.record(err)
	}
	return resp, nil
}

// sendKeyed sends a call to the owner of its key.
func (h *Handler) sendKeyed(ctx context.Context, c *call) (*http.Response, *verdict.Error) {
	r := keyedRoute(h.cfg.Tables(), c.file.Service, c.hash)
	for attempt := 1; ; attempt++ {
		if !r.usable {
			var err *verdict.Error
			if r, err = h.waitForRoute(ctx, c, r, untilDeadline); err != nil {
				return nil, err
			}
		}
		resp, err := h.sendAttempt(ctx, c, r, attempt)
		if err == nil {
			return resp, nil
		}
		wait, retry := retryKeyed(err, attempt)
		if !retry || attempt == maxAttempts || !h.mayRetry(ctx, c, err) {
			return nil, err
		}
		if r, _ = h.waitForRoute(ctx, c, r, wait); ctx.Err() != nil {
			return nil, err
		}
	}
}

// retryKeyed reports whether a retry at the owner of the key can succeed, and how
// long to wait for another owner first. An owner that cannot be reached is usually
// lost, so the request waits for the next owner.
func retryKeyed(e *verdict.Error, attempt int) (wait time.Duration, retry bool) {
	switch e.Reason {
	case verdict.ReasonConnectionLost:
		if e.Verdict == verdict.NotRun { // an idle connection that had been closed
			return 0, true
		}
		return staleTableWait << (attempt - 1), true
	case verdict.ReasonMoved, verdict.ReasonBackendRefused:
		return staleTableWait << (attempt - 1), true
	case verdict.ReasonSession:
		return invalidSessionWait, true
	case verdict.ReasonConnect, verdict.ReasonShutdown:
		return untilDeadline, true
	}
	return 0, false
}

// mayRetry reports whether the verdict, the body and the retry budget allow one more
// attempt, and takes it from the budget.
func (h *Handler) mayRetry(ctx context.Context, c *call, e *verdict.Error) bool {
	safe := e.Verdict == verdict.NotRun || (e.Verdict == verdict.MayHaveRun && c.idempotent)
	if !safe || ctx.Err() != nil || !h.sessionValid() || !c.replayable() || !h.retries.TrySpend() {
		return false
	}
	h.counters.Retries.Add(1)
	return true
}

// sendAttempt sends the call once and records a failure.
func (h *Handler) sendAttempt(ctx context.Context, c *call, r route, attempt int) (*http.Response, *verdict.Error) {
	resp, err := h.send(ctx, c, r, attempt)
	if err != nil {
		c.failures.record(err)
		return nil, err
	}
	return resp, nil
}

// failures holds the worst failure of the attempts of one call.
type failures struct {
	mu    sync.Mutex
	worst *verdict.Error
}

// record records a failure and returns the worst so far.
func (f *failures) record(e *verdict.Error) *verdict.Error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.worst = verdict.WorseFailure(f.worst, e)
	return f.worst
}

// send sends the call once, on this host or over the relay.
func (h *Handler) send(ctx context.Context, c *call, r route, attempt int) (*http.Response, *verdict.Error) {
	if !h.sessionValid() {
		return nil, verdict.Unavailable(verdict.ReasonSession, "this host has no valid session")
	}
	req := &dispatch.Request{ID: c.id, Service: c.file.Service, Backend: r.backend, Keyed: c.keyed, Hash: c.hash,
		Epoch: r.epoch, Deadline: c.deadline, Method: c.method, URI: c.uri, Host: c.host, Header: c.header,
		Body: c.attemptBody(), ContentLength: c.length}
	var resp *http.Response
	var err error
	if r.dispatcher == h.cfg.Host {
		h.counters.Local.Add(1)
		resp, err = h.cfg.Dispatcher.Send(ctx, req)
	} else {
		h.counters.Relayed.Add(1)
		resp, err = h.sendOverRelay(ctx, req, r, attempt)
	}
	if err != nil {
		return nil, mapBodyTooLarge(forward.AsError(err))
	}
	return resp, nil
}

// mapBodyTooLarge turns the error into a refusal for size when a streamed body exceeded its
// limit.
func mapBodyTooLarge(e *verdict.Error) *verdict.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(e.Cause, &tooLarge) {
		e.Status, e.Reason, e.Detail = http.StatusRequestEntityTooLarge, verdict.ReasonBodyTooLarge, "the body exceeds its cap"
	}
	return e
}
