package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/agatestep/agatestep/internal/hostlink"
	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/upstream"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// call is the state of a caller's request while it is served.
type call struct {
	RequestInfo
	request       *http.Request
	match         *items.Match
	caller        *items.Caller // nil if the configuration has no organisations, or without a key on an exempt route
	service       string
	keyed         bool
	forwardHeader http.Header // sent to the backend server
	body          *replayBody // nil without a body
	arrived       time.Time
	// deadline is when the caller gives up or the route's timeout ends, whichever is first.
	deadline time.Time
	// sends counts the attempts to send the request to a backend server, possibleRuns those
	// that a server may have run.
	sends, possibleRuns int
	// sendKind is what the next or last attempt is to its server.
	sendKind sendKind
	// writtenAt is when the request was last handed to a connection.
	writtenAt time.Time
	// fallback is an error response of a backend server to an earlier attempt, worstFailure
	// the failure of an earlier attempt with the most severe verdict.
	fallback     *bufferedResponse
	worstFailure *verdict.Error
	// admissionTime is how long the call waited for admission, attemptTime how long its
	// attempts took.
	admissionTime, attemptTime time.Duration
	tried                      map[serverKey]bool
	// misdirected counts the responses that say that the owner does not hold the key, by
	// the epoch of the slice.
	misdirected map[uint64]int
	// pendingConn is a connection that is being opened while the call waits for its permit.
	pendingConn *upstream.PendingConn
	// outgoing is the body on its way to a backend server, on a host that paces bodies.
	outgoing *hostlink.Transfer
	tickets  callTickets
	// coldOnly is set while only cold servers may get the call, outcome is what the last
	// attempt showed of its server, and reportedAt when it answered.
	coldOnly   bool
	outcome    wire.ServicePermitRelease
	reportedAt time.Time
	held       heldCall
}

// timeSinceWrite returns how long ago the request was last handed to a connection, or 0.
func (c *call) timeSinceWrite(now time.Time) time.Duration {
	if c.writtenAt.IsZero() {
		return 0
	}
	return now.Sub(c.writtenAt)
}

// bodyReadStarted reports whether reading the body has begun. The call may be nil.
func (c *call) bodyReadStarted() bool { return c != nil && c.body != nil && c.body.started.Load() }

// maxReplayBytes is the size up to which bodies are buffered for further attempts. Most
// uploads are smaller; a larger one gets one attempt.
const maxReplayBytes = 512 << 10

// matchCall validates a request and finds its route and organisation. The call is nil if the
// request is refused before its route is known.
func (g *Gateway) matchCall(r *http.Request, t *table.Table, now time.Time) (*call, *verdict.Error) {
	set := t.Items()
	if set.Empty() {
		return nil, verdict.Unavailable(verdict.ReasonSession, "this host has no configuration yet")
	}
	head, err := g.cfg.Dialect.ParseRequest(r.Header)
	if err != nil {
		return nil, verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, err.Error())
	}
	match, ok := set.Match(r.Host, r.URL.Path)
	if !ok && g.cfg.TableComplete != nil && !g.cfg.TableComplete() {
		return nil, verdict.Unavailable(verdict.ReasonSession, "this host has not got its whole configuration yet")
	}
	if !ok {
		return nil, verdict.Refuse(http.StatusNotFound, verdict.ReasonNoRoute, "no route matches this host and path")
	}
	c := &call{RequestInfo: head, request: r, match: match, arrived: now, tried: map[serverKey]bool{}, misdirected: map[uint64]int{}}
	c.deadline = now.Add(match.Timeout)
	if head.Left > 0 && head.Left < match.Timeout {
		c.deadline = now.Add(head.Left)
	}
	return c, g.identifyCaller(c, set)
}

// parseCall is matchCall, and chooses the service of the call.
func (g *Gateway) parseCall(r *http.Request, t *table.Table, now time.Time) (*call, *verdict.Error) {
	c, refusal := g.matchCall(r, t, now)
	if refusal != nil {
		return c, refusal
	}
	set := t.Items()
	c.service = g.split.chooseService(c.match)
	svc := set.Service(c.service)
	c.keyed = svc != nil && svc.Keyed
	if c.keyed && !c.Keyed {
		return c, verdict.Refuse(http.StatusBadRequest, verdict.ReasonNoKey, "the request has no key")
	}
	if refusal := checkSize(r, set.Limits()); refusal != nil {
		return c, refusal
	}
	if refusal := g.admitHeld(c, now); refusal != nil {
		return c, refusal
	}
	if r.ContentLength != 0 {
		source := r.Body
		if l := set.Limits(); l != nil && l.BodyBytes > 0 {
			// Without the ResponseWriter: the reader would change its header concurrently
			// with the handler.
			source = http.MaxBytesReader(nil, r.Body, l.BodyBytes)
		}
		c.body = newReplayBody(source, maxReplayBytes)
		c.body.totalBuffered, c.body.readRate = &g.bufferedBodyBytes, g.bodyReadRate
		c.body.transfer = g.readPacer.Begin(g.linkBody(c))
	}
	g.openHeld(c, now)
	if c.body != nil && r.Header.Get("Expect") == "" {
		c.body.startReading() // otherwise the caller sends the body only once it is read
	}
	c.forwardHeader = removeHopByHop(r.Header)
	if set.HasOrganisations() {
		g.cfg.Dialect.SetOrganisation(c.forwardHeader, c.organisation())
	}
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

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// removeHopByHop returns a copy of h without the headers that apply to one connection only.
func removeHopByHop(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// context returns the context of a call, which ends when the caller disconnects or at the
// deadline.
func (c *call) context() (context.Context, context.CancelFunc) {
	return context.WithDeadline(c.request.Context(), c.deadline)
}
