package replication

import (
	"strings"
)

// ReplicaID identifies a replica: the host name, a slash, and the incarnation
// id that was generated when the replica's data folder was created.
type ReplicaID string

// MakeReplicaID joins a host name and an incarnation id.
func MakeReplicaID(host, incarnation string) ReplicaID {
	return ReplicaID(host + "/" + incarnation)
}

// Host returns the host name within the id.
func (id ReplicaID) Host() string {
	host, _, _ := strings.Cut(string(id), "/")
	return host
}

// Member is a replica of the group. Learners receive the log but neither vote
// nor count towards a majority.
type Member struct {
	ID    ReplicaID `msgpack:"i,omitempty"`
	Voter bool      `msgpack:"v,omitempty"`
}

// EntryKind says what an entry carries.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand EntryKind = iota + 1 // Data is a command of the state machine
	EntryNoop                         // the first entry of a leader
	EntryMembers                      // Data is the encoded list of members
)

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64    `msgpack:"i,omitempty"`
	Term  uint64    `msgpack:"t,omitempty"`
	Kind  EntryKind `msgpack:"k,omitempty"`
	Data  []byte    `msgpack:"d,omitempty"`
}

// HardState is what a replica must have synced before it sends a vote or an
// acknowledgement. Commit is a hint that saves work after a restart; a lower
// value than the true one is safe.
type HardState struct {
	Term   uint64    `msgpack:"t,omitempty"`
	Vote   ReplicaID `msgpack:"v,omitempty"`
	Commit uint64    `msgpack:"c,omitempty"`
}

// Snapshot is the state of the group up to and including Index.
type Snapshot struct {
	Index   uint64   `msgpack:"i,omitempty"`
	Term    uint64   `msgpack:"t,omitempty"`
	Members []Member `msgpack:"m,omitempty"`
	Data    []byte   `msgpack:"d,omitempty"`
}

// Identity identifies the replica that a store belongs to.
type Identity struct {
	Group       string
	Host        string
	Incarnation string
}

// ID returns the replica id of the identity.
func (i Identity) ID() ReplicaID { return MakeReplicaID(i.Host, i.Incarnation) }

// Persisted is the durable state of a replica. Entries follow the snapshot
// without a gap.
type Persisted struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Empty reports whether nothing was ever stored.
func (p Persisted) Empty() bool {
	return p.HardState == HardState{} && p.Snapshot.Index == 0 && len(p.Entries) == 0
}

// Storage keeps the durable state of one replica. After an error from Append or
// SaveSnapshot, the store must refuse all further writes, because it is unknown
// what reached the disk.
type Storage interface {
	// Identity returns the group, host and incarnation of the store.
	Identity() Identity
	// Load returns the durable state.
	Load() (Persisted, error)
	// Append stores the hard state and the entries and returns once they are
	// synced. The entries replace all stored entries from the first index on.
	Append(HardState, []Entry) error
	// SaveSnapshot makes the snapshot durable and drops the entries that it
	// covers. Later entries are kept only if the log holds an entry with the
	// index and term of the snapshot.
	SaveSnapshot(Snapshot) error
}

// Transport sends messages to other replicas. Send is best effort, never blocks
// and must not modify the message.
type Transport interface {
	Send(Message)
}

// StateMachine is the state that the log is applied to. Only the goroutine of
// the Node calls it.
type StateMachine interface {
	// Apply executes a committed command; it must be deterministic.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot taken at index.
	Restore(index uint64, snapshot []byte) error
}
