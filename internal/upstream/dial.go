package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/agatestep/agatestep/internal/httpanswer"
)

// ErrDialTimeout means that a connection did not open in time.
var ErrDialTimeout = errors.New("the connection takes too long to open")

// maxDialTime bounds a dial, which goes on after its request has given up. A SYN that was
// lost is retransmitted after a second.
const maxDialTime = 2 * time.Second

// minDialWait is how long a request waits at least for a connection whose dial began long
// before the request needed it.
const minDialWait = 50 * time.Millisecond

// PendingConn is a connection that is being opened. One that no request takes is kept for a
// later request.
type PendingConn struct {
	client    *Client
	pool      *pool
	startedAt time.Time
	done      chan struct{} // closed when the dial has ended

	mu        sync.Mutex
	conn      *conn
	err       error
	abandoned bool
	// prepared is set while it prevents another connection from being prepared.
	prepared bool
}

// PrepareConn starts opening a connection to an address, so that it is available when a request
// that still waits for its permit is sent. It returns nil if a connection is idle or being
// prepared, or if maxOpen are in use; zero means no bound. One is enough: many requests may
// wait for a busy server, which accepts fewer connections while its queue is long.
func (c *Client) PrepareConn(address string, maxOpen int) *PendingConn {
	p := c.pool(address)
	if !p.startPreparing() {
		return nil
	}
	if !p.ensureCapacity(maxOpen) {
		p.stopPreparing()
		return nil
	}
	pc := c.startDial(p)
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.prepared = true
	return pc
}

// startPreparing reports whether a connection should be prepared, because none is idle or
// being prepared.
func (p *pool) startPreparing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) > 0 || p.preparing {
		return false
	}
	p.preparing = true
	return true
}

func (p *pool) stopPreparing() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.preparing = false
}

func (c *Client) startDial(p *pool) *PendingConn {
	pc := &PendingConn{client: c, pool: p, startedAt: time.Now(), done: make(chan struct{})}
	p.addOpen(1)
	go func() {
		cn, err := c.dial(p)
		if err == nil {
			c.recordDialTime(time.Since(pc.startedAt))
		}
		pc.finish(cn, err)
		if err == nil {
			c.Opened.Add(1)
		}
	}()
	return pc
}

func (pc *PendingConn) finish(cn *conn, err error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.conn, pc.err = cn, err
	if pc.abandoned {
		pc.release()
	}
	close(pc.done)
}

// Abandon declares that no request waits for the connection any more. It may be called on
// nil.
func (pc *PendingConn) Abandon() {
	if pc == nil {
		return
	}
	pc.endPreparing()
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.abandoned = true
	pc.release()
}

// endPreparing lets another connection be prepared.
func (pc *PendingConn) endPreparing() {
	pc.mu.Lock()
	prepared := pc.prepared
	pc.prepared = false
	pc.mu.Unlock()
	if prepared {
		pc.pool.stopPreparing()
	}
}

// release returns an open connection to the pool. The caller holds o.mu.
func (pc *PendingConn) release() {
	if pc.conn != nil {
		pc.conn.release(pc.client.cfg.Clock.Now(), pc.client.cfg.MaxIdle)
		pc.conn = nil
	}
}

func (pc *PendingConn) take() (*conn, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	cn := pc.conn
	pc.conn = nil
	if pc.err == nil && cn != nil && !cn.reusable() {
		cn.discard()
		return nil, errClosedBeforeWrite
	}
	return cn, pc.err
}

// errClosedBeforeWrite means that the server closed a new connection before a request was
// written.
var errClosedBeforeWrite = errors.New("the connection was closed before the request was written")

// await waits for the connection. One that opens too late is kept for the next request: on
// a congested link, requests that each start a new dial would never get a connection.
func (pc *PendingConn) await(ctx context.Context) (*conn, error) {
	pc.endPreparing()
	timer := time.NewTimer(max(pc.client.currentDialTimeout()-time.Since(pc.startedAt), minDialWait))
	defer timer.Stop()
	select {
	case <-pc.done:
		return pc.take()
	case <-timer.C:
		pc.Abandon()
		return nil, ErrDialTimeout
	case <-ctx.Done():
		pc.Abandon()
		return nil, ctx.Err()
	}
}

// recordDialTime records how long a connection took to open.
func (c *Client) recordDialTime(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialTimes.record(took)
}

// currentDialTimeout returns how long requests wait for a connection to open.
func (c *Client) currentDialTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialTimes.timeout(c.cfg.DialTimeout, c.cfg.MaxDialTimeout)
}

// userTimeout returns how long sent data may stay unacknowledged.
func (c *Client) userTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialTimes.timeout(c.cfg.UserTimeout, c.cfg.MaxUserTimeout)
}

// addOpen changes the number of open connections. A connection counts from the start of its
// dial, so that dials to a silent server stay within the bound as well.
func (p *pool) addOpen(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += n
}

func (c *Client) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: c.cfg.ProbeIdle, Interval: time.Second, Count: 2}}
	return dialer.DialContext(ctx, "tcp", address)
}

// dial opens a connection that the pool already counts.
func (c *Client) dial(p *pool) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxDialTime)
	defer cancel()
	raw, err := c.dialFunc(ctx, p.address)
	if err != nil {
		p.addOpen(-1)
		return nil, err
	}
	answers := httpanswer.NewReader(raw)
	input := &responseInput{r: answers, remaining: noLimit, largeHeads: &c.largeHeads}
	return &conn{Conn: raw, pool: p, answers: answers, input: input, br: bufio.NewReaderSize(input, readBufferBytes), bw: bufio.NewWriterSize(raw, writeBufferBytes)}, nil
}

// userTimeoutStep is the granularity of the user timeout, so that small changes do not set it
// again.
const userTimeoutStep = 250 * time.Millisecond

// applyUserTimeout makes the connection fail when sent data stays unacknowledged for d,
// rounded up, so that a broken path is noticed without a limit on the backend server's
// response time.
func (c *conn) applyUserTimeout(d time.Duration) {
	d = (d + userTimeoutStep - 1) / userTimeoutStep * userTimeoutStep
	if d != c.userTimeout {
		c.userTimeout = d
		setUserTimeout(c.Conn, d)
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT. Errors are ignored, because it only speeds up failure
// detection: a system without the option notices a broken path later.
func setUserTimeout(c net.Conn, d time.Duration) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}
