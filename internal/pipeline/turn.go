package pipeline

import (
	"io"
	"net/http"
)

// announcer is the http.ResponseWriter of a request behind which others may have been begun. It
// announces the end of the connection only in the last answer that the caller gets.
type announcer struct {
	http.ResponseWriter
	conn      *Conn
	request   *http.Request
	announced bool
}

// announcing returns a writer to w that announces the end of the connection in its place. It is
// valid for the current request r.
func (c *Conn) announcing(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	c.announcer = announcer{ResponseWriter: w, conn: c, request: r}
	return &c.announcer
}

// WriteHeader implements http.ResponseWriter.
func (w *announcer) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announce()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *announcer) Write(p []byte) (int, error) {
	w.announce()
	return w.ResponseWriter.Write(p)
}

// WriteString implements io.StringWriter.
func (w *announcer) WriteString(s string) (int, error) {
	w.announce()
	return io.WriteString(w.ResponseWriter, s)
}

// FlushError makes http.ResponseController flush the answer.
func (w *announcer) FlushError() error {
	w.announce()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap makes the other methods of w available to http.ResponseController.
func (w *announcer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *announcer) announce() {
	if w.announced {
		return
	}
	w.announced = true
	w.conn.announceEnd(w.Header(), w.request.Close)
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
