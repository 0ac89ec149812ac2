// Package service is the aggregate of service files: what a team states about
// the routing of its service, the checks on it, and the matching of requests.
package service

import "time"

// File is one validated service file.
type File struct {
	Service     string
	Team        string
	Version     uint64
	Match       Match
	Key         *KeySource // nil when the service is not divided by key
	Backend     BackendShape
	Deadline    Deadline
	Idempotent  []IdempotentRule
	ColdStart   ColdStart
	Slices      int
	DataCentres DataCentres
	Prefer      Preference
	Expect      []Expectation
	// MaxBodyBytes caps the request body; zero means the daemon's own cap.
	MaxBodyBytes int64
}

// Keyed reports whether the service is divided by key.
func (f *File) Keyed() bool { return f.Key != nil }

// Match says which requests belong to the service.
type Match struct {
	Hosts        []string
	PathPrefixes []string
}

// KeySource says where a request carries its key; exactly one field is set.
type KeySource struct {
	Header string
	Query  string
	// PathSegment is the 0-based segment after the matched prefix; -1 when unused.
	PathSegment int
}

// BackendShape describes the backend servers of the service.
type BackendShape struct {
	Slots          int
	Connections    int
	ConnectionCost time.Duration
	ProbeCost      time.Duration
}

// Deadline bounds the time that a request may take.
type Deadline struct {
	Default time.Duration
	Max     time.Duration
}

// IdempotentRule names methods that are idempotent, on some paths or on all.
type IdempotentRule struct {
	Methods []string
	Paths   []string
}

// ColdStart bounds the load of a backend server that just started.
type ColdStart struct {
	Limit int
	Ramp  time.Duration
}

// DataCentres says which backend servers a service that is not divided by key prefers.
type DataCentres struct {
	Prefer string // "local" or "any"
}

// Preference settles where availability and tail latency pull apart.
type Preference string

// The preferences of a service.
const (
	PreferAvailability Preference = "availability"
	PreferTailLatency  Preference = "tail_latency"
)

// Expectation is a test of the routing that a team states in its file.
type Expectation struct {
	Request    RequestShape
	Service    string // empty means that no service may match
	Key        string
	Idempotent *bool
	// Line is the line of the expectation in its file.
	Line int
}

// RequestShape is the part of a request that routing depends on.
type RequestShape struct {
	Method  string
	Host    string
	Path    string // may carry a query
	Headers map[string]string
}
