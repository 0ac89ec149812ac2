package daemon

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/egress"
	"github.com/agatestep/agatestep/internal/pipeline"
)

// callerListener accepts callers' connections. It applies the timeouts of the current
// configuration, which an http.Server cannot change while it serves, and can close
// the connections that carry no request.
type callerListener struct {
	net.Listener
	timeouts func() (header, idle time.Duration)
	link     *egress.Link
	front    *pipeline.Front // nil if requests are not read ahead

	mu          sync.Mutex
	conns       map[*callerConn]struct{}
	closingIdle bool
}

// newCallerListener returns a listener that keeps at most limit connections open.
func newCallerListener(l net.Listener, limit int, timeouts func() (header, idle time.Duration), link *egress.Link) *callerListener {
	return &callerListener{Listener: callerconn.LimitListener(l, limit), timeouts: timeouts, link: link, conns: map[*callerConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: l.link.Conn(accepted, egress.Responses), underlying: accepted, listener: l}
	if l.front != nil {
		c.readAhead(l.front)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// closeIdle closes the connections on which no byte of a request was read, now and as
// others become idle. http.Server.Shutdown would close one whose request was just read.
func (l *callerListener) closeIdle() {
	l.mu.Lock()
	l.closingIdle = true
	l.mu.Unlock()
	for _, c := range l.snapshot() {
		c.closeIfIdle()
	}
}

// openConns returns the number of open connections.
func (l *callerListener) openConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// openConn describes an open connection of a caller in the log.
type openConn struct {
	Caller  string `json:"caller"`
	Serving bool   `json:"serving"` // a request is served
	// Unread and Unsent are the bytes in the queues of the kernel, or -1 if they are unknown.
	Unread int `json:"unread"`
	Unsent int `json:"unsent"`
}

// maxLoggedConns bounds the connections that one log line describes.
const maxLoggedConns = 8

// describeOpen describes some of the open connections.
func (l *callerListener) describeOpen() []openConn {
	out := []openConn{}
	for _, c := range l.snapshot() {
		if len(out) == maxLoggedConns {
			break
		}
		out = append(out, c.describe())
	}
	return out
}

// snapshot returns the open connections. They are used without l.mu, which is locked after
// their own mutex.
func (l *callerListener) snapshot() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

func (l *callerListener) isClosingIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closingIdle
}

// callerConn replaces the read deadlines that an http.Server sets.
type callerConn struct {
	net.Conn
	underlying net.Conn // below the accounting of the link's bytes
	listener   *callerListener
	ahead      *pipeline.Conn // below this connection; nil if requests are not read ahead

	mu sync.Mutex
	// idleDeadlineNext is set while the connection is idle, until the next deadline is set:
	// that one is the idle timeout.
	idleDeadlineNext bool
	// requestStarted is set once a byte of the next request was read.
	requestStarted bool
	// serving is set while a request is served, nextRequestStarted once a byte of the
	// request behind it was read, keptAlive once a request was answered.
	serving, nextRequestStarted, keptAlive bool
	readsFailed                            bool // by closeIfIdle
}

// idleGrace is how much longer than the stated idle timeout a connection is kept open,
// for requests that are in transit when the timeout ends.
const idleGrace = time.Second

// trackConnState is the ConnState hook of the servers. It records whether the server sets
// an idle timeout or a header timeout next.
func trackConnState(c net.Conn, state http.ConnState) {
	cc, ok := c.(*callerConn)
	if !ok {
		return
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.idleDeadlineNext = state == http.StateIdle
	cc.serving = state == http.StateActive
	switch state {
	case http.StateIdle:
		cc.requestStarted, cc.nextRequestStarted, cc.keptAlive = cc.nextRequestStarted, false, true
	case http.StateActive:
		cc.requestStarted = true // all of the request may have been read with the previous one
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.noteRequestBytes(len(p))
	}
	return n, err
}

// backgroundReadBytes is the buffer size of the read by which an http.Server notices a closed
// connection while it serves a request whose body was read. The byte belongs to the next request.
const backgroundReadBytes = 1

// noteRequestBytes records that bytes of a request were read into a buffer of bufferSize. If
// reads were made to fail meanwhile, the request came first and they are allowed again.
func (c *callerConn) noteRequestBytes(bufferSize int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestStarted = true
	c.nextRequestStarted = c.serving && bufferSize == backgroundReadBytes
	if c.readsFailed {
		c.readsFailed = false
		header, _ := c.listener.timeouts()
		if header <= 0 {
			header = headerReadTimeout
		}
		_ = c.Conn.SetReadDeadline(time.Now().Add(header)) // a closed connection needs none
	}
}

// closeIfIdle makes the server close the connection unless a request has begun to arrive.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestStarted && !c.hasUnreadBytes() {
		c.failReads()
	}
}

// hasUnreadBytes reports whether bytes have arrived that the server has not read yet. A close
// would then reset the connection.
func (c *callerConn) hasUnreadBytes() bool {
	raw, err := c.SyscallConn()
	return err == nil && callerconn.Readable(raw)
}

// failReads makes reads fail, so that the server closes the connection. c.mu must be held.
func (c *callerConn) failReads() {
	c.readsFailed = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// SetReadDeadline implements net.Conn. The server sets a deadline in the future
// only for an idle connection and for the headers of a request; on a kept-alive
// connection, for the headers once some of their bytes were read.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	wasIdle := c.idleDeadlineNext
	if t.After(now) {
		c.idleDeadlineNext = false
		if c.keptAlive && !wasIdle {
			c.requestStarted, c.readsFailed = true, false
		}
		header, idle := c.listener.timeouts()
		switch {
		case !c.requestStarted && (c.readsFailed || wasIdle && c.listener.isClosingIdle()):
			c.failReads()
			return nil
		case wasIdle && idle > 0:
			t = now.Add(idle + idleGrace)
		case !wasIdle && header > 0:
			t = now.Add(header)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.ahead == nil {
		c.forget()
	}
	return c.Conn.Close()
}

func (c *callerConn) forget() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.conns, c)
}

// readAhead makes a front read the requests of the connection ahead.
func (c *callerConn) readAhead(front *pipeline.Front) {
	closeWrite := func() error { return errors.NotSupportedf("half-close of a %T", c.underlying) }
	if halfCloser, ok := c.underlying.(interface{ HalfClose() error }); ok {
		closeWrite = halfCloser.HalfClose
	}
	c.ahead = front.Conn(c.Conn, closeWrite, c.forget)
	c.Conn = c.ahead
}

// withConn is the ConnContext hook of the servers.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if cc, ok := c.(*callerConn); ok && cc.ahead != nil {
		ctx = pipeline.WithConn(ctx, cc.ahead)
	}
	return callerconn.WithConn(ctx, c)
}

func (c *callerConn) describe() openConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := openConn{Caller: c.Conn.RemoteAddr().String(), Serving: c.serving, Unread: -1, Unsent: -1}
	if raw, err := c.SyscallConn(); err == nil {
		if unread, unsent, ok := callerconn.QueuedBytes(raw); ok {
			out.Unread, out.Unsent = unread, unsent
		}
	}
	return out
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.underlying.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("%T", c.underlying)
	}
	return sc.SyscallConn()
}
