package replication

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

const (
	// maxAppendBytes is the limit of the entries in one append message, so that a
	// follower that is far behind does not delay heartbeats on the connection.
	// Snapshots are sent in parts of this size for the same reason.
	maxAppendBytes = 1 << 20
	// maxInflightEntries bounds the entries sent to a follower ahead of its
	// acknowledgements.
	maxInflightEntries = 4096
	// maxUncommittedEntries bounds the proposals that a leader accepts while it
	// cannot commit; without the bound, memory grows while a majority is slow.
	maxUncommittedEntries = 16384
	// entryOverheadBytes is the approximate encoded size of an entry's header.
	entryOverheadBytes = 16
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// CoreConfig configures a Core.
type CoreConfig struct {
	ID    ReplicaID
	Group string
	Seed  uint64
	// A follower starts an election after a random number of ticks between
	// ElectionTicksMin and ElectionTicksMax without a leader, and refuses votes
	// for ElectionTicksMin ticks after it heard from one.
	ElectionTicksMin int
	ElectionTicksMax int
	HeartbeatTicks   int
	// IsBarrierCommand reports whether a Barrier covers the command; nil means that
	// barriers cover all commands.
	IsBarrierCommand func(command []byte) bool
}

func (c CoreConfig) validate() error {
	if c.ID == "" || c.Group == "" {
		return errors.New("replication: replica id and group id must be set")
	}
	if c.HeartbeatTicks < 1 || c.ElectionTicksMin < 3*c.HeartbeatTicks || c.ElectionTicksMax <= c.ElectionTicksMin {
		return fmt.Errorf("replication: heartbeat %d and election %d-%d ticks: need heartbeat >= 1, election minimum >= 3 heartbeats and maximum > minimum",
			c.HeartbeatTicks, c.ElectionTicksMin, c.ElectionTicksMax)
	}
	return nil
}

// Core is the protocol state of one replica. It is not safe for concurrent use.
type Core struct {
	cfg  CoreConfig
	rand *rand.Rand

	role   role
	term   uint64
	vote   ReplicaID
	leader ReplicaID

	log       *memoryLog
	snapshot  Snapshot
	maxAppend int // bytes of entries or of a snapshot in one message
	commit    uint64
	delivered uint64 // index of the last committed entry that Ready returned

	electionElapsed int
	electionTimeout int
	// ticksSinceLeader counts the ticks since this replica heard from a leader,
	// was the leader itself, or started. Votes are refused while it is below
	// ElectionTicksMin: within that time a leader may hold a lease that this
	// replica acknowledged.
	ticksSinceLeader int
	heartbeatElapsed int
	votes            map[ReplicaID]bool

	progress map[ReplicaID]*progress
	round    uint64
	reads    []pendingRead
	transfer *transfer

	lastHardState    HardState // hard state as of the last completed Ready
	partialSnapshot  *Snapshot // parts received so far
	receivedSnapshot *Snapshot // complete, not yet returned by Ready
	outbox           []Message
	confirmedReads   []ReadState
}

// ReadState is a confirmed read: the state machine may serve it once it has
// applied the entry at Index.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Ready is the work that the driver must do, in the order of the fields.
type Ready struct {
	// Early holds the messages that may be sent before the sync, because they
	// promise nothing about the durable state of this replica.
	Early []Message
	// Snapshot was received from the leader and must be saved and restored.
	Snapshot *Snapshot
	// Sync is set when HardState and Entries must be synced.
	Sync      bool
	HardState HardState
	Entries   []Entry
	// Messages must be sent after the sync.
	Messages []Message
	// Committed holds the entries to apply.
	Committed []Entry
	// Reads holds the confirmed reads.
	Reads []ReadState
}

func (r Ready) empty() bool {
	return len(r.Early) == 0 && r.Snapshot == nil && !r.Sync && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// NewCore returns a follower with the given durable state.
func NewCore(cfg CoreConfig, p Persisted) (*Core, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, err := newMemoryLog(p.Snapshot, p.Entries, cfg.IsBarrierCommand)
	if err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), log: log, snapshot: p.Snapshot, maxAppend: maxAppendBytes,
		term: p.HardState.Term, vote: p.HardState.Vote}
	// A crash between saving a received snapshot and saving the hard state
	// leaves a term below the log's; no vote can have been sent in the later term.
	if last := max(log.lastTerm(), p.Snapshot.Term); last > c.term {
		c.term, c.vote = last, ""
	}
	c.delivered = p.Snapshot.Index
	c.commit = min(max(p.HardState.Commit, p.Snapshot.Index), log.lastIndex())
	c.lastHardState = c.hardState()
	c.resetTimeout()
	return c, nil
}

func (c *Core) hardState() HardState { return HardState{c.term, c.vote, c.commit} }

func (c *Core) resetTimeout() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicksMin + c.rand.IntN(c.cfg.ElectionTicksMax-c.cfg.ElectionTicksMin+1)
}

// Ready returns the pending work. After doing it, the driver calls Advance.
func (c *Core) Ready() Ready {
	c.startReads()
	rd := Ready{Snapshot: c.receivedSnapshot, HardState: c.hardState(), Reads: c.confirmedReads}
	rd.Entries = c.log.between(c.log.synced, c.log.lastIndex())
	voted := c.term != c.lastHardState.Term || c.vote != c.lastHardState.Vote
	rd.Sync = voted || len(rd.Entries) > 0
	for _, m := range c.outbox {
		if !voted && (m.Type == MessageAppend || m.Type == MessageHeartbeat) {
			rd.Early = append(rd.Early, m)
		} else {
			rd.Messages = append(rd.Messages, m)
		}
	}
	rd.Committed = c.log.between(c.delivered, c.commit)
	c.delivered = c.commit
	c.outbox, c.receivedSnapshot, c.confirmedReads = nil, nil, nil
	return rd
}

// Advance reports that the work of rd is done and durable.
func (c *Core) Advance(rd Ready) {
	if rd.Sync {
		c.lastHardState = rd.HardState
	}
	if n := len(rd.Entries); n > 0 {
		c.log.synced = rd.Entries[n-1].Index
	}
	if c.role == leader {
		c.progress[c.cfg.ID].match = c.log.synced
		c.advanceCommit()
	}
}

// Compact tells the core that a snapshot of the state machine was saved. The log
// keeps up to keep entries before the snapshot for slightly lagging followers.
func (c *Core) Compact(s Snapshot, keep uint64) {
	c.snapshot = s
	if s.Index > keep {
		c.log.compact(s.Index - keep)
	}
}

// snapshotAt returns the snapshot's index, term and members for the state at
// index, without data.
func (c *Core) snapshotAt(index uint64) Snapshot {
	term, _ := c.log.term(index)
	return Snapshot{Index: index, Term: term, Members: c.log.membersAt(index)}
}

func (c *Core) members() []Member { return c.log.latestMembership().members }

func (c *Core) member(id ReplicaID) (Member, bool) {
	members := c.members()
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

// quorumValue returns the highest value that a majority of the voters reaches.
func (c *Core) quorumValue(value func(ReplicaID) uint64) uint64 {
	var values []uint64
	for _, m := range c.members() {
		if m.Voter {
			values = append(values, value(m.ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func (c *Core) send(m Message) {
	m.Group, m.From, m.Term = c.cfg.Group, c.cfg.ID, max(m.Term, c.term)
	c.outbox = append(c.outbox, m)
}
