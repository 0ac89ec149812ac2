package gateway

import (
	"context"
	"net"
	"syscall"
	"time"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// ConnContext is the http.Server.ConnContext of a server whose handler is a Gateway. It lets
// the gateway look whether a caller has closed its connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return context.WithValue(ctx, connKey{}, raw)
		}
	}
	return ctx // the end of the connection is heard once all before it was read
}

// hasLeft reports whether the caller of a request has closed its connection, whatever of what
// it sent before was read. net/http hears the end of a connection only behind all that was
// sent, such as another request, and some time after the handler began.
func hasLeft(ctx context.Context) bool {
	raw, ok := ctx.Value(connKey{}).(syscall.RawConn)
	return ok && closedByPeer(raw)
}

// presenceInterval is how often it is looked whether the caller of a request has closed. Its
// work is to end within half a second.
const presenceInterval = 200 * time.Millisecond

// watchCaller ends a request once its caller has closed, until ctx ends.
func watchCaller(ctx context.Context, end context.CancelCauseFunc) {
	if ctx.Value(connKey{}) == nil {
		return
	}
	time.AfterFunc(presenceInterval, func() {
		switch {
		case ctx.Err() != nil:
		case hasLeft(ctx):
			end(context.Canceled)
		default:
			watchCaller(ctx, end)
		}
	})
}
