package wire

// Paths of the HTTP API between daemons and backend servers.
const (
	AnnouncePath = "/agatestep/v1/announce" // served by the backends listener of every daemon
	OrderPath    = "/agatestep/v1/order"    // served by backend servers: POST and GET
	HealthPath   = "/agatestep/v1/health"   // served by backend servers: GET
)

// Headers of requests that are forwarded to backend servers or relayed between hosts.
const (
	HeaderRequestID = "Agatestep-Request-Id"
	// HeaderOrganisation is the name of the caller's organisation.
	HeaderOrganisation = "Agatestep-Organisation"

	HeaderService   = "Agatestep-Service"
	HeaderBackend   = "Agatestep-Backend"
	HeaderEpoch     = "Agatestep-Epoch"      // epoch of the ownership that the sender relies on
	HeaderLease     = "Agatestep-Lease"      // number of the backend server's lease
	HeaderSlice     = "Agatestep-Slice"      // first key hash of the slice, in hexadecimal
	HeaderStartBy   = "Agatestep-Start-By"   // latest start of the request, in ms of the backend server's clock
	HeaderDeadline  = "Agatestep-Deadline"   // deadline of the request, in ms of the backend server's clock
	HeaderTimeoutMs = "Agatestep-Timeout-Ms" // time until the deadline, in ms
	HeaderAttempt   = "Agatestep-Attempt"    // number of the attempt
	HeaderLoad      = "Agatestep-Load"       // LoadReport as JSON, in responses
)

// Announcement is the message with which a backend server regularly requests a lease.
type Announcement struct {
	Backend      string `json:"backend"`
	Service      string `json:"service"`
	Incarnation  string `json:"incarnation"`
	DataCentre   string `json:"data_centre"`
	Address      string `json:"address"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	ChecksOrders bool   `json:"checks_orders"`
	// ClockMs is the backend server's monotonic clock when it sent the announcement,
	// in milliseconds.
	ClockMs int64 `json:"clock_ms"`
	// Epoch is the epoch of the last order that the backend server accepted.
	Epoch uint64 `json:"epoch"`
	// Leaving is true when the backend server is about to stop.
	Leaving bool        `json:"leaving,omitempty"`
	Load    *LoadReport `json:"load,omitempty"`
}

// LoadReport is the load that a backend server reports; it is a hint that was
// current AgeMs milliseconds ago.
type LoadReport struct {
	InFlight int   `json:"in_flight"`
	Queued   int   `json:"queued"`
	AgeMs    int64 `json:"age_ms"`
}

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	// LeaseMs is the length of the lease in milliseconds, counted from when the
	// announcement was sent. Zero means that no lease is granted now and that the
	// backend server must announce again.
	LeaseMs int64 `json:"lease_ms"`
	// Lease is the number of the lease.
	Lease uint64 `json:"lease"`
	// AnnounceTo is the backends address of the dispatcher, to which the next
	// announcement should be sent. Empty means any entry host.
	AnnounceTo string `json:"announce_to,omitempty"`
	// IntervalMs is the time until the next announcement, in milliseconds.
	IntervalMs int64  `json:"interval_ms"`
	Reason     string `json:"reason,omitempty"`
}

// OwnershipOrder tells a backend server the complete set of slices that it owns. An order
// with fewer slices than the previous one revokes the others.
type OwnershipOrder struct {
	Service     string  `json:"service"`
	Backend     string  `json:"backend"`
	Incarnation string  `json:"incarnation"`
	Dispatcher  string  `json:"dispatcher"`
	Epoch       uint64  `json:"epoch"`
	Lease       uint64  `json:"lease"`
	Keyed       bool    `json:"keyed"`
	Slices      []Range `json:"slices"`
}

// Range is an inclusive range of key hashes, in hexadecimal.
type Range struct {
	First string `json:"first"`
	Last  string `json:"last"`
}

// OwnershipOrderReply accepts or refuses an order. It is also the reply to a read of the
// last accepted order.
type OwnershipOrderReply struct {
	Accepted    bool    `json:"accepted"`
	Reason      string  `json:"reason,omitempty"`
	Incarnation string  `json:"incarnation"`
	Epoch       uint64  `json:"epoch"`
	Slices      []Range `json:"slices"`
}

// HeaderHash carries the key hash, in hexadecimal, of a relayed request, so that the
// dispatcher finds the slice in its own routing table even after a split.
const HeaderHash = "Agatestep-Hash"
