package pipeline

import (
	"net/http"
	"strconv"
	"time"
)

// maxTurnAnswer bounds the bytes of one answer that are held in its turn.
const maxTurnAnswer = 512 << 10

// turnWriter is the http.ResponseWriter of the request whose turn it is, behind which others may
// have been begun. It holds an answer until it is complete if others have been begun: an answer
// that breaks off after its head was passed on ends the connection, and the others would get no
// answer. If none have been begun, none is until the answer has ended. It also announces the end of
// the connection only in the last answer that the caller gets.
type turnWriter struct {
	http.ResponseWriter
	conn    *Conn
	request *http.Request
	status  int // 0 before WriteHeader
	// left is the rest of the body by the length in the header, or -1 if the header has none.
	left int64
	held []byte
	// passing is set once the head was passed on; whenPassing is called before.
	passing     bool
	whenPassing func()
}

// inTurn returns the writer of the current request r to w, which is valid until the request ends.
func (c *Conn) inTurn(w http.ResponseWriter, r *http.Request) *turnWriter {
	c.turn = turnWriter{ResponseWriter: w, conn: c, request: r}
	return &c.turn
}

// WriteHeader implements http.ResponseWriter. The header is passed on with the first bytes of the
// body that are, or at the end of the answer.
func (w *turnWriter) WriteHeader(status int) {
	switch {
	case status < http.StatusOK:
		w.ResponseWriter.WriteHeader(status)
	case w.status == 0:
		w.status, w.left = status, -1
		if n, err := strconv.ParseInt(w.Header().Get("Content-Length"), 10, 64); err == nil {
			w.left = n
		}
	}
}

// Write implements http.ResponseWriter.
func (w *turnWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.left >= 0 {
		w.left -= int64(len(p))
	}
	if !w.passing && w.mustHold(len(p)) {
		w.held = append(w.held, p...)
		return len(p), nil
	}
	if err := w.pass(); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(p)
}

// mustHold reports whether n more bytes of the answer are held, and counts them if so.
func (w *turnWriter) mustHold(n int) bool {
	if w.left == 0 || w.conn.closeQueue() {
		return false
	}
	if len(w.held)+n > maxTurnAnswer || !w.conn.front.reserveBytes(n) {
		w.conn.passIncomplete()
		return false
	}
	return true
}

// pass passes on the head and what is held.
func (w *turnWriter) pass() error {
	if w.passing {
		return nil
	}
	w.passing = true
	if w.whenPassing != nil {
		w.whenPassing()
	}
	w.conn.announceEnd(w.Header(), w.request.Close)
	if w.status != 0 {
		w.ResponseWriter.WriteHeader(w.status)
	}
	held := w.held
	w.drop()
	_, err := writeSlowly(w.ResponseWriter, held)
	return err
}

// finish passes on an answer whose handler has returned.
func (w *turnWriter) finish() { _ = w.pass() } // net/http sees the error as well

// drop drops what is held.
func (w *turnWriter) drop() {
	w.conn.front.releaseBytes(len(w.held))
	w.held = nil
}

// Retract takes back the answer, so that another can be written, and reports whether that was still
// possible.
func (w *turnWriter) Retract() bool {
	if w.passing {
		return false
	}
	w.drop()
	w.status = 0
	clear(w.Header())
	return true
}

// WhenPassing calls f before the answer is passed on, from when on it cannot be retracted.
func (w *turnWriter) WhenPassing(f func()) { w.whenPassing = f }

// FlushError makes http.ResponseController flush the answer, unless it must be held.
func (w *turnWriter) FlushError() error {
	if !w.passing && w.mustHold(0) {
		return nil
	}
	if err := w.pass(); err != nil {
		return err
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap makes the other methods of w available to http.ResponseController.
func (w *turnWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// closeQueue makes sure that no further request is begun before the current answer has ended. It
// reports false if any has been begun already.
func (c *Conn) closeQueue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = c.streaming || len(c.queue) == 0
	return c.streaming
}

// passIncomplete notes that an answer is passed on before it is complete, although requests were
// begun behind it.
func (c *Conn) passIncomplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = true
	counters.Add(countUnheld, 1)
}

// announceEnd moves the announcement of the connection's end from the header of an answer to that
// of the last request that was begun. No further request is begun after an announcement. net/http
// announces an end that the request asks for.
func (c *Conn) announceEnd(h http.Header, asked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = c.ending || h.Get("Connection") == "close"
	switch {
	case c.ending && len(c.queue) > 0:
		h.Del("Connection")
	case c.ending && !asked:
		h.Set("Connection", "close")
	}
}

// writeSlowly writes p to a caller that may take callerStallTimeout to read each writeSize bytes.
func writeSlowly(to http.ResponseWriter, p []byte) (written int, err error) {
	rc := http.NewResponseController(to)
	for err == nil && written < len(p) {
		_ = rc.SetWriteDeadline(time.Now().Add(callerStallTimeout)) // test recorders have no deadlines
		var n int
		n, err = to.Write(p[written:min(written+writeSize, len(p))])
		written += n
	}
	return written, err
}
