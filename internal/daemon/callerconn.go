package daemon

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/egress"
)

// callerListener accepts callers' connections. It applies the timeouts of the configuration
// in force, which those of an http.Server cannot follow while it serves, and can end
// the connections that carry no request.
type callerListener struct {
	net.Listener
	timeouts func() (header, idle time.Duration)
	link     *egress.Link

	mu     sync.Mutex
	conns  map[*callerConn]struct{}
	ending bool
}

// newCallerListener returns a listener that keeps at most limit connections open.
func newCallerListener(l net.Listener, limit int, timeouts func() (header, idle time.Duration), link *egress.Link) *callerListener {
	return &callerListener{Listener: callerconn.Limit(l, limit), timeouts: timeouts, link: link, conns: map[*callerConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: l.link.Conn(accepted, egress.Answers), accepted: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// endIdle ends the connections on which no byte of a request was read, now and as others
// become idle. http.Server.Shutdown would close one whose request was just read.
func (l *callerListener) endIdle() {
	l.mu.Lock()
	l.ending = true
	var open []*callerConn
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.endIfIdle()
	}
}

// open returns the number of open connections.
func (l *callerListener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *callerListener) isEnding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ending
}

// callerConn replaces the read deadlines that an http.Server sets.
type callerConn struct {
	net.Conn
	accepted net.Conn // below what accounts for its bytes
	listener *callerListener

	mu sync.Mutex
	// idle is set until the next deadline was set: it is that of an idle connection.
	idle bool
	// busy is set once a byte of the next request was read.
	busy bool
	// serving is set while a request is served, ahead once a byte of the one behind it
	// was read, kept once a request was answered.
	serving, ahead, kept bool
	ended                bool // by endIfIdle
}

// idleMargin is how much longer than stated a connection is kept, for requests
// that are on their way when the time is over.
const idleMargin = time.Second

// noteIdle is the ConnState of the server: it tells which deadline comes next.
func noteIdle(c net.Conn, state http.ConnState) {
	cc, ok := c.(*callerConn)
	if !ok {
		return
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.idle = state == http.StateIdle
	cc.serving = state == http.StateActive
	switch state {
	case http.StateIdle:
		cc.busy, cc.ahead, cc.kept = cc.ahead, false, true
	case http.StateActive:
		cc.busy = true // all of the request may have been read with the one before
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.began(len(p))
	}
	return n, err
}

// watchBytes is what an http.Server reads at once while it serves a request whose body was read,
// to notice the end of the connection. It belongs to the next request.
const watchBytes = 1

// began notes that a request began to arrive. If the connection was ended meanwhile, the
// request came first.
func (c *callerConn) began(asked int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	c.ahead = c.serving && asked == watchBytes
	if c.ended {
		c.ended = false
		header, _ := c.listener.timeouts()
		if header <= 0 {
			header = headerReadTimeout
		}
		_ = c.Conn.SetReadDeadline(time.Now().Add(header)) // a closed connection needs none
	}
}

// endIfIdle lets the server close the connection unless a request has begun to arrive.
func (c *callerConn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && !c.unread() {
		c.end()
	}
}

// unread reports whether bytes have arrived that the server has not read yet. A close would
// reset the connection under them.
func (c *callerConn) unread() bool {
	raw, err := c.SyscallConn()
	return err == nil && callerconn.Readable(raw)
}

// end makes reads fail. The caller holds c.mu.
func (c *callerConn) end() {
	c.ended = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a closed connection has ended already
}

// SetReadDeadline implements net.Conn. The server sets a deadline in the future
// for an idle connection and for the headers of a request only; on a kept connection
// for the headers once some of their bytes were read.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	wasIdle := c.idle
	if t.After(now) {
		c.idle = false
		if c.kept && !wasIdle {
			c.busy, c.ended = true, false
		}
		header, idle := c.listener.timeouts()
		switch {
		case !c.busy && (c.ended || wasIdle && c.listener.isEnding()):
			c.end()
			return nil
		case wasIdle && idle > 0:
			t = now.Add(idle + idleMargin)
		case !wasIdle && header > 0:
			t = now.Add(header)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.accepted.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("%T", c.accepted)
	}
	return sc.SyscallConn()
}
