package stop

import (
	"context"
	"time"

	"github.com/agatestep/agatestep/internal/verdict"
)

// AnswerTime is how long the answers to requests that were ended may take to reach their callers.
const AnswerTime = 300 * time.Millisecond

// Calls are the requests that a host serves.
type Calls struct {
	ended context.Context
	end   context.CancelFunc
}

// NewCalls returns calls that go on until End.
func NewCalls() *Calls {
	c := &Calls{}
	c.ended, c.end = context.WithCancel(context.Background())
	return c
}

// End ends the calls that have no answer yet.
func (c *Calls) End() { c.end() }

// Until returns the context of a call so that it also ends, with the cause
// verdict.ErrHostStops, with End. answered lets an answer that has begun go on; its first
// call reports false when the call was ended before.
func (c *Calls) Until(ctx context.Context) (call context.Context, answered func() bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	unwatch := context.AfterFunc(c.ended, func() { cancel(verdict.ErrHostStops) })
	return ctx, unwatch
}

// Finish waits until idle is closed. It ends the calls that are left AnswerTime before the
// deadline of ctx, or in the middle of the time left if that is later.
func (c *Calls) Finish(ctx context.Context, idle <-chan struct{}) error {
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		timer := time.AfterFunc(left-min(AnswerTime, left/2), c.End)
		defer timer.Stop()
	}
	return Await(ctx, idle)
}

// Await waits until idle is closed.
func Await(ctx context.Context, idle <-chan struct{}) error {
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
