package items

import (
	"cmp"
	"time"
)

// Kind says what an item configures.
type Kind uint8

// The kinds of items.
const (
	KindRoute Kind = iota + 1
	KindService
	KindLimits
)

// LimitsName is the name of the single item of kind KindLimits.
const LimitsName = "limits"

// Key names an item.
type Key struct {
	Kind Kind
	Name string
}

// CompareKeys orders keys by kind and name.
func CompareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Item is one version of a configuration item. Exactly one of Route, Service and
// Limits is set, and none when Removed is.
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
}

// Route says which requests go to which service and how.
type Route struct {
	Host       string
	PathPrefix string
	// Idempotent requests may run more than once; all others at most once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer has its full use.
	Target time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// MaxAttempts is the most backend servers that one request is sent to.
	MaxAttempts int
	// Shares are the services that the requests are distributed among.
	Shares []Share
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  float64
}

// Service describes the backend servers of one service.
type Service struct {
	// HealthPath answers health checks.
	HealthPath string
	// MaxConnections is the number of connections that a backend server accepts
	// from all callers together.
	MaxConnections int
	// ColdFor is how long a backend server is cold after its start, and ColdRate
	// the requests per second that it bears meanwhile.
	ColdFor  time.Duration
	ColdRate float64
	// Keyed services are divided by key; LeaseByHeartbeat says that keys are
	// granted in the answers to heartbeats.
	Keyed            bool
	LeaseByHeartbeat bool
	// KeySpan is the number of adjacent hashes of one key; zero means one. Ranges of
	// keys begin at its multiples.
	KeySpan uint64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// WithoutDocument returns the item as tables carry it.
func (i Item) WithoutDocument() Item {
	i.Document = nil
	return i
}
