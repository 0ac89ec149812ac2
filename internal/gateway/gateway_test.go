package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// harness runs a gateway with one keyed service, "desk", and one without keys, "vault". It
// implements PermitClient.
type harness struct {
	t               *testing.T
	gateway         *Gateway
	server          *httptest.Server
	permit          wire.PermitReply
	permitsFail     bool          // all permit requests fail
	permitHosts     []Issuer      // hosts that grant permits, besides the dispatcher
	silentHost      string        // the permit host that does not answer
	onPermitRequest func()        // called by each permit request, if set
	tableDelay      time.Duration // how late tables arrive
	permitReleases  []wire.PermitRelease
	permitRequests  int

	mu              sync.Mutex
	table           *table.Table
	backendRequests []*http.Request
}

func newHarness(t *testing.T) *harness {
	w := &harness{t: t, table: table.Empty(), permit: wire.PermitReply{State: wire.PermitGranted}}
	w.gateway = New(Config{Host: "h1", DataCentre: "dc1", Tables: w.tables, Dialect: OwnDialect{}, Clock: clock.Real{}, Logger: zap.NewNop(),
		Permits: w,
		Limits:  Limits{RetryRatio: 0.2, RetryBurst: 10, LeaveGracePeriod: time.Second, DrainGracePeriod: time.Second}})
	w.server = httptest.NewUnstartedServer(w.gateway)
	w.server.Config.ConnContext = callerconn.WithConn
	w.server.Start()
	t.Cleanup(w.server.Close)
	w.fillRetryBudgets()
	return w
}

// fillRetryBudgets fills the retry budgets, as earlier requests would.
func (w *harness) fillRetryBudgets() {
	limits := w.gateway.cfg.Limits
	for _, service := range []string{"desk", "vault"} {
		for range int(limits.RetryBurst / limits.RetryRatio) {
			w.gateway.retryBudget(service).OnRequest()
		}
	}
}

// Issuers implements PermitClient.
func (w *harness) Issuers(b *table.Backend) []Issuer {
	return append([]Issuer{{Host: b.Dispatcher}}, w.permitHosts...)
}

// RequestPermit implements PermitClient.
func (w *harness) RequestPermit(ctx context.Context, issuer Issuer, _ wire.PermitRequest) (wire.PermitReply, error) {
	if w.onPermitRequest != nil {
		w.onPermitRequest()
	}
	if issuer.Host == w.silentHost {
		<-ctx.Done()
		return wire.PermitReply{}, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.permitRequests++
	if w.permitsFail {
		return wire.PermitReply{}, errors.New("no answer")
	}
	return w.permit, nil
}

// ReleasePermit implements PermitClient.
func (w *harness) ReleasePermit(_ Issuer, r wire.PermitRelease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.permitReleases = append(w.permitReleases, r)
}

// lastConfirmed returns the last time at which the previous table was the newest.
func (w *harness) lastConfirmed() time.Time { return time.Now().Add(-w.tableDelay) }

func (w *harness) tables() *table.Table {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table
}

// applyChange applies changes to the table as a delta from the leader would.
func (w *harness) applyChange(f func(*table.Builder)) {
	old := w.tables()
	b := table.NewBuilder(old.Revision())
	f(b)
	next, err := old.Apply(b.Delta(old.Revision() + 1))
	is.New(w.t).NoErr(err)
	w.mu.Lock()
	w.table = next
	w.mu.Unlock()
	w.gateway.TableChanged(next, w.lastConfirmed())
}

func (w *harness) configure() {
	w.applyChange(func(b *table.Builder) {
		for _, name := range []string{"desk", "vault"} {
			file := &service.File{Service: name, Version: 1}
			keyed := name == "desk"
			if keyed {
				file.Key = &service.KeySource{PathSegment: -1}
			}
			b.PutService(table.Service{File: file, Revision: 1})
			b.PutItem(items.Item{Key: items.Key{Kind: items.KindService, Name: name}, Version: 1, Service: &items.Service{Keyed: keyed, LeaseByHeartbeat: keyed}})
		}
		w.putRoute(b, "read", "/read/", "desk", true)
		w.putRoute(b, "book", "/book/", "desk", false)
		w.putRoute(b, "scan", "/scan/", "vault", false)
		w.putRoute(b, "list", "/list/", "vault", true)
	})
}

func (w *harness) putRoute(b *table.Builder, name, prefix, service string, idempotent bool) {
	b.PutItem(items.Item{Key: items.Key{Kind: items.KindRoute, Name: name}, Version: 1, Route: &items.Route{Host: "127.0.0.1", PathPrefix: prefix,
		Idempotent: idempotent, Timeout: 2 * time.Second, Target: time.Second, MaxAttempts: 2, Shares: []items.Share{{Service: service, Weight: 1}}}})
}

// startBackend starts a backend server and adds it to the table.
func (w *harness) startBackend(service, name string, serve http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		w.backendRequests = append(w.backendRequests, r)
		w.mu.Unlock()
		rw.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		serve(rw, r)
	}))
	w.t.Cleanup(s.Close)
	w.putBackend(service, name, s.Listener.Addr().String())
	return s
}

func (w *harness) putBackend(service, name, address string, change ...func(*table.Backend)) {
	w.applyChange(func(b *table.Builder) {
		r := table.Backend{Service: service, Name: name, Address: address, Slots: 4, DataCentre: "dc1", ByHeartbeat: true, Dispatcher: "h2"}
		for _, c := range change {
			c(&r)
		}
		b.PutBackend(r)
	})
}

func (w *harness) setOwner(backend string, epoch uint64) {
	w.applyChange(func(b *table.Builder) {
		b.PutSlice("desk", table.Slice{Owner: backend, Epoch: epoch, State: table.SliceOwned})
	})
}

func (w *harness) send(method, path string, body io.Reader) (int, string, http.Header) {
	req, err := http.NewRequest(method, w.server.URL+path, body)
	is.New(w.t).NoErr(err)
	req.Header.Set(wire.HeaderRequestID, "r1")
	req.Header.Set(wire.HeaderHash, "abc")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err.Error(), resp.Header
	}
	return resp.StatusCode, string(data), resp.Header
}

func (w *harness) requestsReceived() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.backendRequests)
}

func respondHello(rw http.ResponseWriter, _ *http.Request) { fmt.Fprint(rw, "hello") }

func respondNotRun(status int) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(verdict.Header, verdict.NotRun.String())
		rw.WriteHeader(status)
	}
}

func abortMidResponse(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Length", "100")
	fmt.Fprint(rw, "half")
	panic(http.ErrAbortHandler)
}

// firstThen serves the first request with one handler and the others with another.
func firstThen(first, then http.HandlerFunc) http.HandlerFunc {
	var mu sync.Mutex
	done := false
	return func(rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		serve := then
		if !done {
			done, serve = true, first
		}
		mu.Unlock()
		serve(rw, r)
	}
}

// Guards against a host without a configuration that answers 404 for routes it does not know yet.
func TestWithoutConfigurationRequestsAreUnavailable(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	is.True(!w.gateway.Ready())
	status, _, header := w.send("GET", "/read/x", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	w.configure()
	is.True(w.gateway.Ready())
	status, _, _ = w.send("GET", "/unknown/x", nil)
	is.Equal(status, http.StatusNotFound)
}

// Guards against parts of a request that a backend server needs getting lost on the way.
func TestRequestsReachKeyOwner(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("desk", "b1", respondHello)
	w.startBackend("desk", "b2", func(rw http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		fmt.Fprint(rw, r.Method, " ", r.RequestURI, " ", string(data), " ", r.Header.Get(wire.HeaderBackend))
	})
	w.setOwner("b2", 9)
	status, body, _ := w.send("POST", "/book/a%2Fb?c=d", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(body, "POST /book/a%2Fb?c=d order b2")
	is.True(w.backendRequests[0].Header.Get(wire.HeaderTimeoutMs) != "")
}

// Guards against a non-idempotent request that runs twice, an idempotent one that
// is given up although it may be retried, and wrong verdicts.
func TestRetryPolicy(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		serve    http.HandlerFunc
		status   int
		verdict  string
		arrivals int
	}{
		"idempotent, broken off":        {"/read/x", firstThen(abortMidResponse, respondHello), 200, "", 2},
		"non-idempotent, broken off":    {"/book/x", firstThen(abortMidResponse, respondHello), 502, "may-have-run", 1},
		"idempotent, failed":            {"/read/x", firstThen(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(500) }, respondHello), 200, "", 2},
		"non-idempotent, failed":        {"/book/x", firstThen(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(500) }, respondHello), 500, "", 1},
		"non-idempotent, not run":       {"/book/x", firstThen(respondNotRun(503), respondHello), 200, "", 2},
		"non-idempotent, misdirected":   {"/book/x", firstThen(respondNotRun(409), respondHello), 200, "", 2},
		"idempotent, always broken off": {"/read/x", abortMidResponse, 502, "may-have-run", 2},
		"non-idempotent, never run":     {"/book/x", respondNotRun(503), 503, "not-run", maxSends},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.configure()
			w.startBackend("desk", "b1", c.serve)
			w.setOwner("b1", 9)
			status, body, header := w.send("POST", c.path, strings.NewReader("order"))
			is.Equal(status, c.status)
			is.Equal(header.Get(verdict.Header), c.verdict)
			is.Equal(w.requestsReceived(), c.arrivals)
			if c.status == 200 {
				is.Equal(body, "hello")
			}
		})
	}
}

// Guards against a large response that looks complete although it was truncated.
func TestTruncatedLargeResponseIsAborted(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("desk", "b1", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = rw.Write(make([]byte, 2*maxBufferedResponse)) // in chunks, without an end
		panic(http.ErrAbortHandler)
	})
	w.setOwner("b1", 9)
	_, body, _ := w.send("GET", "/read/x", nil)
	is.True(strings.Contains(body, "EOF")) // the error of reading it
}

// Guards against a request that is refused, or sent to the old owner again, although its key
// gets a new owner in time.
func TestRequestWaitsForNextOwner(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	asked := make(chan struct{})
	w.startBackend("desk", "b1", firstThen(func(rw http.ResponseWriter, r *http.Request) {
		respondNotRun(409)(rw, r)
		close(asked)
	}, respondNotRun(409)))
	w.startBackend("desk", "b2", respondHello)
	w.setOwner("b1", 9)
	go func() {
		<-asked
		w.setOwner("b2", 10)
	}()
	status, body, _ := w.send("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(body, "hello")
}

// Guards against requests for a leaving or draining backend server after the grace period in
// which it still serves its keys.
func TestLeavingServerIsUsedForGracePeriod(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	now := time.Now()
	b := &table.Backend{Service: "desk", Name: "b1", Leaving: true}
	w.gateway.mu.Lock()
	w.gateway.recordDeparture(b, now)
	w.gateway.mu.Unlock()
	is.True(w.gateway.mayStillServe(b, now.Add(time.Second-1)))
	is.True(!w.gateway.mayStillServe(b, now.Add(time.Second)))
	out := &table.Backend{Service: "desk", Name: "b2", Draining: true}
	w.gateway.mu.Lock()
	w.gateway.recordDeparture(out, now)
	w.gateway.mu.Unlock()
	is.True(w.gateway.mayStillServe(out, now.Add(time.Second-1)))
	is.True(!w.gateway.mayStillServe(out, now.Add(time.Second)))
}

// Guards against a request that is sent without a permit of the dispatcher, against slots
// that stay taken after its end, and against a permit request for each request that an
// overloaded server cannot take.
func TestPermitIsRequestedAndReturned(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("desk", "b1", respondHello)
	w.setOwner("b1", 9)
	status, _, _ := w.send("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(len(w.permitReleases), 1)
	w.permit = wire.PermitReply{State: wire.PermitRefused, WaitMs: time.Hour.Milliseconds(), Reason: "used up"}
	for range 2 {
		status, _, header := w.send("POST", "/book/x", strings.NewReader("order"))
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(header.Get("Retry-After") != "")
	}
	is.Equal(w.requestsReceived(), 1)
	is.Equal(w.permitRequests, 2) // the second refusal came from the RefusalCache
}

// Guards against 404 for a route in a part of the first table that has not arrived yet.
func TestUnknownRouteBeforeTableIsComplete(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	complete := false
	w.gateway.cfg.TableComplete = func() bool { return complete }
	status, _, _ := w.send("GET", "/later/x", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	complete = true
	status, _, _ = w.send("GET", "/later/x", nil)
	is.Equal(status, http.StatusNotFound)
}

// Guards against an outage of all keys of a server when its dispatcher is lost, against
// a cold server that gets requests without a permit, and against permits that are granted
// after the timeout: each would keep a slot idle for the time of its request.
func TestRequestsWhenDispatcherIsLost(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	s := w.startBackend("desk", "b1", respondHello)
	w.setOwner("b1", 9)
	w.permitsFail = true
	status, _, _ := w.send("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(len(w.permitReleases), 1) // the permit request is withdrawn: it may have been granted
	w.applyChange(func(b *table.Builder) {
		b.PutBackend(table.Backend{Service: "desk", Name: "b1", Address: s.Listener.Addr().String(), Slots: 4, Cold: true, Dispatcher: "h3"})
	})
	status, _, header := w.send("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	is.Equal(w.requestsReceived(), 1)
}

// Guards against requests without a key that keep going to a server that cannot be reached.
func TestUnkeyedRequestsAvoidUnreachableServers(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	w.putBackend("vault", "lost", closed.Addr().String())
	w.startBackend("vault", "good", respondHello)
	for range 20 {
		status, _, _ := w.send("POST", "/scan/x", strings.NewReader("scan"))
		is.Equal(status, http.StatusOK)
	}
	is.Equal(w.requestsReceived(), 20)
}

// Guards against a host that, once its shutdown has begun, aborts requests or keeps the
// connections of callers, and against one that accepts requests that it cannot finish.
func TestShutdownServesThenRefusesRequests(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("desk", "b1", respondHello)
	w.setOwner("b1", 9)
	w.gateway.StartShutdown(time.Now().Add(time.Minute))
	is.True(!w.gateway.Ready())
	req := httptest.NewRequest("GET", "http://127.0.0.1/read/x", nil)
	req.Header.Set(wire.HeaderRequestID, "r1")
	req.Header.Set(wire.HeaderHash, "abc")
	rec := httptest.NewRecorder()
	w.gateway.ServeHTTP(rec, req)
	is.Equal(rec.Code, http.StatusOK)
	is.Equal(rec.Header().Get("Connection"), "close")
	w.gateway.StopAdmitting()
	status, _, header := w.send("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	is.Equal(w.requestsReceived(), 1)
}

// Guards against shares of requests that drift from the weights.
func TestSplitFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	m := &items.Match{Name: "r", Version: 1, Route: &items.Route{Shares: []items.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}}
	s := newSplitter()
	count := map[string]int{}
	for range 200 {
		count[s.chooseService(m)]++
	}
	is.Equal(count, map[string]int{"a": 180, "b": 20})
}

type failingReader struct {
	data string
	err  error
}

func (f *failingReader) Read(p []byte) (int, error) {
	if f.data == "" {
		return 0, f.err
	}
	n := copy(p, f.data)
	f.data = f.data[n:]
	return n, nil
}

// Guards against a second attempt that sends less, more or other bytes than the first.
func TestEachAttemptGetsSameBody(t *testing.T) {
	is := is.New(t)
	b := newReplayBody(strings.NewReader("profile scan"), 100)
	first := b.reader()
	part := make([]byte, 4)
	_, err := io.ReadFull(first, part)
	is.NoErr(err)
	whole, err := io.ReadAll(b.reader())
	is.NoErr(err)
	is.Equal(string(whole), "profile scan")
	rest, err := io.ReadAll(first)
	is.NoErr(err)
	is.Equal(string(part)+string(rest), "profile scan")

	large := newReplayBody(strings.NewReader("profile scan"), 5)
	_, err = io.ReadAll(large.reader())
	is.NoErr(err)
	is.True(!large.replayable())
	_, err = io.ReadAll(large.reader())
	is.True(err != nil) // never only a part of the body

	broken := newReplayBody(&failingReader{"half", errors.New("caller left")}, 100)
	for range 2 {
		_, err = io.ReadAll(broken.reader())
		is.True(err != nil && err.Error() == "caller left")
	}
}

// Guards against a request that is sent over and over to a server that says that it does
// not hold the key, while the table does not change.
func TestMisdirectedRetriesAreBounded(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("desk", "b1", respondNotRun(http.StatusConflict))
	w.setOwner("b1", 9)
	status, _, header := w.send("GET", "/read/x", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	is.Equal(w.requestsReceived(), maxMisdirected)
}

// A server sends a duplicate of a refusal late, where the next response is expected. Guards
// against a retry on the same connection: the duplicate carries the id of the request and
// says that it did not run, although the retry runs.
func TestDuplicateRefusalIsNotTakenForNextResponse(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	var ran atomic.Int64
	writeRefusal := func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 503 x\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.HeaderRequestID, id, verdict.Header, verdict.NotRun)
	}
	var first atomic.Bool
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				shed := first.CompareAndSwap(false, true)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					id := req.Header.Get(wire.HeaderRequestID)
					switch {
					case shed && n == 0:
						writeRefusal(c, id)
						continue
					case shed && n == 1:
						writeRefusal(c, id) // the duplicate
					}
					ran.Add(1)
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nhello", wire.HeaderRequestID, id)
				}
			}()
		}
	}()
	w.putBackend("desk", "b1", l.Addr().String())
	w.setOwner("b1", 9)
	status, body, _ := w.send("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(body, "hello")
	is.Equal(ran.Load(), int64(1))
}

// A host is silent for a while and declared lost while a request runs on it. Guards against
// running work that is given up or started again elsewhere.
func TestRunningRequestSurvivesLossOfServer(t *testing.T) {
	for _, path := range []string{"/read/x", "/book/x"} {
		t.Run(path, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.configure()
			begun, lost := make(chan struct{}), make(chan struct{})
			s := w.startBackend("desk", "b1", func(rw http.ResponseWriter, r *http.Request) {
				close(begun)
				<-lost
				respondHello(rw, r)
			})
			w.startBackend("desk", "b2", respondHello)
			w.setOwner("b1", 9)
			go func() {
				<-begun
				w.putBackend("desk", "b1", s.Listener.Addr().String(), func(b *table.Backend) { b.Lost = true })
				w.setOwner("b2", 10)
				close(lost)
			}()
			status, body, _ := w.send("POST", path, strings.NewReader("order"))
			is.Equal(status, http.StatusOK)
			is.Equal(body, "hello")
			is.Equal(w.requestsReceived(), 1)
		})
	}
}

// Guards against requests that are sent to a busy server without a permit because one of the
// permit hosts is gone.
func TestNextPermitHostIsAskedAfterTimeout(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.permitHosts, w.silentHost = []Issuer{{Host: "c2"}}, "h2"
	w.permit = wire.PermitReply{State: wire.PermitRefused, WaitMs: 100, Reason: "full"}
	w.configure()
	w.startBackend("desk", "b1", respondHello)
	w.setOwner("b1", 9)
	status, _, header := w.send("GET", "/read/x", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	is.Equal(w.requestsReceived(), 0)
	is.Equal(w.permitRequests, 1)
}
