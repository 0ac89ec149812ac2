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

// shortWait is the first wait for another route after an answer that a table is
// not current; it doubles with each attempt. Either table may be the older one:
// while this host waits for its own, the dispatcher may get the newer one.
const shortWait = 40 * time.Millisecond

// sessionWait is the wait for a dispatcher whose session is not valid. It exceeds
// the renewal interval of sessions (200 ms), after which the session may be back.
const sessionWait = 250 * time.Millisecond

// untilDeadline is a wait that the context of the request ends.
const untilDeadline = time.Hour

// run sends the call until it is answered or may not be sent again. A failure says what is
// known after all attempts.
func (h *Handler) run(ctx context.Context, c *call) (*http.Response, *verdict.Error) {
	h.retries.OnRequest()
	send := h.runKeyed
	if !c.keyed {
		h.hedges.OnRequest()
		send = h.runUnkeyed
	}
	resp, err := send(ctx, c)
	if err != nil {
		return nil, c.failures.with(err)
	}
	return resp, nil
}

// runKeyed sends a call to the owner of its key.
func (h *Handler) runKeyed(ctx context.Context, c *call) (*http.Response, *verdict.Error) {
	r := keyedRoute(h.cfg.Tables(), c.file.Service, c.hash)
	for attempt := 1; ; attempt++ {
		if !r.usable {
			var err *verdict.Error
			if r, err = h.awaitRoute(ctx, c, r, untilDeadline); err != nil {
				return nil, err
			}
		}
		resp, err := h.attempt(ctx, c, r, attempt)
		if err == nil {
			return resp, nil
		}
		wait, again := retryKeyed(err, attempt)
		if !again || attempt == maxAttempts || !h.mayRetry(ctx, c, err) {
			return nil, err
		}
		if r, _ = h.awaitRoute(ctx, c, r, wait); ctx.Err() != nil {
			return nil, err
		}
	}
}

// retryKeyed says whether sending again to the owner of the key can help, and
// how long to wait for another owner first. An owner that cannot be reached is
// usually lost, so its request waits for the next owner.
func retryKeyed(e *verdict.Error, attempt int) (wait time.Duration, again bool) {
	switch e.Reason {
	case verdict.ReasonConnectionLost:
		if e.Verdict == verdict.NotRun { // an idle connection that had been closed
			return 0, true
		}
		return shortWait << (attempt - 1), true
	case verdict.ReasonMoved, verdict.ReasonBackendRefused:
		return shortWait << (attempt - 1), true
	case verdict.ReasonSession:
		return sessionWait, true
	case verdict.ReasonConnect, verdict.ReasonShutdown:
		return untilDeadline, true
	}
	return 0, false
}

// mayRetry reports whether the rules and the budget allow one more attempt.
func (h *Handler) mayRetry(ctx context.Context, c *call, e *verdict.Error) bool {
	safe := e.Verdict == verdict.NotRun || (e.Verdict == verdict.MayHaveRun && c.idempotent)
	if !safe || ctx.Err() != nil || !h.sessionValid() || !c.replayable() || !h.retries.TrySpend() {
		return false
	}
	h.counters.Retries.Add(1)
	return true
}

// attempt sends the call once and keeps how that failed.
func (h *Handler) attempt(ctx context.Context, c *call, r route, attempt int) (*http.Response, *verdict.Error) {
	resp, err := h.send(ctx, c, r, attempt)
	if err != nil {
		c.failures.with(err)
		return nil, err
	}
	return resp, nil
}

// failures keeps the worst failure of the attempts of one call.
type failures struct {
	mu    sync.Mutex
	worst *verdict.Error
}

// with adds a failure and returns the worst so far.
func (f *failures) with(e *verdict.Error) *verdict.Error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.worst = verdict.Worse(f.worst, e)
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
		resp, err = h.cfg.Dispatcher.Do(ctx, req)
	} else {
		h.counters.Relayed.Add(1)
		resp, err = h.sendRelay(ctx, req, r, attempt)
	}
	if err != nil {
		return nil, withBodyCap(forward.AsError(err))
	}
	return resp, nil
}

// withBodyCap names the cap when a streamed body exceeded it.
func withBodyCap(e *verdict.Error) *verdict.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(e.Cause, &tooLarge) {
		e.Status, e.Reason, e.Detail = http.StatusRequestEntityTooLarge, verdict.ReasonBodyTooLarge, "the body exceeds its cap"
	}
	return e
}
