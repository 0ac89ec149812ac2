package replication

import "sync/atomic"

// Counters are totals since the start of a node, for metrics.
type Counters struct {
	Elections         uint64 // elections that this replica won
	Proposals         uint64 // commands appended to the log as leader
	Dropped           uint64 // commands refused: not the leader, or too many uncommitted entries
	Unknown           uint64 // commands and membership changes with unknown outcome
	Syncs             uint64 // writes of the hard state or of entries
	EntriesSynced     uint64
	EntriesApplied    uint64
	SnapshotsSaved    uint64 // taken of this replica's state
	SnapshotsRestored uint64 // received from a leader
	MessagesSent      uint64
	MessagesReceived  uint64
	MessagesDropped   uint64 // received while the inbox was full
}

// counters are the values behind Counters, for concurrent use.
type counters struct {
	elections, proposals, proposalsDropped, outcomesUnknown atomic.Uint64
	syncs, entriesSynced, entriesApplied                    atomic.Uint64
	snapshotsSaved, snapshotsRestored                       atomic.Uint64
	messagesSent, messagesReceived, messagesDropped         atomic.Uint64
}

// Counters returns the totals since the start of the node.
func (n *Node) Counters() Counters {
	c := &n.driver.counters
	return Counters{
		Elections:         c.elections.Load(),
		Proposals:         c.proposals.Load(),
		Dropped:           c.proposalsDropped.Load(),
		Unknown:           c.outcomesUnknown.Load(),
		Syncs:             c.syncs.Load(),
		EntriesSynced:     c.entriesSynced.Load(),
		EntriesApplied:    c.entriesApplied.Load(),
		SnapshotsSaved:    c.snapshotsSaved.Load(),
		SnapshotsRestored: c.snapshotsRestored.Load(),
		MessagesSent:      c.messagesSent.Load(),
		MessagesReceived:  c.messagesReceived.Load(),
		MessagesDropped:   c.messagesDropped.Load(),
	}
}
