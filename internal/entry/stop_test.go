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

// stopTime is how long the stops of these tests may take.
const stopTime = 300 * time.Millisecond

// begin sends a request and waits until b1 has it.
func (w *world) begin(on, id string) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- w.call(on, http.MethodPost, "/desk/x", id, nil, wire.HeaderTimeoutMs, "30000") }()
	w.until("on the backend server", func() bool { return w.backends["b1"].ran(id) == 1 })
	return done
}

// Guards against a stop of the dispatcher that ends relayed requests without an answer, and so
// leaves the entry host to guess.
func TestStopOfTheDispatcherAnswersRelayedRequests(t *testing.T) {
	w := newWorld(t, nil)
	w.backends["b1"].set(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	done := w.begin("h2", "r")
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	w.NoErr(w.hosts["h1"].d.Shutdown(ctx))
	got := <-done
	w.NoErr(got.err)
	w.Equal(got.status, http.StatusGatewayTimeout)
	w.Equal(got.verdict, mayHaveRun)
	w.Equal(got.reason, verdict.ReasonShutdown)
}

// Guards against an answer on its way to its caller that is cut off because the requests without
// one are ended.
func TestEndOfCallsLetsAnswersGoOn(t *testing.T) {
	for _, host := range []string{"h1", "h2"} {
		w := newWorld(t, nil)
		ended := make(chan struct{})
		w.backends["b1"].set(func(rw http.ResponseWriter, _ *http.Request) {
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
			h.entry.EndCalls()
			h.d.EndCalls()
		}
		time.Sleep(50 * time.Millisecond)
		close(ended)
		body, err := io.ReadAll(resp.Body)
		w.NoErr(err)
		w.Equal(string(body), "first second")
	}
}

// Guards against a stop that waits in vain for a small body and ends its request without an answer.
func TestStopAnswersARequestWithAStalledSmallBody(t *testing.T) {
	w := newWorld(t, nil)
	s, h := w.stall("/desk/x", patience), w.hosts["h1"].entry
	w.until("in flight", func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.inFlight == 1 })
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTime)
		defer cancel()
		_ = h.Shutdown(ctx)
	}()
	resp := s.answer(w)
	w.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	w.Equal(resp.Header.Get(verdict.ReasonHeader), string(verdict.ReasonShutdown))
}
