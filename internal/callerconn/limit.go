package callerconn

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"
)

// LimitListener returns a listener that keeps at most maxOpen connections of l open. Unlike
// those of netutil.LimitListener, its connections implement syscall.Conn, which Disconnected
// needs.
func LimitListener(l net.Listener, maxOpen int) net.Listener {
	limited := &limitListener{Listener: l, slots: semaphore.NewWeighted(int64(maxOpen))}
	limited.closeCtx, limited.cancel = context.WithCancel(context.Background())
	return limited
}

type limitListener struct {
	net.Listener
	slots    *semaphore.Weighted
	closeCtx context.Context
	cancel   context.CancelFunc
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	if l.slots.Acquire(l.closeCtx, 1) != nil {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.slots.Release(1)
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { l.slots.Release(1) })}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.cancel()
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

// HalfClose ends the sending direction of the connection. net/http would call a method CloseWrite.
func (c *limitedConn) HalfClose() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return errors.NotSupportedf("half-close of a %T", c.Conn)
}

// SyscallConn implements syscall.Conn.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.NotSupportedf("system calls on a %T", c.Conn)
}
