package wire

import "github.com/agatestep/agatestep/internal/command"

// Methods of the jsonrpc2 protocol between daemons.
const (
	MethodReplicationStep = "replication.step"   // notification, ReplicationStep
	MethodSessionRenew    = "session.renew"      // SessionRenew -> SessionReply
	MethodTableWatch      = "table.watch"        // TableWatch -> TableReply
	MethodPropose         = "control.propose"    // Proposal -> ProposalReply
	MethodOperatorCommand = "control.operate"    // Proposal -> ProposalReply
	MethodAnnounce        = "backend.announce"   // Announcement -> AnnounceReply
	MethodTimelineRead    = "timeline.read"      // TimelineRead -> TimelineReply
	MethodReplace         = "control.replace"    // ReplaceReplica -> ReplaceReply
	MethodHeartbeat       = "backend.heartbeat"  // Heartbeat -> HeartbeatReply
	MethodDeregister      = "backend.deregister" // Deregister -> HeartbeatReply
	MethodPermitRequest   = "permit.ask"         // PermitRequest -> PermitReply
	MethodPermitRelease   = "permit.done"        // notification, PermitRelease
	MethodReadRevision    = "state.revision"     // ReadRevision -> ReadRevisionReply
	MethodTableBarrier    = "table.barrier"      // BarrierRequest -> BarrierReply
	MethodReplicaHello    = "replica.hello"      // ReplicaHello -> ReplicaHelloReply
)

// ReplicationStep carries one encoded message of the replicated log.
type ReplicationStep struct {
	Message []byte `json:"message"`
}

// SessionRenew opens, renews or closes the session of an entry host.
type SessionRenew struct {
	Host command.HostJoined `json:"host"`
	// Instance identifies the process; a restarted process has a new one.
	Instance string `json:"instance"`
	// Applied is the revision of the routing table that the host uses.
	Applied uint64 `json:"applied"`
	// Closing asks to close the session.
	Closing bool         `json:"closing,omitempty"`
	Loads   []SliceLoads `json:"loads,omitempty"`
}

// SliceLoads reports the requests to one backend server, by slice and by hot key, that
// the sender dispatched since its last report.
type SliceLoads struct {
	Service string       `json:"service"`
	Backend string       `json:"backend"`
	Slices  []SliceCount `json:"slices,omitempty"`
	Keys    []KeyCount   `json:"keys,omitempty"`
	// BusyMs is the time, summed over the slots of the backend server, that they were
	// busy, in milliseconds.
	BusyMs int64 `json:"busy_ms"`
}

// SliceCount counts the requests of one slice.
type SliceCount struct {
	Start uint64 `json:"start"`
	Count uint64 `json:"count"`
}

// KeyCount counts the requests of one hot key, by its hash.
type KeyCount struct {
	Hash  uint64 `json:"hash"`
	Count uint64 `json:"count"`
}

// SessionReply is the reply to SessionRenew. A granted session is valid for TTLMs
// milliseconds from when the host sent the renewal.
type SessionReply struct {
	Granted bool   `json:"granted"`
	TTLMs   int64  `json:"ttl_ms"`
	Closed  bool   `json:"closed,omitempty"` // replies to a renewal with Closing
	Leader  string `json:"leader,omitempty"` // host to renew with when not granted
	Reason  string `json:"reason,omitempty"`
	// Replicas are the peer addresses of the control replicas, in deployments that
	// identify replicas by their addresses.
	Replicas []string `json:"replicas,omitempty"`
	// Revision is the revision of the leader's state.
	Revision uint64 `json:"revision"`
}

// ReplaceReplica asks the leader to replace a control replica.
type ReplaceReplica struct {
	Old string `json:"old"`
	New string `json:"new"`
}

// ReplaceReply is the reply to ReplaceReplica.
type ReplaceReply struct {
	Done   bool   `json:"done"`
	Leader string `json:"leader,omitempty"` // host to retry with when this replica does not lead
	Reason string `json:"reason,omitempty"`
	// Refused means that the replacement breaks a rule; nothing changed.
	Refused bool `json:"refused,omitempty"`
}

// TimelineRead asks for the events of one process after a stamp.
type TimelineRead struct {
	Since uint64 `json:"since"`
}

// TableWatch is a long poll for the changes of the routing table after Revision.
type TableWatch struct {
	Host     string `json:"host"`
	Revision uint64 `json:"revision"`
	// AnyReplica is true when the host accepts tables from any replica, because it checks by
	// itself, with BarrierRequest, that they are recent.
	AnyReplica bool `json:"any,omitempty"`
}

// TableReply is the reply to TableWatch. It carries deltas or a snapshot, in the
// encoding of package table.
type TableReply struct {
	Revision uint64 `json:"revision"`
	// Current is the leader's revision. It can be above Revision, because a large change
	// is sent in several steps.
	Current  uint64 `json:"current,omitempty"`
	Snapshot []byte `json:"snapshot,omitempty"`
	Delta    []byte `json:"delta,omitempty"`
	// More are further deltas, each to be applied after the previous one.
	More   [][]byte `json:"more,omitempty"`
	Leader string   `json:"leader,omitempty"`
	Reason string   `json:"reason,omitempty"`
	// HeldMs is how long the replica held the watch before it replied, in milliseconds.
	HeldMs int64 `json:"held_ms,omitempty"`
}

// BarrierRequest asks a control replica for the revision that a current table must have
// reached.
type BarrierRequest struct {
	// Group is a hash of the voters that the asking host knows.
	Group uint64 `json:"group,omitempty"`
	// AskDataCentre asks for the data centre of the control host.
	AskDataCentre bool `json:"ask_dc,omitempty"`
}

// BarrierReply is the reply to BarrierRequest, with the fields of replication.Barrier.
type BarrierReply struct {
	Replica string `json:"replica"`
	Barrier uint64 `json:"barrier"`
	// Group is a hash of the voters. Voters is left out if the asking host already knows
	// them.
	Group  uint64   `json:"group"`
	Voters []string `json:"voters,omitempty"`
	// DataCentre is that of the control host, if it was asked for.
	DataCentre string `json:"dc,omitempty"`
}

// Proposal carries an encoded command.Command to the leader.
type Proposal struct {
	Command []byte `json:"command"`
	// WaitInForce delays the reply until the revision is in force.
	WaitInForce bool `json:"wait_in_force,omitempty"`
	// WaitMs bounds that wait, in milliseconds.
	WaitMs int64 `json:"wait_ms,omitempty"`
}

// ProposalStatus is what is known of a proposal.
type ProposalStatus string

// The states of a proposal.
const (
	ProposalApplied   ProposalStatus = "applied"
	ProposalNotLeader ProposalStatus = "not-leader" // certainly not applied; retry with Leader
	ProposalDropped   ProposalStatus = "dropped"    // certainly not applied
	ProposalUnknown   ProposalStatus = "unknown"    // may be applied; a retry is safe
)

// ProposalReply is the reply to Proposal.
type ProposalReply struct {
	Status  ProposalStatus  `json:"status"`
	Leader  string          `json:"leader,omitempty"`
	Result  *command.Result `json:"result,omitempty"`
	InForce bool            `json:"in_force"`
	// Pending are the hosts that have neither acknowledged the revision nor lost their
	// session.
	Pending []string `json:"pending,omitempty"`
	Reason  string   `json:"reason,omitempty"`
}
