package gateway

import (
	"net/http"
	"time"

	"github.com/agatestep/agatestep/internal/backlog"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// Dialect is how callers and backend servers write what the gateway needs to
// know. The product's own is OwnDialect; an adapter may supply another.
type Dialect interface {
	// IDHeader is the header with the id of a request, repeated in its answer.
	IDHeader() string
	// ReadCall reads the headers of a caller's request.
	ReadCall(h http.Header) (Call, error)
	// Address sets the headers that tell a backend server whom the request is for
	// and how long its caller waits.
	Address(h http.Header, backend string, left time.Duration)
	// ReadAnswer reads the headers of a backend server's answer.
	ReadAnswer(status int, h http.Header) Answer
	// Refuse sets the headers of a refusal of the gateway's own.
	Refuse(h http.Header, e *verdict.Error, retryAfter time.Duration)
}

// Call is what the headers of a request say.
type Call struct {
	ID string
	// Left is how long the caller waits; zero when it does not say.
	Left time.Duration
	// Keyed is set if the request has a key; Hash places it among the slices.
	Keyed bool
	Hash  uint64
}

// Answer is what the headers of an answer say.
type Answer struct {
	// NotRun means that the backend server did not run the request.
	NotRun bool
	// Misdirected means that it was not meant for this backend server or that the
	// server does not hold the key.
	Misdirected bool
	// Leaving means that the backend server is about to stop.
	Leaving bool
	// Pause is how long the backend server wants nothing more from this host.
	Pause time.Duration
	// Load is what the server says of its load; nil when it does not.
	Load *backlog.Report
}

// OwnDialect is the product's own.
type OwnDialect struct{}

var _ Dialect = OwnDialect{}

// IDHeader implements Dialect.
func (OwnDialect) IDHeader() string { return wire.HeaderRequestID }

// ReadCall implements Dialect.
func (OwnDialect) ReadCall(h http.Header) (Call, error) { return readOwnCall(h) }

// Address implements Dialect.
func (OwnDialect) Address(h http.Header, backend string, left time.Duration) {
	h.Set(wire.HeaderBackend, backend)
	h.Set(wire.HeaderTimeoutMs, millis(left))
}

// ReadAnswer implements Dialect.
func (OwnDialect) ReadAnswer(status int, h http.Header) Answer {
	v, ok := verdict.Parse(h.Get(verdict.Header))
	notRun := ok && v == verdict.NotRun
	return Answer{NotRun: notRun, Misdirected: notRun && status == http.StatusConflict}
}

// Refuse implements Dialect.
func (OwnDialect) Refuse(h http.Header, e *verdict.Error, retryAfter time.Duration) {
	h.Set(verdict.Header, e.Verdict.String())
	h.Set(verdict.ReasonHeader, string(e.Reason))
	if retryAfter > 0 {
		h.Set("Retry-After", seconds(retryAfter))
	}
}
