package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Sizes of connection buffers. An entry host keeps some hundred connections, and
// memory is dear on small hosts.
const (
	readBufferBytes  = 2 << 10
	writeBufferBytes = 2 << 10
)

// conn is one connection to a backend server. One request uses it at a time.
type conn struct {
	net.Conn
	pool  *pool
	input *boundedReader // what br reads from
	br    *bufio.Reader
	bw    *bufio.Writer
	// until is when the backend server may close the connection while it is idle.
	until time.Time
	idle  time.Time // since when it is idle
	// refused are the requests that the backend server said on it that it did not run.
	refused []string
	// silence is how long sent data may stay unacknowledged.
	silence time.Duration
}

// unbounded lets a boundedReader read on.
const unbounded = -1

// errTooLong means that a server sent more than an answer's head, or a stray answer,
// may have.
var errTooLong = errors.New("the server sent too many bytes that are no answer")

// boundedReader fails once more than a bound was read.
type boundedReader struct {
	r    io.Reader
	left int // bytes, or unbounded
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left == unbounded {
		return b.r.Read(p)
	}
	if b.left == 0 {
		return 0, errTooLong
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// pool holds the idle connections to one address, the last used one at the end.
type pool struct {
	address string

	mu   sync.Mutex
	idle []*conn
	open int
	used time.Time
	// preparing is set while a connection is opened ahead of its request.
	preparing bool
}

// take returns the idle connection that was used last and may carry the request with an
// id, or nil. Connections that are closed, have unread bytes, or are about to be closed
// are dropped.
func (p *pool) take(now time.Time, maxIdle time.Duration, id string) *conn {
	for {
		c := p.pick(id)
		if c == nil {
			return nil
		}
		if now.Before(c.until) && now.Sub(c.idle) < maxIdle && c.quiet() {
			return c
		}
		c.discard()
	}
}

// pick takes the idle connection that was used last and may carry a request out of the
// pool. One on which the request was refused may not: a second copy of that refusal would
// pass for the next answer.
func (p *pool) pick(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !slices.Contains(c.refused, id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// makeRoom closes the oldest idle connection if there are most open ones, and
// reports whether another one may be opened.
func (p *pool) makeRoom(most int) bool {
	if most <= 0 {
		return true
	}
	p.mu.Lock()
	if p.open < most || len(p.idle) == 0 {
		defer p.mu.Unlock()
		return p.open < most
	}
	oldest := p.idle[0]
	p.idle = p.idle[1:]
	p.mu.Unlock()
	oldest.discard()
	return true
}

// quiet reports whether the connection is open and nothing waits to be read:
// bytes that arrive while no request is on its way belong to none.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// unlinger makes a close drop what was not sent yet: on a slow link, a request may
// still be in the send queue when its caller leaves, and is not to arrive any more.
func (c *conn) unlinger() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the close that follows works all the same
	}
}

// reset closes the connection under an exchange that is over for its caller.
func (c *conn) reset() {
	c.unlinger()
	_ = c.Conn.Close()
}

func (c *conn) discard() {
	_ = c.Conn.Close()
	c.pool.mu.Lock()
	c.pool.open--
	c.pool.mu.Unlock()
}

// release keeps the connection for another request.
func (c *conn) release(now time.Time, keep time.Duration) {
	c.idle, c.until = now, now.Add(keep)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.idle = append(c.pool.idle, c)
	c.pool.used = now
}

// releaseUnused keeps a connection whose request was not written. The time for which the
// backend server keeps it open goes on; a new connection is kept for most.
func (c *conn) releaseUnused(now time.Time, most time.Duration) {
	if !c.until.IsZero() {
		most = c.until.Sub(now)
	}
	c.release(now, most)
}

// closeIdle closes the connections that are idle for longer than maxIdle and
// reports whether the pool is unused.
func (p *pool) closeIdle(now time.Time, maxIdle time.Duration) (unused bool) {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.until) && now.Sub(c.idle) < maxIdle {
			kept = append(kept, c)
		} else {
			old = append(old, c)
		}
	}
	p.idle = kept
	unused = p.open == len(old) && now.Sub(p.used) > maxIdle
	p.mu.Unlock()
	for _, c := range old {
		c.discard()
	}
	return unused
}

// keepAliveMargin is subtracted from the idle time that a backend server states,
// for the time that the next request needs to arrive.
const keepAliveMargin = 500 * time.Millisecond

// keepFor returns how long a connection may be reused after an answer.
func keepFor(resp *http.Response, most time.Duration) time.Duration {
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			most = min(most, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return most
}
