package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// Guards against callers that keep a connection open for longer than the configuration
// allows, with half a header or without a request, and against a kept-alive connection
// that is closed before the timeout that callers are told.
func TestCallerConnsFollowConfiguredTimeouts(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	const headerTimeout, keepAliveTimeout = 50 * time.Millisecond, 100 * time.Millisecond
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, ConnState: trackConnState}
	go func() {
		_ = server.Serve(newCallerListener(inner, 10, func() (time.Duration, time.Duration) { return headerTimeout, keepAliveTimeout }, nil))
	}()
	defer server.Close()
	for name, c := range map[string]struct {
		sent  string
		least time.Duration
	}{
		"half a header": {"GET / HTTP/1.1\r\nHost: x\r\n", headerTimeout},
		"no request":    {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", keepAliveTimeout + idleGrace},
	} {
		began := time.Now() // the server's timeouts start with the connection
		conn, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(conn, c.sent)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, conn) // until the server closes
		is.NoErr(err)
		if took := time.Since(began); took < c.least {
			t.Errorf("%s: closed after %v, before %v", name, took, c.least)
		}
	}
}

func hourTimeouts() (header, idle time.Duration) { return time.Hour, time.Hour }

// acceptConn returns a listener and a connection that it accepted.
func acceptConn(t *testing.T) (*callerListener, *callerConn) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newCallerListener(inner, 10, hourTimeouts, nil)
	caller, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	c, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _, _ = caller.Close(), c.Close(), l.Close() })
	return l, c.(*callerConn)
}

// Guards against a connection without a request that delays a stop, because the server sets
// its deadline while the stop closes it.
func TestIdleConnClosesWhetherDeadlineIsSetBeforeOrAfter(t *testing.T) {
	deadline := func(c *callerConn) { _ = c.SetReadDeadline(time.Now().Add(time.Hour)) }
	for name, order := range map[string]func(*callerListener, *callerConn){
		"the deadline": func(l *callerListener, c *callerConn) { deadline(c); l.closeIdle() },
		"the close":    func(l *callerListener, c *callerConn) { l.closeIdle(); deadline(c) },
		"the close, while the deadline is being set": func(l *callerListener, c *callerConn) {
			set := make(chan struct{})
			c.mu.Lock()
			go func() { deadline(c); close(set) }()
			time.Sleep(20 * time.Millisecond) // it waits for the lock
			l.mu.Lock()
			l.closingIdle = true
			l.mu.Unlock()
			c.failReads()
			c.mu.Unlock()
			<-set
		},
	} {
		for state, kept := range map[string]bool{"new": false, "kept": true} {
			t.Run(state+", first "+name, func(t *testing.T) {
				is := is.New(t)
				l, c := acceptConn(t)
				if kept {
					trackConnState(c, http.StateActive)
					trackConnState(c, http.StateIdle)
				}
				order(l, c)
				failed := make(chan error, 1)
				go func() { _, err := c.Read(make([]byte, 10)); failed <- err }()
				select {
				case err := <-failed:
					is.True(errors.Is(err, os.ErrDeadlineExceeded))
				case <-time.After(time.Second):
					is.Fail() // the connection stays open
				}
			})
		}
	}
}

// Guards against a caller that connects while a stop closes idle connections and is
// disconnected before its request is read.
func TestConnAcceptedAfterCloseIdleIsServed(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newCallerListener(inner, 10, hourTimeouts, nil)
	server := &http.Server{ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, ConnState: trackConnState, Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	l.closeIdle()
	c, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer c.Close()
	time.Sleep(20 * time.Millisecond) // the server waits for the request
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	responses := bufio.NewReader(c)
	resp, err := http.ReadResponse(responses, nil)
	is.NoErr(err) // the connection was closed without a response
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = responses.ReadByte()
	is.Equal(err, io.EOF) // it is closed as it becomes idle
}

// Two pipelined requests are read at once. Guards against the second being cancelled while it is
// served, because no byte is read after the first, so that its connection counts as idle.
func TestCloseIdleKeepsPipelinedRequest(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	serving, ended := make(chan struct{}), make(chan struct{})
	cancelled := make(chan error, 1)
	server := &http.Server{ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, ConnState: trackConnState,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/2" {
				close(serving)
				<-ended
				time.Sleep(50 * time.Millisecond) // a failed read would cancel it
				cancelled <- r.Context().Err()
			}
		})}
	l := newCallerListener(inner, 10, hourTimeouts, nil)
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	c, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer c.Close()
	const head = " HTTP/1.1\r\nHost: x\r\n\r\n"
	_, err = io.WriteString(c, "GET /1"+head+"GET /2"+head)
	is.NoErr(err)
	<-serving
	l.closeIdle()
	close(ended)
	is.NoErr(<-cancelled)
}

// A process that is short of processor time closes its idle connections when a request that it has
// not read yet has arrived on one. Guards against a connection reset instead of a response.
func TestCloseIdleKeepsConnWithUnreadRequest(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newCallerListener(inner, 10, func() (time.Duration, time.Duration) { return 0, 0 }, nil)
	defer l.Close()
	var conns []*callerConn
	for _, sent := range []string{"GET /", ""} {
		caller, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		defer caller.Close()
		accepted, err := l.Accept()
		is.NoErr(err)
		defer accepted.Close()
		_, err = io.WriteString(caller, sent)
		is.NoErr(err)
		conns = append(conns, accepted.(*callerConn))
	}
	for !conns[0].hasUnreadBytes() {
		time.Sleep(time.Millisecond)
	}
	l.closeIdle()
	n, err := conns[0].Read(make([]byte, 10))
	is.NoErr(err)
	is.Equal(n, len("GET /"))
	_, err = conns[1].Read(make([]byte, 10))
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout())
}
