package wire

import "github.com/agatestep/agatestep/internal/command"

// Methods of the jsonrpc2 protocol between daemons.
const (
	MethodReplicationStep = "replication.step"   // notification, ReplicationStep
	MethodSessionRenew    = "session.renew"      // SessionRenew -> SessionReply
	MethodTableWatch      = "table.watch"        // TableWatch -> TableReply
	MethodPropose         = "control.propose"    // Proposal -> ProposalReply
	MethodOperate         = "control.operate"    // Proposal -> ProposalReply
	MethodAnnounce        = "backend.announce"   // Announcement -> AnnounceReply
	MethodTimelineRead    = "timeline.read"      // TimelineRead -> TimelineReply
	MethodReplace         = "control.replace"    // ReplaceReplica -> ReplaceReply
	MethodHeartbeat       = "backend.heartbeat"  // Heartbeat -> HeartbeatReply
	MethodDeregister      = "backend.deregister" // Deregister -> HeartbeatReply
	MethodPermitAsk       = "permit.ask"         // PermitAsk -> PermitReply
	MethodPermitDone      = "permit.done"        // notification, PermitDone
	MethodReadRevision    = "state.revision"     // ReadRevision -> ReadRevisionReply
	MethodTableBarrier    = "table.barrier"      // BarrierAsk -> BarrierReply
	MethodReplicaHello    = "replica.hello"      // ReplicaHello -> ReplicaHelloReply
)

// ReplicationStep carries one encoded message of the replicated log.
type ReplicationStep struct {
	Message []byte `json:"message"`
}

// SessionRenew opens or renews the session of an entry host.
type SessionRenew struct {
	Host command.HostJoined `json:"host"`
	// Instance identifies the process; a restarted process has a new one.
	Instance string `json:"instance"`
	// Applied is the revision of the routing table that the host routes by.
	Applied uint64 `json:"applied"`
	// Closing ends the session in an orderly way.
	Closing bool         `json:"closing,omitempty"`
	Loads   []SliceLoads `json:"loads,omitempty"`
}

// SliceLoads reports the requests per slice that one dispatcher served since its last report.
type SliceLoads struct {
	Service string       `json:"service"`
	Backend string       `json:"backend"`
	Slices  []SliceCount `json:"slices,omitempty"`
	Keys    []KeyCount   `json:"keys,omitempty"`
	// BusyMs is the time that slots of the backend server were busy.
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

// SessionReply grants a session, counted by the host from when it sent the renewal.
type SessionReply struct {
	Granted bool   `json:"granted"`
	TTLMs   int64  `json:"ttl_ms"`
	Closed  bool   `json:"closed,omitempty"` // answers a renewal with Closing
	Leader  string `json:"leader,omitempty"` // host to renew with when not granted
	Reason  string `json:"reason,omitempty"`
	// Replicas are the peer addresses of the control replicas, where replicas are
	// named by their addresses.
	Replicas []string `json:"replicas,omitempty"`
	// Revision is the revision of the leader's state.
	Revision uint64 `json:"revision"`
}

// ReplaceReplica asks the leader to replace a control replica.
type ReplaceReplica struct {
	Old string `json:"old"`
	New string `json:"new"`
}

// ReplaceReply answers ReplaceReplica.
type ReplaceReply struct {
	Done   bool   `json:"done"`
	Leader string `json:"leader,omitempty"` // host to ask when this replica does not lead
	Reason string `json:"reason,omitempty"`
	// Refused means that a rule refused the replacement; nothing changed.
	Refused bool `json:"refused,omitempty"`
}

// TimelineRead asks for the events of one process after a stamp.
type TimelineRead struct {
	Since uint64 `json:"since"`
}

// TableWatch asks for the changes after Revision; the reply may take up to the poll time.
type TableWatch struct {
	Host     string `json:"host"`
	Revision uint64 `json:"revision"`
	// Any is set by a host that takes tables from any replica, because it confirms their
	// age by itself.
	Any bool `json:"any,omitempty"`
}

// TableReply carries a delta or a snapshot, both in the encoding of package table.
type TableReply struct {
	Revision uint64 `json:"revision"`
	// Current is the leader's revision, which a large change is sent apart from.
	Current  uint64 `json:"current,omitempty"`
	Snapshot []byte `json:"snapshot,omitempty"`
	Delta    []byte `json:"delta,omitempty"`
	// More are further deltas, each for the table that the one before leads to.
	More   [][]byte `json:"more,omitempty"`
	Leader string   `json:"leader,omitempty"`
	Reason string   `json:"reason,omitempty"`
	// HeldMs is how long the replica held the watch before it answered.
	HeldMs int64 `json:"held_ms,omitempty"`
}

// BarrierAsk asks a control replica which revision a table must have reached.
type BarrierAsk struct {
	// Group names the voters that the asking host knows.
	Group uint64 `json:"group,omitempty"`
}

// BarrierReply holds what replication.Barrier says.
type BarrierReply struct {
	Replica string `json:"replica"`
	Barrier uint64 `json:"barrier"`
	// Group is a hash of the voters. Voters is left out if the asking host knows them.
	Group  uint64   `json:"group"`
	Voters []string `json:"voters,omitempty"`
}

// Proposal carries an encoded command.Command to the leader.
type Proposal struct {
	Command []byte `json:"command"`
	// WaitInForce makes the reply wait until the revision is in force.
	WaitInForce bool `json:"wait_in_force,omitempty"`
	// WaitMs bounds that wait.
	WaitMs int64 `json:"wait_ms,omitempty"`
}

// ProposalStatus says what is known of a proposal.
type ProposalStatus string

// The states of a proposal.
const (
	ProposalApplied   ProposalStatus = "applied"
	ProposalNotLeader ProposalStatus = "not-leader" // certainly not applied; ask Leader
	ProposalDropped   ProposalStatus = "dropped"    // certainly not applied
	ProposalUnknown   ProposalStatus = "unknown"    // may be applied; sending again is safe
)

// ProposalReply answers a proposal.
type ProposalReply struct {
	Status  ProposalStatus  `json:"status"`
	Leader  string          `json:"leader,omitempty"`
	Result  *command.Result `json:"result,omitempty"`
	InForce bool            `json:"in_force"`
	// Pending names the hosts that have neither acknowledged the revision nor lost their session.
	Pending []string `json:"pending,omitempty"`
	Reason  string   `json:"reason,omitempty"`
}
