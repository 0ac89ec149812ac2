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

// world is a gateway with one keyed service, "desk", and one without keys, "vault".
type world struct {
	t       *testing.T
	gateway *Gateway
	server  *httptest.Server
	permit  wire.PermitReply
	lost    bool          // no dispatcher answers
	desks   []Desk        // that may keep queues, besides the dispatcher
	mute    string        // the desk that does not answer
	asked   func()        // called by each ask, if set
	late    time.Duration // how late tables come
	ends    []wire.PermitDone
	asks    int

	mu    sync.Mutex
	table *table.Table
	seen  []*http.Request
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, table: table.Empty(), permit: wire.PermitReply{State: wire.PermitGranted}}
	w.gateway = New(Config{Host: "h1", DataCentre: "dc1", Tables: w.tables, Dialect: OwnDialect{}, Clock: clock.Real{}, Logger: zap.NewNop(),
		Permits: w,
		Limits:  Limits{RetryRatio: 0.2, RetryBurst: 10, LeaveFor: time.Second, EvacuateFor: time.Second}})
	w.server = httptest.NewUnstartedServer(w.gateway)
	w.server.Config.ConnContext = callerconn.Context
	w.server.Start()
	t.Cleanup(w.server.Close)
	w.earnRetries()
	return w
}

// earnRetries fills the budgets for sending again, as requests before the test would.
func (w *world) earnRetries() {
	limits := w.gateway.cfg.Limits
	for _, service := range []string{"desk", "vault"} {
		for range int(limits.RetryBurst / limits.RetryRatio) {
			w.gateway.budget(service).OnRequest()
		}
	}
}

// Desks implements Permits.
func (w *world) Desks(b *table.Backend) []Desk {
	return append([]Desk{{Host: b.Dispatcher}}, w.desks...)
}

// Ask implements Permits.
func (w *world) Ask(ctx context.Context, d Desk, _ wire.PermitAsk) (wire.PermitReply, error) {
	if w.asked != nil {
		w.asked()
	}
	if d.Host == w.mute {
		<-ctx.Done()
		return wire.PermitReply{}, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asks++
	if w.lost {
		return wire.PermitReply{}, errors.New("no answer")
	}
	return w.permit, nil
}

// Done implements Permits.
func (w *world) Done(_ Desk, r wire.PermitDone) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, r)
}

// since is until when the table before was the newest.
func (w *world) since() time.Time { return time.Now().Add(-w.late) }

func (w *world) tables() *table.Table {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table
}

// change applies changes to the table as a delta from the leader would.
func (w *world) change(f func(*table.Builder)) {
	old := w.tables()
	b := table.NewBuilder(old.Revision())
	f(b)
	next, err := old.Apply(b.Delta(old.Revision() + 1))
	is.New(w.t).NoErr(err)
	w.mu.Lock()
	w.table = next
	w.mu.Unlock()
	w.gateway.TableChanged(next, w.since())
}

func (w *world) configure() {
	w.change(func(b *table.Builder) {
		for _, name := range []string{"desk", "vault"} {
			file := &service.File{Service: name, Version: 1}
			keyed := name == "desk"
			if keyed {
				file.Key = &service.KeySource{PathSegment: -1}
			}
			b.PutService(table.Service{File: file, Revision: 1})
			b.PutItem(items.Item{Key: items.Key{Kind: items.KindService, Name: name}, Version: 1, Service: &items.Service{Keyed: keyed, LeaseByHeartbeat: keyed}})
		}
		w.route(b, "read", "/read/", "desk", true)
		w.route(b, "book", "/book/", "desk", false)
		w.route(b, "scan", "/scan/", "vault", false)
		w.route(b, "list", "/list/", "vault", true)
	})
}

func (w *world) route(b *table.Builder, name, prefix, service string, idempotent bool) {
	b.PutItem(items.Item{Key: items.Key{Kind: items.KindRoute, Name: name}, Version: 1, Route: &items.Route{Host: "127.0.0.1", PathPrefix: prefix,
		Idempotent: idempotent, Timeout: 2 * time.Second, Target: time.Second, MaxAttempts: 2, Shares: []items.Share{{Service: service, Weight: 1}}}})
}

// backend starts a backend server and puts it into the table.
func (w *world) backend(service, name string, serve http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		w.seen = append(w.seen, r)
		w.mu.Unlock()
		rw.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		serve(rw, r)
	}))
	w.t.Cleanup(s.Close)
	w.put(service, name, s.Listener.Addr().String())
	return s
}

func (w *world) put(service, name, address string, change ...func(*table.Backend)) {
	w.change(func(b *table.Builder) {
		r := table.Backend{Service: service, Name: name, Address: address, Slots: 4, DataCentre: "dc1", ByHeartbeat: true, Dispatcher: "h2"}
		for _, c := range change {
			c(&r)
		}
		b.PutBackend(r)
	})
}

func (w *world) own(backend string, epoch uint64) {
	w.change(func(b *table.Builder) {
		b.PutSlice("desk", table.Slice{Owner: backend, Epoch: epoch, State: table.SliceOwned})
	})
}

func (w *world) ask(method, path string, body io.Reader) (int, string, http.Header) {
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

func (w *world) arrivals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.seen)
}

func hello(rw http.ResponseWriter, _ *http.Request) { fmt.Fprint(rw, "hello") }

func notRun(status int) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(verdict.Header, verdict.NotRun.String())
		rw.WriteHeader(status)
	}
}

func breakOff(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Length", "100")
	fmt.Fprint(rw, "half")
	panic(http.ErrAbortHandler)
}

// once serves the first request by one handler and the others by another.
func once(first, then http.HandlerFunc) http.HandlerFunc {
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

// Guards against a host without a configuration that denies routes it does not know.
func TestWithoutConfigurationNothingIsDenied(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	is.True(!w.gateway.Ready())
	status, _, header := w.ask("GET", "/read/x", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	w.configure()
	is.True(w.gateway.Ready())
	status, _, _ = w.ask("GET", "/unknown/x", nil)
	is.Equal(status, http.StatusNotFound)
}

// Guards against what a backend server needs to know getting lost on the way.
func TestRequestsReachTheOwnerOfTheirKey(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.backend("desk", "b1", hello)
	w.backend("desk", "b2", func(rw http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		fmt.Fprint(rw, r.Method, " ", r.RequestURI, " ", string(data), " ", r.Header.Get(wire.HeaderBackend))
	})
	w.own("b2", 9)
	status, body, _ := w.ask("POST", "/book/a%2Fb?c=d", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(body, "POST /book/a%2Fb?c=d order b2")
	is.True(w.seen[0].Header.Get(wire.HeaderTimeoutMs) != "")
}

// Guards against a non-idempotent request that runs twice, an idempotent one that
// is given up although it may be repeated, and refusals that are not true.
func TestWhatIsSentAgain(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		serve    http.HandlerFunc
		status   int
		verdict  string
		arrivals int
	}{
		"idempotent, broken off":      {"/read/x", once(breakOff, hello), 200, "", 2},
		"non-idempotent, broken off":  {"/book/x", once(breakOff, hello), 502, "may-have-run", 1},
		"idempotent, failed":          {"/read/x", once(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(500) }, hello), 200, "", 2},
		"non-idempotent, failed":      {"/book/x", once(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(500) }, hello), 500, "", 1},
		"non-idempotent, not run":     {"/book/x", once(notRun(503), hello), 200, "", 2},
		"non-idempotent, misdirected": {"/book/x", once(notRun(409), hello), 200, "", 2},
		"no longer than allowed":      {"/read/x", breakOff, 502, "may-have-run", 2},
		"never run":                   {"/book/x", notRun(503), 503, "not-run", maxSends},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newWorld(t)
			w.configure()
			w.backend("desk", "b1", c.serve)
			w.own("b1", 9)
			status, body, header := w.ask("POST", c.path, strings.NewReader("order"))
			is.Equal(status, c.status)
			is.Equal(header.Get(verdict.Header), c.verdict)
			is.Equal(w.arrivals(), c.arrivals)
			if c.status == 200 {
				is.Equal(body, "hello")
			}
		})
	}
}

// Guards against a large answer that looks complete although it broke off.
func TestLargeAnswerThatBreaksOffIsAborted(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.backend("desk", "b1", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = rw.Write(make([]byte, 2*smallAnswer)) // in chunks, without an end
		panic(http.ErrAbortHandler)
	})
	w.own("b1", 9)
	_, body, _ := w.ask("GET", "/read/x", nil)
	is.True(strings.Contains(body, "EOF")) // the error of reading it
}

// Guards against a request that is refused although its key gets a new owner while
// there is time, and that reaches the old one again.
func TestWaitsForTheNextOwner(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	asked := make(chan struct{})
	w.backend("desk", "b1", once(func(rw http.ResponseWriter, r *http.Request) {
		notRun(409)(rw, r)
		close(asked)
	}, notRun(409)))
	w.backend("desk", "b2", hello)
	w.own("b1", 9)
	go func() {
		<-asked
		w.own("b2", 10)
	}()
	status, body, _ := w.ask("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(body, "hello")
}

// Guards against requests for a backend server that announced its end, after the
// time in which it still serves its keys.
func TestLeavingServerIsUsedForAShortTime(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	now := time.Now()
	b := &table.Backend{Service: "desk", Name: "b1", Leaving: true}
	w.gateway.mu.Lock()
	w.gateway.note(b, now)
	w.gateway.mu.Unlock()
	is.True(w.gateway.mayServeHeld(b, now.Add(time.Second-1)))
	is.True(!w.gateway.mayServeHeld(b, now.Add(time.Second)))
	out := &table.Backend{Service: "desk", Name: "b2", Draining: true}
	w.gateway.mu.Lock()
	w.gateway.note(out, now)
	w.gateway.mu.Unlock()
	is.True(w.gateway.mayServeHeld(out, now.Add(time.Second-1)))
	is.True(!w.gateway.mayServeHeld(out, now.Add(time.Second)))
}

// Guards against a request that is sent without the leave of the dispatcher, and
// against slots that stay taken after its end. Guards against an ask for each request
// that a hot server cannot take.
func TestPermits(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.backend("desk", "b1", hello)
	w.own("b1", 9)
	status, _, _ := w.ask("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(len(w.ends), 1)
	w.permit = wire.PermitReply{State: wire.PermitRefused, WaitMs: time.Hour.Milliseconds(), Reason: "used up"}
	for range 2 {
		status, _, header := w.ask("POST", "/book/x", strings.NewReader("order"))
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(header.Get("Retry-After") != "")
	}
	is.Equal(w.arrivals(), 1)
	is.Equal(w.asks, 2) // the second refusal came from what the host remembers
}

// Guards against 404 for a route that stands in a part of the first table which is
// still to come.
func TestUnknownRouteBeforeTheWholeTable(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	complete := false
	w.gateway.cfg.Complete = func() bool { return complete }
	status, _, _ := w.ask("GET", "/later/x", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	complete = true
	status, _, _ = w.ask("GET", "/later/x", nil)
	is.Equal(status, http.StatusNotFound)
}

// Guards against an outage of all keys of a server when its dispatcher is lost,
// against a cold server that gets requests nobody counts, and against permits of asks
// whose answers are late: each would keep a slot idle for the time of its request.
func TestLostDispatcher(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	s := w.backend("desk", "b1", hello)
	w.own("b1", 9)
	w.lost = true
	status, _, _ := w.ask("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(len(w.ends), 1) // the ask is taken back: it may have been granted
	w.change(func(b *table.Builder) {
		b.PutBackend(table.Backend{Service: "desk", Name: "b1", Address: s.Listener.Addr().String(), Slots: 4, Cold: true, Dispatcher: "h3"})
	})
	status, _, header := w.ask("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	is.Equal(w.arrivals(), 1)
}

// Guards against a service without keys that stays with a server that cannot be reached.
func TestUnkeyedRequestsPassOverLostServers(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	w.put("vault", "lost", closed.Addr().String())
	w.backend("vault", "good", hello)
	for range 20 {
		status, _, _ := w.ask("POST", "/scan/x", strings.NewReader("scan"))
		is.Equal(status, http.StatusOK)
	}
	is.Equal(w.arrivals(), 20)
}

// Guards against a stopping host that breaks off requests, keeps callers, or takes
// requests that it cannot finish.
func TestStoppingHost(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.backend("desk", "b1", hello)
	w.own("b1", 9)
	w.gateway.StartShutdown()
	is.True(!w.gateway.Ready())
	req := httptest.NewRequest("GET", "http://127.0.0.1/read/x", nil)
	req.Header.Set(wire.HeaderRequestID, "r1")
	req.Header.Set(wire.HeaderHash, "abc")
	rec := httptest.NewRecorder()
	w.gateway.ServeHTTP(rec, req)
	is.Equal(rec.Code, http.StatusOK)
	is.Equal(rec.Header().Get("Connection"), "close")
	w.gateway.StopTaking()
	status, _, header := w.ask("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	is.Equal(w.arrivals(), 1)
}

// Guards against shares of requests that drift from the weights.
func TestSplitFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	m := &items.Match{Name: "r", Version: 1, Route: &items.Route{Shares: []items.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}}
	s := newSplitter()
	count := map[string]int{}
	for range 200 {
		count[s.choose(m)]++
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
func TestBodyIsTheSameForEachAttempt(t *testing.T) {
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
	is.True(err != nil) // never a part of it

	broken := newReplayBody(&failingReader{"half", errors.New("caller left")}, 100)
	for range 2 {
		_, err = io.ReadAll(broken.reader())
		is.True(err != nil && err.Error() == "caller left")
	}
}

// Guards against a request that is sent over and over to a server that says that it does
// not hold the key, while the table says nothing new.
func TestServerWithoutTheKeyIsNotAskedAgainAndAgain(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.backend("desk", "b1", notRun(http.StatusConflict))
	w.own("b1", 9)
	status, _, header := w.ask("GET", "/read/x", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	is.Equal(w.arrivals(), maxMisdirected)
}

// A server sends the copy of an answer late, where the next answer is expected. Guards
// against a request that is sent again on the same connection: the copy carries its id,
// says that it did not run, and the request runs all the same.
func TestCopyOfARefusalIsNotTakenForTheNextAnswer(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	var ran atomic.Int64
	refused := func(c net.Conn, id string) {
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
						refused(c, id)
						continue
					case shed && n == 1:
						refused(c, id) // the copy
					}
					ran.Add(1)
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nhello", wire.HeaderRequestID, id)
				}
			}()
		}
	}()
	w.put("desk", "b1", l.Addr().String())
	w.own("b1", 9)
	status, body, _ := w.ask("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(body, "hello")
	is.Equal(ran.Load(), int64(1))
}

// A machine is silent for a while and counted as lost while a request runs there. Guards
// against running work that is given up or started again elsewhere.
func TestRunningRequestOutlastsTheLossOfItsServer(t *testing.T) {
	for _, path := range []string{"/read/x", "/book/x"} {
		t.Run(path, func(t *testing.T) {
			is, w := is.New(t), newWorld(t)
			w.configure()
			begun, lost := make(chan struct{}), make(chan struct{})
			s := w.backend("desk", "b1", func(rw http.ResponseWriter, r *http.Request) {
				close(begun)
				<-lost
				hello(rw, r)
			})
			w.backend("desk", "b2", hello)
			w.own("b1", 9)
			go func() {
				<-begun
				w.put("desk", "b1", s.Listener.Addr().String(), func(b *table.Backend) { b.Lost = true })
				w.own("b2", 10)
				close(lost)
			}()
			status, body, _ := w.ask("POST", path, strings.NewReader("order"))
			is.Equal(status, http.StatusOK)
			is.Equal(body, "hello")
			is.Equal(w.arrivals(), 1)
		})
	}
}

// Guards against a request that is sent without a permit, one of many at a busy server,
// because one of the hosts that keep queues is gone.
func TestNextHostIsAskedWhenOneIsSilent(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.desks, w.mute = []Desk{{Host: "c2"}}, "h2"
	w.permit = wire.PermitReply{State: wire.PermitRefused, WaitMs: 100, Reason: "full"}
	w.configure()
	w.backend("desk", "b1", hello)
	w.own("b1", 9)
	status, _, header := w.ask("GET", "/read/x", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	is.Equal(w.arrivals(), 0)
	is.Equal(w.asks, 1)
}
