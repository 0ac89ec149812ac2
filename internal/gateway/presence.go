package gateway

import (
	"context"
	"net"
	"syscall"
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
func (c *call) hasLeft() bool {
	raw, ok := c.request.Context().Value(connKey{}).(syscall.RawConn)
	return ok && closedByPeer(raw)
}
