package forward

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

const headerRequestID = wire.HeaderRequestID

// internalPrefix is the prefix of the headers of the system's own protocol.
const internalPrefix = "Agatestep-"

// hopByHop lists the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// RemoveHopByHopHeaders deletes the headers that a hop must not pass on.
func RemoveHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// RemoveInternalHeaders deletes the headers of the system's own protocol.
func RemoveInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, internalPrefix) {
			delete(h, name)
		}
	}
}

// RequestHeader returns the end-to-end headers of an incoming request.
func RequestHeader(in http.Header) http.Header {
	out := in.Clone()
	RemoveHopByHopHeaders(out)
	out.Del("Expect")
	out.Del("Content-Length")
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil // keeps the transport from adding its own
	}
	return out
}

// CopyResponse answers the request r with resp and streams its body. It panics with
// http.ErrAbortHandler when the response is truncated, so that the receiver sees an
// aborted response and not a complete one.
func CopyResponse(w http.ResponseWriter, r *http.Request, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	RemoveHopByHopHeaders(resp.Header)
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	complete := callerconn.ResetUntilComplete(r, h)
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp); err != nil {
		// Without the flush, the receiver could see no response at all and send an
		// idempotent request again. An error means that the receiver has disconnected.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	complete()
	for name, values := range resp.Trailer {
		h[http.TrailerPrefix+name] = values
	}
	if r.ContentLength != 0 && resp.ContentLength >= 0 {
		// Ends the upload to the next hop, which would read the body at the same time as DrainBody.
		_ = resp.Body.Close()
		DrainBody(w, r)
	}
}

// copyBody flushes after each read when the length is unknown, because such an
// response may be a stream of events.
func copyBody(w http.ResponseWriter, resp *http.Response) error {
	var dst io.Writer = w
	if resp.ContentLength < 0 {
		rc := http.NewResponseController(w)
		if err := rc.Flush(); err != nil {
			return err
		}
		dst = flushWriter{w, rc}
	}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	// The wrapper hides ReadFrom and WriteTo, which would bypass the buffer.
	_, err := io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{resp.Body}, *buf)
	return err
}

type flushWriter struct {
	w  io.Writer
	rc *http.ResponseController
}

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		err = f.rc.Flush()
	}
	return n, err
}

// ResponseVerdict returns the refusal or failure that a response of the next hop reports,
// or nil when it is a response of the backend server to the request.
func ResponseVerdict(resp *http.Response) *verdict.Error {
	v, ok := verdict.Parse(resp.Header.Get(verdict.Header))
	if !ok || v == verdict.Answered {
		return nil
	}
	reason := verdict.Reason(resp.Header.Get(verdict.ReasonHeader))
	if reason == "" {
		reason = verdict.ReasonBackendRefused
	}
	return &verdict.Error{Verdict: v, Status: resp.StatusCode, Reason: reason, Detail: "refused by the next hop"}
}
