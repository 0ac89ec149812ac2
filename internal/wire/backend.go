package wire

// Paths of the HTTP contract with backend servers.
const (
	AnnouncePath = "/agatestep/v1/announce" // served by every daemon's backends listener
	OrderPath    = "/agatestep/v1/order"    // served by backend servers: POST and GET
	HealthPath   = "/agatestep/v1/health"   // served by backend servers: GET
)

// Headers of requests that are forwarded to backend servers or relayed between hosts.
const (
	HeaderRequestID = "Agatestep-Request-Id"
	HeaderService   = "Agatestep-Service"
	HeaderBackend   = "Agatestep-Backend"
	HeaderEpoch     = "Agatestep-Epoch"
	HeaderLease     = "Agatestep-Lease"
	HeaderSlice     = "Agatestep-Slice"
	HeaderStartBy   = "Agatestep-Start-By"
	HeaderDeadline  = "Agatestep-Deadline"
	HeaderTimeoutMs = "Agatestep-Timeout-Ms"
	HeaderAttempt   = "Agatestep-Attempt"
	HeaderLoad      = "Agatestep-Load"
)

// Announcement is the heartbeat of a backend server and its request for a lease.
type Announcement struct {
	Backend      string `json:"backend"`
	Service      string `json:"service"`
	Incarnation  string `json:"incarnation"`
	DataCentre   string `json:"data_centre"`
	Address      string `json:"address"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	ChecksOrders bool   `json:"checks_orders"`
	// ClockMs is the backend server's own monotonic clock when it sent this.
	ClockMs int64 `json:"clock_ms"`
	// Epoch is the epoch of the last order that the backend server accepted.
	Epoch uint64 `json:"epoch"`
	// Leaving is set by a backend server that is about to stop.
	Leaving bool        `json:"leaving,omitempty"`
	Load    *LoadReport `json:"load,omitempty"`
}

// LoadReport is what a backend server says of its load; it is a hint with an age.
type LoadReport struct {
	InFlight int   `json:"in_flight"`
	Queued   int   `json:"queued"`
	AgeMs    int64 `json:"age_ms"`
}

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	// LeaseMs is the lease, counted from the moment the announcement was sent.
	// Zero means that no lease is granted now; the server announces again.
	LeaseMs int64  `json:"lease_ms"`
	Lease   uint64 `json:"lease"`
	// AnnounceTo is the backends address of the dispatcher, to announce to
	// directly next time. Empty means any entry host.
	AnnounceTo string `json:"announce_to,omitempty"`
	IntervalMs int64  `json:"interval_ms"`
	Reason     string `json:"reason,omitempty"`
}

// Order gives a backend server the complete set of slices that it owns. An
// order with fewer slices than the one before is a revocation.
type Order struct {
	Service     string  `json:"service"`
	Backend     string  `json:"backend"`
	Incarnation string  `json:"incarnation"`
	Dispatcher  string  `json:"dispatcher"`
	Epoch       uint64  `json:"epoch"`
	Lease       uint64  `json:"lease"`
	Keyed       bool    `json:"keyed"`
	Slices      []Range `json:"slices"`
}

// Range is a range of key hashes, both ends included, in hexadecimal.
type Range struct {
	First string `json:"first"`
	Last  string `json:"last"`
}

// OrderReply confirms or refuses an order, and answers a read of the last order.
type OrderReply struct {
	Accepted    bool    `json:"accepted"`
	Reason      string  `json:"reason,omitempty"`
	Incarnation string  `json:"incarnation"`
	Epoch       uint64  `json:"epoch"`
	Slices      []Range `json:"slices"`
}

// HeaderHash carries the key hash on the relay hop, so that the dispatcher
// finds the slice in its own table even after a split.
const HeaderHash = "Agatestep-Hash"
