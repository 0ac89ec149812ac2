package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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

// A server has begun with a request when its caller leaves. Guards against a server that works on
// for a caller that is gone, because something that is not read stands before the end of its
// connection.
func TestWorkEndsWhenItsCallerLeavesBehindUnreadBytes(t *testing.T) {
	for name, c := range map[string]struct {
		head, behind string
		rate         rate.Limit // of bodies, in bytes a second; zero means no bound
	}{
		"nothing unread":                 {head: "GET /list/x HTTP/1.1\r\nHost: 127.0.0.1\r\n" + wire.HeaderRequestID + ": r1\r\n\r\n"},
		"another request":                {head: "GET /list/x HTTP/1.1\r\nHost: 127.0.0.1\r\n" + wire.HeaderRequestID + ": r1\r\n\r\n", behind: "GET /list/y HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"},
		"an empty line after a body":     {head: "POST /list/x HTTP/1.1\r\nHost: 127.0.0.1\r\n" + wire.HeaderRequestID + ": r1\r\nContent-Length: 1\r\n\r\nx", behind: "\r\n"},
		"a body that waits for the link": {head: "POST /list/x HTTP/1.1\r\nHost: 127.0.0.1\r\n" + wire.HeaderRequestID + ": r1\r\nContent-Length: 360000\r\n\r\n", behind: strings.Repeat("x", 360_000), rate: 50_000},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newWorld(t)
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
				for hung := false; !hung; time.Sleep(time.Millisecond) {
					raw, _ := conn.(*net.TCPConn).SyscallConn()
					hung = callerconn.ClosedByPeer(raw)
				}
				close(ended)
			}()
			w.put("vault", "v1", l.Addr().String())
			caller, err := net.Dial("tcp", w.server.Listener.Addr().String())
			is.NoErr(err)
			_, err = io.WriteString(caller, c.head)
			is.NoErr(err)
			<-began
			time.Sleep(20 * time.Millisecond)
			go func() {
				_, _ = io.WriteString(caller, c.behind) // fails if the host does not take all
			}()
			time.Sleep(50 * time.Millisecond)
			is.NoErr(caller.Close())
			select {
			case <-ended:
			case <-time.After(leaveWithin):
				t.Error("the server still works for a caller that has left")
			}
		})
	}
}

// gate is a reader that gives its parts one by one, as they are let through.
type gate struct{ parts chan []byte }

// Read implements io.Reader.
func (g gate) Read(p []byte) (int, error) {
	part, ok := <-g.parts
	if !ok {
		return 0, io.EOF
	}
	return copy(p, part), nil
}

// A server sheds an upload that it has read as far as it had come. Guards against a second attempt
// that breaks off in the middle, because the first had read more than it.
func TestSecondAttemptGetsTheWholeBody(t *testing.T) {
	is := is.New(t)
	source := gate{make(chan []byte)}
	b := newReplayBody(source, 100)
	defer b.close()
	first, start, rest := b.reader(), bytes.Repeat([]byte("a"), 96), bytes.Repeat([]byte("b"), 50)
	source.parts <- start
	_, err := io.ReadFull(first, make([]byte, len(start)))
	is.NoErr(err)
	is.True(b.replayable()) // the call is sent again
	second := b.reader()
	source.parts <- rest // the source has read it
	go close(source.parts)
	time.Sleep(50 * time.Millisecond)
	got, err := io.ReadAll(second)
	is.NoErr(err)
	is.Equal(len(got), len(start)+len(rest))
}

// Guards against a request that may have run and is answered as one that did not: a later attempt
// is refused by its server, or has no server.
func TestLaterRefusalDoesNotHideThatARequestMayHaveRun(t *testing.T) {
	hangUp := func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}
	for name, then := range map[string]http.HandlerFunc{
		"a refusal":        notRun(http.StatusServiceUnavailable),
		"a wrong instance": notRun(http.StatusConflict),
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newWorld(t)
			w.configure()
			w.backend("desk", "b1", once(hangUp, then))
			w.own("b1", 9)
			status, _, header := w.ask("POST", "/read/x", strings.NewReader("order"))
			is.Equal(header.Get(verdict.Header), verdict.MayHaveRun.String())
			is.True(status == http.StatusBadGateway || status == http.StatusGatewayTimeout)
		})
	}
}

// A server has answered with a failure, and the request waits for room to be sent once more. Guards
// against an answer that is at hand and is replaced, at the end of the time or of the process, by
// one that says that the request did not run.
func TestHeldAnswerIsNotReplacedAtTheEnd(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.backend("desk", "b1", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		w.permit = wire.PermitReply{State: wire.PermitElsewhere} // there is no room any more
		w.mu.Unlock()
		rw.WriteHeader(http.StatusInternalServerError)
	})
	w.asked = func() {
		if w.arrivals() > 0 {
			time.AfterFunc(holdPause/3, w.gateway.EndCalls) // during the wait that follows the ask
		}
	}
	w.own("b1", 9)
	status, _, header := w.ask("POST", "/read/x", strings.NewReader("order"))
	is.Equal(status, http.StatusInternalServerError)
	is.Equal(header.Get(verdict.Header), "")
}

// Guards against a caller that waits for the whole time of its route because its body, which came
// without a length, is over the limit: the server waits for a rest that is never sent.
func TestBodyWithoutLengthOverTheLimitIsRefusedAtOnce(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.change(func(b *table.Builder) {
		b.PutItem(items.Item{Key: items.Key{Kind: items.KindLimits, Name: items.LimitsName}, Version: 1, Limits: &items.Limits{BodyBytes: 1000}})
	})
	is.True(w.tables().Items().Limits() != nil)
	w.backend("vault", "v1", func(rw http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		hello(rw, r)
	})
	began := time.Now()
	status, _, _ := w.ask("POST", "/scan/x", struct{ io.Reader }{strings.NewReader(strings.Repeat("x", 5000))})
	is.Equal(status, http.StatusRequestEntityTooLarge)
	is.True(time.Since(began) < time.Second)
}

// A request is refused before its body was looked at. Guards against a kept connection that ends
// without a word because what is left of the body is just what net/http reads at most.
func TestCallersAreToldOfTheEndOfTheConnectionAtTheBound(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.gateway.StopTaking()
	c, err := net.Dial("tcp", w.server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	head := func(id string, length int) {
		fmt.Fprintf(c, "POST /scan/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", wire.HeaderRequestID, id, length)
	}
	head("r1", maxUnread)
	answers := bufio.NewReader(c)
	resp, err := http.ReadResponse(answers, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	if resp.Close {
		return
	}
	_, err = io.WriteString(c, strings.Repeat("x", maxUnread))
	is.NoErr(err)
	head("r2", 0)
	_, err = http.ReadResponse(answers, nil)
	is.NoErr(err) // the connection ended without an answer
}

// A caller that wants its connection closed gets its answer before it has sent its whole body.
// Guards against an answer on its way that is lost because the rest of the body meets a closed
// connection, which resets it.
func TestAnswerBeforeTheBodyOnAConnectionThatEndsIsWhole(t *testing.T) {
	for name, option := range map[string]string{"kept": "", "closed": "Connection: close\r\n"} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newWorld(t)
			w.configure()
			body := strings.Repeat("a", 60<<10)
			w.backend("vault", "v1", func(rw http.ResponseWriter, _ *http.Request) {
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
			time.Sleep(300 * time.Millisecond) // the answer is made, and on its way
			for range 2 {
				_, _ = io.WriteString(c, strings.Repeat("x", (length-len("start"))/2)) // fails if the connection was reset
				time.Sleep(50 * time.Millisecond)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			got, err := io.ReadAll(resp.Body)
			is.NoErr(err) // the answer is cut short
			is.Equal(len(got), len(body))
		})
	}
}

// A request waits before it is sent once more when the process ends. Guards against one that is
// sent after that, and may have run instead of not run.
func TestNothingIsSentAfterTheEndOfCalls(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.backend("vault", "v1", func(rw http.ResponseWriter, r *http.Request) {
		time.AfterFunc(misdirectedPause/3, w.gateway.EndCalls)
		notRun(http.StatusConflict)(rw, r)
	})
	w.backend("vault", "v2", func(rw http.ResponseWriter, r *http.Request) {
		time.AfterFunc(misdirectedPause/3, w.gateway.EndCalls)
		notRun(http.StatusConflict)(rw, r)
	})
	for _, s := range w.tables().Members("vault") { // connections are open and idle
		w.gateway.client.Prepare(s.Address, 0).Forsake()
	}
	time.Sleep(50 * time.Millisecond)
	status, _, header := w.ask("POST", "/scan/x", strings.NewReader("order"))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), verdict.NotRun.String())
	time.Sleep(50 * time.Millisecond)
	is.Equal(w.arrivals(), 1)
}

// Guards against callers that keep their connections after the answer to a request that was under
// way when the stop began, and meet the close of the connection with their next request.
func TestAnswersToRequestsUnderWayAskCallersToLeave(t *testing.T) {
	for path, want := range map[string]int{"/scan/x": http.StatusOK, "/read/x": http.StatusServiceUnavailable} {
		t.Run(path, func(t *testing.T) {
			is, w := is.New(t), newWorld(t)
			w.configure()
			w.backend("vault", "v1", func(rw http.ResponseWriter, r *http.Request) {
				w.gateway.StartShutdown()
				hello(rw, r)
			})
			w.backend("desk", "b1", hello)
			w.own("b1", 9)
			w.permit = wire.PermitReply{State: wire.PermitRefused}
			w.asked = w.gateway.StartShutdown
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

// A request whose caller wants to be asked for the body waits for room at its server when the
// caller leaves. Guards against a host that keeps a place in the queue for a caller that is gone.
func TestHostDoesNotWaitForDepartedCallersBehindAnUnreadBody(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.backend("desk", "b1", hello)
	w.own("b1", 1)
	w.permit = wire.PermitReply{State: wire.PermitElsewhere}
	asked := make(chan struct{})
	w.asked = sync.OnceFunc(func() { close(asked) })
	caller := w.caller(is)
	fmt.Fprintf(caller.conn, "POST /book/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r1\r\n%s: abc\r\nExpect: 100-continue\r\nContent-Length: 300\r\n\r\n",
		wire.HeaderRequestID, wire.HeaderHash)
	<-asked
	left := time.Now()
	caller.leave(false)
	w.settled(is)
	is.True(time.Since(left) <= leaveWithin)
}

// Guards against a request without an end: its caller takes no bytes of a large answer, and the host
// is busy with it long after its time is over.
func TestRequestEndsAlthoughItsCallerDoesNotRead(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.backend("vault", "v1", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = rw.Write(make([]byte, 32<<20))
	})
	caller := w.caller(is)
	is.NoErr(caller.conn.SetReadBuffer(2 << 10))
	caller.send(http.MethodGet, "/list/x", 0, 0)
	time.Sleep(4 * time.Second) // twice the timeout of the route
	is.Equal(w.gateway.InFlight(), int64(0))
}
