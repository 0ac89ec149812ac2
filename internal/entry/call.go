package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/agatestep/agatestep/internal/forward"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// call is one request of a caller, ready to be sent.
type call struct {
	id         string
	file       *service.File
	keyed      bool
	hash       uint64
	idempotent bool
	deadline   time.Time
	method     string
	uri        string
	host       string
	header     http.Header
	length     int64
	buffered   []byte               // the whole body when it is small enough to be replayed
	stream     func() *forward.Body // the body when it is streamed
	lastStream *forward.Body        // body of the last attempt when it is streamed
	failures   failures             // of all attempts
}

// requestIDPattern matches the request ids that callers may choose.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

func requestID(r *http.Request) string {
	if ids := r.Header[wire.HeaderRequestID]; len(ids) == 1 && requestIDPattern.MatchString(ids[0]) {
		return ids[0]
	}
	return rand.Text()
}

// parseRequest checks a caller's request without its body, and finds its service and key.
func (h *Handler) parseRequest(r *http.Request, id string) (*call, *verdict.Error) {
	if err := h.checkRequest(r); err != nil {
		return nil, err
	}
	svc, prefix, ok := h.cfg.Tables().Match(service.CanonicalHost(r.Host), r.URL.Path)
	if !ok {
		return nil, verdict.Refuse(http.StatusNotFound, verdict.ReasonNoRoute, "no service matches this host and path")
	}
	c := &call{id: id, file: svc.File, keyed: svc.File.Keyed(), method: r.Method, uri: r.RequestURI, host: r.Host, length: r.ContentLength}
	c.idempotent = c.file.IsIdempotent(r.Method, r.URL.Path)
	if !strings.HasPrefix(c.uri, "/") {
		c.uri = r.URL.RequestURI()
	}
	if c.keyed {
		key, err := c.file.KeyOf(r, prefix)
		if err != nil {
			return nil, verdict.Refuse(http.StatusBadRequest, verdict.ReasonNoKey, err.Error())
		}
		c.hash = service.HashKey(key)
	}
	timeout, refusal := callerTimeout(r, c.file.Deadline)
	if refusal != nil {
		return nil, refusal
	}
	c.deadline = h.cfg.Clock.Now().Add(timeout)
	c.header = callerHeader(r)
	return c, nil
}

// checkRequest checks the size of the header and the form of the request target.
func (h *Handler) checkRequest(r *http.Request) *verdict.Error {
	size := 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	switch {
	case size > h.cfg.Limits.HeaderBytes:
		return verdict.Refuse(http.StatusRequestHeaderFieldsTooLarge, verdict.ReasonHeaderTooLarge, "the header exceeds its cap")
	case r.Method == http.MethodConnect || !strings.HasPrefix(r.URL.Path, "/"):
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "the request target is not a path")
	}
	return nil
}

// callerTimeout returns the timeout that the caller asks for, up to the maximum of the
// service, or the default of the service.
func callerTimeout(r *http.Request, d service.Deadline) (time.Duration, *verdict.Error) {
	text := r.Header.Get(wire.HeaderTimeoutMs)
	if text == "" {
		return d.Default, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, wire.HeaderTimeoutMs+" is not a positive number of milliseconds")
	}
	return time.Duration(min(ms, d.Max.Milliseconds())) * time.Millisecond, nil
}

// callerHeader returns the caller's headers that are forwarded, with Via and
// X-Forwarded-For added.
func callerHeader(r *http.Request) http.Header {
	out := forward.RequestHeader(r.Header)
	forward.RemoveInternalHeaders(out)
	out.Add("Via", "1.1 agatestep")
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		if prior := out["X-Forwarded-For"]; len(prior) > 0 {
			ip = strings.Join(prior, ", ") + ", " + ip
		}
		out.Set("X-Forwarded-For", ip)
	}
	return out
}

// readBody buffers a small body and leaves a large one to be streamed.
func (h *Handler) readBody(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) *verdict.Error {
	limit := h.cfg.Limits.BodyBytes
	if serviceLimit := c.file.MaxBodyBytes; serviceLimit > 0 {
		limit = min(limit, serviceLimit)
	}
	switch {
	case r.ContentLength == 0:
		return nil
	case r.ContentLength > limit:
		return verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonBodyTooLarge, "the body exceeds its cap")
	case r.ContentLength < 0 || r.ContentLength > h.cfg.Limits.ReplayBytes:
		body := http.MaxBytesReader(w, r.Body, limit)
		c.stream = func() *forward.Body { return forward.NewStreamedBody(w, body) }
		return nil
	}
	buffered, err := readAll(ctx, w, r)
	if err != nil && ctx.Err() != nil {
		reason, detail := verdict.ContextEndReason(ctx)
		return verdict.Unavailable(reason, detail+" before the whole body came")
	}
	if err != nil {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "the body broke off")
	}
	c.buffered = buffered
	return nil
}

// readAll reads the body of r. The end of ctx interrupts a read that waits for the caller.
func readAll(ctx context.Context, w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc, past, interrupted := http.NewResponseController(w), time.Unix(1, 0), make(chan struct{})
	cancelInterrupt := context.AfterFunc(ctx, func() {
		// An error means that the connection cannot be read any more, so no read is pending.
		_ = rc.SetReadDeadline(past)
		close(interrupted)
	})
	buffered, err := io.ReadAll(r.Body)
	if !cancelInterrupt() {
		<-interrupted
		_ = rc.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	return buffered, err
}

func (c *call) hasBody() bool { return c.buffered != nil || c.stream != nil }

// attemptBody returns the body for one attempt; it is nil when there is none.
func (c *call) attemptBody() *forward.Body {
	switch {
	case c.buffered != nil:
		return forward.NewBody(bytes.NewReader(c.buffered), nil)
	case c.stream == nil:
		return nil
	}
	c.lastStream = c.stream()
	return c.lastStream
}

// replayable reports whether the body can be sent again. It closes the body of
// the last attempt first, so that two attempts never read it at the same time.
func (c *call) replayable() bool {
	if c.lastStream == nil {
		return true
	}
	_ = c.lastStream.Close()
	return !c.lastStream.ReadStarted()
}

// closeBody closes the body of the last attempt, which its transport may still read.
func (c *call) closeBody() {
	if c.lastStream != nil {
		_ = c.lastStream.Close()
	}
}
