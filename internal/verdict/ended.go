package verdict

import (
	"context"
	"errors"
	"net/http"

	jujuerrors "github.com/juju/errors"
)

// ErrHostStops is the cause with which a host ends the contexts of requests when it stops.
const ErrHostStops = jujuerrors.ConstError("this host stops")

// Ended says why the context of a request ended.
func Ended(ctx context.Context) (Reason, string) {
	switch {
	case errors.Is(context.Cause(ctx), ErrHostStops):
		return ReasonShutdown, "this host is stopping"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ReasonDeadline, "the time is over"
	}
	return ReasonCancelled, "the caller went away"
}

// EndedAnswer returns the error for a request whose answer was given up because its context
// ended.
func EndedAnswer(ctx context.Context) *Error {
	e := &Error{Verdict: MayHaveRun, Status: http.StatusBadGateway}
	e.End(ctx)
	return e
}

// End names the end of the request's context as what made it fail. The caller of a request
// that may have run is told that there was no answer in time.
func (e *Error) End(ctx context.Context) {
	e.Reason, e.Detail = Ended(ctx)
	if e.Verdict == MayHaveRun && e.Reason != ReasonCancelled {
		e.Status = http.StatusGatewayTimeout
	}
}
