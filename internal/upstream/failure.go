package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"

	"github.com/agatestep/agatestep/internal/httpanswer"
	"github.com/agatestep/agatestep/internal/verdict"
)

func connectError(ctx context.Context, err error) *verdict.Error {
	e := &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable,
		Reason: verdict.ReasonConnect, Detail: "no connection to the backend server", Cause: err}
	if errors.Is(err, errTooManyConnections) || errors.Is(err, errClosedBeforeWrite) || errors.Is(err, syscall.ECONNRESET) {
		e.Reason = verdict.ReasonOverloaded // the server can be reached
	}
	return withContextError(ctx, e)
}

// classifyError returns the failure for an error after the request was written.
func (x *exchange) classifyError(ctx context.Context, reused bool, err error) *verdict.Error {
	e := &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway, Cause: err,
		Reason: verdict.ReasonConnectionLost, Detail: "the connection broke before the answer"}
	if reused {
		e.Detail = "a kept connection broke before the answer"
	}
	var timeout net.Error
	var bodyErr *BodyError
	var malformed *httpanswer.MalformedError
	switch {
	case errors.As(err, &bodyErr):
		e.Detail = "the body of the request broke off"
		if bodyErr.overDeadline {
			e.Status, e.Reason, e.Detail = http.StatusGatewayTimeout, verdict.ReasonDeadline, "the body cannot be sent in the time that is left"
		}
	case errors.Is(err, errForeignResponse), errors.Is(err, errTooMuchData):
		e.Reason, e.Detail = verdict.ReasonForeignAnswer, err.Error()
	case errors.As(err, &malformed):
		e.Detail = err.Error()
	case errors.As(err, &timeout) && timeout.Timeout():
		e.Detail = "the backend server's host went silent"
	}
	return withContextError(ctx, e)
}

// withContextError sets the end of the context as the reason if it has ended.
func withContextError(ctx context.Context, e *verdict.Error) *verdict.Error {
	if ctx.Err() != nil {
		e.SetContextEnd(ctx)
	}
	return e
}
