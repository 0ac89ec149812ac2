package stop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/verdict"
)

// Guards against calls that are ended too late for an answer or while they may still be answered,
// and against an answer that is cut off because the calls without one are ended.
func TestUnansweredCallsEndBeforeDeadline(t *testing.T) {
	for _, timeout := range []time.Duration{400 * time.Millisecond, 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is, calls := is.New(t), NewCalls()
			silent, _ := calls.Until(context.Background())
			begun, answered := calls.Until(context.Background())
			is.True(answered())
			began, idle := time.Now(), make(chan struct{})
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			go func() {
				<-silent.Done()
				left := timeout - time.Since(began)
				is.Equal(left, min(AnswerTimeout, timeout/2))
				close(idle)
			}()
			is.NoErr(calls.Finish(ctx, idle))
			is.Equal(context.Cause(silent), verdict.ErrHostStopping)
			is.NoErr(begun.Err())
			late, answered := calls.Until(context.Background())
			synctest.Wait()
			is.Equal(context.Cause(late), verdict.ErrHostStopping)
			is.True(!answered())
		})
	}
}

// Guards against a cancelled Finish that ends calls, which is up to its caller.
func TestCancelledFinishEndsNoCalls(t *testing.T) {
	is, calls := is.New(t), NewCalls()
	call, _ := calls.Until(context.Background())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(calls.Finish(ctx, make(chan struct{})), context.Canceled)
	is.NoErr(call.Err())
}
