package dispatch

import (
	"net/http"
	"strconv"
	"time"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/forward"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// RelayHandler serves requests that other entry hosts relay to this dispatcher.
func (d *Dispatcher) RelayHandler() http.Handler { return &relayHandler{d} }

type relayHandler struct{ d *Dispatcher }

// ServeHTTP implements http.Handler.
func (h *relayHandler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	id := in.Header.Get(wire.HeaderRequestID)
	r, err := h.d.parseRelayed(w, in)
	if err != nil {
		forward.WriteRefusal(w, in, err, id, in.ContentLength != 0)
		return
	}
	if r.Body != nil {
		// Allows an early response while the body is still being sent.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	// While the body is unread, net/http does not notice that the connection was closed.
	ctx, cancel := callerconn.Watch(in.Context())
	defer cancel()
	resp, failure := h.d.Send(ctx, r)
	if failure != nil {
		forward.WriteRefusal(w, in, forward.AsError(failure), id, in.ContentLength != 0)
		return
	}
	forward.CopyResponse(w, in, resp)
}

// maxRelayTimeoutMs caps the timeout of a relayed request. Without it the deadline
// could overflow and lie in the past.
const maxRelayTimeoutMs = int64(24 * time.Hour / time.Millisecond)

// parseRelayed builds the request from the headers and the body of the relay hop.
func (d *Dispatcher) parseRelayed(w http.ResponseWriter, in *http.Request) (*Request, *verdict.Error) {
	h := in.Header
	r := &Request{ID: h.Get(wire.HeaderRequestID), Service: h.Get(wire.HeaderService), Backend: h.Get(wire.HeaderBackend),
		Method: in.Method, URI: in.RequestURI, Host: in.Host, Header: forward.RequestHeader(h), ContentLength: in.ContentLength}
	if r.ID == "" || r.Service == "" || r.Backend == "" {
		return nil, refuseRelayed("the request id, service or backend server is missing")
	}
	ms, err := strconv.ParseInt(h.Get(wire.HeaderTimeoutMs), 10, 64)
	if err != nil || ms <= 0 {
		return nil, refuseRelayed(wire.HeaderTimeoutMs + " is not a positive number")
	}
	r.Deadline = d.cfg.Clock.Now().Add(time.Duration(min(ms, maxRelayTimeoutMs)) * time.Millisecond)
	if text := h.Get(wire.HeaderHash); text != "" {
		r.Keyed = true
		if r.Hash, err = strconv.ParseUint(text, 16, 64); err != nil {
			return nil, refuseRelayed(wire.HeaderHash + " is not a hexadecimal number")
		}
		if r.Epoch, err = strconv.ParseUint(h.Get(wire.HeaderEpoch), 10, 64); err != nil {
			return nil, refuseRelayed(wire.HeaderEpoch + " is not a number")
		}
	}
	if d.cfg.MaxBodyBytes > 0 && in.ContentLength > d.cfg.MaxBodyBytes {
		return nil, verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonBodyTooLarge, "the body exceeds the cap of the dispatcher")
	}
	if in.ContentLength != 0 {
		body := in.Body
		if d.cfg.MaxBodyBytes > 0 {
			body = http.MaxBytesReader(w, body, d.cfg.MaxBodyBytes)
		}
		r.Body = forward.NewStreamedBody(w, body)
	}
	forward.RemoveInternalHeaders(r.Header)
	return r, nil
}

func refuseRelayed(detail string) *verdict.Error {
	return verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "relayed request: "+detail)
}
