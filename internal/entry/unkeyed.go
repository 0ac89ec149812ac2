package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/verdict"
)

// sendUnkeyed sends a call to the backend server that is expected to answer
// first, and to others when that fails.
func (h *Handler) sendUnkeyed(ctx context.Context, c *call) (*http.Response, *verdict.Error) {
	tried := map[string]bool{}
	last := verdict.Unavailable(verdict.ReasonNoBackend, "no backend server of the service is available")
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		r, ok := h.pickServer(c, tried)
		if !ok {
			break
		}
		tried[r.backend] = true
		resp, err := h.sendHedged(ctx, c, r, attempt, tried)
		if err == nil {
			return resp, nil
		}
		last = err
		if !retryUnkeyed(err) || attempt == maxAttempts || !h.mayRetry(ctx, c, err) {
			break
		}
	}
	return nil, last
}

// retryUnkeyed reports whether a retry at another backend server can succeed.
func retryUnkeyed(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.ReasonMoved, verdict.ReasonBackendRefused, verdict.ReasonConnectionLost, verdict.ReasonConnect,
		verdict.ReasonShutdown, verdict.ReasonSession, verdict.ReasonOverloaded, verdict.ReasonNotConfirmed:
		return true
	}
	return false
}

// attemptResult is the outcome of one hedged attempt.
type attemptResult struct {
	resp  *http.Response
	err   *verdict.Error
	index int // of the attempt among the hedged ones
}

// sendHedged sends a call and, when the response is late and the call is idempotent
// and has no body, sends it to a second backend server as well. The first response wins.
func (h *Handler) sendHedged(ctx context.Context, c *call, r route, attempt int, tried map[string]bool) (*http.Response, *verdict.Error) {
	delay, known := h.hedgeDelay(c)
	if !known || !c.idempotent || c.hasBody() {
		return h.sendAndRecord(ctx, c, r, attempt)
	}
	results := make(chan attemptResult, 2)
	var cancels []context.CancelFunc
	start := func(r route) {
		attemptCtx, cancel := context.WithCancel(ctx)
		index := len(cancels)
		cancels = append(cancels, cancel)
		go func() {
			resp, err := h.sendAndRecord(attemptCtx, c, r, attempt+index)
			results <- attemptResult{resp, err, index}
		}()
	}
	start(r)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for pending := 1; ; {
		select {
		case got := <-results:
			pending--
			if got.err != nil && pending > 0 {
				continue
			}
			return finishHedged(got, cancels, results, pending)
		case <-timer.C:
			if second, ok := h.pickHedgeServer(c, tried); ok {
				start(second)
				pending++
			}
		}
	}
}

// pickHedgeServer picks a second backend server when the hedge and retry budgets allow one.
func (h *Handler) pickHedgeServer(c *call, tried map[string]bool) (route, bool) {
	if !h.hedges.TrySpend() || !h.retries.TrySpend() {
		return route{}, false
	}
	r, ok := h.pickServer(c, tried)
	if ok {
		tried[r.backend] = true
		h.counters.Hedges.Add(1)
	}
	return r, ok
}

// finishHedged cancels the losing attempts and closes their responses. The context of
// the winner is cancelled when the body of its response is closed.
func finishHedged(got attemptResult, cancels []context.CancelFunc, results chan attemptResult, pending int) (*http.Response, *verdict.Error) {
	for i, cancel := range cancels {
		if i != got.index || got.err != nil {
			cancel()
		}
	}
	if pending > 0 {
		go func() {
			if loser := <-results; loser.err == nil {
				loser.resp.Body.Close()
			}
		}()
	}
	if got.err != nil {
		return nil, got.err
	}
	got.resp.Body = &onCloseBody{ReadCloser: got.resp.Body, end: cancels[got.index]}
	return got.resp, nil
}

// sendAndRecord sends one attempt and reports its outcome to the picker. The latency
// ends with the header of the response and excludes the waits for the caller's body.
func (h *Handler) sendAndRecord(ctx context.Context, c *call, r route, attempt int) (*http.Response, *verdict.Error) {
	began := h.cfg.Clock.Now()
	if !r.usable {
		h.recordOutcome(c, r.backend, 0, false)
		return nil, verdict.Unavailable(verdict.ReasonMoved, "the backend server has no dispatcher")
	}
	resp, err := h.sendAttempt(ctx, c, r, attempt)
	latency := max(h.cfg.Clock.Now().Sub(began)-c.lastStream.WaitTime(), 0)
	if err != nil {
		h.recordOutcome(c, r.backend, latency, false)
		return nil, err
	}
	ok := resp.StatusCode < http.StatusInternalServerError
	resp.Body = &onCloseBody{ReadCloser: resp.Body, end: func() { h.recordOutcome(c, r.backend, latency, ok) }}
	return resp, nil
}

// onCloseBody is a body that calls end once, when it is closed.
type onCloseBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close implements io.Closer.
func (c *onCloseBody) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.end)
	return err
}
