package callerconn

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// WithConn adds a connection to the context of its requests. It is the ConnContext function of
// an http.Server whose handlers call Disconnected or Watch.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return context.WithValue(ctx, connKey{}, raw)
		}
	}
	return ctx // a disconnect is noticed only by reading up to it
}

// Disconnected reports whether the caller of the request with this context has closed its
// connection, regardless of unread bytes before the end. It reports false if the context
// has no connection.
func Disconnected(ctx context.Context) bool {
	raw, ok := ctx.Value(connKey{}).(syscall.RawConn)
	return ok && ClosedByPeer(raw)
}
