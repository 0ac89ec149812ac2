package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// stopTimeout bounds the time that a shutdown in these tests may take.
const stopTimeout = 300 * time.Millisecond

// startOnBackend sends a request in the background and waits until b1 executes it.
func (w *fixture) startOnBackend(on, id string) <-chan callerResponse {
	done := make(chan callerResponse, 1)
	go func() { done <- w.call(on, http.MethodPost, "/desk/x", id, nil, wire.HeaderTimeoutMs, "30000") }()
	w.waitFor("on the backend server", func() bool { return w.backends["b1"].executionCount(id) == 1 })
	return done
}

// Guards against a stop of the dispatcher that ends relayed requests without a response: the
// entry host could then not tell why they failed.
func TestDispatcherStopAnswersRelayedRequests(t *testing.T) {
	w := newFixture(t, nil)
	w.backends["b1"].setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	done := w.startOnBackend("h2", "r")
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	w.NoErr(w.hosts["h1"].dispatcher.Shutdown(ctx))
	got := <-done
	w.NoErr(got.err)
	w.Equal(got.status, http.StatusGatewayTimeout)
	w.Equal(got.verdict, mayHaveRun)
	w.Equal(got.reason, verdict.ReasonShutdown)
}

// Guards against EndRequests cutting off responses that have already begun: it must only end
// requests without a response.
func TestEndRequestsKeepsStartedResponses(t *testing.T) {
	for _, host := range []string{"h1", "h2"} {
		w := newFixture(t, nil)
		ended := make(chan struct{})
		w.backends["b1"].setHandler(func(rw http.ResponseWriter, _ *http.Request) {
			rw.WriteHeader(http.StatusOK)
			_, _ = io.WriteString(rw, "first ")
			_ = http.NewResponseController(rw).Flush()
			<-ended
			_, _ = io.WriteString(rw, "second")
		})
		r, err := http.NewRequest(http.MethodPost, w.hosts[host].server.URL+"/desk/x", nil)
		w.NoErr(err)
		r.Header.Set("X-Key", "k")
		resp, err := http.DefaultTransport.RoundTrip(r)
		w.NoErr(err)
		defer resp.Body.Close()
		for _, h := range w.hosts {
			h.entry.EndRequests()
			h.dispatcher.EndRequests()
		}
		time.Sleep(50 * time.Millisecond)
		close(ended)
		body, err := io.ReadAll(resp.Body)
		w.NoErr(err)
		w.Equal(string(body), "first second")
	}
}

// Guards against a stop that waits for a stalled small body and then ends its request without an
// response.
func TestStopAnswersRequestWithStalledSmallBody(t *testing.T) {
	w := newFixture(t, nil)
	s, h := w.dialStalled("/desk/x", waitTimeout), w.hosts["h1"].entry
	w.waitFor("in flight", func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.inFlight == 1 })
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = h.Shutdown(ctx)
	}()
	resp := s.readResponse(w)
	w.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	w.Equal(resp.Header.Get(verdict.ReasonHeader), string(verdict.ReasonShutdown))
}
