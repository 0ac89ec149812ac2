package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxConnBytes bounds the bytes of requests that are read ahead on a connection.
const maxConnBytes = 16 << 10

// Conn is a connection of a caller. A read of net/http never returns bytes behind the blank line
// that ends a head, so that the Conn knows where the next request begins.
type Conn struct {
	net.Conn
	front      *Front
	closeWrite func() error
	onClosed   func()

	mu sync.Mutex
	// buf holds bytes that were read from the socket and net/http has not consumed. The first
	// taken bytes of them, at most one, were returned by a background read; the first begun
	// bytes are those of the requests in queue.
	buf          []byte
	taken, begun int
	// queue holds the requests that were begun ahead and are not net/http's turn yet.
	queue []*call
	lines lineState
	// atHead is set while net/http has consumed all bytes up to the beginning of a request.
	atHead bool
	// bodyLeft is the number of bytes of the current body that net/http has not read.
	bodyLeft int64
	// current is the context of the request that net/http serves; nil if no request may be begun
	// behind it.
	current context.Context
	// barrier is set while the first request that was not begun must wait for its turn.
	barrier bool
	// ending is set once no further request may be begun on the connection.
	ending bool
	// pipelined is set once a request was read behind another.
	pipelined bool
	err       error // that ended reading
	closed    bool

	// reading is set while readAhead runs, which closes readEnded at its end. Meanwhile deadline is
	// only noted.
	reading, interrupted bool
	readEnded            chan struct{}
	deadline             time.Time

	// streaming is set while an answer is passed on that may break off.
	streaming bool
	turn      turnWriter
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.stopReadAhead()
	n, background, err := c.readBuffered(p)
	if n > 0 || err != nil {
		return n, err
	}
	if left := c.bodyBytesLeft(); left > 0 {
		p = p[:min(int64(len(p)), left)]
	}
	n, err = c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if background {
		c.setBuf(append(c.buf, p[0]))
		c.noteTaken()
		return n, err
	}
	end := c.advance(p[:n])
	if end < n {
		c.setBuf(append(c.buf, p[end:n]...))
		err = nil // returned again by the read behind the buffered bytes
	}
	return end, err
}

// readBuffered reads from the buffer, whatever the deadline is. background is set if the read is
// that by which net/http notices a closed connection while it serves a request.
func (c *Conn) readBuffered(p []byte) (n int, background bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, false, c.err
	}
	background = len(p) == 1 && c.atHead && c.taken == 0
	if background && len(c.buf) > 0 {
		p[0] = c.buf[0]
		c.noteTaken()
		return 1, true, nil
	}
	if background {
		return 0, true, nil
	}
	if c.taken > 0 {
		c.consume(c.taken)
		c.taken, c.atHead = 0, false
	}
	n = c.advance(p[:copy(p, c.buf)])
	c.consume(n)
	return n, false, nil
}

// noteTaken records that the first byte of the next request was returned.
func (c *Conn) noteTaken() {
	c.taken = 1
	c.pipelined = c.pipelined || c.current != nil
	c.startReadAhead()
}

// advance returns how many of the bytes p may be returned to net/http, and records where they end.
func (c *Conn) advance(p []byte) int {
	if len(p) == 0 {
		return 0
	}
	if c.bodyLeft > 0 {
		n := int(min(int64(len(p)), c.bodyLeft))
		c.bodyLeft -= int64(n)
		c.atHead, c.lines = c.bodyLeft == 0, inLine
		return n
	}
	n, found := c.lines.scanBlankLine(p)
	c.atHead = found
	return n
}

func (c *Conn) bodyBytesLeft() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bodyLeft
}

// consume drops the first n bytes of the buffer.
func (c *Conn) consume(n int) {
	c.setBuf(c.buf[n:])
	c.begun = max(c.begun-n, 0)
}

// setBuf replaces the buffer and counts its bytes.
func (c *Conn) setBuf(buf []byte) {
	c.front.held.Add(int64(len(buf) - len(c.buf)))
	if len(buf) == 0 {
		buf = nil
	}
	c.buf = buf
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.reading {
		return nil // set once the read ahead has ended
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// readBehind reports whether the request that net/http has just read was sent behind another.
func (c *Conn) readBehind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipelined
}

// begin notes that net/http has read a request. It returns the call of that request if it was
// begun ahead, and whether further requests may be begun behind it.
func (c *Conn) begin(r *http.Request) (ahead *call, first bool) {
	c.mu.Lock()
	if len(c.queue) > 0 {
		ahead, c.queue = c.queue[0], c.queue[1:]
	} else {
		c.barrier = false
	}
	var different []*call
	if ahead != nil && !sameRequest(ahead.request, r) {
		different = append(c.takeQueue(), ahead)
		ahead = nil
	}
	aligned := c.atHead && c.bodyLeft == 0
	if aligned && r.ContentLength > 0 {
		c.bodyLeft, c.atHead, aligned = r.ContentLength, false, false
	}
	first = aligned && !r.Close && plainRequest(r) && c.front.cfg.Repeatable(r.Host, r.URL.Path)
	if first {
		c.current = r.Context()
		c.pipelined = c.pipelined || c.taken > 0
		c.startReadAhead()
	}
	c.mu.Unlock()
	if different != nil {
		c.front.reportDifferent(r)
		abandonAll(different)
	}
	return ahead, first
}

// end notes that the handler of the current request has ended. If it did not return, net/http
// closes the connection.
func (c *Conn) end(returned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn.drop() // of an answer that broke off
	c.current, c.turn, c.streaming = nil, turnWriter{conn: c}, false
	c.ending = c.ending || !returned
}

// takeQueue removes all requests from the queue; no further one is begun.
func (c *Conn) takeQueue() []*call {
	c.ending = true
	queue := c.queue
	c.queue = nil
	return queue
}

// lingerTime bounds how long a pipelined connection is read after the last answer, and lingerBytes
// how many bytes. A close with unread bytes resets the connection, which can discard answers that
// are in flight.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
)

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := c.pipelined && c.err == nil && !c.closed
	queue := c.takeQueue()
	c.closed = true
	c.setBuf(nil)
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.mu.Unlock()
	abandonAll(queue)
	if linger && c.closeWrite != nil && c.closeWrite() == nil {
		counters.Add(countLinger, 1)
		go c.drain()
		return nil
	}
	return c.closeNow()
}

func (c *Conn) closeNow() error {
	defer c.onClosed()
	return c.Conn.Close()
}

// drain reads what the caller sent behind the last answer, then closes the connection.
func (c *Conn) drain() {
	defer func() { _ = c.closeNow() }()
	c.stopReadAhead()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
	chunk := make([]byte, 2<<10)
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(chunk)
		if err != nil {
			return
		}
		left -= n
	}
}
