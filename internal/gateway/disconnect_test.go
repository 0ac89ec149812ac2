package gateway

import (
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
	"golang.org/x/time/rate"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/upstream"
	"github.com/agatestep/agatestep/internal/wire"
)

// maxReactionTime is the time after which no work may be done for a caller that has disconnected.
const maxReactionTime = 500 * time.Millisecond

// rawCaller writes one request directly to its connection, so that it can disconnect at any point.
type rawCaller struct {
	is   *is.I
	conn *net.TCPConn
}

func (w *harness) dialCaller(is *is.I) *rawCaller {
	conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
	is.NoErr(err)
	w.t.Cleanup(func() { conn.Close() })
	return &rawCaller{is: is, conn: conn.(*net.TCPConn)}
}

// send writes a head that announces a body of length bytes, and the first sent bytes of it.
func (c *rawCaller) send(method, path string, length, sent int) {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r1\r\n%s: abc\r\n", method, path, wire.HeaderRequestID, wire.HeaderHash)
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	_, err := io.WriteString(c.conn, head+"\r\n"+strings.Repeat("x", sent))
	c.is.NoErr(err)
}

// disconnect closes the connection, with a reset if abrupt.
func (c *rawCaller) disconnect(abrupt bool) {
	if abrupt {
		c.is.NoErr(c.conn.SetLinger(0))
	}
	c.is.NoErr(c.conn.Close())
}

// awaitIdle waits until the gateway has no requests in flight.
func (w *harness) awaitIdle(is *is.I) {
	for end := time.Now().Add(10 * time.Second); w.gateway.InFlight() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // the host is still busy with the request
	}
}

// A caller disconnects while its request waits for a permit. Guards against a request that is
// sent to a backend server although its caller disconnected long before: the end of a connection
// follows all data that was sent, so a host that has not read the data does not notice it.
func TestRequestOfDisconnectedCallerIsNotSent(t *testing.T) {
	const upload = 60 << 10
	for name, c := range map[string]struct {
		method       string
		length, sent int
		abrupt       bool
		behind       string // what follows the request on its connection
	}{
		"without a body":                 {method: http.MethodGet},
		"with another request behind":    {method: http.MethodGet, behind: "GET /read/y HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"},
		"empty body":                     {method: http.MethodPost},
		"order":                          {method: http.MethodPost, length: 300, sent: 300},
		"order, by a reset":              {method: http.MethodPost, length: 300, sent: 300, abrupt: true},
		"upload":                         {method: http.MethodPost, length: upload, sent: upload},
		"upload, by a reset":             {method: http.MethodPost, length: upload, sent: upload, abrupt: true},
		"left in the middle of the body": {method: http.MethodPost, length: upload, sent: 1 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.configure()
			w.startBackend("desk", "b1", respondHello)
			w.setOwner("b1", 5)
			waiting := make(chan struct{})
			w.silentHost, w.onPermitRequest = "h2", sync.OnceFunc(func() { close(waiting) })
			caller := w.dialCaller(is)
			caller.send(c.method, "/book/x", c.length, c.sent)
			<-waiting
			_, err := io.WriteString(caller.conn, c.behind)
			is.NoErr(err)
			caller.disconnect(c.abrupt)
			w.awaitIdle(is) // the permit request ends with the call or by its timeout
			is.Equal(w.requestsReceived(), 0)
		})
	}
}

// A caller disconnects while its request waits for a full server. Guards against a host that
// keeps a place in the queue, and its own resources, for a caller that is gone.
func TestQueueWaitEndsWhenCallerDisconnects(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("desk", "b1", respondHello)
	w.setOwner("b1", 1)
	w.permit = wire.PermitReply{State: wire.PermitWrongIssuer}
	asked := make(chan struct{})
	var once sync.Once
	w.onPermitRequest = func() { once.Do(func() { close(asked) }) }
	caller := w.dialCaller(is)
	caller.send(http.MethodPost, "/book/x", 300, 300)
	<-asked
	left := time.Now()
	caller.disconnect(false)
	w.awaitIdle(is)
	took := time.Since(left)
	if took > maxReactionTime {
		t.Errorf("the host waited %v longer for a server", took)
	}
}

// bodyEnd serves a request and reports when and how its body ended.
type bodyEnd struct {
	began chan struct{}
	ended chan error
}

func newBodyEnd() *bodyEnd { return &bodyEnd{began: make(chan struct{}), ended: make(chan error, 1)} }

func (b *bodyEnd) serve(rw http.ResponseWriter, r *http.Request) {
	close(b.began)
	_, err := io.Copy(io.Discard, r.Body)
	b.ended <- err
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	respondHello(rw, r)
}

// A caller disconnects while its upload is being sent to a server. Guards against a server that
// gets the rest long afterwards and runs the request, and against one that is kept waiting for
// a rest that never comes.
func TestUploadEndsWhenCallerDisconnects(t *testing.T) {
	const upload = 60 << 10
	for name, c := range map[string]struct {
		sent int
		rate rate.Limit // bytes a second; zero means no bound
	}{
		"after the whole body, which waits for the rate limit": {upload, 30 << 10},
		"after a part of the body":                             {upload / 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			if c.rate > 0 {
				w.gateway.client = upstream.New(upstream.Config{IDHeader: wire.HeaderRequestID, DialTimeout: time.Second, MaxDialTimeout: time.Second,
					UserTimeout: time.Second, MaxUserTimeout: time.Second, MaxIdle: time.Second, Clock: w.gateway.cfg.Clock,
					BodyRate: rate.NewLimiter(c.rate, upstream.BodyChunk)})
			}
			w.configure()
			body := newBodyEnd()
			w.startBackend("vault", "v1", body.serve)
			caller := w.dialCaller(is)
			caller.send(http.MethodPost, "/scan/x", upload, c.sent)
			<-body.began
			left := time.Now()
			caller.disconnect(false)
			err := <-body.ended
			took := time.Since(left)
			is.True(err != nil) // the server got the whole body of a caller that had disconnected
			if took > maxReactionTime {
				t.Errorf("the server waited %v for the rest of the body", took)
			}
		})
	}
}

// gatedListener accepts nothing until it is released, like a host that is short of CPU time.
type gatedListener struct {
	net.Listener
	released chan struct{}
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// Callers give up before their requests are read. Guards against requests that are sent before
// the host has checked whether the connection was closed behind them.
func TestUnreadRequestsOfDisconnectedCallersAreNotSent(t *testing.T) {
	const callers = 50
	for name, c := range map[string]struct {
		method, path string
		length       int
	}{
		"lookups": {http.MethodGet, "/list/x", 0},
		"orders":  {http.MethodPost, "/scan/x", 300},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.configure()
			var arrived atomic.Int64
			w.startBackend("vault", "v1", func(rw http.ResponseWriter, r *http.Request) { arrived.Add(1); respondHello(rw, r) })
			w.server.Close()
			w.server = httptest.NewUnstartedServer(w.gateway)
			w.server.Config.ConnContext = callerconn.WithConn
			listener := gatedListener{w.server.Listener, make(chan struct{})}
			w.server.Listener = listener
			w.server.Start()
			t.Cleanup(w.server.Close)
			for range callers {
				caller := w.dialCaller(is)
				caller.send(c.method, c.path, c.length, c.length)
				caller.disconnect(false)
			}
			before := w.gateway.counters.Requests.Value()
			close(listener.released)
			for end := time.Now().Add(10 * time.Second); w.gateway.counters.Requests.Value() < before+callers; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(end)) // the host has not read all requests
			}
			w.awaitIdle(is)
			is.Equal(arrived.Load(), int64(0)) // the server got requests of callers that had disconnected
		})
	}
}

// Uploads whose bodies cannot be read, again and again. Guards against a healthy server that counts
// as failing because of them, and against a second attempt that gets no more of the body.
func TestBodyReadErrorsDoNotCountAsServerFailures(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("vault", "v1", func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		respondHello(rw, r)
	})
	for range 5 {
		caller := w.dialCaller(is)
		fmt.Fprintf(caller.conn, "POST /list/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r1\r\nTransfer-Encoding: chunked\r\n\r\nnot a chunk\r\n", wire.HeaderRequestID)
		w.awaitIdle(is)
		caller.disconnect(false)
	}
	s := w.gateway.server(w.tables().AvailableBackends("vault")[0])
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.backlog.FailureRate(time.Now()), 0.0)
	is.True(w.requestsReceived() <= 5)
}
