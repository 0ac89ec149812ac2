package pipeline

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// readSize is the number of bytes that are read ahead at once.
const readSize = 2 << 10

var readBuffers = sync.Pool{New: func() any { b := make([]byte, readSize); return &b }}

// startReadAhead starts reading behind the current request once a byte has arrived there. The
// caller holds c.mu, as for the other methods that do not lock it.
func (c *Conn) startReadAhead() {
	if c.reading || c.current == nil || c.taken == 0 || !c.mayBegin() {
		return
	}
	c.reading, c.readEnded = true, make(chan struct{})
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	go c.readAhead()
}

// mayBegin reports whether the state and the bounds of the connection allow to begin another
// request.
func (c *Conn) mayBegin() bool {
	return !c.ending && !c.barrier && !c.streaming && !c.closed && c.err == nil && len(c.queue)+1 < c.front.cfg.Concurrent
}

// stopReadAhead ends readAhead and restores the deadline that net/http has set.
func (c *Conn) stopReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		return
	}
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	ended := c.readEnded
	c.mu.Unlock()
	<-ended
	c.mu.Lock()
	c.interrupted = false
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// readAhead reads and begins requests until it is interrupted or reaches a bound or a request that
// must wait for its turn.
func (c *Conn) readAhead() {
	chunk := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(chunk)
	var failed []*call
	defer func() { abandonAll(failed) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() { c.reading = false; close(c.readEnded) }()
	for c.beginAll() && !c.interrupted {
		c.mu.Unlock()
		n, err := c.Conn.Read(*chunk)
		c.mu.Lock()
		if c.closed {
			return
		}
		c.setBuf(append(c.buf, (*chunk)[:n]...))
		if err != nil && !c.interrupted {
			c.err = err
			failed = c.takeQueue()
			return
		}
	}
}

// beginAll begins all requests in the buffer that may be begun. It reports whether to read on.
func (c *Conn) beginAll() bool {
	for c.current != nil && c.mayBegin() {
		head := c.buf[c.begun:]
		length := headLength(head)
		if length == 0 {
			return c.mayReadOn(len(head))
		}
		r, err := parseHead(head[:length])
		if err != nil || length > c.front.cfg.HeadBytes || !c.front.cfg.Repeatable(r.Host, r.URL.Path) {
			c.barrier = true
			counters.Add(countBarrier, 1)
			return false
		}
		if !c.front.reserveCall() {
			c.reportLimit(countHostLimit)
			return false
		}
		c.begun += length
		c.beginCall(r)
	}
	if len(c.queue)+1 >= c.front.cfg.Concurrent {
		c.reportLimit(countConnLimit)
	}
	return false
}

// mayReadOn reports whether the bounds on bytes allow to read more of a head of which headBytes
// were read.
func (c *Conn) mayReadOn(headBytes int) bool {
	switch {
	case len(c.buf) >= maxConnBytes || headBytes >= c.front.cfg.HeadBytes:
		c.reportLimit(countConnLimit)
		return false
	case c.front.held.Load() >= maxHostBytes:
		c.reportLimit(countHostLimit)
		return false
	}
	return true
}

func (c *Conn) reportLimit(limit string) {
	counters.Add(limit, 1)
	c.front.cfg.Logger.Debug("reading ahead stops at a limit", zap.String("limit", limit), zap.Stringer("caller", c.Conn.RemoteAddr()),
		zap.Int("begun", len(c.queue)), zap.Int("bytes", len(c.buf)), zap.Int64("host_calls", c.front.calls.Load()), zap.Int64("host_bytes", c.front.held.Load()))
}

// beginCall begins a request ahead of its turn. Nothing is begun behind one that closes the
// connection.
func (c *Conn) beginCall(r *http.Request) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.current))
	r.RemoteAddr = c.Conn.RemoteAddr().String()
	ahead := newCall(c.front, r.WithContext(ctx), cancel)
	c.queue = append(c.queue, ahead)
	c.ending = c.ending || r.Close
	counters.Add(countBegun, 1)
	c.front.cfg.Logger.Debug("request begun ahead of its turn", zap.String("caller", r.RemoteAddr), zap.String("path", r.URL.Path), zap.Int("before", len(c.queue)))
	go ahead.run(c.front.next)
}

// reportDifferent reports that net/http read another request than was begun.
func (f *Front) reportDifferent(r *http.Request) {
	counters.Add(countMismatch, 1)
	f.cfg.Logger.Error("a request read ahead differs from the one in its turn", zap.String("caller", r.RemoteAddr), zap.String("host", r.Host), zap.String("path", r.URL.Path))
}
