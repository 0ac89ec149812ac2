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

// leaveWithin is the time after which nothing may be done for a caller that has left.
const leaveWithin = 500 * time.Millisecond

// caller sends one request by hand, so that it can leave at any point of it.
type caller struct {
	is   *is.I
	conn *net.TCPConn
}

func (w *world) caller(is *is.I) *caller {
	conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
	is.NoErr(err)
	w.t.Cleanup(func() { conn.Close() })
	return &caller{is: is, conn: conn.(*net.TCPConn)}
}

// send sends a head that announces length bytes, and the first sent of them.
func (c *caller) send(method, path string, length, sent int) {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r1\r\n%s: abc\r\n", method, path, wire.HeaderRequestID, wire.HeaderHash)
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	_, err := io.WriteString(c.conn, head+"\r\n"+strings.Repeat("x", sent))
	c.is.NoErr(err)
}

// leave closes the connection, with a reset if abrupt.
func (c *caller) leave(abrupt bool) {
	if abrupt {
		c.is.NoErr(c.conn.SetLinger(0))
	}
	c.is.NoErr(c.conn.Close())
}

// settled waits until the host has nothing to do any more.
func (w *world) settled(is *is.I) {
	for end := time.Now().Add(10 * time.Second); w.gateway.InFlight() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // the host is still busy with the request
	}
}

// A caller that leaves while its request waits for a permit. Guards against a request that
// is sent to a backend server although its caller left long before: the end of a
// connection stands behind all that was sent, so a host that has not read it does not hear it.
func TestRequestOfACallerThatLeftIsNotSent(t *testing.T) {
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
			is, w := is.New(t), newWorld(t)
			w.configure()
			w.backend("desk", "b1", hello)
			w.own("b1", 5)
			waiting := make(chan struct{})
			w.mute, w.asked = "h2", sync.OnceFunc(func() { close(waiting) })
			caller := w.caller(is)
			caller.send(c.method, "/book/x", c.length, c.sent)
			<-waiting
			_, err := io.WriteString(caller.conn, c.behind)
			is.NoErr(err)
			caller.leave(c.abrupt)
			w.settled(is) // the ask ends with the call, or when its time is over
			is.Equal(w.arrivals(), 0)
		})
	}
}

// A request waits for a server to have room when its caller leaves. Guards against a host
// that keeps a place in the queue, and its own time, for a caller that is gone.
func TestHostDoesNotWaitForDepartedCallers(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.backend("desk", "b1", hello)
	w.own("b1", 1)
	w.permit = wire.PermitReply{State: wire.PermitElsewhere}
	asked := make(chan struct{})
	var once sync.Once
	w.asked = func() { once.Do(func() { close(asked) }) }
	caller := w.caller(is)
	caller.send(http.MethodPost, "/book/x", 300, 300)
	<-asked
	left := time.Now()
	caller.leave(false)
	w.settled(is)
	took := time.Since(left)
	if took > leaveWithin {
		t.Errorf("the host waited %v longer for a server", took)
	}
}

// bodyEnd serves a request and says when its body ended, and how.
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
	hello(rw, r)
}

// An upload is on its way to its server when its caller leaves. Guards against a server that
// is sent the rest for long and runs the request, and against one that is kept waiting for a
// rest that never comes.
func TestUploadsOfDepartedCallersEnd(t *testing.T) {
	const upload = 60 << 10
	for name, c := range map[string]struct {
		sent int
		rate rate.Limit // bytes a second; zero means no bound
	}{
		"after the whole body, which waits for the link": {upload, 30 << 10},
		"after a part of the body":                       {upload / 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newWorld(t)
			if c.rate > 0 {
				w.gateway.client = upstream.New(upstream.Config{IDHeader: wire.HeaderRequestID, DialTimeout: time.Second, MaxDialTimeout: time.Second,
					UserTimeout: time.Second, MaxUserTimeout: time.Second, MaxIdle: time.Second, Clock: w.gateway.cfg.Clock,
					BodyRate: rate.NewLimiter(c.rate, upstream.BodyChunk)})
			}
			w.configure()
			body := newBodyEnd()
			w.backend("vault", "v1", body.serve)
			caller := w.caller(is)
			caller.send(http.MethodPost, "/scan/x", upload, c.sent)
			<-body.began
			left := time.Now()
			caller.leave(false)
			err := <-body.ended
			took := time.Since(left)
			is.True(err != nil) // the server got the whole body of a caller that had left
			if took > leaveWithin {
				t.Errorf("the server waited %v for the rest of the body", took)
			}
		})
	}
}

// heldListener is a listener that accepts nothing until it is released, like a host that is short
// of processor time.
type heldListener struct {
	net.Listener
	released chan struct{}
}

// Accept implements net.Listener.
func (l heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// Callers give up because their requests were not read. Guards against requests that are
// sent before the host has looked for the end of the connection behind them.
func TestUnreadRequestsOfDepartedCallersAreNotSent(t *testing.T) {
	const callers = 50
	for name, c := range map[string]struct {
		method, path string
		length       int
	}{
		"lookups": {http.MethodGet, "/list/x", 0},
		"orders":  {http.MethodPost, "/scan/x", 300},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newWorld(t)
			w.configure()
			var arrived atomic.Int64
			w.backend("vault", "v1", func(rw http.ResponseWriter, r *http.Request) { arrived.Add(1); hello(rw, r) })
			w.server.Close()
			w.server = httptest.NewUnstartedServer(w.gateway)
			w.server.Config.ConnContext = callerconn.Context
			listener := heldListener{w.server.Listener, make(chan struct{})}
			w.server.Listener = listener
			w.server.Start()
			t.Cleanup(w.server.Close)
			for range callers {
				caller := w.caller(is)
				caller.send(c.method, c.path, c.length, c.length)
				caller.leave(false)
			}
			before := w.gateway.counters.Requests.Value()
			close(listener.released)
			for end := time.Now().Add(10 * time.Second); w.gateway.counters.Requests.Value() < before+callers; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(end)) // the host has not read all requests
			}
			w.settled(is)
			is.Equal(arrived.Load(), int64(0)) // the server got requests of callers that had left
		})
	}
}

// Uploads whose callers break off, again and again. Guards against a sound server that is taken
// for a failing one because the bodies for it could not be read, and against a second attempt that
// gets no more of the body.
func TestBodiesThatBreakOffSayNothingOfTheServer(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.backend("vault", "v1", func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		hello(rw, r)
	})
	for range 5 {
		caller := w.caller(is)
		fmt.Fprintf(caller.conn, "POST /list/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r1\r\nTransfer-Encoding: chunked\r\n\r\nnot a chunk\r\n", wire.HeaderRequestID)
		w.settled(is)
		caller.leave(false)
	}
	s := w.gateway.server(w.tables().Members("vault")[0])
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.backlog.Failing(time.Now()), 0.0)
	is.True(w.arrivals() <= 5)
}
