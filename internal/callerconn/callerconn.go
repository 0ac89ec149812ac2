package callerconn

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// Context is the http.Server.ConnContext of a server whose handlers call Left or Watch.
func Context(ctx context.Context, c net.Conn) context.Context {
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return context.WithValue(ctx, connKey{}, raw)
		}
	}
	return ctx // the end of the connection is heard once all before it was read
}

// Left reports whether the caller of the request with this context has closed its
// connection, whatever of what it sent before was read.
func Left(ctx context.Context) bool {
	raw, ok := ctx.Value(connKey{}).(syscall.RawConn)
	return ok && ClosedByPeer(raw)
}
