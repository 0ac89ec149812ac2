package dispatch

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/agatestep/agatestep/internal/forward"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// Request is a request for one backend server.
type Request struct {
	ID      string
	Service string
	Backend string
	Keyed   bool
	Hash    uint64 // hash of the key, keyed requests only
	// Epoch is the epoch of the slice in the sender's table, keyed requests only.
	Epoch    uint64
	Deadline time.Time

	Method string
	URI    string // path and query as the caller sent them
	Host   string
	// Header holds the end-to-end headers; the dispatcher does not change it.
	Header        http.Header
	Body          *forward.Body // nil when there is none
	ContentLength int64         // -1 when unknown
}

// fencingHeaders are the values by which the backend server checks that the dispatcher
// may still send a request. The times are in milliseconds on the server's clock.
type fencingHeaders struct {
	epoch, lease, slice uint64
	startBy, deadline   int64
}

// fencingFor returns the fencing headers of a request that checkSend allowed; s.mu is held.
func (s *server) fencingFor(r *Request, slice table.Slice) fencingHeaders {
	deadline := s.lease.toServerClock(r.Deadline)
	return fencingHeaders{epoch: s.record.Epoch, lease: s.lease.number, slice: slice.Start,
		startBy: min(deadline, s.lease.endMs()), deadline: deadline}
}

// outgoing builds the request to the backend server at address.
func (r *Request) outgoing(ctx context.Context, address string, fencing fencingHeaders) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "request target is malformed")
	}
	u.Scheme, u.Host = "http", address
	out := &http.Request{Method: r.Method, URL: u, Host: r.Host, Header: r.Header.Clone(),
		ContentLength: r.ContentLength, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	h := out.Header
	h.Set(wire.HeaderRequestID, r.ID)
	h.Set(wire.HeaderService, r.Service)
	h.Set(wire.HeaderEpoch, strconv.FormatUint(fencing.epoch, 10))
	h.Set(wire.HeaderLease, strconv.FormatUint(fencing.lease, 10))
	h.Set(wire.HeaderStartBy, strconv.FormatInt(fencing.startBy, 10))
	h.Set(wire.HeaderDeadline, strconv.FormatInt(fencing.deadline, 10))
	if r.Keyed {
		h.Set(wire.HeaderSlice, formatHex(fencing.slice))
	}
	return out.WithContext(ctx), nil
}

func (r *Request) closeBody() {
	if r.Body != nil {
		_ = r.Body.Close()
	}
}
