package upstream

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/agatestep/agatestep/internal/httpanswer"
)

// Sizes of connection buffers. An entry host keeps some hundred connections, and
// small hosts have little memory.
const (
	readBufferBytes  = 2 << 10
	writeBufferBytes = 2 << 10
)

// conn is one connection to a backend server. One request uses it at a time.
type conn struct {
	net.Conn
	pool    *pool
	answers *httpanswer.Reader // what input reads from
	input   *responseInput     // what br reads from
	br      *bufio.Reader
	bw      *bufio.Writer
	// keepUntil is when the backend server may close the connection while it is idle.
	keepUntil time.Time
	idleSince time.Time
	// refusedIDs are the requests that the backend server refused to run on this connection.
	refusedIDs []string
	// userTimeout is how long sent data may stay unacknowledged.
	userTimeout time.Duration
}

// pool holds the idle connections to one address, the most recently used one last.
type pool struct {
	address string

	mu       sync.Mutex
	idle     []*conn
	open     int
	lastUsed time.Time
	// preparing is set while a connection is being opened in advance for a request.
	preparing bool
}

// take returns the most recently used idle connection that may carry the request with this
// id, or nil. Connections that are closed, have unread bytes, or are about to be closed
// are dropped.
func (p *pool) take(now time.Time, maxIdle time.Duration, id string) *conn {
	for {
		c := p.takeLatest(id)
		if c == nil {
			return nil
		}
		if now.Before(c.keepUntil) && now.Sub(c.idleSince) < maxIdle && c.reusable() {
			return c
		}
		c.discard()
	}
}

// takeLatest removes the most recently used idle connection that may carry a request from the
// pool. A connection on which the request was refused may not: a duplicate of that refusal
// would be taken for the next response.
func (p *pool) takeLatest(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !slices.Contains(c.refusedIDs, id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// ensureCapacity closes the oldest idle connection if maxOpen are open, and reports whether
// another one may be opened. A maxOpen of zero means no bound.
func (p *pool) ensureCapacity(maxOpen int) bool {
	if maxOpen <= 0 {
		return true
	}
	p.mu.Lock()
	if p.open < maxOpen || len(p.idle) == 0 {
		defer p.mu.Unlock()
		return p.open < maxOpen
	}
	oldest := p.idle[0]
	p.idle = p.idle[1:]
	p.mu.Unlock()
	oldest.discard()
	return true
}

// reusable reports whether the connection is open and has no unread bytes: bytes that arrive
// while no request is in flight belong to none.
func (c *conn) reusable() bool {
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
	noData := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return err == nil && noData
}

// dropUnsent makes a close discard data that was not sent yet: on a slow link, a request may
// still be in the send queue when its caller disconnects, and must not arrive any more.
func (c *conn) dropUnsent() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the close that follows works regardless
	}
}

// reset closes the connection of an exchange whose context has ended.
func (c *conn) reset() {
	c.dropUnsent()
	_ = c.Conn.Close()
}

func (c *conn) discard() {
	_ = c.Conn.Close()
	c.pool.mu.Lock()
	c.pool.open--
	c.pool.mu.Unlock()
}

// release returns the connection to the pool for another request within the time to keep it.
func (c *conn) release(now time.Time, keep time.Duration) {
	c.idleSince, c.keepUntil = now, now.Add(keep)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.idle = append(c.pool.idle, c)
	c.pool.lastUsed = now
}

// releaseUnused returns a connection whose request was not written to the pool. Its
// remaining idle time does not change; a new connection is kept for maxIdle.
func (c *conn) releaseUnused(now time.Time, maxIdle time.Duration) {
	if !c.keepUntil.IsZero() {
		maxIdle = c.keepUntil.Sub(now)
	}
	c.release(now, maxIdle)
}

// closeIdle closes the connections that are idle for longer than maxIdle and
// reports whether the pool is unused.
func (p *pool) closeIdle(now time.Time, maxIdle time.Duration) (unused bool) {
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.keepUntil) && now.Sub(c.idleSince) < maxIdle {
			kept = append(kept, c)
		} else {
			expired = append(expired, c)
		}
	}
	p.idle = kept
	unused = p.open == len(expired) && now.Sub(p.lastUsed) > maxIdle
	p.mu.Unlock()
	for _, c := range expired {
		c.discard()
	}
	return unused
}

// keepAliveMargin is subtracted from the idle timeout that a backend server states,
// for the time that the next request needs to arrive.
const keepAliveMargin = 500 * time.Millisecond

// idleTimeAfter returns how long a connection may stay idle after a response, at most limit.
func idleTimeAfter(resp *http.Response, limit time.Duration) time.Duration {
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			limit = min(limit, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return limit
}
