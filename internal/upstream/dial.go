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
)

// ErrOpening means that a connection was not open in time.
var ErrOpening = errors.New("the connection takes too long to open")

// dialPatience bounds the opening of a connection after its request has given up. A SYN
// that was lost is sent again after a second.
const dialPatience = 2 * time.Second

// minOpeningWait is how long a request waits for a connection whose opening began long
// before it.
const minOpeningWait = 50 * time.Millisecond

// Opening is a connection that is being opened. One that no request takes is kept for a
// later request.
type Opening struct {
	client *Client
	pool   *pool
	began  time.Time
	done   chan struct{} // closed when the opening has ended

	mu       sync.Mutex
	conn     *conn
	err      error
	forsaken bool
	// prepared is set while it keeps others from being prepared.
	prepared bool
}

// Prepare begins to open a connection to an address, so that it is there when a request
// that still waits for its turn is sent. It returns nil if a connection is idle or being
// prepared, or if maxOpen are in use; zero means no bound. Many requests may wait for a
// busy server, and it accepts fewer connections while its queue is long.
func (c *Client) Prepare(address string, maxOpen int) *Opening {
	p := c.pool(address)
	if !p.startPreparing() {
		return nil
	}
	if !p.makeRoom(maxOpen) {
		p.stopPreparing()
		return nil
	}
	o := c.begin(p)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.prepared = true
	return o
}

// startPreparing reports whether a connection is to be prepared: none is idle or prepared.
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

func (c *Client) begin(p *pool) *Opening {
	o := &Opening{client: c, pool: p, began: time.Now(), done: make(chan struct{})}
	p.opening(1)
	go func() {
		cn, err := c.dial(p)
		if err == nil {
			c.opened(time.Since(o.began))
		}
		o.finish(cn, err)
		if err == nil {
			c.Opened.Add(1)
		}
	}()
	return o
}

func (o *Opening) finish(cn *conn, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conn, o.err = cn, err
	if o.forsaken {
		o.release()
	}
	close(o.done)
}

// Forsake says that no request waits for the connection. It may be called on nil.
func (o *Opening) Forsake() {
	if o == nil {
		return
	}
	o.claim()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forsaken = true
	o.release()
}

// claim lets another connection be prepared.
func (o *Opening) claim() {
	o.mu.Lock()
	prepared := o.prepared
	o.prepared = false
	o.mu.Unlock()
	if prepared {
		o.pool.stopPreparing()
	}
}

// release hands an open connection to the next request. The caller holds o.mu.
func (o *Opening) release() {
	if o.conn != nil {
		o.conn.release(o.client.cfg.Clock.Now(), o.client.cfg.MaxIdle)
		o.conn = nil
	}
}

func (o *Opening) take() (*conn, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	cn := o.conn
	o.conn = nil
	if o.err == nil && cn != nil && !cn.quiet() {
		cn.discard()
		return nil, errClosedAtOnce
	}
	return cn, o.err
}

// errClosedAtOnce means that the server closed a connection before a request came.
var errClosedAtOnce = errors.New("the connection was closed before the request was written")

// await waits for the connection. If it comes too late, it is kept for the next request:
// on a crowded link, requests that each began anew would never have any.
func (o *Opening) await(ctx context.Context) (*conn, error) {
	o.claim()
	timer := time.NewTimer(max(o.client.openingWait()-time.Since(o.began), minOpeningWait))
	defer timer.Stop()
	select {
	case <-o.done:
		return o.take()
	case <-timer.C:
		o.Forsake()
		return nil, ErrOpening
	case <-ctx.Done():
		o.Forsake()
		return nil, ctx.Err()
	}
}

// opened takes note of the time that the opening of a connection took.
func (c *Client) opened(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openTimes.add(took)
}

// openingWait is how long requests wait for a connection to open.
func (c *Client) openingWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openTimes.bound(c.cfg.DialTimeout, c.cfg.MaxDialTimeout)
}

// userTimeout is how long sent data may stay unacknowledged.
func (c *Client) userTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openTimes.bound(c.cfg.UserTimeout, c.cfg.MaxUserTimeout)
}

// opening counts a connection from the moment at which it begins to open, so that those
// to a silent server keep to the bound as well.
func (p *pool) opening(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += n
}

func (c *Client) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: c.cfg.ProbeIdle, Interval: time.Second, Count: 2}}
	return dialer.DialContext(ctx, "tcp", address)
}

// dial opens a connection that the pool counts already.
func (c *Client) dial(p *pool) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialPatience)
	defer cancel()
	raw, err := c.dialer(ctx, p.address)
	if err != nil {
		p.opening(-1)
		return nil, err
	}
	input := &boundedReader{r: raw, left: unbounded}
	return &conn{Conn: raw, pool: p, input: input, br: bufio.NewReaderSize(input, readBufferBytes), bw: bufio.NewWriterSize(raw, writeBufferBytes)}, nil
}

// userTimeoutStep keeps a timeout that changes a little from being set again.
const userTimeoutStep = 250 * time.Millisecond

// limitSilence ends the connection when sent data stays unacknowledged, so that a silent
// path is noticed although the backend server may think for as long as it likes.
func (c *conn) limitSilence(d time.Duration) {
	d = (d + userTimeoutStep - 1) / userTimeoutStep * userTimeoutStep
	if d != c.silence {
		c.silence = d
		setUserTimeout(c.Conn, d)
	}
}

// setUserTimeout is an optimisation of failure detection: a system without the
// option still notices a silent path, later.
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
