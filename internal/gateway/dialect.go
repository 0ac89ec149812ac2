package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/agatestep/agatestep/internal/backlog"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// Dialect maps the headers of callers and backend servers to what the gateway needs.
// OwnDialect is agatestep's own set of headers; an adapter may supply another.
type Dialect interface {
	// IDHeader returns the name of the header with the id of a request, which the response
	// repeats.
	IDHeader() string
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) (RequestInfo, error)
	// SetTarget sets the headers that tell a backend server which server the request is for
	// and how long its caller waits.
	SetTarget(h http.Header, backend string, left time.Duration)
	// ParseResponse parses the headers of a backend server's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// CallerKey returns the key with which a caller proves its organisation. ok is false if there
	// is none, more than one, or one in a form that this dialect does not know.
	CallerKey(h http.Header) (key string, ok bool)
	// SetOrganisation removes the caller's key from the headers of a request and sets the name
	// of its organisation in place of whatever the caller sent. Without a name, none is set.
	SetOrganisation(h http.Header, name string)
	// SetRefusal sets the headers of a refusal by the gateway itself. Without a retryAfter, the
	// caller is not told when to retry.
	SetRefusal(h http.Header, e *verdict.Error, retryAfter time.Duration)
}

// RequestInfo is what the headers of a request state.
type RequestInfo struct {
	ID string
	// Left is how long the caller waits; zero if the request does not state it.
	Left time.Duration
	// Keyed is set if the request has a key; Hash is the hash of the key, which selects its
	// slice.
	Keyed bool
	Hash  uint64
}

// ResponseInfo is what the headers of a response state.
type ResponseInfo struct {
	// NotRun means that the backend server did not run the request.
	NotRun bool
	// Misdirected means that the request was meant for another backend server or that the
	// server does not hold the key.
	Misdirected bool
	// Leaving means that the backend server is about to stop.
	Leaving bool
	// Pause is how long this host should send the backend server no further requests.
	Pause time.Duration
	// Load is the load that the server reports; nil if it reports none.
	Load *backlog.Report
}

// OwnDialect uses agatestep's own headers.
type OwnDialect struct{}

var _ Dialect = OwnDialect{}

// IDHeader implements Dialect.
func (OwnDialect) IDHeader() string { return wire.HeaderRequestID }

// ParseRequest implements Dialect.
func (OwnDialect) ParseRequest(h http.Header) (RequestInfo, error) { return readCallHeaders(h) }

// SetTarget implements Dialect.
func (OwnDialect) SetTarget(h http.Header, backend string, left time.Duration) {
	h.Set(wire.HeaderBackend, backend)
	h.Set(wire.HeaderTimeoutMs, formatMillis(left))
}

// ParseResponse implements Dialect.
func (OwnDialect) ParseResponse(status int, h http.Header) ResponseInfo {
	v, ok := verdict.Parse(h.Get(verdict.Header))
	notRun := ok && v == verdict.NotRun
	return ResponseInfo{NotRun: notRun, Misdirected: notRun && status == http.StatusConflict}
}

// keyScheme is the authentication scheme of the keys of organisations.
const keyScheme = "Bearer"

// CallerKey implements Dialect.
func (OwnDialect) CallerKey(h http.Header) (string, bool) {
	values := h.Values(headerAuthorization)
	if len(values) != 1 {
		return "", false
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, ok && key != "" && strings.EqualFold(scheme, keyScheme)
}

// SetOrganisation implements Dialect.
func (OwnDialect) SetOrganisation(h http.Header, name string) {
	h.Del(headerAuthorization)
	h.Del(wire.HeaderOrganisation)
	if name != "" {
		h.Set(wire.HeaderOrganisation, name)
	}
}

// SetRefusal implements Dialect.
func (OwnDialect) SetRefusal(h http.Header, e *verdict.Error, retryAfter time.Duration) {
	h.Set(verdict.Header, e.Verdict.String())
	h.Set(verdict.ReasonHeader, string(e.Reason))
	if retryAfter > 0 {
		h.Set("Retry-After", formatSeconds(retryAfter))
	}
}
