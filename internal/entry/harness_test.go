package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/dispatch"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
	"github.com/matryer/is"
)

// backend is a fake backend server that counts executions by request id.
type backend struct {
	*httptest.Server
	mu         sync.Mutex
	executions map[string]int
	lastHeader http.Header
	handle     func(w http.ResponseWriter, r *http.Request)
}

func newBackend(t testing.TB) *backend {
	b := &backend{executions: map[string]int{}}
	b.Server = httptest.NewServer(b)
	t.Cleanup(b.CloseClientConnections)
	return b
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == wire.OrderPath {
		var o wire.OwnershipOrder
		_ = json.NewDecoder(r.Body).Decode(&o)
		_ = json.NewEncoder(w).Encode(wire.OwnershipOrderReply{Accepted: true, Incarnation: o.Incarnation, Epoch: o.Epoch, Slices: o.Slices})
		return
	}
	id := r.Header.Get(wire.HeaderRequestID)
	b.mu.Lock()
	b.executions[id]++
	b.lastHeader = r.Header.Clone()
	handle := b.handle
	b.mu.Unlock()
	w.Header().Set(wire.HeaderRequestID, id)
	if handle != nil {
		handle(w, r)
		return
	}
	echo(w, r)
}

// echo reads the whole body first, because net/http drops the rest of it when
// the response begins.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (b *backend) executionCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.executions[id]
}

func (b *backend) setHandler(handle func(w http.ResponseWriter, r *http.Request)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handle = handle
}

// host is one entry host with its dispatcher.
type host struct {
	name       string
	table      atomic.Pointer[table.Table]
	session    atomic.Pointer[time.Time]
	dispatcher *dispatch.Dispatcher
	entry      *Handler
	server     *httptest.Server
	relay      *httptest.Server
}

// fixture has two hosts. h1 is the dispatcher of all backend servers. The service
// desk is keyed and owned by b1; the service vault is not, and has b1 and b2.
type fixture struct {
	*is.I
	t        testing.TB
	hosts    map[string]*host
	backends map[string]*backend
	limits   Limits
	files    map[string]*service.File
}

func newFixture(t testing.TB, change func(w *fixture)) *fixture {
	w := &fixture{I: is.New(t), t: t, hosts: map[string]*host{}, backends: map[string]*backend{}, files: map[string]*service.File{}}
	return w.start(change)
}

func (w *fixture) start(change func(w *fixture)) *fixture {
	deadline := service.Deadline{Default: 2 * time.Second, Max: time.Minute}
	cold := service.ColdStart{Limit: 16, Ramp: time.Second}
	safe := []service.IdempotentRule{{Methods: []string{"GET", "HEAD"}}}
	w.files["desk"] = &service.File{Service: "desk", Key: &service.KeySource{Header: "X-Key", PathSegment: -1},
		Match: service.Match{PathPrefixes: []string{"/desk/"}}, Deadline: deadline, ColdStart: cold, Idempotent: safe}
	w.files["vault"] = &service.File{Service: "vault", Match: service.Match{PathPrefixes: []string{"/vault/"}},
		Prefer: service.PreferTailLatency, Deadline: deadline, ColdStart: cold, Idempotent: safe}
	w.backends["b1"], w.backends["b2"] = newBackend(w.t), newBackend(w.t)
	if change != nil {
		change(w)
	}
	for _, name := range []string{"h1", "h2"} {
		w.hosts[name] = w.newHost(name)
	}
	w.updateTables(func(b *table.Builder) {
		for _, h := range w.hosts {
			b.PutHost(table.Host{Name: h.name, RelayAddress: strings.TrimPrefix(h.relay.URL, "http://")})
		}
		for _, f := range w.files {
			b.PutService(table.Service{File: f})
			for name, be := range w.backends {
				b.PutBackend(table.Backend{Name: name, Service: f.Service, Incarnation: "i1", Address: strings.TrimPrefix(be.URL, "http://"),
					Slots: 16, Connections: 64, ChecksOrders: true, Dispatcher: "h1", Epoch: 7})
			}
		}
		b.PutSlice("desk", table.Slice{Owner: "b1", Epoch: 5, State: table.SliceOwned})
	}, "h1", "h2")
	w.announce("h1")
	return w
}

func (w *fixture) newHost(name string) *host {
	h := &host{name: name}
	h.table.Store(table.Empty())
	until := time.Now().Add(time.Hour)
	h.session.Store(&until)
	sessionValidUntil := func() time.Time { return *h.session.Load() }
	h.dispatcher = dispatch.New(dispatch.Config{Host: name, Tables: h.table.Load, SessionValidUntil: sessionValidUntil, SweepInterval: time.Millisecond,
		BackendLeaseTTL: 30 * time.Second,
		Propose: func(context.Context, *command.Command) (*command.Result, error) {
			return &command.Result{Code: command.ResultOK}, nil
		}})
	h.entry = New(Config{Host: name, Tables: h.table.Load, SessionValidUntil: sessionValidUntil, Dispatcher: h.dispatcher, Limits: w.limits})
	h.server, h.relay = newServer(h.entry), newServer(h.dispatcher.RelayHandler())
	ctx, cancel := context.WithCancel(context.Background())
	w.t.Cleanup(func() { cancel(); h.server.CloseClientConnections(); h.relay.CloseClientConnections() })
	go h.dispatcher.Run(ctx)
	return h
}

// newServer starts a server with the connection context that a host uses.
func newServer(handler http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnContext = callerconn.WithConn
	server.Start()
	return server
}

// updateTables applies a delta to the tables of the named hosts.
func (w *fixture) updateTables(build func(b *table.Builder), hosts ...string) {
	for _, name := range hosts {
		h := w.hosts[name]
		old := h.table.Load()
		b := table.NewBuilder(old.Revision())
		build(b)
		next, err := old.Apply(b.Delta(old.Revision() + 10))
		if err != nil {
			w.t.Fatal(err)
		}
		h.table.Store(next)
		h.dispatcher.TableChanged(next)
	}
}

// announce announces all backend servers to the dispatcher on the named host.
func (w *fixture) announce(on string) {
	for _, f := range w.files {
		for name := range w.backends {
			w.hosts[on].dispatcher.Announce(context.Background(), wire.Announcement{Backend: name, Service: f.Service, Incarnation: "i1", ClockMs: 1000})
		}
	}
}

// waitTimeout bounds the wait for a condition. It only ends a test that hangs, so it
// is far above what a busy machine needs.
const waitTimeout = 30 * time.Second

// waitFor polls a condition every millisecond until it holds.
func (w *fixture) waitFor(what string, done func() bool) {
	w.t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// callerResponse is the response that a caller gets.
type callerResponse struct {
	status  int
	body    string
	verdict string
	reason  verdict.Reason
	header  http.Header
	err     error
}

// call sends a request to a host; header is a list of names and values.
func (w *fixture) call(on, method, path, id string, body io.Reader, header ...string) callerResponse {
	r, err := http.NewRequest(method, w.hosts[on].server.URL+path, body)
	if err != nil {
		w.t.Fatal(err)
	}
	r.Header.Set("X-Key", "k")
	if id != "" {
		r.Header.Set(wire.HeaderRequestID, id)
	}
	for i := 0; i < len(header); i += 2 {
		if r.Header.Add(header[i], header[i+1]); header[i] == "Content-Length" {
			r.ContentLength, _ = strconv.ParseInt(header[i+1], 10, 64)
		}
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, string(got), resp.Header.Get(verdict.Header),
		verdict.Reason(resp.Header.Get(verdict.ReasonHeader)), resp.Header, err}
}

// zeros returns a body of n zero bytes that takes no memory.
func zeros(n int64) io.Reader { return io.LimitReader(zeroReader{}, n) }

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

func dropConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, _ := w.(http.Hijacker).Hijack()
	_ = c.Close()
}

func refuseFenced(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(verdict.Header, notRun)
	w.WriteHeader(http.StatusConflict)
}

// refuseAfterPartOfBody refuses like refuseFenced, after it read a part of the body.
func refuseAfterPartOfBody(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadFull(r.Body, make([]byte, 4))
	refuseFenced(w, r)
}

// handleFirst handles n requests with first and the later ones with echo.
func (b *backend) handleFirst(n int, first func(http.ResponseWriter, *http.Request)) {
	b.setHandler(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		n--
		useFirst := n >= 0
		b.mu.Unlock()
		if useFirst {
			first(w, r)
			return
		}
		echo(w, r)
	})
}
