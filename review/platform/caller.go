package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// newAttempt returns a new request id.
func newAttempt() string { return fmt.Sprintf("%016x", lastAttempt.Add(1)) }

// caller sends requests one after the other on a connection that it keeps open.
type caller struct {
	d    *deployment
	h    *host
	conn net.Conn
	br   *bufio.Reader
}

// outcome is what a caller saw of one request.
type outcome struct {
	attempt string
	sent    time.Time // when its last byte was sent
	took    time.Duration
	status  int // 0 without a whole answer
	err     error
}

// send sends one request of a route and returns its outcome. err is set if the connection ended
// without a complete answer.
func (c *caller) send(method, path string, key int, body []byte, deadline time.Duration) outcome {
	out := outcome{attempt: newAttempt()}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.h.address(portFront), time.Second)
		if err != nil {
			out.err = fmt.Errorf("not connected: %w", err)
			return out
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	req := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nShard-Key: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, out.attempt, deadline.Milliseconds(), key, len(body), body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	_, out.err = io.WriteString(c.conn, req)
	out.sent = time.Now()
	if out.err == nil {
		out.status, out.err = c.readAnswer(method)
	}
	out.took = time.Since(out.sent)
	if out.err != nil {
		c.close()
	}
	return out
}

func (c *caller) readAnswer(method string) (status int, err error) {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, err
	}
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, nil
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
