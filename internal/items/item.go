package items

import (
	"cmp"
	"time"
)

// Kind is the kind of thing that an item configures.
type Kind uint8

// The kinds of items.
const (
	KindRoute Kind = iota + 1
	KindService
	KindLimits
	KindOrganisation
)

// LimitsName is the name of the single item of kind KindLimits.
const LimitsName = "limits"

// Key names an item.
type Key struct {
	Kind Kind
	Name string
}

// CompareKeys orders keys by kind, then name, for use with package slices.
func CompareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Item is one version of a configuration item. Exactly one of Route, Service, Limits and
// Organisation is set, and none when Removed is.
type Item struct {
	Key
	Version uint64
	Removed bool
	Route   *Route
	Service *Service
	Limits  *Limits
	// Document is the item as the operator wrote it, for reading it back. Tables
	// of entry hosts do not carry it.
	Document []byte
	// Organisation is encoded in tables after the other fields, which older programs read.
	Organisation *Organisation `table:"-"`
}

// Route matches requests by host and path prefix and routes them to services.
type Route struct {
	Host       string
	PathPrefix string
	// Idempotent tells that requests may run more than once; others run at most once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// Target is the target latency: a later answer is worth less to the caller.
	Target time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// MaxAttempts is the most backend servers that one request is sent to.
	MaxAttempts int
	// Shares are the services among which the requests are distributed.
	Shares []Share
	// KeyExempt tells that callers need no key of an organisation.
	KeyExempt bool `table:"-"`
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  float64
}

// Service describes the backend servers of one service.
type Service struct {
	// HealthPath is the path of health checks.
	HealthPath string
	// MaxConnections is the number of connections that a backend server accepts
	// from all callers together.
	MaxConnections int
	// ColdFor is how long a backend server is cold after its start, and ColdRate
	// the requests per second that it can take meanwhile.
	ColdFor  time.Duration
	ColdRate float64
	// Keyed tells that the service is partitioned by key, and LeaseByHeartbeat that
	// leases on keys are granted in heartbeat replies.
	Keyed            bool
	LeaseByHeartbeat bool
	// KeySpan is the number of adjacent hashes of one key; zero means one. Ranges of
	// keys begin at its multiples.
	KeySpan uint64
}

// Limits bound the requests that callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// WithoutDocument returns a copy of the item without Document, as tables carry it.
func (i Item) WithoutDocument() Item {
	i.Document = nil
	return i
}
