package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/upstream"
	"github.com/agatestep/agatestep/internal/verdict"
)

// call is a caller's request that is being served.
type call struct {
	Call
	request *http.Request
	match   *items.Match
	service string
	keyed   bool
	header  http.Header // what is forwarded
	body    *replayBody // nil without a body
	arrived time.Time
	// until is when the caller gives up or the route's timeout is over.
	until time.Time
	// sends counts the times that the request was written to a backend server, and
	// ran those of them that may have run.
	sends, ran int
	// written is when the request was last handed to a connection.
	written time.Time
	// fallback is a failure that a backend server answered to an attempt before, worst the
	// failure of an attempt before after which most may have run.
	fallback *held
	worst    *verdict.Error
	// admitted and served are the times that the call waited to be let in and that its
	// attempts took.
	admitted, served time.Duration
	tried            map[serverKey]bool
	// misdirected counts the answers that the owner does not hold the key, by the epoch
	// of the slice.
	misdirected map[uint64]int
	// opening is a connection that is opened while the call waits for its permit.
	opening *upstream.Opening
}

// writtenAgo is how long ago the request was last handed to a connection, or 0.
func (c *call) writtenAgo(now time.Time) time.Duration {
	if c.written.IsZero() {
		return 0
	}
	return now.Sub(c.written)
}

func (c *call) left(now time.Time) time.Duration { return c.until.Sub(now) }

// askedForBody reports whether the body of a request was read at all. The call may be nil.
func (c *call) askedForBody() bool { return c != nil && c.body != nil && c.body.begun.Load() }

// maxKept is the size up to which bodies are kept to be sent again. Most uploads
// are smaller; a larger one gets one attempt.
const maxKept = 512 << 10

// read checks a request and finds its route and service.
func (g *Gateway) read(r *http.Request, t *table.Table, now time.Time) (*call, *verdict.Error) {
	set := t.Items()
	if set.Empty() {
		return nil, verdict.Unavailable(verdict.ReasonSession, "this host has no configuration yet")
	}
	head, err := g.cfg.Dialect.ReadCall(r.Header)
	if err != nil {
		return nil, verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, err.Error())
	}
	match, ok := set.Match(r.Host, r.URL.Path)
	if !ok && g.cfg.Complete != nil && !g.cfg.Complete() {
		return nil, verdict.Unavailable(verdict.ReasonSession, "this host has not got its whole configuration yet")
	}
	if !ok {
		return nil, verdict.Refuse(http.StatusNotFound, verdict.ReasonNoRoute, "no route matches this host and path")
	}
	c := &call{Call: head, request: r, match: match, arrived: now, tried: map[serverKey]bool{}, misdirected: map[uint64]int{}}
	c.until = now.Add(match.Timeout)
	if head.Left > 0 && head.Left < match.Timeout {
		c.until = now.Add(head.Left)
	}
	c.service = g.split.choose(match)
	svc := set.Service(c.service)
	c.keyed = svc != nil && svc.Keyed
	if c.keyed && !head.Keyed {
		return c, verdict.Refuse(http.StatusBadRequest, verdict.ReasonNoKey, "the request has no key")
	}
	if refusal := checkSize(r, set.Limits()); refusal != nil {
		return c, refusal
	}
	if r.ContentLength != 0 {
		source := r.Body
		if l := set.Limits(); l != nil && l.BodyBytes > 0 {
			// Without the writer, whose header the reader would change beside the handler.
			source = http.MaxBytesReader(nil, r.Body, l.BodyBytes)
		}
		c.body = newReplayBody(source, maxKept)
		c.body.shared, c.body.rate = &g.bodyBytes, g.bodyReads
		if r.Header.Get("Expect") == "" {
			c.body.fill() // else the caller sends no body before an attempt asks for it
		}
	}
	c.header = forwarded(r.Header)
	return c, nil
}

func checkSize(r *http.Request, l *items.Limits) *verdict.Error {
	if l == nil {
		return nil
	}
	if l.BodyBytes > 0 && r.ContentLength > l.BodyBytes {
		return verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonBodyTooLarge, "the body is larger than the limits allow")
	}
	if l.HeaderBytes > 0 {
		size := 0
		for name, values := range r.Header {
			for _, v := range values {
				size += len(name) + len(v)
			}
		}
		if size > l.HeaderBytes {
			return verdict.Refuse(http.StatusRequestHeaderFieldsTooLarge, verdict.ReasonHeaderTooLarge, "the header is larger than the limits allow")
		}
	}
	return nil
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// forwarded returns the headers without those that concern one connection.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// context returns the context of a call, which ends when the caller leaves or the
// time is over.
func (c *call) context() (context.Context, context.CancelFunc) {
	return context.WithDeadline(c.request.Context(), c.until)
}
