package stop

import (
	"context"
	"time"

	"github.com/agatestep/agatestep/internal/verdict"
)

// AnswerTimeout is the time for the answers to ended requests to reach their callers.
const AnswerTimeout = 300 * time.Millisecond

// Calls holds the requests that a host serves. It is safe for concurrent use.
type Calls struct {
	endCtx context.Context
	end    context.CancelFunc
}

// NewCalls returns calls that may run until End.
func NewCalls() *Calls {
	c := &Calls{}
	c.endCtx, c.end = context.WithCancel(context.Background())
	return c
}

// End cancels the contexts of the calls whose answer has not begun.
func (c *Calls) End() { c.end() }

// Until returns a context for a call that End also cancels, with the cause
// verdict.ErrHostStopping. answered protects a call whose answer has begun from End; its first
// use reports false if End came before.
func (c *Calls) Until(ctx context.Context) (call context.Context, answered func() bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	stopWatching := context.AfterFunc(c.endCtx, func() { cancel(verdict.ErrHostStopping) })
	return ctx, stopWatching
}

// Finish waits until idle is closed, or returns the error of ctx when that is done. It ends
// the remaining calls AnswerTimeout before the deadline of ctx, or halfway to the deadline if
// that is later.
func (c *Calls) Finish(ctx context.Context, idle <-chan struct{}) error {
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		timer := time.AfterFunc(left-min(AnswerTimeout, left/2), c.End)
		defer timer.Stop()
	}
	return Await(ctx, idle)
}

// Await waits until idle is closed, or returns the error of ctx when that is done.
func Await(ctx context.Context, idle <-chan struct{}) error {
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
