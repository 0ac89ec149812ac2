package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// open opens a connection. One that takes longer than the request may wait is kept for
// the next one: on a crowded link, requests that each began anew would never have any.
func (c *Client) open(ctx context.Context, p *pool) (*conn, error) {
	type outcome struct {
		conn *conn
		err  error
	}
	result := make(chan outcome, 1)
	p.opening(1)
	go func() {
		cn, err := c.dial(p)
		result <- outcome{cn, err}
	}()
	timer := time.NewTimer(c.cfg.DialTimeout)
	defer timer.Stop()
	var err error
	select {
	case o := <-result:
		return o.conn, o.err
	case <-timer.C:
		err = errOpening
	case <-ctx.Done():
		err = ctx.Err()
	}
	go func() {
		if o := <-result; o.err == nil {
			o.conn.release(c.cfg.Clock.Now(), c.cfg.MaxIdle)
			c.Opened.Add(1)
		}
	}()
	return nil, err
}

// errOpening means that the connection was not open in time.
var errOpening = errors.New("the connection takes too long to open")

// dialPatience bounds the opening of a connection after its request has given up. A SYN
// that was lost is sent again after a second.
const dialPatience = 2 * time.Second

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

// dial opens a connection that the pool counts already. Data that stays unacknowledged for userTimeout ends
// it, so that a silent path is noticed although the backend server may think for
// as long as it likes.
func (c *Client) dial(p *pool) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialPatience)
	defer cancel()
	raw, err := c.dialer(ctx, p.address)
	if err != nil {
		p.opening(-1)
		return nil, err
	}
	setUserTimeout(raw, c.cfg.UserTimeout)
	input := &boundedReader{r: raw, left: unbounded}
	return &conn{Conn: raw, pool: p, input: input, br: bufio.NewReaderSize(input, readBufferBytes), bw: bufio.NewWriterSize(raw, writeBufferBytes)}, nil
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
