package replication

import (
	"errors"
	"fmt"
)

// MessageType is the type of a message between replicas.
type MessageType uint8

// The types of messages.
const (
	MessagePreVote MessageType = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageSnapshot
	MessageTimeoutNow
	MessageSnapshotReply
)

// maxSnapshotBytes bounds the size that a snapshot may declare, so that a wrong
// size is detected before memory is allocated for it.
const maxSnapshotBytes = 1 << 30

// Message is sent from one replica to another. The meaning of the fields
// depends on the type.
type Message struct {
	Type  MessageType `msgpack:"y"`
	Group string      `msgpack:"g"`
	From  ReplicaID   `msgpack:"f"`
	To    ReplicaID   `msgpack:"o"`
	Term  uint64      `msgpack:"t,omitempty"`
	// Index and LogTerm are the position before Entries (append), the last
	// position of the log (votes), or the acknowledged index (append reply).
	Index   uint64 `msgpack:"i,omitempty"`
	LogTerm uint64 `msgpack:"l,omitempty"`
	Commit  uint64 `msgpack:"c,omitempty"`
	// Round is the leader's heartbeat round; replies return it.
	Round  uint64 `msgpack:"r,omitempty"`
	Reject bool   `msgpack:"x,omitempty"`
	// Hint is the index after which a rejecting follower suggests to continue.
	Hint uint64 `msgpack:"h,omitempty"`
	// Transfer marks a vote request that is part of a leadership transfer.
	Transfer bool    `msgpack:"n,omitempty"`
	Entries  []Entry `msgpack:"e,omitempty"`
	// Snapshot carries a part of the state in Data, which begins at Offset; the
	// whole state has Size bytes. A snapshot reply returns the offset that the
	// follower expects next.
	Snapshot *Snapshot `msgpack:"s,omitempty"`
	Offset   uint64    `msgpack:"p,omitempty"`
	Size     uint64    `msgpack:"z,omitempty"`
}

// Encode returns the message in msgpack.
func (m Message) Encode() ([]byte, error) { return Marshal(m) }

// Decode parses and checks an encoded message.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("replication: decoding message: %w", err)
	}
	if err := m.validate(); err != nil {
		return Message{}, err
	}
	return m, nil
}

func (m Message) validate() error {
	if m.Type < MessagePreVote || m.Type > MessageSnapshotReply {
		return fmt.Errorf("replication: unknown message type %d", m.Type)
	}
	if (m.Type == MessageSnapshot) != (m.Snapshot != nil) {
		return fmt.Errorf("replication: message type %d with snapshot %t", m.Type, m.Snapshot != nil)
	}
	if m.Snapshot != nil && (m.Snapshot.Index == 0 || len(m.Snapshot.Members) == 0) {
		return errors.New("replication: snapshot without index or members")
	}
	if m.Snapshot != nil && (m.Size > maxSnapshotBytes || m.Offset > m.Size || uint64(len(m.Snapshot.Data)) > m.Size-m.Offset) {
		return fmt.Errorf("replication: snapshot part of %d bytes at %d exceeds the size of %d", len(m.Snapshot.Data), m.Offset, m.Size)
	}
	return CheckEntries(m.Index, m.Entries)
}

// CheckEntries verifies that the entries follow index without a gap, that terms
// do not decrease, and that kinds are known.
func CheckEntries(index uint64, entries []Entry) error {
	term := uint64(0)
	for _, e := range entries {
		index++
		if e.Index != index || e.Term < term || e.Kind < EntryCommand || e.Kind > EntryMembers {
			return fmt.Errorf("replication: entry %d (term %d, kind %d) is out of order or of unknown kind", e.Index, e.Term, e.Kind)
		}
		term = e.Term
	}
	return nil
}

// EncodeMembers returns the data of an EntryMembers entry.
func EncodeMembers(members []Member) ([]byte, error) { return Marshal(members) }

// DecodeMembers parses the data of an EntryMembers entry.
func DecodeMembers(data []byte) ([]Member, error) {
	var members []Member
	err := Unmarshal(data, &members)
	return members, err
}
