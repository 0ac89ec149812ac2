package callerconn

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"
)

// Limit returns a listener that keeps at most most connections of l open. Unlike those of
// netutil.LimitListener, they can be looked at by Left.
func Limit(l net.Listener, most int) net.Listener {
	limited := &limitListener{Listener: l, open: semaphore.NewWeighted(int64(most))}
	limited.closing, limited.close = context.WithCancel(context.Background())
	return limited
}

type limitListener struct {
	net.Listener
	open    *semaphore.Weighted
	closing context.Context
	close   context.CancelFunc
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	if l.open.Acquire(l.closing, 1) != nil {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.open.Release(1)
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { l.open.Release(1) })}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.close()
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// SyscallConn implements syscall.Conn.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.NotSupportedf("looking at a %T", c.Conn)
}
