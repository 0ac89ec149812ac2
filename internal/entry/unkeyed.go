package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/verdict"
)

// runUnkeyed sends a call to the backend server that is expected to answer
// first, and to others when that fails.
func (h *Handler) runUnkeyed(ctx context.Context, c *call) (*http.Response, *verdict.Error) {
	tried := map[string]bool{}
	last := verdict.Unavailable(verdict.ReasonNoBackend, "no backend server of the service is available")
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		r, ok := h.pick(c, tried)
		if !ok {
			break
		}
		tried[r.backend] = true
		resp, err := h.attemptHedged(ctx, c, r, attempt, tried)
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

// retryUnkeyed says whether another backend server may do better.
func retryUnkeyed(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.ReasonMoved, verdict.ReasonBackendRefused, verdict.ReasonConnectionLost, verdict.ReasonConnect,
		verdict.ReasonShutdown, verdict.ReasonSession, verdict.ReasonOverloaded, verdict.ReasonNotConfirmed:
		return true
	}
	return false
}

// reply is the outcome of one attempt.
type reply struct {
	resp *http.Response
	err  *verdict.Error
	at   int // index of the attempt
}

// attemptHedged sends a call and, when the answer is late and the call may run
// twice, sends it to a second backend server as well. The first answer wins.
func (h *Handler) attemptHedged(ctx context.Context, c *call, r route, attempt int, tried map[string]bool) (*http.Response, *verdict.Error) {
	delay, known := h.hedgeAfter(c)
	if !known || !c.idempotent || c.hasBody() {
		return h.observed(ctx, c, r, attempt)
	}
	replies := make(chan reply, 2)
	var cancels []context.CancelFunc
	start := func(r route) {
		actx, cancel := context.WithCancel(ctx)
		at := len(cancels)
		cancels = append(cancels, cancel)
		go func() {
			resp, err := h.observed(actx, c, r, attempt+at)
			replies <- reply{resp, err, at}
		}()
	}
	start(r)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for open := 1; ; {
		select {
		case got := <-replies:
			open--
			if got.err != nil && open > 0 {
				continue
			}
			return settle(got, cancels, replies, open)
		case <-timer.C:
			if second, ok := h.hedge(c, tried); ok {
				start(second)
				open++
			}
		}
	}
}

// hedge picks a second backend server when the budgets allow one.
func (h *Handler) hedge(c *call, tried map[string]bool) (route, bool) {
	if !h.hedges.TrySpend() || !h.retries.TrySpend() {
		return route{}, false
	}
	r, ok := h.pick(c, tried)
	if ok {
		tried[r.backend] = true
		h.counters.Hedges.Add(1)
	}
	return r, ok
}

// settle cancels the attempts that lost. The winner is cancelled when its
// answer was read.
func settle(got reply, cancels []context.CancelFunc, replies chan reply, open int) (*http.Response, *verdict.Error) {
	for at, cancel := range cancels {
		if at != got.at || got.err != nil {
			cancel()
		}
	}
	if open > 0 {
		go func() {
			if late := <-replies; late.err == nil {
				late.resp.Body.Close()
			}
		}()
	}
	if got.err != nil {
		return nil, got.err
	}
	got.resp.Body = &closer{ReadCloser: got.resp.Body, end: cancels[got.at]}
	return got.resp, nil
}

// observed sends one attempt and tells the picker how it went. The latency ends
// with the header of the answer and leaves out the waits for the caller's body.
func (h *Handler) observed(ctx context.Context, c *call, r route, attempt int) (*http.Response, *verdict.Error) {
	began := h.cfg.Clock.Now()
	if !r.usable {
		h.done(c, r.backend, 0, false)
		return nil, verdict.Unavailable(verdict.ReasonMoved, "the backend server has no dispatcher")
	}
	resp, err := h.attempt(ctx, c, r, attempt)
	latency := max(h.cfg.Clock.Now().Sub(began)-c.last.Waited(), 0)
	if err != nil {
		h.done(c, r.backend, latency, false)
		return nil, err
	}
	ok := resp.StatusCode < http.StatusInternalServerError
	resp.Body = &closer{ReadCloser: resp.Body, end: func() { h.done(c, r.backend, latency, ok) }}
	return resp, nil
}

// closer runs end once when the body is closed.
type closer struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close implements io.Closer.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.end)
	return err
}
