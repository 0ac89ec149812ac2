package daemon

import (
	"bufio"
	"context"
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

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/gateway"
	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/session"
	"github.com/agatestep/agatestep/internal/settings"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/timeline"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// stopTime is short, so that tests are; takingFor and the end of a stop scale with it.
const stopTime = 2 * time.Second

// stopWorld is an entry host with a keyed service, "desk", whose keys have no owner, and
// one without keys, "vault".
type stopWorld struct {
	t       *testing.T
	host    *EntryHost
	traffic *http.Server
	address string
	permits wire.PermitReply
	table   atomic.Pointer[table.Table]
	ended   chan struct{} // closed when the process would end
}

// Desks implements gateway.Permits.
func (w *stopWorld) Desks(*table.Backend) []gateway.Desk { return []gateway.Desk{{Host: "h2"}} }

// Ask implements gateway.Permits.
func (w *stopWorld) Ask(ctx context.Context, _ gateway.Desk, _ wire.PermitAsk) (wire.PermitReply, error) {
	if w.permits.State == wire.PermitWaiting {
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
	return w.permits, ctx.Err()
}

// Done implements gateway.Permits.
func (w *stopWorld) Done(gateway.Desk, wire.PermitDone) {}

func newStopWorld(t *testing.T, stop time.Duration, wrap func(net.Listener) net.Listener, options ...func(*gateway.Config)) *stopWorld {
	is, w := is.New(t), &stopWorld{t: t, permits: wire.PermitReply{State: wire.PermitGranted}, ended: make(chan struct{})}
	w.table.Store(table.Empty())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	w.address = inner.Addr().String()
	if wrap != nil {
		inner = wrap(inner)
	}
	cfg := &settings.Settings{Host: "h1", DataCentre: "dc1", Deployment: settings.Deployment{StopTime: stop},
		Limits: settings.Limits{Connections: 1000, HeaderBytes: 64 << 10}}
	hlc := timeline.NewClock(time.Now)
	p := &process{settings: cfg, logger: zap.NewNop(), events: timeline.NewRing("h1", hlc, timeline.DefaultCapacity), clock: clock.Real{},
		client: peer.NewClient(hlc, nil), logClient: peer.NewClient(hlc, nil), peers: peer.NewServer(hlc), cancel: func() {},
		listeners: map[string]net.Listener{listenTraffic: inner}}
	w.host = &EntryHost{process: p}
	w.host.session = session.New(session.Config{Caller: p.client, Clock: p.clock, Logger: p.logger, CallTimeout: 100 * time.Millisecond,
		Replicas: []session.Replica{{Host: "c1", Address: "127.0.0.1:1"}}, Record: p.record})
	g := gateway.Config{Host: "h1", DataCentre: "dc1", Tables: w.table.Load, Permits: w, Dialect: gateway.OwnDialect{},
		Clock: p.clock, Logger: p.logger, Limits: gateway.Limits{RetryRatio: 0.2, RetryBurst: 10}}
	for _, o := range options {
		o(&g)
	}
	w.host.gateway = gateway.New(g)
	w.change(func(b *table.Builder) {
		for name, prefix := range map[string]string{"desk": "/book/", "vault": "/scan/"} {
			file := &service.File{Service: name, Version: 1}
			if name == "desk" {
				file.Key = &service.KeySource{PathSegment: -1}
			}
			b.PutService(table.Service{File: file, Revision: 1})
			b.PutItem(items.Item{Key: items.Key{Kind: items.KindService, Name: name}, Version: 1,
				Service: &items.Service{Keyed: name == "desk", LeaseByHeartbeat: name == "desk"}})
			b.PutItem(items.Item{Key: items.Key{Kind: items.KindRoute, Name: name}, Version: 1, Route: &items.Route{Host: "127.0.0.1", PathPrefix: prefix,
				Timeout: 8 * time.Second, Target: time.Second, MaxAttempts: 2, Shares: []items.Share{{Service: name, Weight: 1}}}})
		}
	})
	w.traffic = w.host.serveCallers()
	t.Cleanup(func() { _ = w.traffic.Close() })
	return w
}

func (w *stopWorld) change(f func(*table.Builder)) {
	old := w.table.Load()
	b := table.NewBuilder(old.Revision())
	f(b)
	next, err := old.Apply(b.Delta(old.Revision() + 1))
	is.New(w.t).NoErr(err)
	w.table.Store(next)
	w.host.gateway.TableChanged(next, time.Now())
}

// backend starts a server that repeats the ids of requests.
func (w *stopWorld) backend(service string, serve http.HandlerFunc) {
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		serve(rw, r)
	}))
	w.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	w.change(func(b *table.Builder) {
		b.PutBackend(table.Backend{Service: service, Name: "b1", Address: s.Listener.Addr().String(), Slots: 4, DataCentre: "dc1", ByHeartbeat: true, Dispatcher: "h2"})
	})
}

// stop runs a planned stop up to where the process would end.
func (w *stopWorld) stop() {
	go func() {
		defer close(w.ended)
		_ = w.host.shutdown(context.Background(), w.traffic)
	}()
}

// kept returns a connection on which a request was answered.
func (w *stopWorld) kept() (net.Conn, *bufio.Reader) {
	is := is.New(w.t)
	c, err := net.Dial("tcp", w.address)
	is.NoErr(err)
	w.t.Cleanup(func() { _ = c.Close() })
	answers := bufio.NewReader(c)
	fmt.Fprint(c, "GET /unknown HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n")
	resp, err := http.ReadResponse(answers, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	return c, answers
}

// closing returns a channel that is closed once the stop ends idle connections.
func (w *stopWorld) closing() chan struct{} {
	began := make(chan struct{})
	go func() {
		for !w.host.callers.isEnding() {
			time.Sleep(time.Millisecond)
		}
		close(began)
	}()
	return began
}

func order(path string) string {
	return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r1\r\n%s: abc\r\nContent-Length: 5\r\n\r\norder", path, wire.HeaderRequestID, wire.HeaderHash)
}

// Guards against a request that was read and ends with the end of the process, without an
// answer: it waits for the owner of its key, for a permit, or for a server that does not answer.
func TestRequestsAreAnsweredBeforeAStopEnds(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		permit wire.PermitState
		serve  func(done <-chan struct{}) http.HandlerFunc
		want   int
	}{
		"its key has no owner":         {"/book/", wire.PermitGranted, nil, http.StatusServiceUnavailable},
		"the server's queue is full":   {"/book/", wire.PermitElsewhere, hang, http.StatusServiceUnavailable},
		"it waits for its permit":      {"/book/", wire.PermitWaiting, hang, http.StatusServiceUnavailable},
		"the server does not answer":   {"/scan/", wire.PermitGranted, hang, http.StatusGatewayTimeout},
		"the server's answer is stuck": {"/scan/", wire.PermitGranted, stuck, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is, w := is.New(t), newStopWorld(t, stopTime, nil)
			w.permits.State = c.permit
			done := make(chan struct{})
			defer close(done)
			if c.serve != nil {
				w.backend("desk", c.serve(done))
				w.backend("vault", c.serve(done))
				if c.path == "/book/" {
					w.change(func(b *table.Builder) {
						b.PutSlice("desk", table.Slice{Owner: "b1", Epoch: 1, State: table.SliceOwned})
					})
				}
			}
			conn, answers := w.kept()
			w.stop()
			time.Sleep(takingFor(stopTime) / 2)
			fmt.Fprint(conn, order(c.path))
			resp, err := http.ReadResponse(answers, nil)
			is.NoErr(err) // the connection ended without an answer
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.want)
			wantVerdict := verdict.NotRun
			if c.want == http.StatusGatewayTimeout {
				wantVerdict = verdict.MayHaveRun
			}
			is.Equal(resp.Header.Get(verdict.Header), wantVerdict.String())
		})
	}
}

// hang reads requests and never answers.
func hang(done <-chan struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-done
	}
}

// stuck sends a part of an answer only.
func stuck(done <-chan struct{}) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "100")
		fmt.Fprint(rw, "half")
		_ = http.NewResponseController(rw).Flush()
		<-done
	}
}

// readHook runs a function after bytes were read from an idle connection and before the
// server sees them.
type readHook struct {
	net.Listener
	mu   sync.Mutex
	read func()
}

func (l *readHook) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{c, l}, nil
}

type hookedConn struct {
	net.Conn
	l *readHook
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.mu.Lock()
	read := c.l.read
	if n > 0 {
		c.l.read = nil
	}
	c.l.mu.Unlock()
	if n > 0 && read != nil {
		read()
	}
	return n, err
}

// A request waits on a crowded link and is read as the stop closes idle connections. Guards
// against a request that was read, on a kept or a new connection, and dropped because the
// server closes.
func TestRequestsReadAsTheStopEndsAreAnswered(t *testing.T) {
	for name, kept := range map[string]bool{"on a kept connection": true, "on a new connection": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is, hook := is.New(t), &readHook{}
			w := newStopWorld(t, stopTime, func(inner net.Listener) net.Listener { hook.Listener = inner; return hook })
			conn, err := net.Dial("tcp", w.address)
			is.NoErr(err)
			defer conn.Close()
			answers := bufio.NewReader(conn)
			if kept {
				conn, answers = w.kept()
			}
			closing := w.closing()
			hook.mu.Lock()
			hook.read = func() {
				select {
				case <-closing:
				case <-time.After(2 * stopTime):
				}
				time.Sleep(20 * time.Millisecond)
			}
			hook.mu.Unlock()
			w.stop()
			time.Sleep(takingFor(stopTime) - 200*time.Millisecond)
			fmt.Fprint(conn, order("/scan/"))
			resp, err := http.ReadResponse(answers, nil)
			is.NoErr(err) // the connection ended without an answer
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		})
	}
}

// A caller has an idle connection when its host stops taking requests, while another request is
// under way. Guards against a connection that is kept to the end of the stop: each request on it is
// refused, and one that is on its way at the end crosses the end and gets no answer.
func TestIdleConnectionsEndOnceNothingIsTaken(t *testing.T) {
	const stop = 4 * time.Second
	is, w := is.New(t), newStopWorld(t, stop, nil)
	done := make(chan struct{})
	defer close(done)
	w.backend("vault", hang(done))
	idle, _ := w.kept()
	busy, answers := w.kept()
	fmt.Fprint(busy, order("/scan/"))
	ended := make(chan string, 2)
	go func() {
		_, _ = idle.Read(make([]byte, 1)) // ends with the connection
		ended <- "idle"
	}()
	go func() {
		_, _ = http.ReadResponse(answers, nil) // comes with the end of the stop
		ended <- "busy"
	}()
	began := time.Now()
	w.stop()
	is.Equal(<-ended, "idle")
	is.True(time.Since(began) < stop-stopMargin-500*time.Millisecond)
	is.Equal(<-ended, "busy")
}

// slowCaller connects with a small receive buffer, as a caller behind a crowded link.
func slowCaller(w *stopWorld) *net.TCPConn {
	is := is.New(w.t)
	d := net.Dialer{}
	c, err := d.Dial("tcp", w.address)
	is.NoErr(err)
	w.t.Cleanup(func() { _ = c.Close() })
	tcp, ok := c.(*net.TCPConn)
	is.True(ok)
	is.NoErr(tcp.SetReadBuffer(2 << 10))
	return tcp
}

// A caller behind a crowded link reads a large answer after the host has ended. Guards against
// an answer that was made and is lost on its way because unread bytes turn the close into a reset.
func TestAnswersOnTheirWaySurviveTheEndOfAStop(t *testing.T) {
	is, w := is.New(t), newStopWorld(t, stopTime, nil)
	body := strings.Repeat("a", 60<<10)
	w.backend("vault", func(rw http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(rw, body) })
	conn := slowCaller(w)
	w.stop()
	time.Sleep(takingFor(stopTime) / 2)
	fmt.Fprint(conn, order("/scan/"))
	<-w.ended
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err) // the answer is cut short
	is.Equal(len(got), len(body))
}

// A process that gets little processor time has read a request and has not yet begun with it
// when the stop finds that nothing is in flight. Guards against a stop that then cuts the
// request off although most of its time is left.
func TestQuietStopWaitsForARequestThatHasJustCome(t *testing.T) {
	is, paused := is.New(t), &pausingClock{}
	const stop = 6 * time.Second
	w := newStopWorld(t, stop, nil, func(c *gateway.Config) { c.Clock = paused })
	w.backend("vault", func(rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Second)
		_, _ = io.WriteString(rw, "done")
	})
	conn, answers := w.kept()
	closing := w.closing()
	paused.until.Store(&closing)
	began := time.Now()
	w.stop()
	time.Sleep(unreadyFor - quietFor/2)
	fmt.Fprint(conn, order("/scan/"))
	resp, err := http.ReadResponse(answers, nil)
	is.NoErr(err) // the connection ended without an answer
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(time.Since(began) < stop)
}

// pausingClock holds up the first reader after until was set.
type pausingClock struct {
	clock.Real
	until atomic.Pointer[chan struct{}]
}

// Now implements clock.Clock.
func (c *pausingClock) Now() time.Time {
	now := time.Now()
	if until := c.until.Swap(nil); until != nil {
		<-*until
	}
	return now
}
