package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/pipeline"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

type pipelinedListener struct {
	net.Listener
	front *pipeline.Front
}

// Accept implements net.Listener.
func (l pipelinedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.front.Conn(c, c.(*net.TCPConn).CloseWrite, func() {}), nil
}

// pipelinedCaller is a caller of the gateway, whose requests are read ahead.
type pipelinedCaller struct {
	net.Conn
	is     *is.I
	reader *bufio.Reader
}

func (w *harness) connectPipelined() *pipelinedCaller { return w.connectPipelinedTo(w.gateway) }

// connectPipelinedTo connects to a handler around the gateway.
func (w *harness) connectPipelinedTo(handler http.Handler) *pipelinedCaller {
	is := is.New(w.t)
	front := pipeline.NewFront(pipeline.Config{Concurrent: 4, HeadBytes: 8 << 10, Repeatable: w.gateway.Repeatable, Logger: zap.NewNop()}, handler)
	server := httptest.NewUnstartedServer(front)
	server.Listener = pipelinedListener{server.Listener, front}
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		ahead := c.(*pipeline.Conn)
		return callerconn.WithConn(pipeline.WithConn(ctx, ahead), ahead.Conn)
	}
	server.Start()
	w.t.Cleanup(server.Close)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	w.t.Cleanup(func() { c.Close() })
	return &pipelinedCaller{Conn: c, is: is, reader: bufio.NewReader(c)}
}

func (c *pipelinedCaller) send(paths ...string) {
	for _, path := range paths {
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: %s\r\n%s: abc\r\n\r\n", path, wire.HeaderRequestID, path, wire.HeaderHash)
		c.is.NoErr(err)
	}
}

func (c *pipelinedCaller) receive() (*http.Response, string) {
	c.is.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	c.is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	c.is.NoErr(err)
	return resp, string(body)
}

// startHeldBackend starts a backend server that answers a request with its path once that is
// released.
func (w *harness) startHeldBackend(paths ...string) (begun chan string, release map[string]chan struct{}) {
	begun, release = make(chan string, 100), map[string]chan struct{}{}
	for _, path := range paths {
		release[path] = make(chan struct{})
	}
	w.startBackend("vault", "v1", func(rw http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		select {
		case <-release[r.URL.Path]:
			_, _ = io.WriteString(rw, r.URL.Path)
		case <-r.Context().Done():
		}
	})
	return begun, release
}

// Guards against a stop in which an answer ends the connection before those of requests that were
// passed on, and against requests that are passed on behind the answer that ends it.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	begun, release := w.startHeldBackend("/list/1", "/list/2", "/list/3")
	c := w.connectPipelined()
	c.send("/list/1", "/list/2")
	<-begun
	<-begun
	w.gateway.StartShutdown(time.Now().Add(time.Minute))
	close(release["/list/2"])
	close(release["/list/1"])
	resp, body := c.receive()
	is.Equal(body, "/list/1")
	is.True(!resp.Close)
	resp, body = c.receive()
	is.Equal(body, "/list/2")
	is.True(resp.Close)
	c.send("/list/3")
	_, err := c.reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(len(begun), 0)
}

// Guards against pipelined requests that are not told their outcome at the end of a stop.
func TestEndRequestsAnswersPipelinedRequests(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	begun, _ := w.startHeldBackend("/list/1", "/list/2")
	c := w.connectPipelined()
	c.send("/list/1", "/list/2")
	<-begun
	<-begun
	w.gateway.StartShutdown(time.Now().Add(time.Minute))
	w.gateway.EndRequests()
	for _, id := range []string{"/list/1", "/list/2"} {
		resp, _ := c.receive()
		is.True(resp.StatusCode >= http.StatusInternalServerError)
		is.Equal(resp.Header.Get(wire.HeaderRequestID), id)
		is.Equal(resp.Close, id == "/list/2")
	}
}

// Guards against requests that are read ahead though their route does not allow to repeat them, and
// against a refusal that ends the requests behind it.
func TestOnlyRepeatableRequestsAreReadAhead(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	is.True(!w.gateway.Repeatable("127.0.0.1", "/list/x")) // no configuration yet
	w.configure()
	is.True(w.gateway.Repeatable("127.0.0.1:80", "/list/x"))
	is.True(!w.gateway.Repeatable("127.0.0.1", "/scan/x"))
	is.True(!w.gateway.Repeatable("127.0.0.1", "/unknown"))
	begun, release := w.startHeldBackend("/list/1", "/scan/2", "/list/3")
	c := w.connectPipelined()
	c.send("/list/1", "/scan/2", "/unknown", "/list/3")
	for _, path := range []string{"/list/1", "/scan/2"} {
		is.Equal(<-begun, path)
		is.Equal(len(begun), 0)
		close(release[path])
		_, body := c.receive()
		is.Equal(body, path)
	}
	resp, _ := c.receive()
	is.Equal(resp.StatusCode, http.StatusNotFound)
	is.Equal(<-begun, "/list/3")
	close(release["/list/3"])
	_, body := c.receive()
	is.Equal(body, "/list/3")
}

// Guards against a request that cannot be answered in time and holds up the answers behind it for
// longer than its deadline.
func TestLateRequestIsRefusedAtItsDeadline(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	begun, release := w.startHeldBackend("/list/late", "/list/2")
	c := w.connectPipelined()
	_, err := fmt.Fprintf(c, "GET /list/late HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: 50\r\n\r\n", wire.HeaderTimeoutMs)
	is.NoErr(err)
	c.send("/list/2")
	<-begun
	<-begun
	close(release["/list/2"])
	resp, _ := c.receive()
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	_, body := c.receive()
	is.Equal(body, "/list/2")
}

// startedWriter closes started with the first bytes of an answer.
type startedWriter struct {
	http.ResponseWriter
	retractable
	started func()
}

func (w startedWriter) Write(p []byte) (int, error) {
	w.started()
	return w.ResponseWriter.Write(p)
}

func (w startedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Guards against answers that are thrown away with their connection because one before them breaks
// off, or is not complete when a stop ends.
func TestUnfinishedAnswerLeavesThoseBehindIt(t *testing.T) {
	for reason, stops := range map[verdict.Reason]bool{verdict.ReasonConnectionLost: false, verdict.ReasonShutdown: true} {
		t.Run(string(reason), func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.configure()
			small, sent := make(chan struct{}), make(chan struct{})
			w.startBackend("vault", "b1", func(rw http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/list/large" {
					fmt.Fprint(rw, r.URL.Path)
					close(small)
					return
				}
				<-small
				rw.Header().Set("Content-Length", itoa(4*maxBufferedResponse))
				_, _ = rw.Write(make([]byte, 2*maxBufferedResponse))
				_ = http.NewResponseController(rw).Flush()
				close(sent)
				if !stops {
					panic(http.ErrAbortHandler)
				}
				<-r.Context().Done()
			})
			started := make(chan struct{})
			c := w.connectPipelinedTo(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				if held, ok := rw.(retractable); ok && r.URL.Path == "/list/large" {
					rw = startedWriter{rw, held, sync.OnceFunc(func() { close(started) })}
				}
				w.gateway.ServeHTTP(rw, r)
			}))
			c.send("/list/large", "/list/small")
			<-sent
			if stops {
				<-started
				w.gateway.StartShutdown(time.Now().Add(time.Minute))
				w.gateway.EndRequests()
			}
			resp, _ := c.receive()
			is.Equal(resp.Header.Get(verdict.ReasonHeader), string(reason)) // and not the end of its time
			is.Equal(resp.Header.Get(wire.HeaderRequestID), "/list/large")
			_, body := c.receive()
			is.Equal(body, "/list/small")
		})
	}
}
