package verdict

import (
	"context"
	"errors"
	"net/http"

	jujuerrors "github.com/juju/errors"
)

// ErrHostStopping is the cause with which a host cancels the contexts of requests when
// it stops.
const ErrHostStopping = jujuerrors.ConstError("this host stops")

// ErrNoProgress is the cause with which a host cancels the context of a request that holds
// memory and makes no progress.
const ErrNoProgress = jujuerrors.ConstError("the request made no progress")

// ContextEndReason returns the reason and the detail for which the context of a request ended.
// It must be called only after the end of the context.
func ContextEndReason(ctx context.Context) (Reason, string) {
	switch {
	case errors.Is(context.Cause(ctx), ErrHostStopping):
		return ReasonShutdown, "this host is stopping"
	case errors.Is(context.Cause(ctx), ErrNoProgress):
		return ReasonHeldBytes, "the request made no progress, and this host holds too many bytes"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ReasonDeadline, "the time is over"
	}
	return ReasonCancelled, "the caller went away"
}

// NewContextEndError returns the error for a request whose response was abandoned because its
// context ended.
func NewContextEndError(ctx context.Context) *Error {
	e := &Error{Verdict: MayHaveRun, Status: http.StatusBadGateway}
	e.SetContextEnd(ctx)
	return e
}

// SetContextEnd sets the reason and the detail to those of the request's context, which has ended.
// Unless the caller cancelled the request, the status of one that may have run becomes 504.
func (e *Error) SetContextEnd(ctx context.Context) {
	e.Reason, e.Detail = ContextEndReason(ctx)
	if e.Verdict == MayHaveRun && e.Reason != ReasonCancelled {
		e.Status = http.StatusGatewayTimeout
	}
}
