package forward

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// drainTimeout bounds the wait for the rest of a body after the response.
const drainTimeout = time.Second

// copyBufferBytes is the size of the buffer used to copy one body.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// refusal is the JSON body of every refusal.
type refusal struct {
	Verdict   string `json:"verdict"`
	Reason    string `json:"reason"`
	Detail    string `json:"detail"`
	RequestID string `json:"request_id,omitempty"`
}

// AsError returns the verdict error in err. An error without a verdict counts
// as may-have-run.
func AsError(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway,
		Reason: verdict.ReasonConnectionLost, Detail: "the exchange failed", Cause: err}
}

// WriteRefusal answers the request r that was refused or failed. unread says
// that its body may not have been read to the end: the connection is then closed
// after the response.
func WriteRefusal(w http.ResponseWriter, r *http.Request, e *verdict.Error, requestID string, unread bool) {
	h := w.Header()
	if unread {
		h.Set("Connection", "close")
	}
	h.Set(verdict.Header, e.Verdict.String())
	h.Set(verdict.ReasonHeader, string(e.Reason))
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	if requestID != "" {
		h.Set(wire.HeaderRequestID, requestID)
	}
	// Strings always encode.
	body, _ := json.Marshal(refusal{e.Verdict.String(), string(e.Reason), e.Detail, requestID})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Status)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(body)
	if unread {
		DrainBody(w, r)
		return
	}
	// When the host stops, connections are closed once their handlers have returned. An error means
	// that the caller has disconnected.
	_ = http.NewResponseController(w).Flush()
}

// DrainBody sends the response and reads the rest of the request body for at most drainTimeout.
// Closing a connection with unread data resets it, which can destroy a response
// that the sender has not read yet; net/http guards against that only without
// "Expect: 100-continue". The response must have a Content-Length.
func DrainBody(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	if rc.Flush() != nil || rc.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return // the connection is closed
	}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{r.Body}, *buf)
}

// FinishBody sends the response and reads the rest of a small request body, so that the
// connection can serve another request; net/http would do it in the other order and without
// a time limit. It panics with http.ErrAbortHandler when the rest does not arrive within
// drainTimeout.
func FinishBody(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	if rc.Flush() != nil || rc.SetReadDeadline(time.Now().Add(drainTimeout)) != nil || r.Body.Close() != nil {
		panic(http.ErrAbortHandler) // the rest must not be taken for the next request
	}
	_ = rc.SetReadDeadline(time.Time{}) // fails only on a closed connection
}
