package callerconn

import (
	"net/http"
	"syscall"
)

// ResetUntilComplete lets the connection of a request end with a reset until the returned
// function is called, if the answer with this header has no length: such an answer ends with
// its connection, and to HTTP/1.0 a reset is the only sign that it is not complete. The
// context of the request must have its connection; see WithConn.
func ResetUntilComplete(r *http.Request, answer http.Header) (complete func()) {
	raw, ok := r.Context().Value(connKey{}).(syscall.RawConn)
	if !ok || r.ProtoAtLeast(1, 1) || answer.Get("Content-Length") != "" {
		return func() {}
	}
	setResetOnClose(raw, true)
	return func() { setResetOnClose(raw, false) }
}
