package callerconn

import (
	"context"
	"syscall"
	"time"
)

// lookEvery is how often Watch looks for the end of a connection. The work for a caller is to
// end within half a second.
const lookEvery = 200 * time.Millisecond

// Watch returns the context of a request so that it also ends once its caller has left. The
// handler cancels it at its end.
func Watch(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if raw, ok := ctx.Value(connKey{}).(syscall.RawConn); ok {
		go watch(ctx, raw, cancel)
	}
	return ctx, cancel
}

func watch(ctx context.Context, raw syscall.RawConn, left context.CancelFunc) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if ClosedByPeer(raw) {
				left()
			}
		case <-ctx.Done():
			return
		}
	}
}
