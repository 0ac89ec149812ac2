package upstream

import (
	"errors"
	"sync"
	"time"
)

// BodyError is the cause of a failure if the body of the request could not be sent whole for
// a reason that is not the backend server's.
type BodyError struct {
	err error
	// late is set if the rate of bodies leaves too little time.
	late bool
}

// Error implements the error interface.
func (e *BodyError) Error() string { return "request body: " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *BodyError) Unwrap() error { return e.err }

// answerWait ends the wait for an answer when the rest of the body will not come: the backend
// server may wait for it. An answer that has begun is read on.
type answerWait struct {
	mu      sync.Mutex
	waiting bool // no byte of the next answer was read
	failed  *BodyError
}

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// bodyFailed takes note of the error of the body's writer. Errors of the connection are the
// reader's as well.
func (x *exchange) bodyFailed(err error) {
	var failed *BodyError
	if !errors.As(err, &failed) {
		return
	}
	x.wait.mu.Lock()
	defer x.wait.mu.Unlock()
	x.wait.failed = failed
	if x.wait.waiting {
		_ = x.conn.SetReadDeadline(longAgo) // a closed connection needs none
	}
}

// awaitAnswer waits for the first byte of an answer.
func (x *exchange) awaitAnswer() error {
	failed := x.setWaiting(true)
	var err error
	if failed == nil {
		_, err = x.conn.br.Peek(1)
		failed = x.setWaiting(false)
	}
	if failed == nil {
		return err
	}
	if err := x.conn.SetReadDeadline(time.Time{}); err != nil || x.conn.quiet() {
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
	x.wait.waiting = on && x.wait.failed == nil
	return x.wait.failed
}
