package entry

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/agatestep/agatestep/internal/dispatch"
	"github.com/agatestep/agatestep/internal/forward"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// relayDialTimeout bounds the time to connect to another host of the system.
const relayDialTimeout = 500 * time.Millisecond

// relayMargin is subtracted from the time given to the dispatcher, so that its
// refusal arrives before the deadline of this host. After the deadline, this host
// would have to assume that the request may have run.
const relayMargin = 20 * time.Millisecond

// sendOverRelay sends the request to the dispatcher on another host over HTTP.
func (h *Handler) sendOverRelay(ctx context.Context, r *dispatch.Request, target route, attempt int) (*http.Response, error) {
	out, err := h.relayRequest(ctx, r, target, attempt)
	if err != nil {
		return nil, err
	}
	if r.Body != nil {
		out.Body = r.Body
	}
	resp, err := forward.Send(ctx, h.relay, out, nil)
	if err != nil {
		return nil, err
	}
	if e := forward.ResponseVerdict(resp); e != nil {
		resp.Body.Close()
		return nil, e
	}
	if resp.Header.Get(verdict.Header) != verdict.Answered.String() {
		resp.Body.Close()
		return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway,
			Reason: verdict.ReasonBadAnswer, Detail: "the dispatcher's answer carries no verdict"}
	}
	return resp, nil
}

func (h *Handler) relayRequest(ctx context.Context, r *dispatch.Request, target route, attempt int) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "request target is malformed")
	}
	u.Scheme, u.Host = "http", target.address
	left := r.Deadline.Sub(h.cfg.Clock.Now())
	left -= min(relayMargin, left/5)
	if left < time.Millisecond {
		return nil, verdict.Unavailable(verdict.ReasonDeadline, "the deadline passed before the request was relayed")
	}
	out := (&http.Request{Method: r.Method, URL: u, Host: r.Host, Header: r.Header.Clone(),
		ContentLength: r.ContentLength, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	hd := out.Header
	hd.Set(wire.HeaderRequestID, r.ID)
	hd.Set(wire.HeaderService, r.Service)
	hd.Set(wire.HeaderBackend, r.Backend)
	hd.Set(wire.HeaderTimeoutMs, strconv.FormatInt(left.Milliseconds(), 10))
	hd.Set(wire.HeaderAttempt, strconv.Itoa(attempt))
	if r.Keyed {
		hd.Set(wire.HeaderHash, strconv.FormatUint(r.Hash, 16))
		hd.Set(wire.HeaderEpoch, strconv.FormatUint(r.Epoch, 10))
	}
	if r.ContentLength < 0 || r.ContentLength > h.cfg.Limits.ReplayBytes {
		hd.Set("Expect", "100-continue")
	}
	return out, nil
}
