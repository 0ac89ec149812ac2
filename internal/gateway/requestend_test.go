package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/upstream"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// A caller disconnects while a server works on its request. Guards against a server that goes on
// working for a caller that is gone, because unread bytes precede the end of its connection.
func TestDisconnectBehindUnreadBytesCancelsWork(t *testing.T) {
	for name, c := range map[string]struct {
		head, behind string
		rate         rate.Limit // of bodies, in bytes a second; zero means no bound
	}{
		"nothing unread":                       {head: "GET /list/x HTTP/1.1\r\nHost: 127.0.0.1\r\n" + wire.HeaderRequestID + ": r1\r\n\r\n"},
		"another request":                      {head: "GET /list/x HTTP/1.1\r\nHost: 127.0.0.1\r\n" + wire.HeaderRequestID + ": r1\r\n\r\n", behind: "GET /list/y HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"},
		"an empty line after a body":           {head: "POST /list/x HTTP/1.1\r\nHost: 127.0.0.1\r\n" + wire.HeaderRequestID + ": r1\r\nContent-Length: 1\r\n\r\nx", behind: "\r\n"},
		"a body that waits for the rate limit": {head: "POST /list/x HTTP/1.1\r\nHost: 127.0.0.1\r\n" + wire.HeaderRequestID + ": r1\r\nContent-Length: 360000\r\n\r\n", behind: strings.Repeat("x", 360_000), rate: 50_000},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.configure()
			if c.rate > 0 {
				w.gateway.client = upstream.New(upstream.Config{IDHeader: wire.HeaderRequestID, DialTimeout: time.Second, MaxDialTimeout: time.Second,
					UserTimeout: time.Second, MaxUserTimeout: time.Second, MaxIdle: time.Second, Clock: w.gateway.cfg.Clock,
					BodyRate: rate.NewLimiter(c.rate, upstream.BodyChunk)})
			}
			began, ended := make(chan struct{}), make(chan struct{})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() { // reads the request and never answers
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				in := bufio.NewReader(conn)
				for line := ""; line != "\r\n"; {
					if line, err = in.ReadString('\n'); err != nil {
						return
					}
				}
				close(began)
				go func() { _, _ = io.Copy(io.Discard, in) }() // until the connection ends
				for closed := false; !closed; time.Sleep(time.Millisecond) {
					raw, _ := conn.(*net.TCPConn).SyscallConn()
					closed = callerconn.ClosedByPeer(raw)
				}
				close(ended)
			}()
			w.putBackend("vault", "v1", l.Addr().String())
			caller, err := net.Dial("tcp", w.server.Listener.Addr().String())
			is.NoErr(err)
			_, err = io.WriteString(caller, c.head)
			is.NoErr(err)
			<-began
			time.Sleep(20 * time.Millisecond)
			go func() {
				_, _ = io.WriteString(caller, c.behind) // fails if the host does not read all of it
			}()
			time.Sleep(50 * time.Millisecond)
			is.NoErr(caller.Close())
			select {
			case <-ended:
			case <-time.After(maxReactionTime):
				t.Error("the server still works for a caller that has left")
			}
		})
	}
}

// gatedReader is a reader that returns each chunk as it is sent to the channel.
type gatedReader struct{ chunks chan []byte }

// Read implements io.Reader.
func (g gatedReader) Read(p []byte) (int, error) {
	part, ok := <-g.chunks
	if !ok {
		return 0, io.EOF
	}
	return copy(p, part), nil
}

// A server sheds an upload after it has read all that had arrived. Guards against a second attempt
// that is truncated because the first one was further ahead in the body.
func TestSecondAttemptGetsWholeBody(t *testing.T) {
	is := is.New(t)
	source := gatedReader{make(chan []byte)}
	b := newReplayBody(source, 100)
	defer b.close()
	first, start, rest := b.reader(), bytes.Repeat([]byte("a"), 96), bytes.Repeat([]byte("b"), 50)
	source.chunks <- start
	_, err := io.ReadFull(first, make([]byte, len(start)))
	is.NoErr(err)
	is.True(b.replayable()) // the call is sent again
	second := b.reader()
	source.chunks <- rest // the source has read it
	go close(source.chunks)
	time.Sleep(50 * time.Millisecond)
	got, err := io.ReadAll(second)
	is.NoErr(err)
	is.Equal(len(got), len(start)+len(rest))
}

// Guards against a request that may have run and is answered as not run, because a later attempt
// was refused by its server or had no server.
func TestLaterRefusalKeepsMayHaveRunVerdict(t *testing.T) {
	hangUp := func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}
	for name, then := range map[string]http.HandlerFunc{
		"a refusal":        respondNotRun(http.StatusServiceUnavailable),
		"a wrong instance": respondNotRun(http.StatusConflict),
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.configure()
			w.startBackend("desk", "b1", firstThen(hangUp, then))
			w.setOwner("b1", 9)
			status, _, header := w.send("POST", "/read/x", strings.NewReader("order"))
			is.Equal(header.Get(verdict.Header), verdict.MayHaveRun.String())
			is.True(status == http.StatusBadGateway || status == http.StatusGatewayTimeout)
		})
	}
}

// A server has answered with an error, and the request waits to be retried while the server is
// full. Guards against this response being replaced, at the deadline or at the end of the process,
// by one that says that the request did not run.
func TestFallbackResponseIsReturnedAtShutdown(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("desk", "b1", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		w.permit = wire.PermitReply{State: wire.PermitWrongIssuer} // the server is full now
		w.mu.Unlock()
		rw.WriteHeader(http.StatusInternalServerError)
	})
	w.onPermitRequest = func() {
		if w.requestsReceived() > 0 {
			time.AfterFunc(queueFullDelay/3, w.gateway.EndRequests) // during the wait that follows the permit request
		}
	}
	w.setOwner("b1", 9)
	status, _, header := w.send("POST", "/read/x", strings.NewReader("order"))
	is.Equal(status, http.StatusInternalServerError)
	is.Equal(header.Get(verdict.Header), "")
}

// Guards against a caller that waits for the whole timeout of its route because its body, sent
// without a length, is over the limit: the server waits for a rest that is never sent.
func TestChunkedBodyOverLimitIsRefusedAtOnce(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.applyChange(func(b *table.Builder) {
		b.PutItem(items.Item{Key: items.Key{Kind: items.KindLimits, Name: items.LimitsName}, Version: 1, Limits: &items.Limits{BodyBytes: 1000}})
	})
	is.True(w.tables().Items().Limits() != nil)
	w.startBackend("vault", "v1", func(rw http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		respondHello(rw, r)
	})
	began := time.Now()
	status, _, _ := w.send("POST", "/scan/x", struct{ io.Reader }{strings.NewReader(strings.Repeat("x", 5000))})
	is.Equal(status, http.StatusRequestEntityTooLarge)
	is.True(time.Since(began) < time.Second)
}

// A request is refused before its body was read. Guards against a connection that ends without
// "Connection: close" because the unread body is exactly as long as net/http reads at most.
func TestUnreadBodyAtDrainLimitAnnouncesConnectionClose(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.gateway.StopAdmitting()
	c, err := net.Dial("tcp", w.server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	head := func(id string, length int) {
		fmt.Fprintf(c, "POST /scan/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", wire.HeaderRequestID, id, length)
	}
	head("r1", maxBodyDrain)
	answers := bufio.NewReader(c)
	resp, err := http.ReadResponse(answers, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	if resp.Close {
		return
	}
	_, err = io.WriteString(c, strings.Repeat("x", maxBodyDrain))
	is.NoErr(err)
	head("r2", 0)
	_, err = http.ReadResponse(answers, nil)
	is.NoErr(err) // the connection ended without a response
}

// A caller that asks for its connection to be closed gets its response before it has sent its whole
// body. Guards against a response in flight that is lost because the rest of the body arrives at a
// closed connection, which resets it.
func TestEarlyResponseOnClosingConnectionIsComplete(t *testing.T) {
	for name, option := range map[string]string{"kept": "", "closed": "Connection: close\r\n"} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.configure()
			body := strings.Repeat("a", 60<<10)
			w.startBackend("vault", "v1", func(rw http.ResponseWriter, _ *http.Request) {
				_ = http.NewResponseController(rw).EnableFullDuplex()
				rw.Header().Set("Content-Length", itoa(len(body)))
				_, _ = io.WriteString(rw, body)
				_ = http.NewResponseController(rw).Flush()
				time.Sleep(time.Second)
			})
			c, err := net.Dial("tcp", w.server.Listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.(*net.TCPConn).SetReadBuffer(2 << 10))
			const length = 20 << 10
			fmt.Fprintf(c, "POST /scan/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s%s: r1\r\nContent-Length: %d\r\n\r\nstart", option, wire.HeaderRequestID, length)
			time.Sleep(300 * time.Millisecond) // the response is written and in flight
			for range 2 {
				_, _ = io.WriteString(c, strings.Repeat("x", (length-len("start"))/2)) // fails if the connection was reset
				time.Sleep(50 * time.Millisecond)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			got, err := io.ReadAll(resp.Body)
			is.NoErr(err) // the response is truncated
			is.Equal(len(got), len(body))
		})
	}
}

// The process ends while a request waits for its next attempt. Guards against an attempt after
// that, which turns a request that has not run into one that may have run.
func TestNothingIsSentAfterEndRequests(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("vault", "v1", func(rw http.ResponseWriter, r *http.Request) {
		time.AfterFunc(misdirectedDelay/3, w.gateway.EndRequests)
		respondNotRun(http.StatusConflict)(rw, r)
	})
	w.startBackend("vault", "v2", func(rw http.ResponseWriter, r *http.Request) {
		time.AfterFunc(misdirectedDelay/3, w.gateway.EndRequests)
		respondNotRun(http.StatusConflict)(rw, r)
	})
	for _, s := range w.tables().AvailableBackends("vault") { // connections are open and idle
		w.gateway.client.PrepareConn(s.Address, 0).Abandon()
	}
	time.Sleep(50 * time.Millisecond)
	status, _, header := w.send("POST", "/scan/x", strings.NewReader("order"))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), verdict.NotRun.String())
	time.Sleep(50 * time.Millisecond)
	is.Equal(w.requestsReceived(), 1)
}

// Guards against requests that are sent so late in a stop that they are cut off by its end: an
// order may then have run, and its caller may not repeat it elsewhere.
func TestStoppingHostSendsNothingThatItCannotAnswer(t *testing.T) {
	for name, path := range map[string]string{"with a permit": "/book/x", "by estimate": "/scan/x"} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.configure()
			w.startBackend("desk", "b1", respondHello)
			w.startBackend("vault", "v1", respondHello)
			w.setOwner("b1", 9)
			w.gateway.StartShutdown(time.Now().Add(initialServiceTime / 2))
			var asked atomic.Bool
			w.onPermitRequest = func() { asked.Store(true) }
			status, _, header := w.send("POST", path, strings.NewReader("order"))
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(header.Get(verdict.Header), verdict.NotRun.String())
			is.True(!asked.Load()) // it is refused before it waits
			is.Equal(w.requestsReceived(), 0)
		})
	}
}

// Guards against a backend server that works on a request longer than this host can wait for
// its answer, because it was told the time of the caller and not that of the stop.
func TestStoppingHostPassesOnTheTimeOfTheStop(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	var left time.Duration
	w.startBackend("vault", "v1", func(rw http.ResponseWriter, r *http.Request) {
		ms, err := strconv.ParseInt(r.Header.Get(wire.HeaderTimeoutMs), 10, 64)
		is.NoErr(err)
		left = time.Duration(ms) * time.Millisecond
		respondHello(rw, r)
	})
	w.gateway.StartShutdown(time.Now().Add(1500 * time.Millisecond))
	status, _, _ := w.send("POST", "/scan/x", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.True(left > 0 && left <= 1500*time.Millisecond)
}

// Guards against callers that keep their connections after the response to a request that was in
// flight when the shutdown began: their next request would find the connection closed.
func TestResponsesDuringShutdownCloseConnections(t *testing.T) {
	for path, want := range map[string]int{"/scan/x": http.StatusOK, "/read/x": http.StatusServiceUnavailable} {
		t.Run(path, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.configure()
			w.startBackend("vault", "v1", func(rw http.ResponseWriter, r *http.Request) {
				w.gateway.StartShutdown(time.Now().Add(time.Minute))
				respondHello(rw, r)
			})
			w.startBackend("desk", "b1", respondHello)
			w.setOwner("b1", 9)
			w.permit = wire.PermitReply{State: wire.PermitRefused}
			w.onPermitRequest = func() { w.gateway.StartShutdown(time.Now().Add(time.Minute)) }
			req, err := http.NewRequest("GET", w.server.URL+path, nil)
			is.NoErr(err)
			req.Header.Set(wire.HeaderRequestID, "r1")
			req.Header.Set(wire.HeaderHash, "abc")
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, want)
			is.True(resp.Close)
		})
	}
}

// A caller with "Expect: 100-continue" disconnects while its request waits for a full server.
// Guards against a host that keeps a place in the queue for a caller that is gone.
func TestQueueWaitEndsWhenExpectContinueCallerDisconnects(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("desk", "b1", respondHello)
	w.setOwner("b1", 1)
	w.permit = wire.PermitReply{State: wire.PermitWrongIssuer}
	asked := make(chan struct{})
	w.onPermitRequest = sync.OnceFunc(func() { close(asked) })
	caller := w.dialCaller(is)
	fmt.Fprintf(caller.conn, "POST /book/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r1\r\n%s: abc\r\nExpect: 100-continue\r\nContent-Length: 300\r\n\r\n",
		wire.HeaderRequestID, wire.HeaderHash)
	<-asked
	left := time.Now()
	caller.disconnect(false)
	w.awaitIdle(is)
	is.True(time.Since(left) <= maxReactionTime)
}

// Guards against a request that never ends: its caller reads nothing of a large response, and the
// host is busy with it long after its deadline.
func TestRequestEndsWhenCallerDoesNotRead(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("vault", "v1", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = rw.Write(make([]byte, 32<<20))
	})
	caller := w.dialCaller(is)
	is.NoErr(caller.conn.SetReadBuffer(2 << 10))
	caller.send(http.MethodGet, "/list/x", 0, 0)
	time.Sleep(4 * time.Second) // twice the timeout of the route
	is.Equal(w.gateway.InFlight(), int64(0))
}
