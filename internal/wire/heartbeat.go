package wire

// Heartbeat is what a backend server that gets its keys in the answers to its
// heartbeats says of itself.
type Heartbeat struct {
	Service string `json:"service"`
	Backend string `json:"backend"`
	// Born is the wall-clock start of the process in Unix milliseconds.
	Born int64 `json:"born"`
	// Sequence rises with each heartbeat of a process, so that a late one is known.
	Sequence   uint64 `json:"sequence"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Slots      int    `json:"slots"`
	Leaving    bool   `json:"leaving,omitempty"`
	// ColdMs is how much longer the backend server is cold.
	ColdMs int64 `json:"cold_ms,omitempty"`
	// Holds are the ranges that it holds or still works on.
	Holds []KeyRange `json:"holds,omitempty"`
	// Released are the ranges that it gave up since its last acknowledged heartbeat.
	Released []KeyRange `json:"released,omitempty"`
}

// KeyRange is a range of key hashes, both ends included.
type KeyRange struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	// Epoch is the fencing token of the grant; zero in a release.
	Epoch uint64 `json:"epoch,omitempty"`
	// Handover is the token of the owner that gave the range up. The next owner
	// takes over with it what the other one had in memory.
	Handover string `json:"handover,omitempty"`
}

// HeartbeatReply answers a Heartbeat or Deregister.
type HeartbeatReply struct {
	// Acked means that what the backend server said is recorded.
	Acked bool `json:"acked"`
	// Grant means that Holds is everything the backend server is to hold, for
	// HoldMs from when it sent the heartbeat.
	Grant  bool       `json:"grant,omitempty"`
	Holds  []KeyRange `json:"holds,omitempty"`
	HoldMs int64      `json:"lease_ms,omitempty"`
	// Leader names the host that leads, when it is known.
	Leader string `json:"leader,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Refused means that a rule refuses the message, wherever it is sent.
	Refused bool `json:"refused,omitempty"`
}

// Deregister says that a backend server leaves for good.
type Deregister struct {
	Backend string `json:"backend"`
}

// PermitAsk asks the host that keeps the queue of a backend server for leave to send one
// request to it, or asks again about such an ask. The answer may take a tenth of a second.
type PermitAsk struct {
	Service string `json:"service"`
	Backend string `json:"backend"`
	Born    int64  `json:"born"`
	// ID is chosen by the entry host and unique among all hosts.
	ID uint64 `json:"id"`
	// Again is set when the host asks about the same request again.
	Again bool `json:"again,omitempty"`
	// Rank is the priority of the request, 0 first.
	Rank int `json:"rank,omitempty"`
	// TargetMs is the time until an answer loses part of its use, LeftMs until its
	// caller gives up, both from now.
	TargetMs int64 `json:"target_ms"`
	LeftMs   int64 `json:"left_ms"`
	// ServiceMs is the usual time of such requests.
	ServiceMs int64 `json:"service_ms"`
	// PollMs is how long the answer may take; the host asks again after it.
	PollMs int64 `json:"poll_ms"`
}

// PermitState says what became of an ask.
type PermitState string

// The states of an ask.
const (
	PermitGranted PermitState = "granted"
	PermitWaiting PermitState = "waiting" // ask again at once
	PermitRefused PermitState = "refused"
	// PermitUnable means that this host cannot answer for the backend server now.
	PermitUnable PermitState = "unable"
	// PermitElsewhere means that another host gives the permits for the backend server
	// now; a newer table says which.
	PermitElsewhere PermitState = "elsewhere"
)

// PermitReply answers PermitAsk.
type PermitReply struct {
	State PermitState `json:"state"`
	// WaitMs is the time after which a refused caller may return.
	WaitMs int64  `json:"wait_ms,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// PermitDone reports the end of a request that was sent, or takes an ask back.
type PermitDone struct {
	Service string `json:"service"`
	Backend string `json:"backend"`
	Born    int64  `json:"born"`
	ID      uint64 `json:"id"`
	// TookMs is the time that the backend server worked on it; zero if it did not.
	TookMs int64 `json:"took_ms,omitempty"`
}

// ReadRevision asks the leader how new the state of a replica must be to be read from.
type ReadRevision struct{}

// ReadRevisionReply names a revision that has all that was acknowledged before the call.
type ReadRevisionReply struct {
	Revision uint64 `json:"revision,omitempty"`
	Leader   string `json:"leader,omitempty"`
	Reason   string `json:"reason,omitempty"`
	OK       bool   `json:"ok"`
}

// ReplicaHello is how a control replica makes itself known to the others, until
// it is a voter.
type ReplicaHello struct {
	Replica string `json:"replica"`
	// Empty means that the replica holds no log.
	Empty bool `json:"empty"`
}

// ReplicaHelloReply tells what the called replica knows.
type ReplicaHelloReply struct {
	Replica string `json:"replica"`
	Empty   bool   `json:"empty"`
	// Leader is the replica id of the leader, if there is one.
	Leader string `json:"leader,omitempty"`
	// Members are the replica ids of the group.
	Members []string `json:"members,omitempty"`
}
