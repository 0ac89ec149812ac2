package pipeline

import (
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxHeldAnswer bounds the bytes of one answer that are held. Writing more waits for the
	// answer's turn.
	maxHeldAnswer = 96 << 10
	// callerStallTimeout is how long a caller may take to read writeSize bytes of an answer.
	callerStallTimeout = 3 * time.Second
	writeSize          = 32 << 10
)

// heldAnswer is the http.ResponseWriter of a request that was begun ahead of its turn. It holds
// the answer until attach, and passes it on afterwards.
type heldAnswer struct {
	front *Front

	mu     sync.Mutex
	turn   *sync.Cond // signals attach and abandon
	header http.Header
	status int // 0 before WriteHeader
	body   []byte
	// to gets the answer once it is its turn; nil before.
	to          *turnWriter
	whenPassing func()
	err         error // of a write to the caller
	abandoned   bool
}

func newHeldAnswer(f *Front) *heldAnswer {
	a := &heldAnswer{front: f, header: http.Header{}}
	a.turn = sync.NewCond(&a.mu)
	return a
}

// Header implements http.ResponseWriter.
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter. Informational responses are not passed on.
func (a *heldAnswer) WriteHeader(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(status)
}

func (a *heldAnswer) writeHeader(status int) {
	if a.status != 0 || status < http.StatusOK {
		return
	}
	a.status = status
	if a.to != nil {
		a.passHeader()
	}
}

// passHeader passes the header on. The caller holds a.mu.
func (a *heldAnswer) passHeader() {
	maps.Copy(a.to.Header(), a.header)
	a.to.WriteHeader(a.status)
}

// Write implements http.ResponseWriter.
func (a *heldAnswer) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(http.StatusOK)
	if a.to == nil && !a.abandoned && a.hold(p) {
		return len(p), nil
	}
	if a.to == nil && !a.abandoned {
		counters.Add(countAnswerWait, 1)
	}
	for a.to == nil && !a.abandoned {
		a.turn.Wait()
	}
	if a.abandoned {
		return 0, net.ErrClosed
	}
	return a.pass(p)
}

// hold holds p if the bounds allow it.
func (a *heldAnswer) hold(p []byte) bool {
	if len(a.body)+len(p) > maxHeldAnswer || !a.front.reserveBytes(len(p)) {
		return false
	}
	a.body = append(a.body, p...)
	return true
}

// pass writes p to the caller.
func (a *heldAnswer) pass(p []byte) (written int, err error) {
	if a.err == nil {
		written, a.err = writeSlowly(a.to, p)
	}
	return written, a.err
}

// FlushError makes http.ResponseController flush an answer whose turn it is.
func (a *heldAnswer) FlushError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(http.StatusOK)
	if a.to == nil {
		return nil
	}
	return http.NewResponseController(a.to).Flush()
}

// SetReadDeadline exists for http.ResponseController; the request has no body to read.
func (a *heldAnswer) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline exists for http.ResponseController; pass sets deadlines.
func (a *heldAnswer) SetWriteDeadline(time.Time) error { return nil }

// EnableFullDuplex exists for http.ResponseController; the request has no body to read.
func (a *heldAnswer) EnableFullDuplex() error { return nil }

// Retract is that of turnWriter.
func (a *heldAnswer) Retract() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandoned || a.to != nil && !a.to.Retract() {
		return false
	}
	a.release()
	a.status = 0
	clear(a.header)
	return true
}

// WhenPassing is that of turnWriter.
func (a *heldAnswer) WhenPassing(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.whenPassing = f
	if a.to != nil {
		a.to.WhenPassing(f)
	}
}

// attach passes on what is held, and from now on what is written.
func (a *heldAnswer) attach(w *turnWriter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.to = w
	w.WhenPassing(a.whenPassing)
	if a.status != 0 {
		a.passHeader()
	}
	_, _ = a.pass(a.body) // the handler and net/http see the error as well
	a.release()
	a.turn.Broadcast()
}

// finish ends an answer whose handler has returned.
func (a *heldAnswer) finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(http.StatusOK)
	if a.err != nil {
		panic(http.ErrAbortHandler) // the answer is not complete
	}
}

// abandon makes further writes fail and drops what is held.
func (a *heldAnswer) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandoned = true
	a.release()
	a.turn.Broadcast()
}

// release drops what is held. The caller holds a.mu.
func (a *heldAnswer) release() {
	a.front.releaseBytes(len(a.body))
	a.body = nil
}
