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

// Guards against callers that hold a connection for longer than the configuration
// allows, with half a header or without a request, and against a kept connection
// that is closed sooner than callers were told.
func TestCallersAreHeldToTheTimeoutsInForce(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	const header, idle = 50 * time.Millisecond, 100 * time.Millisecond
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, ConnState: noteIdle}
	go func() {
		_ = server.Serve(newCallerListener(inner, 10, func() (time.Duration, time.Duration) { return header, idle }, nil))
	}()
	defer server.Close()
	for name, c := range map[string]struct {
		sent  string
		least time.Duration
	}{
		"half a header": {"GET / HTTP/1.1\r\nHost: x\r\n", header},
		"no request":    {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", idle + idleMargin},
	} {
		began := time.Now() // the server's time begins with the connection
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

func anHour() (header, idle time.Duration) { return time.Hour, time.Hour }

// accepted returns a listener and a connection that it accepted.
func accepted(t *testing.T) (*callerListener, *callerConn) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newCallerListener(inner, 10, anHour, nil)
	caller, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	c, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _, _ = caller.Close(), c.Close(), l.Close() })
	return l, c.(*callerConn)
}

// Guards against a connection without a request that holds a stop up, because the server sets
// its deadline as the stop ends it.
func TestConnectionEndsWhicheverOfEndAndDeadlineIsFirst(t *testing.T) {
	deadline := func(c *callerConn) { _ = c.SetReadDeadline(time.Now().Add(time.Hour)) }
	for name, order := range map[string]func(*callerListener, *callerConn){
		"the deadline": func(l *callerListener, c *callerConn) { deadline(c); l.endIdle() },
		"the end":      func(l *callerListener, c *callerConn) { l.endIdle(); deadline(c) },
		"the end, once the deadline is being set": func(l *callerListener, c *callerConn) {
			set := make(chan struct{})
			c.mu.Lock()
			go func() { deadline(c); close(set) }()
			time.Sleep(20 * time.Millisecond) // it waits for the lock
			l.mu.Lock()
			l.ending = true
			l.mu.Unlock()
			c.end()
			c.mu.Unlock()
			<-set
		},
	} {
		for state, kept := range map[string]bool{"new": false, "kept": true} {
			t.Run(state+", first "+name, func(t *testing.T) {
				is := is.New(t)
				l, c := accepted(t)
				if kept {
					noteIdle(c, http.StateActive)
					noteIdle(c, http.StateIdle)
				}
				order(l, c)
				failed := make(chan error, 1)
				go func() { _, err := c.Read(make([]byte, 10)); failed <- err }()
				select {
				case err := <-failed:
					is.True(errors.Is(err, os.ErrDeadlineExceeded))
				case <-time.After(time.Second):
					is.Fail() // the connection goes on
				}
			})
		}
	}
}

// Guards against a caller that connects during the end of a stop and is cut off before its
// request was read.
func TestConnectionThatComesAfterTheEndIsServed(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newCallerListener(inner, 10, anHour, nil)
	server := &http.Server{ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, ConnState: noteIdle, Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	l.endIdle()
	c, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer c.Close()
	time.Sleep(20 * time.Millisecond) // the server waits for the request
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	answers := bufio.NewReader(c)
	resp, err := http.ReadResponse(answers, nil)
	is.NoErr(err) // the connection ended without an answer
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = answers.ReadByte()
	is.Equal(err, io.EOF) // it ends as it becomes idle
}

// Two requests arrive at once. Guards against the second that is cancelled while it is served,
// because no byte of it was read after the first, so that its connection counts as idle.
func TestRequestThatCameWithAnotherIsNotCancelledByTheEnd(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	serving, ended := make(chan struct{}), make(chan struct{})
	cancelled := make(chan error, 1)
	server := &http.Server{ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, ConnState: noteIdle,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/2" {
				close(serving)
				<-ended
				time.Sleep(50 * time.Millisecond) // a read that fails would cancel it
				cancelled <- r.Context().Err()
			}
		})}
	l := newCallerListener(inner, 10, anHour, nil)
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	c, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer c.Close()
	const head = " HTTP/1.1\r\nHost: x\r\n\r\n"
	_, err = io.WriteString(c, "GET /1"+head+"GET /2"+head)
	is.NoErr(err)
	<-serving
	l.endIdle()
	close(ended)
	is.NoErr(<-cancelled)
}

// A process that gets little processor time ends its idle connections when a request has arrived
// on one that it has not read yet. Guards against a reset of the connection in place of an answer.
func TestConnectionWithAnUnreadRequestIsNotEnded(t *testing.T) {
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
	for !conns[0].unread() {
		time.Sleep(time.Millisecond)
	}
	l.endIdle()
	n, err := conns[0].Read(make([]byte, 10))
	is.NoErr(err)
	is.Equal(n, len("GET /"))
	_, err = conns[1].Read(make([]byte, 10))
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout())
}
