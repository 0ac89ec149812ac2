package callerconn

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"
	"time"
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

// watchInterval is how often it is looked whether the caller of a request has closed. Its work
// is to end within half a second.
const watchInterval = 200 * time.Millisecond

// Watch calls end once the caller of the request with this context has closed its
// connection, unless ctx ends before.
func Watch(ctx context.Context, end context.CancelCauseFunc) {
	if ctx.Value(connKey{}) == nil {
		return
	}
	time.AfterFunc(watchInterval, func() {
		switch {
		case ctx.Err() != nil:
		case Left(ctx):
			end(context.Canceled)
		default:
			Watch(ctx, end)
		}
	})
}
