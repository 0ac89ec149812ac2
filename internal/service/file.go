package service

import "time"

// File is one validated service file.
type File struct {
	Service     string           `yaml:"service"`
	Team        string           `yaml:"team"`
	Version     uint64           `yaml:"version"`
	Match       Match            `yaml:"match"`
	Key         *KeySource       `yaml:"key"` // nil when the service is not sharded by key
	Backend     BackendSpec      `yaml:"backend"`
	Deadline    Deadline         `yaml:"deadline"`
	Idempotent  []IdempotentRule `yaml:"idempotent"`
	ColdStart   ColdStart        `yaml:"cold_start"`
	Slices      int              `yaml:"slices"`
	DataCentres DataCentres      `yaml:"data_centres"`
	Prefer      Preference       `yaml:"prefer"`
	Expect      []Expectation    `yaml:"expect"`
	// MaxBodyBytes limits the request body; zero means that only the daemon's own
	// limit applies.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
}

// Keyed reports whether the service is sharded by key.
func (f *File) Keyed() bool { return f.Key != nil }

// Match selects the requests that belong to the service.
type Match struct {
	Hosts        []string `yaml:"hosts"`
	PathPrefixes []string `yaml:"path_prefixes"`
}

// KeySource locates the key in a request; exactly one field is set.
type KeySource struct {
	Header string `yaml:"header"`
	Query  string `yaml:"query"`
	// PathSegment is the 0-based segment after the matched prefix; -1 when unused.
	PathSegment int `yaml:"path_segment"`
}

// BackendSpec describes the capacity and setup costs of each backend server of
// the service.
type BackendSpec struct {
	Slots          int           `yaml:"slots"`
	Connections    int           `yaml:"connections"`
	ConnectionCost time.Duration `yaml:"connection_cost"`
	ProbeCost      time.Duration `yaml:"probe_cost"`
}

// Deadline bounds the time that a request may take.
type Deadline struct {
	Default time.Duration `yaml:"default"`
	Max     time.Duration `yaml:"max"`
}

// IdempotentRule lists methods that are idempotent, on some path prefixes or on
// all paths.
type IdempotentRule struct {
	Methods []string `yaml:"methods"`
	Paths   []string `yaml:"paths"`
}

// ColdStart limits the load of a backend server that has just started.
type ColdStart struct {
	Limit int           `yaml:"limit"`
	Ramp  time.Duration `yaml:"ramp"`
}

// DataCentres sets which backend servers a service that is not sharded by key prefers.
type DataCentres struct {
	Prefer string `yaml:"prefer"` // "local" or "any"
}

// Preference decides between availability and tail latency where they conflict.
type Preference string

// The preferences of a service.
const (
	PreferAvailability Preference = "availability"
	PreferTailLatency  Preference = "tail_latency"
)

// Expectation is a routing test that a team includes in its service file.
type Expectation struct {
	Request    RequestSpec `yaml:"request"`
	Service    string      `yaml:"service"` // empty means that no service may match
	Key        string      `yaml:"key"`
	Idempotent *bool       `yaml:"idempotent"`
	// Line is the line of the expectation in its file.
	Line int `yaml:"-"`
}

// RequestSpec holds the parts of a request that routing depends on.
type RequestSpec struct {
	Method  string            `yaml:"method"`
	Host    string            `yaml:"host"`
	Path    string            `yaml:"path"` // may carry a query
	Headers map[string]string `yaml:"headers"`
}
