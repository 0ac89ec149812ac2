package dispatch

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

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/forward"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
	"github.com/matryer/is"
)

const upperSliceStart = uint64(1) << 63

// backend is a fake backend server that counts executions by request id.
type backend struct {
	*httptest.Server
	mu         sync.Mutex
	orders     []wire.OwnershipOrder
	held       wire.OwnershipOrderReply
	reads      int
	executions map[string]int
	lastHeader http.Header
	// handle, if set, answers requests; refuseOrder tells which orders are refused.
	handle      func(w http.ResponseWriter, r *http.Request)
	refuseOrder func(o wire.OwnershipOrder) bool
}

func newBackend(t *testing.T) *backend {
	b := &backend{executions: map[string]int{}}
	b.Server = httptest.NewServer(b)
	t.Cleanup(b.Close)
	return b
}

func (b *backend) address() string { return strings.TrimPrefix(b.URL, "http://") }

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == wire.OrderPath {
		b.order(w, r)
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
	_, _ = io.Copy(w, r.Body)
}

func (b *backend) order(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := b.held
	var o wire.OwnershipOrder
	if r.Method == http.MethodGet {
		b.reads++
	} else if _ = json.NewDecoder(r.Body).Decode(&o); b.refuseOrder == nil || !b.refuseOrder(o) {
		b.orders = append(b.orders, o)
		b.held = wire.OwnershipOrderReply{Accepted: true, Incarnation: o.Incarnation, Epoch: o.Epoch, Slices: o.Slices}
		reply = b.held
	} else {
		reply.Accepted, reply.Reason = false, "refused by the test"
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// executionCount returns how often a request was executed.
func (b *backend) executionCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.executions[id]
}

func (b *backend) lastOrder() (o wire.OwnershipOrder, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n = len(b.orders); n > 0 {
		o = b.orders[n-1]
	}
	return o, n
}

// fixture is one dispatcher with one keyed service of two slices, both owned by
// the fake backend server b1.
type fixture struct {
	*is.I
	t         *testing.T
	d         *Dispatcher
	fake      *backend
	clock     *clock.Fake
	clockMs   int64
	table     atomic.Pointer[table.Table]
	session   atomic.Pointer[time.Time]
	mu        sync.Mutex
	proposals []*command.Command
}

func newFixture(t *testing.T, change func(c *Config, b *table.Backend, f *service.File)) *fixture {
	w := &fixture{I: is.New(t), t: t, fake: newBackend(t), clock: clock.NewFake(time.Now()), clockMs: 5_000}
	w.setSessionTTL(time.Hour)
	file := service.File{Service: "desk", Key: &service.KeySource{Header: "X-Key", PathSegment: -1},
		Match: service.Match{PathPrefixes: []string{"/"}}, Deadline: service.Deadline{Default: 2 * time.Second, Max: time.Minute},
		ColdStart: service.ColdStart{Limit: 1, Ramp: time.Second}}
	rec := table.Backend{Name: "b1", Service: "desk", Incarnation: "i1", DataCentre: "a", Address: w.fake.address(),
		Slots: 4, Connections: 10, ChecksOrders: true, Dispatcher: "h1", Epoch: 7}
	cfg := Config{Host: "h1", Tables: w.table.Load, SessionValidUntil: func() time.Time { return *w.session.Load() },
		Clock: w.clock, SweepInterval: time.Millisecond, Propose: w.propose}
	if change != nil {
		change(&cfg, &rec, &file)
	}
	w.table.Store(table.Empty())
	w.d = New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.d.Run(ctx)
	w.updateTable(func(b *table.Builder) {
		b.PutService(table.Service{File: &file})
		b.PutHost(table.Host{Name: "h1", BackendsAddress: "127.0.0.1:1"})
		b.PutBackend(rec)
		b.PutSlice("desk", table.Slice{Start: 0, Owner: "b1", Epoch: 5, State: table.SliceOwned})
		b.PutSlice("desk", table.Slice{Start: upperSliceStart, Owner: "b1", Standby: "b2", Epoch: 6, State: table.SliceOwned})
	})
	return w
}

func (w *fixture) setSessionTTL(d time.Duration) {
	until := w.clock.Now().Add(d)
	w.session.Store(&until)
}

func (w *fixture) propose(_ context.Context, c *command.Command) (*command.Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proposals = append(w.proposals, c)
	return &command.Result{Code: command.ResultOK}, nil
}

// proposed reports whether any proposal so far satisfies test.
func (w *fixture) proposed(test func(c *command.Command) bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.proposals {
		if test(c) {
			return true
		}
	}
	return false
}

// updateTable applies a delta to the table and notifies the dispatcher.
func (w *fixture) updateTable(build func(b *table.Builder)) {
	w.t.Helper()
	old := w.table.Load()
	b := table.NewBuilder(old.Revision())
	build(b)
	next, err := old.Apply(b.Delta(old.Revision() + 10))
	w.NoErr(err)
	w.table.Store(next)
	w.d.TableChanged(next)
}

// updateBackend changes the table's record of the backend server.
func (w *fixture) updateBackend(change func(r *table.Backend)) {
	rec := *w.table.Load().Backend("desk", "b1")
	change(&rec)
	w.updateTable(func(b *table.Builder) { b.PutBackend(rec) })
}

func (w *fixture) advance(d time.Duration) {
	w.clock.Advance(d)
	w.clockMs += d.Milliseconds()
}

func (w *fixture) announce() wire.AnnounceReply {
	rec := w.table.Load().Backend("desk", "b1")
	return w.d.Announce(context.Background(), wire.Announcement{Backend: "b1", Service: "desk",
		Incarnation: rec.Incarnation, DataCentre: "a", Address: rec.Address, Slots: rec.Slots, Connections: 10, ClockMs: w.clockMs})
}

// announceAndConfirm announces the server and waits until its order is confirmed.
func (w *fixture) announceAndConfirm() *fixture {
	w.t.Helper()
	w.True(w.announce().LeaseMs > 0)
	w.waitFor("confirmed order", w.confirmed)
	return w
}

func (w *fixture) confirmed() bool {
	return w.serverState(func(s *server) bool {
		return s.confirmed.known && s.confirmed.epoch == s.record.Epoch && s.confirmed.lease == s.lease.number
	})
}

// waitForRepeatedOrder advances the clock until a failed order was repeated and confirmed.
func (w *fixture) waitForRepeatedOrder() {
	w.t.Helper()
	w.waitFor("repeated order", func() bool { w.advance(2 * time.Millisecond); return w.confirmed() })
}

func (w *fixture) server() *server { return w.d.server(serverKey{"desk", "b1"}) }

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

// request returns a request for the slice that starts at 0.
func (w *fixture) request(id, method, body string) *Request {
	r := &Request{ID: id, Service: "desk", Backend: "b1", Keyed: true, Hash: 1, Epoch: 5,
		Deadline: w.clock.Now().Add(2 * time.Second), Method: method, URI: "/x?y=1", Host: "desk.example", Header: http.Header{}}
	if body != "" {
		r.Body, r.ContentLength = forward.NewBody(strings.NewReader(body), nil), int64(len(body))
	}
	return r
}

// do sends r and returns the body or the error.
func (w *fixture) do(ctx context.Context, r *Request) (string, *verdict.Error) {
	resp, err := w.d.Send(ctx, r)
	if err != nil {
		return "", err.(*verdict.Error)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return string(body), &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "truncated", Cause: err}
	}
	return string(body), nil
}

// doAsync sends r in the background and delivers its error on the channel.
func (w *fixture) doAsync(ctx context.Context, r *Request) chan *verdict.Error {
	done := make(chan *verdict.Error, 1)
	go func() { _, err := w.do(ctx, r); done <- err }()
	return done
}

// holdRequest sends a request that stays in flight until finish is called.
func (w *fixture) holdRequest() (finish func() *verdict.Error) {
	entered, release := make(chan struct{}), make(chan struct{})
	w.fake.handle = func(http.ResponseWriter, *http.Request) { close(entered); <-release }
	done := w.doAsync(context.Background(), w.request("held", http.MethodPost, "x"))
	<-entered
	return func() *verdict.Error { close(release); return <-done }
}

// serverState evaluates test on the state of the server, with its lock held.
func (w *fixture) serverState(test func(s *server) bool) bool {
	s := w.server()
	s.mu.Lock()
	defer s.mu.Unlock()
	return test(s)
}

func oneQueued(s *server) bool { return s.admission.Queued() == 1 }

func headerInt(h http.Header, name string) int64 {
	v, _ := strconv.ParseInt(h.Get(name), 10, 64)
	return v
}

// moveSlice assigns a slice to an owner at once, as the commit of a release does.
func (w *fixture) moveSlice(start uint64, owner string, epoch uint64) {
	rec := *w.table.Load().Backend("desk", "b1")
	rec.Epoch = epoch
	w.updateTable(func(b *table.Builder) {
		b.PutBackend(rec)
		b.PutSlice("desk", table.Slice{Start: start, Owner: owner, Epoch: epoch, State: table.SliceOwned})
	})
}

// releaseSlice starts a move, as the commit of a Move does.
func (w *fixture) releaseSlice(start uint64) {
	s, _ := w.table.Load().Lookup("desk", start)
	s.State, s.Next = table.SliceReleasing, "b2"
	w.updateTable(func(b *table.Builder) { b.PutSlice("desk", s) })
}
