package upstream

import (
	"errors"
	"sync"
	"time"
)

// BodyError is the cause of a failure if the body of the request could not be sent whole and
// the backend server is not to blame.
type BodyError struct {
	err error
	// overDeadline is set if the body cannot be sent before the deadline at the body rate.
	overDeadline bool
}

// Error implements the error interface.
func (e *BodyError) Error() string { return "request body: " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *BodyError) Unwrap() error { return e.err }

// responseWait ends the wait for a response once the request body has failed: the backend
// server may be waiting for the rest. A response that has begun is read to its end.
type responseWait struct {
	mu      sync.Mutex
	waiting bool // no byte of the next response was read
	bodyErr *BodyError
}

// pastDeadline is a read deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// recordBodyError records a BodyError of the goroutine that writes the body. Errors of the
// connection need no record, because the reader gets them as well.
func (x *exchange) recordBodyError(err error) {
	var failed *BodyError
	if !errors.As(err, &failed) {
		return
	}
	x.wait.mu.Lock()
	defer x.wait.mu.Unlock()
	x.wait.bodyErr = failed
	if x.wait.waiting {
		_ = x.conn.SetReadDeadline(pastDeadline) // fails only on a closed connection
	}
}

// awaitResponse waits for the first byte of a response. It returns a BodyError if the body
// failed and no response has arrived.
func (x *exchange) awaitResponse() error {
	failed := x.setWaiting(true)
	var err error
	if failed == nil {
		_, err = x.conn.br.Peek(1)
		failed = x.setWaiting(false)
	}
	if failed == nil {
		return err
	}
	if err := x.conn.SetReadDeadline(time.Time{}); err != nil || x.conn.reusable() {
		return failed
	}
	if _, err := x.conn.br.Peek(1); err != nil {
		return failed
	}
	return nil
}

func (x *exchange) setWaiting(on bool) (failed *BodyError) {
	x.wait.mu.Lock()
	defer x.wait.mu.Unlock()
	x.wait.waiting = on && x.wait.bodyErr == nil
	return x.wait.bodyErr
}
