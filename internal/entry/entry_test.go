package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/dispatch"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
	"github.com/matryer/is"
)

const (
	notRun     = "not-run"
	mayHaveRun = "may-have-run"
)

func (w *fixture) putSlice(s table.Slice, hosts ...string) {
	w.updateTables(func(b *table.Builder) { b.PutSlice("desk", s) }, hosts...)
}

// The basic path of a keyed request, with and without the relay hop. Guards against
// internal and hop-by-hop headers of callers that are forwarded.
func TestKeyedRequestLocalAndRelayed(t *testing.T) {
	w := newFixture(t, nil)
	for _, host := range []string{"h1", "h2"} {
		got := w.call(host, http.MethodPost, "/desk/x", "id-"+host, strings.NewReader("hello"), "Connection", "X-Hop", "X-Hop", "1",
			wire.HeaderEpoch, "999", wire.HeaderBackend, "b2", "Agatestep-Extra", "1", "X-Forwarded-For", "192.0.2.1", "X-Own", "kept")
		w.NoErr(got.err)
		w.Equal(got.body, "hello")
		w.Equal(got.verdict, "answered")
		w.Equal(got.header.Get(wire.HeaderRequestID), "id-"+host)
		w.Equal(w.backends["b1"].executionCount("id-"+host), 1)
		h := w.backends["b1"].lastHeader
		w.Equal(h.Get(wire.HeaderEpoch), "7")
		w.Equal([]string{h.Get("X-Hop"), h.Get("Agatestep-Extra"), h.Get(wire.HeaderBackend), h.Get("X-Own")}, []string{"", "", "", "kept"})
		w.Equal(h.Get("X-Forwarded-For"), "192.0.2.1, 127.0.0.1")
		w.Equal(h.Get("Via"), "1.1 agatestep")
	}
	got := w.call("h2", http.MethodGet, "/desk/x", "not valid", nil)
	w.True(got.header.Get(wire.HeaderRequestID) != "not valid" && got.status == 200)
}

// Each invalid request gets its status, a verdict, a reason and a JSON body, and does
// not reach a backend server.
func TestRefusals(t *testing.T) {
	w := newFixture(t, func(w *fixture) { w.limits = Limits{BodyBytes: 100, HeaderBytes: 1000} })
	for _, c := range []struct {
		path   string
		body   io.Reader
		header []string
		status int
		reason verdict.Reason
	}{
		{"/none", nil, nil, 404, verdict.ReasonNoRoute},
		{"/desk/x", nil, []string{"X-Key", "second"}, 400, verdict.ReasonNoKey},
		{"/desk/x", nil, []string{wire.HeaderTimeoutMs, "soon"}, 400, verdict.ReasonBadRequest},
		{"/desk/x", nil, []string{wire.HeaderTimeoutMs, "-1"}, 400, verdict.ReasonBadRequest},
		{"/desk/x", strings.NewReader(strings.Repeat("x", 101)), nil, 413, verdict.ReasonBodyTooLarge},
		{"/desk/x", nil, []string{"X-Long", strings.Repeat("x", 1000)}, 431, verdict.ReasonHeaderTooLarge},
	} {
		got := w.call("h2", http.MethodPost, c.path, "bad", c.body, c.header...)
		w.NoErr(got.err)
		w.Equal(got.status, c.status)
		w.Equal(got.reason, c.reason)
		w.Equal(got.verdict, notRun)
		var body map[string]string
		w.NoErr(json.Unmarshal([]byte(got.body), &body))
		w.Equal([]string{body["verdict"], body["reason"], body["request_id"]}, []string{notRun, string(c.reason), "bad"})
	}
	w.Equal(w.backends["b1"].executionCount("bad"), 0)
	over := w.call("h2", http.MethodPost, "/desk/x", "chunked", struct{ io.Reader }{zeros(1000)})
	w.Equal(over.status, 413) // the length was not announced
	w.Equal(over.verdict, mayHaveRun)
}

// A host without a valid session refuses all requests as not run and fails its health
// check.
func TestInvalidSessionRefusesAll(t *testing.T) {
	w := newFixture(t, nil)
	w.Equal(w.call("h2", http.MethodGet, HealthPath, "", nil).status, 200)
	w.hosts["h2"].session.Store(&time.Time{})
	w.Equal(w.call("h2", http.MethodGet, HealthPath, "", nil).status, 503)
	for _, path := range []string{"/desk/x", "/vault/x"} {
		got := w.call("h2", http.MethodPost, path, "r", nil)
		w.Equal(got.reason, verdict.ReasonSession)
		w.Equal(got.verdict, notRun)
	}
	w.Equal(w.backends["b1"].executionCount("r")+w.backends["b2"].executionCount("r"), 0)
}

// Guards against retries of requests that may have run and are not idempotent. An
// Idempotency-Key must not cause a replay, which net/http would do.
func TestRetryPolicy(t *testing.T) {
	for _, c := range []struct {
		name, method string
		fail         func(http.ResponseWriter, *http.Request)
		body         int64
		status, sent int
		verdict      string
	}{
		{"not-run POST", "POST", refuseFenced, 10, 200, 2, "answered"},
		{"not-run GET", "GET", refuseFenced, 0, 200, 2, "answered"},
		{"lost GET", "GET", dropConnection, 0, 200, 2, "answered"},
		{"lost POST", "POST", dropConnection, 10, 502, 1, mayHaveRun},
		{"lost POST without body", "POST", dropConnection, 0, 502, 1, mayHaveRun},
		{"not-run POST of a streamed body", "POST", refuseAfterPartOfBody, 1 << 20, 503, 1, notRun},
		{"not-run POST of a chunked body", "POST", refuseAfterPartOfBody, -1 << 20, 503, 1, notRun},
	} {
		for _, host := range []string{"h1", "h2"} {
			t.Run(c.name+" "+host, func(t *testing.T) {
				w := newFixture(t, nil)
				w.Equal(w.call(host, c.method, "/desk/x", "warm", nil).status, 200) // leaves an idle connection
				w.backends["b1"].handleFirst(1, c.fail)
				var body io.Reader
				if c.body != 0 {
					body = zeros(max(c.body, -c.body))
				}
				got := w.call(host, c.method, "/desk/x", "r", body, "Idempotency-Key", "k", "Content-Length", fmt.Sprint(max(c.body, 0)))
				w.NoErr(got.err)
				w.Equal(got.status, c.status)
				w.Equal(got.verdict, c.verdict)
				w.Equal(w.backends["b1"].executionCount("r"), c.sent)
			})
		}
	}
}

// Guards against unbounded retries when every request fails.
func TestRetryBudget(t *testing.T) {
	w := newFixture(t, func(w *fixture) { w.limits = Limits{RetryBurst: 2} })
	w.backends["b1"].setHandler(dropConnection)
	sent := 0
	for i := range 30 {
		id := fmt.Sprint("r", i)
		w.Equal(w.call("h1", http.MethodGet, "/desk/x", id, nil).verdict, mayHaveRun)
		sent += w.backends["b1"].executionCount(id)
	}
	w.True(sent <= 30+2+3) // burst and a tenth of the requests
}

// An entry host has an outdated table: the dispatcher refuses as moved, and the request
// runs once when the newer table arrives. A large body has not been read until then.
func TestRequestRunsOnceNewerTableArrives(t *testing.T) {
	for _, size := range []int64{10, 1 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			w := newFixture(t, nil)
			next := table.Slice{Owner: "b2", Epoch: 8, State: table.SliceOwned}
			w.putSlice(next, "h1")
			lost := w.call("h2", http.MethodPost, "/desk/x", "stale", zeros(size))
			w.Equal(lost.status, 503)
			w.Equal(lost.reason, verdict.ReasonMoved)
			w.Equal(lost.verdict, notRun)

			done := make(chan callerResponse, 1)
			relayed := w.hosts["h2"].entry.counters.Relayed.Value()
			go func() { done <- w.call("h2", http.MethodPost, "/desk/x", "r", zeros(size)) }()
			w.waitFor("refusal as moved", func() bool { return w.hosts["h2"].entry.counters.Relayed.Value() > relayed })
			w.putSlice(next, "h2")
			got := <-done
			w.Equal(got.status, 200)
			w.Equal(int64(len(got.body)), size)
			w.Equal(w.backends["b2"].executionCount("r"), 1)
			w.Equal(w.backends["b1"].executionCount("r")+w.backends["b1"].executionCount("stale")+w.backends["b2"].executionCount("stale"), 0)
		})
	}
}

// Requests for a slice that is being moved wait for the new owner, at most until their
// deadline.
func TestRequestWaitsForNewOwner(t *testing.T) {
	w := newFixture(t, nil)
	w.putSlice(table.Slice{Owner: "b1", Next: "b2", Epoch: 5, State: table.SliceReleasing}, "h1", "h2")
	got := w.call("h2", http.MethodPost, "/desk/x", "late", nil, wire.HeaderTimeoutMs, "30")
	w.Equal(got.verdict, notRun)
	done := make(chan callerResponse, 1)
	go func() { done <- w.call("h2", http.MethodPost, "/desk/x", "r", nil) }()
	w.waitFor("waiting", func() bool { h := w.hosts["h2"].entry; h.mu.Lock(); defer h.mu.Unlock(); return h.waiting == 1 })
	w.Equal(w.hosts["h2"].entry.counters.Relayed.Value(), int64(0)) // costs no attempt
	w.putSlice(table.Slice{Owner: "b2", Epoch: 8, State: table.SliceOwned}, "h1", "h2")
	w.Equal((<-done).status, 200)
	w.Equal(w.backends["b2"].executionCount("r"), 1)
	w.Equal(w.backends["b1"].executionCount("r"), 0)
}

// Guards against false verdicts for failures of the relay hop.
func TestRelayFailures(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		refuse       bool
		verdict      string
		reason       verdict.Reason
	}{
		{"no connection", "", true, notRun, verdict.ReasonConnect},
		{"closed", "", false, mayHaveRun, verdict.ReasonConnectionLost},
		{"no verdict", "HTTP/1.1 200 OK\r\nAgatestep-Request-Id: r\r\nContent-Length: 0\r\n\r\n", false, mayHaveRun, verdict.ReasonBadAnswer},
		{"foreign", "HTTP/1.1 200 OK\r\nAgatestep-Request-Id: q\r\nAgatestep-Verdict: answered\r\nContent-Length: 0\r\n\r\n", false, mayHaveRun, verdict.ReasonForeignAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, nil)
			relay := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				conn, _, _ := rw.(http.Hijacker).Hijack()
				_, _ = io.WriteString(conn, c.answer)
				_ = conn.Close()
			}))
			defer relay.Close()
			if c.refuse {
				relay.Close()
			}
			w.updateTables(func(b *table.Builder) {
				b.PutHost(table.Host{Name: "h1", RelayAddress: relay.Listener.Addr().String()})
			}, "h2")
			got := w.call("h2", http.MethodPost, "/desk/x", "r", strings.NewReader("x"), wire.HeaderTimeoutMs, "200")
			w.NoErr(got.err)
			w.Equal(got.verdict, c.verdict)
			w.Equal(got.reason, c.reason)
		})
	}
}

// Guards against a truncated response that looks complete to the caller.
func TestTruncatedResponseIsAborted(t *testing.T) {
	for _, head := range []string{"Content-Length: 9\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"} {
		for _, host := range []string{"h1", "h2"} {
			w := newFixture(t, nil)
			w.backends["b1"].setHandler(func(rw http.ResponseWriter, r *http.Request) {
				c, _, _ := rw.(http.Hijacker).Hijack()
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAgatestep-Request-Id: "+r.Header.Get(wire.HeaderRequestID)+"\r\n"+head)
				_ = c.Close()
			})
			got := w.call(host, http.MethodGet, "/desk/x", "r", nil)
			w.True(got.err != nil)
			w.Equal(w.backends["b1"].executionCount("r"), 1)
		}
	}
}

// Cancellation and deadlines over the relay: the backend server sees its connection
// close, and the caller is told that the request may have run. The caller cannot ask
// for more time than the service file allows.
func TestCancelAndDeadlineReachBackend(t *testing.T) {
	w := newFixture(t, func(w *fixture) { w.files["desk"].Deadline.Max = 500 * time.Millisecond })
	closed := make(chan struct{}, 2)
	w.backends["b1"].setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); closed <- struct{}{} })
	got := w.call("h2", http.MethodPost, "/desk/x", "late", nil, wire.HeaderTimeoutMs, "60000")
	w.Equal(got.status, 504)
	w.Equal(got.verdict, mayHaveRun)
	<-closed
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, w.hosts["h2"].server.URL+"/desk/x", nil)
	r.Header.Set("X-Key", "k")
	r.Header.Set(wire.HeaderRequestID, "gone")
	go func() {
		w.waitFor("request on the backend server", func() bool { return w.backends["b1"].executionCount("gone") == 1 })
		cancel()
	}()
	_, err := http.DefaultTransport.RoundTrip(r)
	w.True(err != nil)
	<-closed
}

// Guards against buffered uploads: 50 MB over the relay allocate less than 4 MB in
// caller, hosts and backend server together.
func TestUploadIsStreamed(t *testing.T) {
	w := newFixture(t, nil)
	const size = 50 << 20
	w.backends["b1"].setHandler(func(rw http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(rw, n)
	})
	w.Equal(w.call("h2", http.MethodPost, "/desk/x", "warm", nil).status, 200)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	got := w.call("h2", http.MethodPost, "/desk/x", "r", zeros(size), wire.HeaderTimeoutMs, "30000", "Content-Length", fmt.Sprint(size))
	runtime.ReadMemStats(&after)
	w.Equal(got.body, fmt.Sprint(size))
	t.Logf("allocated %d KiB", (after.TotalAlloc-before.TotalAlloc)>>10)
	w.True(after.TotalAlloc-before.TotalAlloc < 4<<20)
}

// Planned stop: new requests are refused as not run, the health check fails, and an
// upload in flight completes.
func TestShutdownFinishesUpload(t *testing.T) {
	w := newFixture(t, nil)
	reader, writer := io.Pipe()
	done := make(chan callerResponse, 1)
	go func() { done <- w.call("h2", http.MethodPost, "/desk/x", "r", reader) }()
	_, _ = writer.Write([]byte("first "))
	w.waitFor("upload on the backend server", func() bool { return w.backends["b1"].executionCount("r") == 1 })
	for _, h := range w.hosts {
		h.entry.StartShutdown()
	}
	over, cancel := context.WithCancel(context.Background())
	cancel()
	w.Equal(w.hosts["h2"].entry.Shutdown(over), context.Canceled)
	w.Equal(w.call("h2", http.MethodGet, HealthPath, "", nil).status, 503)
	got := w.call("h2", http.MethodPost, "/desk/x", "new", nil)
	w.Equal(got.reason, verdict.ReasonShutdown)
	w.Equal(got.verdict, notRun)
	_, _ = writer.Write([]byte("second"))
	_ = writer.Close()
	w.Equal((<-done).body, "first second")
	w.NoErr(w.hosts["h2"].entry.Shutdown(context.Background()))
	w.NoErr(w.hosts["h1"].dispatcher.Shutdown(context.Background()))
}

// Services without keys: a refused request is retried at another server, a late one is
// hedged when idempotent, and hedges stay within their budget.
func TestUnkeyedRetriesAndHedges(t *testing.T) {
	w := newFixture(t, func(w *fixture) { w.limits = Limits{RetryBurst: 5, RetryRatio: 1, HedgeRatio: 0.01} })
	b1, b2 := w.backends["b1"], w.backends["b2"]
	b1.setHandler(refuseFenced)
	for i := range 20 {
		id := fmt.Sprint("r", i)
		w.Equal(w.call("h2", http.MethodPost, "/vault/x", id, strings.NewReader(id)).body, id)
		w.True(b1.executionCount(id) <= 1 && b2.executionCount(id) == 1)
	}
	b1.setHandler(nil)
	for i := range 100 { // enough samples for a hedge delay
		w.Equal(w.call("h2", http.MethodGet, "/vault/x", fmt.Sprint("g", i), nil).status, 200)
	}
	stuck := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	late := func(rw http.ResponseWriter, r *http.Request) { // the first server that gets a request
		if id := r.Header.Get(wire.HeaderRequestID); b1.executionCount(id)+b2.executionCount(id) == 1 {
			stuck(rw, r)
		}
	}
	b1.setHandler(late)
	b2.setHandler(late)
	for i := range 10 {
		for range 100 {
			w.hosts["h2"].entry.hedges.OnRequest() // the budget for one hedge
		}
		w.Equal(w.call("h2", http.MethodGet, "/vault/x", fmt.Sprint("h", i), nil).status, 200)
	}
	b1.setHandler(stuck)
	b2.setHandler(stuck)
	w.Equal(w.call("h2", http.MethodPost, "/vault/x", "p", nil, wire.HeaderTimeoutMs, "400").verdict, mayHaveRun)
	w.Equal(b1.executionCount("p")+b2.executionCount("p"), 1)
	sent := 0
	for i := range 15 {
		id := fmt.Sprint("s", i)
		w.call("h2", http.MethodGet, "/vault/x", id, nil, wire.HeaderTimeoutMs, "40")
		sent += b1.executionCount(id) + b2.executionCount(id)
	}
	w.True(sent <= 15+6) // burst and a hundredth of the requests
}

// Guards against a false may-have-run for a request that waits too long on the dispatcher:
// the dispatcher gets less time than this host has, so that its refusal arrives in time.
func TestRelayedTimeoutLeavesMargin(t *testing.T) {
	is, now := is.New(t), clock.NewFake(time.Now())
	h := New(Config{Clock: now})
	for left, want := range map[time.Duration]string{time.Second: "980", 50 * time.Millisecond: "40"} {
		r := &dispatch.Request{URI: "/x", Header: http.Header{}, Deadline: now.Now().Add(left)}
		out, err := h.relayRequest(context.Background(), r, route{address: "127.0.0.1:1"}, 1)
		is.NoErr(err)
		is.Equal(out.Header.Get(wire.HeaderTimeoutMs), want)
	}
}
