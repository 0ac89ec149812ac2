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

// stopTime is short, so that tests are; admissionTime and the end of a stop scale with it.
const stopTime = 2 * time.Second

// stopHost is an entry host with a keyed service, "desk", whose keys have no owner, and
// one without keys, "vault".
type stopHost struct {
	t            *testing.T
	host         *EntryHost
	callerServer *http.Server
	address      string
	permitReply  wire.PermitReply
	table        atomic.Pointer[table.Table]
	ended        chan struct{} // closed when the process would exit
}

// Issuers implements gateway.PermitClient.
func (h *stopHost) Issuers(*table.Backend) []gateway.Issuer { return []gateway.Issuer{{Host: "h2"}} }

// RequestPermit implements gateway.PermitClient.
func (h *stopHost) RequestPermit(ctx context.Context, _ gateway.Issuer, _ wire.PermitRequest) (wire.PermitReply, error) {
	if h.permitReply.State == wire.PermitWaiting {
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
	return h.permitReply, ctx.Err()
}

// ReleasePermit implements gateway.PermitClient.
func (h *stopHost) ReleasePermit(gateway.Issuer, wire.PermitRelease) {}

func newStopHost(t *testing.T, stop time.Duration, wrap func(net.Listener) net.Listener, options ...func(*gateway.Config)) *stopHost {
	is, h := is.New(t), &stopHost{t: t, permitReply: wire.PermitReply{State: wire.PermitGranted}, ended: make(chan struct{})}
	h.table.Store(table.Empty())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	h.address = inner.Addr().String()
	if wrap != nil {
		inner = wrap(inner)
	}
	cfg := &settings.Settings{Host: "h1", DataCentre: "dc1", Deployment: settings.Deployment{StopTime: stop},
		Limits: settings.Limits{Connections: 1000, HeaderBytes: 64 << 10}}
	hlc := timeline.NewClock(time.Now)
	p := &process{settings: cfg, logger: zap.NewNop(), events: timeline.NewRing("h1", hlc, timeline.DefaultCapacity), clock: clock.Real{},
		client: peer.NewClient(hlc, nil), bulkClient: peer.NewClient(hlc, nil), peerServer: peer.NewServer(hlc), cancel: func() {},
		listeners: map[string]net.Listener{listenTraffic: inner}}
	h.host = &EntryHost{process: p}
	h.host.session = session.New(session.Config{Caller: p.client, Clock: p.clock, Logger: p.logger, CallTimeout: 100 * time.Millisecond,
		Replicas: []session.Replica{{Host: "c1", Address: "127.0.0.1:1"}}, RecordEvent: p.record})
	g := gateway.Config{Host: "h1", DataCentre: "dc1", Tables: h.table.Load, Permits: h, Dialect: gateway.OwnDialect{},
		Clock: p.clock, Logger: p.logger, Limits: gateway.Limits{RetryRatio: 0.2, RetryBurst: 10}}
	for _, o := range options {
		o(&g)
	}
	h.host.gateway = gateway.New(g)
	h.updateTable(func(b *table.Builder) {
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
	h.callerServer = h.host.serveCallers()
	t.Cleanup(func() { _ = h.callerServer.Close() })
	return h
}

func (h *stopHost) updateTable(f func(*table.Builder)) {
	old := h.table.Load()
	b := table.NewBuilder(old.Revision())
	f(b)
	next, err := old.Apply(b.Delta(old.Revision() + 1))
	is.New(h.t).NoErr(err)
	h.table.Store(next)
	h.host.gateway.TableChanged(next, time.Now())
}

// addBackend starts a backend server that returns the ids of requests.
func (h *stopHost) addBackend(service string, serve http.HandlerFunc) {
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		serve(rw, r)
	}))
	h.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	h.updateTable(func(b *table.Builder) {
		b.PutBackend(table.Backend{Service: service, Name: "b1", Address: s.Listener.Addr().String(), Slots: 4, DataCentre: "dc1", ByHeartbeat: true, Dispatcher: "h2"})
	})
}

// startStop starts a graceful stop, which runs up to where the process would exit.
func (h *stopHost) startStop() {
	go func() {
		defer close(h.ended)
		_ = h.host.shutdown(context.Background(), h.callerServer)
	}()
}

// keepAliveConn returns a connection on which a request was answered.
func (h *stopHost) keepAliveConn() (net.Conn, *bufio.Reader) {
	is := is.New(h.t)
	c, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	h.t.Cleanup(func() { _ = c.Close() })
	responses := bufio.NewReader(c)
	fmt.Fprint(c, "GET /unknown HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n")
	resp, err := http.ReadResponse(responses, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	return c, responses
}

// idleCloseStarted returns a channel that is closed once the stop closes idle connections.
func (h *stopHost) idleCloseStarted() chan struct{} {
	began := make(chan struct{})
	go func() {
		for !h.host.callerConns.isClosingIdle() {
			time.Sleep(time.Millisecond)
		}
		close(began)
	}()
	return began
}

func rawPostRequest(path string) string {
	return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r1\r\n%s: abc\r\nContent-Length: 5\r\n\r\norder", path, wire.HeaderRequestID, wire.HeaderHash)
}

// Guards against a request that was read and gets no response before the process exits: it
// waits for the owner of its key, for a permit, or for a server that does not answer.
func TestStopAnswersPendingRequests(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		permit wire.PermitState
		serve  func(done <-chan struct{}) http.HandlerFunc
		want   int
	}{
		"its key has no owner":         {"/book/", wire.PermitGranted, nil, http.StatusServiceUnavailable},
		"the server's queue is full":   {"/book/", wire.PermitWrongIssuer, neverAnswer, http.StatusServiceUnavailable},
		"it waits for its permit":      {"/book/", wire.PermitWaiting, neverAnswer, http.StatusServiceUnavailable},
		"the server does not answer":   {"/scan/", wire.PermitGranted, neverAnswer, http.StatusGatewayTimeout},
		"the server's answer is stuck": {"/scan/", wire.PermitGranted, answerPartly, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is, h := is.New(t), newStopHost(t, stopTime, nil)
			h.permitReply.State = c.permit
			done := make(chan struct{})
			defer close(done)
			if c.serve != nil {
				h.addBackend("desk", c.serve(done))
				h.addBackend("vault", c.serve(done))
				if c.path == "/book/" {
					h.updateTable(func(b *table.Builder) {
						b.PutSlice("desk", table.Slice{Owner: "b1", Epoch: 1, State: table.SliceOwned})
					})
				}
			}
			conn, responses := h.keepAliveConn()
			h.startStop()
			time.Sleep(admissionTime(stopTime) / 2)
			fmt.Fprint(conn, rawPostRequest(c.path))
			resp, err := http.ReadResponse(responses, nil)
			is.NoErr(err) // the connection was closed without a response
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

// neverAnswer reads requests and never answers.
func neverAnswer(done <-chan struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-done
	}
}

// answerPartly sends only a part of a response.
func answerPartly(done <-chan struct{}) http.HandlerFunc {
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
	return &readHookConn{c, l}, nil
}

type readHookConn struct {
	net.Conn
	l *readHook
}

func (c *readHookConn) Read(p []byte) (int, error) {
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

// A request is delayed on a crowded link and read while the stop closes idle connections. Guards
// against a request that was read, on a kept-alive or a new connection, and dropped because the
// server closes it.
func TestStopAnswersRequestsReadWhileIdleConnsClose(t *testing.T) {
	for name, kept := range map[string]bool{"on a kept connection": true, "on a new connection": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is, hook := is.New(t), &readHook{}
			h := newStopHost(t, stopTime, func(inner net.Listener) net.Listener { hook.Listener = inner; return hook })
			conn, err := net.Dial("tcp", h.address)
			is.NoErr(err)
			defer conn.Close()
			responses := bufio.NewReader(conn)
			if kept {
				conn, responses = h.keepAliveConn()
			}
			closing := h.idleCloseStarted()
			hook.mu.Lock()
			hook.read = func() {
				select {
				case <-closing:
				case <-time.After(2 * stopTime):
				}
				time.Sleep(20 * time.Millisecond)
			}
			hook.mu.Unlock()
			h.startStop()
			time.Sleep(admissionTime(stopTime) - 200*time.Millisecond)
			fmt.Fprint(conn, rawPostRequest("/scan/"))
			resp, err := http.ReadResponse(responses, nil)
			is.NoErr(err) // the connection was closed without a response
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		})
	}
}

// A caller has an idle connection when its host stops admitting requests, while another request is
// in flight. Guards against a connection that stays open to the end of the stop: each request on it
// is refused, and one that is in transit at the end gets no response.
func TestStopClosesIdleConnsAfterAdmissionEnds(t *testing.T) {
	const stop = 4 * time.Second
	is, h := is.New(t), newStopHost(t, stop, nil)
	done := make(chan struct{})
	defer close(done)
	h.addBackend("vault", neverAnswer(done))
	idle, _ := h.keepAliveConn()
	busy, responses := h.keepAliveConn()
	fmt.Fprint(busy, rawPostRequest("/scan/"))
	ended := make(chan string, 2)
	go func() {
		_, _ = idle.Read(make([]byte, 1)) // returns when the connection is closed
		ended <- "idle"
	}()
	go func() {
		_, _ = http.ReadResponse(responses, nil) // returns at the end of the stop
		ended <- "busy"
	}()
	began := time.Now()
	h.startStop()
	is.Equal(<-ended, "idle")
	is.True(time.Since(began) < stop-stopMargin-500*time.Millisecond)
	is.Equal(<-ended, "busy")
}

// slowCaller connects with a small receive buffer, as a caller behind a crowded link.
func slowCaller(h *stopHost) *net.TCPConn {
	is := is.New(h.t)
	d := net.Dialer{}
	c, err := d.Dial("tcp", h.address)
	is.NoErr(err)
	h.t.Cleanup(func() { _ = c.Close() })
	tcp, ok := c.(*net.TCPConn)
	is.True(ok)
	is.NoErr(tcp.SetReadBuffer(2 << 10))
	return tcp
}

// A caller behind a crowded link reads a large response after the host has stopped. Guards against
// a response that is lost in transit because unread bytes turn the close into a reset.
func TestStopDeliversAnswersInTransit(t *testing.T) {
	is, h := is.New(t), newStopHost(t, stopTime, nil)
	body := strings.Repeat("a", 60<<10)
	h.addBackend("vault", func(rw http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(rw, body) })
	conn := slowCaller(h)
	h.startStop()
	time.Sleep(admissionTime(stopTime) / 2)
	fmt.Fprint(conn, rawPostRequest("/scan/"))
	<-h.ended
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err) // the response is truncated
	is.Equal(len(got), len(body))
}

// A process that is short of processor time has read a request and not yet started it when the
// stop finds that nothing is in flight. Guards against a stop that then ends the request although
// most of the stop time is left.
func TestQuietStopServesRequestThatHasJustArrived(t *testing.T) {
	is, paused := is.New(t), &pausingClock{}
	const stop = 6 * time.Second
	h := newStopHost(t, stop, nil, func(c *gateway.Config) { c.Clock = paused })
	h.addBackend("vault", func(rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Second)
		_, _ = io.WriteString(rw, "done")
	})
	conn, responses := h.keepAliveConn()
	closing := h.idleCloseStarted()
	paused.until.Store(&closing)
	began := time.Now()
	h.startStop()
	time.Sleep(balancerNoticeTime - quietPeriod/2)
	fmt.Fprint(conn, rawPostRequest("/scan/"))
	resp, err := http.ReadResponse(responses, nil)
	is.NoErr(err) // the connection was closed without a response
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(time.Since(began) < stop)
}

// pausingClock blocks the first call of Now after until was set, until that channel is closed.
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
