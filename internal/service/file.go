package service

import "time"

// File is one validated service file.
type File struct {
	Service     string           `yaml:"service"`
	Team        string           `yaml:"team"`
	Version     uint64           `yaml:"version"`
	Match       Match            `yaml:"match"`
	Key         *KeySource       `yaml:"key"` // nil when the service is not divided by key
	Backend     BackendShape     `yaml:"backend"`
	Deadline    Deadline         `yaml:"deadline"`
	Idempotent  []IdempotentRule `yaml:"idempotent"`
	ColdStart   ColdStart        `yaml:"cold_start"`
	Slices      int              `yaml:"slices"`
	DataCentres DataCentres      `yaml:"data_centres"`
	Prefer      Preference       `yaml:"prefer"`
	Expect      []Expectation    `yaml:"expect"`
	// MaxBodyBytes caps the request body; zero means the daemon's own cap.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
}

// Keyed reports whether the service is divided by key.
func (f *File) Keyed() bool { return f.Key != nil }

// Match says which requests belong to the service.
type Match struct {
	Hosts        []string `yaml:"hosts"`
	PathPrefixes []string `yaml:"path_prefixes"`
}

// KeySource says where a request carries its key; exactly one field is set.
type KeySource struct {
	Header string `yaml:"header"`
	Query  string `yaml:"query"`
	// PathSegment is the 0-based segment after the matched prefix; -1 when unused.
	PathSegment int `yaml:"path_segment"`
}

// BackendShape describes the backend servers of the service.
type BackendShape struct {
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

// IdempotentRule names methods that are idempotent, on some paths or on all.
type IdempotentRule struct {
	Methods []string `yaml:"methods"`
	Paths   []string `yaml:"paths"`
}

// ColdStart bounds the load of a backend server that just started.
type ColdStart struct {
	Limit int           `yaml:"limit"`
	Ramp  time.Duration `yaml:"ramp"`
}

// DataCentres says which backend servers a service that is not divided by key prefers.
type DataCentres struct {
	Prefer string `yaml:"prefer"` // "local" or "any"
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
	Request    RequestShape `yaml:"request"`
	Service    string       `yaml:"service"` // empty means that no service may match
	Key        string       `yaml:"key"`
	Idempotent *bool        `yaml:"idempotent"`
	// Line is the line of the expectation in its file.
	Line int `yaml:"-"`
}

// RequestShape is the part of a request that routing depends on.
type RequestShape struct {
	Method  string            `yaml:"method"`
	Host    string            `yaml:"host"`
	Path    string            `yaml:"path"` // may carry a query
	Headers map[string]string `yaml:"headers"`
}
