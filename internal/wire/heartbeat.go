package wire

// Heartbeat is the state that a backend server reports about itself, in deployments
// where heartbeat replies, instead of orders, grant the keys to backend servers.
type Heartbeat struct {
	Service string `json:"service"`
	Backend string `json:"backend"`
	// Born is the wall-clock start time of the process in Unix milliseconds.
	Born int64 `json:"born"`
	// Sequence increases with each heartbeat of a process, so that a reordered one is
	// recognised.
	Sequence   uint64 `json:"sequence"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Slots      int    `json:"slots"`
	Leaving    bool   `json:"leaving,omitempty"`
	// ColdMs is the remaining warm-up time of the backend server in milliseconds.
	ColdMs int64 `json:"cold_ms,omitempty"`
	// Held are the ranges that the backend server owns or still has requests of.
	Held []KeyRange `json:"holds,omitempty"`
	// Released are the ranges that it released since its last acknowledged heartbeat.
	Released []KeyRange `json:"released,omitempty"`
	// NoKeyLists is set if the heartbeat lacks one of these lists, which those of servers with
	// keys always have.
	NoKeyLists bool `json:"no_key_lists,omitempty"`
}

// KeyRange is an inclusive range of key hashes.
type KeyRange struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	// Epoch is the fencing token of the grant; zero in a release.
	Epoch uint64 `json:"epoch,omitempty"`
	// Handover is the token of the previous owner, which released the range. With it
	// the next owner takes over the state that the previous one had in memory.
	Handover string `json:"handover,omitempty"`
}

// HeartbeatReply is the reply to Heartbeat and Deregister.
type HeartbeatReply struct {
	// Acked means that the message of the backend server is recorded.
	Acked bool `json:"acked"`
	// Grant means that the backend server is granted a lease on Granted, and on no other
	// ranges, for LeaseMs milliseconds from when it sent the heartbeat.
	Grant   bool       `json:"grant,omitempty"`
	Granted []KeyRange `json:"holds,omitempty"`
	LeaseMs int64      `json:"lease_ms,omitempty"`
	// Leader is the host of the leader, if it is known.
	Leader string `json:"leader,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Refused means that the message breaks a rule, so that every host refuses it.
	Refused bool `json:"refused,omitempty"`
}

// Deregister removes a backend server that is leaving permanently.
type Deregister struct {
	Backend string `json:"backend"`
}

// PermitRequest requests a permit to send one request to a backend server, or polls for the
// decision on an earlier request. It is sent to the host that manages the queue of the
// backend server. The reply may take a tenth of a second.
type PermitRequest struct {
	Service string `json:"service"`
	Backend string `json:"backend"`
	Born    int64  `json:"born"`
	// ID is chosen by the entry host and unique among all hosts.
	ID uint64 `json:"id"`
	// IsPoll is true when the host polls for the decision on an earlier PermitRequest.
	IsPoll bool `json:"again,omitempty"`
	// Rank is the priority of the request; 0 is the highest.
	Rank int `json:"rank,omitempty"`
	// TargetMs is the time until the latency target of the request, after which a
	// response is worth less, and LeftMs that until its deadline, both in milliseconds
	// from the sending.
	TargetMs int64 `json:"target_ms"`
	LeftMs   int64 `json:"left_ms"`
	// ServiceMs is the mean service time of such requests in milliseconds.
	ServiceMs int64 `json:"service_ms"`
	// Class names the kind of request. It is sent where queues are ordered by cost.
	Class string `json:"class,omitempty"`
	// PollMs is how long the reply may be delayed, in milliseconds; the host polls again
	// after it.
	PollMs int64 `json:"poll_ms"`
	// Sent is true when the host has sent the request already. The issuer counts it and replies
	// at once.
	Sent bool `json:"sent,omitempty"`
}

// PermitState is the state of a permit request.
type PermitState string

// The states of a permit request.
const (
	PermitGranted PermitState = "granted"
	PermitWaiting PermitState = "waiting" // queued; poll again at once
	PermitRefused PermitState = "refused"
	// PermitUnavailable means that this host cannot decide for the backend server now.
	PermitUnavailable PermitState = "unable"
	// PermitWrongIssuer means that another host now grants the permits for the backend
	// server; a newer routing table names it.
	PermitWrongIssuer PermitState = "elsewhere"
)

// PermitReply is the reply to PermitRequest.
type PermitReply struct {
	State PermitState `json:"state"`
	// WaitMs is the time in milliseconds after which a refused caller may retry.
	WaitMs int64  `json:"wait_ms,omitempty"`
	Reason string `json:"reason,omitempty"`
	// NoRoom is set if the server had no room for a request that was sent already.
	NoRoom bool `json:"no_room,omitempty"`
}

// PermitRelease reports the end of a request that was sent, or withdraws a permit request.
type PermitRelease struct {
	Service string `json:"service"`
	Backend string `json:"backend"`
	Born    int64  `json:"born"`
	ID      uint64 `json:"id"`
	// TookMs is the time in milliseconds that the backend server worked on the request;
	// zero if it did not run.
	TookMs int64 `json:"took_ms,omitempty"`
	// Slowdown is the service time of the backend server relative to the typical one, as it
	// reported with the response; zero if it did not. It is sent where queues are ordered by cost.
	Slowdown float64 `json:"slowdown,omitempty"`
}

// ReadRevision asks the leader for the minimum revision that a replica must have
// applied to serve a linearizable read.
type ReadRevision struct{}

// ReadRevisionReply is the reply to ReadRevision. If OK is true, Revision includes every
// change that was acknowledged before the call.
type ReadRevisionReply struct {
	Revision uint64 `json:"revision,omitempty"`
	Leader   string `json:"leader,omitempty"`
	Reason   string `json:"reason,omitempty"`
	OK       bool   `json:"ok"`
}

// ReplicaHello announces a control replica to the others until it is a voter.
type ReplicaHello struct {
	Replica string `json:"replica"`
	// Empty means that the replica holds no log.
	Empty bool `json:"empty"`
}

// ReplicaHelloReply describes the called replica and the group as it sees it.
type ReplicaHelloReply struct {
	Replica string `json:"replica"`
	Empty   bool   `json:"empty"`
	// Leader is the replica id of the leader, if there is one.
	Leader string `json:"leader,omitempty"`
	// Members are the replica ids of the group.
	Members []string `json:"members,omitempty"`
}
