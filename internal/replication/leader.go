package replication

// progress is the leader's view of the replication state of a member.
type progress struct {
	match uint64 // index of the last entry known to be durable on the member
	next  uint64 // index of the next entry to send
	// probing is set while the end of the member's log is unknown; then one
	// append at a time is sent, and paused is set while it is unanswered.
	probing bool
	paused  bool
	// snapshot is being sent in parts; the member has the first snapshotOffset
	// bytes.
	snapshot          *Snapshot
	snapshotOffset    uint64
	snapshotTicks     int    // since the last part was sent
	ackedRound        uint64 // last heartbeat round that the member acknowledged
	ticksSinceMessage int
}

type pendingRead struct {
	id    uint64
	round uint64 // heartbeat round that confirms the read; zero until one is started
	index uint64
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes = leader, c.cfg.ID, nil
	c.progress = map[ReplicaID]*progress{}
	c.heartbeatElapsed = 0
	c.updateProgress()
	c.appendAsLeader(EntryNoop, nil)
	c.startHeartbeatRound()
}

// updateProgress adds and removes progress records to match the member list.
func (c *Core) updateProgress() {
	current := map[ReplicaID]*progress{}
	for _, m := range c.members() {
		p := c.progress[m.ID]
		if p == nil {
			p = &progress{next: c.log.lastIndex() + 1, probing: true}
		}
		current[m.ID] = p
	}
	if current[c.cfg.ID] == nil { // a leader that is being removed
		current[c.cfg.ID] = &progress{}
	}
	c.progress = current
}

func (c *Core) appendAsLeader(kind EntryKind, data []byte) uint64 {
	index := c.log.lastIndex() + 1
	// Only a member list can fail to decode, and this leader encoded it.
	if err := c.log.append([]Entry{{Index: index, Term: c.term, Kind: kind, Data: data}}); err != nil {
		panic(err)
	}
	return index
}

// startHeartbeatRound starts a heartbeat round with every member.
func (c *Core) startHeartbeatRound() {
	c.round++
	c.progress[c.cfg.ID].ackedRound = c.round
	for _, m := range c.members() {
		if m.ID != c.cfg.ID {
			p := c.progress[m.ID]
			c.send(Message{Type: MessageHeartbeat, To: m.ID, Round: c.round, Commit: min(p.match, c.commit)})
			c.replicate(m.ID, false)
		}
	}
}

func (c *Core) replicateAll() {
	for _, m := range c.members() {
		if m.ID != c.cfg.ID {
			c.replicate(m.ID, false)
		}
	}
}

// replicate sends the entries that the member lacks, as far as the window
// allows. With probe set, it sends at least an empty append, which reveals lost
// messages.
func (c *Core) replicate(to ReplicaID, probe bool) {
	p := c.progress[to]
	for p.snapshot == nil && !(p.probing && p.paused) {
		term, ok := c.log.term(p.next - 1)
		if !ok {
			c.startSnapshot(to, p)
			return
		}
		var entries []Entry
		if p.probing || p.next-p.match <= maxInflightEntries {
			entries = c.log.batch(p.next-1, c.maxAppend)
		}
		if len(entries) == 0 && !probe {
			return
		}
		c.send(Message{Type: MessageAppend, To: to, Index: p.next - 1, LogTerm: term,
			Commit: c.commit, Round: c.round, Entries: entries})
		p.paused = p.probing
		if !p.probing {
			p.next += uint64(len(entries))
		}
		probe = false
	}
}

func (c *Core) handleAppendReply(m Message) {
	p := c.recordReply(m)
	if p == nil || m.Index > c.log.lastIndex() {
		return
	}
	if m.Reject {
		if m.Index <= p.match || p.probing && m.Index != p.next-1 {
			return // a reply to an earlier message
		}
		p.probing, p.paused = true, false
		p.next = max(min(m.Index, m.Hint+1), p.match+1)
		c.replicate(m.From, true)
		return
	}
	if p.snapshot != nil && m.Index >= p.snapshot.Index {
		p.snapshot = nil
		p.next = m.Index + 1
	}
	if m.Index < p.match {
		return
	}
	p.match = m.Index
	if p.probing {
		p.probing, p.paused, p.next = false, false, p.match+1
	}
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if c.role == leader {
		c.replicate(m.From, false)
	}
}

func (c *Core) handleHeartbeatReply(m Message) {
	p := c.recordReply(m)
	if p == nil {
		return
	}
	p.paused = false
	if p.match < c.log.lastIndex() {
		c.replicate(m.From, true)
	}
}

// recordReply records that a member has replied and returns its progress. It
// returns nil if this replica does not lead or the sender is not a member.
func (c *Core) recordReply(m Message) *progress {
	p := c.progress[m.From]
	if c.role != leader || p == nil {
		return nil
	}
	p.ticksSinceMessage = 0
	if m.Round <= c.round {
		p.ackedRound = max(p.ackedRound, m.Round)
	}
	c.finishReads()
	return p
}

// advanceCommit commits the entries that a majority has synced. Entries of
// earlier terms are committed only together with one of the leader's own term.
func (c *Core) advanceCommit() {
	index := c.quorumValue(func(id ReplicaID) uint64 { return c.progress[id].match })
	if index <= c.commit || !c.log.matches(index, c.term) {
		return
	}
	c.commit = index
	if m, ok := c.member(c.cfg.ID); c.log.latestMembership().index <= c.commit && (!ok || !m.Voter) {
		c.startHeartbeatRound() // sends the commit index before the removed leader steps down
		c.becomeFollower(c.term, "")
	}
}

func (c *Core) tickLeader() {
	for id, p := range c.progress {
		if id == c.cfg.ID {
			continue
		}
		p.ticksSinceMessage++
		c.tickSnapshot(id, p)
	}
	if !c.quorumActive(c.members()) {
		c.becomeFollower(c.term, "")
		return
	}
	if c.heartbeatElapsed++; c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.startHeartbeatRound()
	}
	c.tickTransfer()
}

// quorumActive reports whether the leader has received a message from a
// majority of the voters within the last ElectionTicksMax ticks.
func (c *Core) quorumActive(members []Member) bool {
	voters, answering := 0, 0
	for _, m := range members {
		if m.Voter {
			voters++
			if p := c.progress[m.ID]; p != nil && p.ticksSinceMessage < c.cfg.ElectionTicksMax {
				answering++
			}
		}
	}
	return answering > voters/2
}

// committedOwnTerm reports whether the leader has committed an entry of its
// term; before that, its commit index may lag behind an earlier leader's.
func (c *Core) committedOwnTerm() bool {
	return c.role == leader && c.log.matches(c.commit, c.term)
}

// leaseRound returns the latest heartbeat round that a majority acknowledged,
// or zero if the leader must not hold a lease.
func (c *Core) leaseRound() uint64 {
	if !c.committedOwnTerm() {
		return 0
	}
	if c.transfer != nil {
		return c.transfer.leaseRound
	}
	return c.quorumRound()
}

func (c *Core) quorumRound() uint64 {
	return c.quorumValue(func(id ReplicaID) uint64 { return c.progress[id].ackedRound })
}

// Propose appends commands and returns the index of the first.
func (c *Core) Propose(commands ...[]byte) (uint64, error) {
	if c.role != leader {
		return 0, notLeader(c.leader)
	}
	if c.log.lastIndex()-c.commit+uint64(len(commands)) > maxUncommittedEntries {
		return 0, ErrProposalDropped
	}
	first := c.log.lastIndex() + 1
	for _, data := range commands {
		c.appendAsLeader(EntryCommand, data)
	}
	c.replicateAll()
	return first, nil
}

// ReadIndex requests an index that is safe to read at; Ready returns it with
// the same id once a majority has confirmed this leader.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != leader {
		return notLeader(c.leader)
	}
	c.reads = append(c.reads, pendingRead{id: id})
	return nil
}

// startReads starts one heartbeat round for all reads that wait for one.
func (c *Core) startReads() {
	if n := len(c.reads); n == 0 || c.reads[n-1].round > 0 || !c.committedOwnTerm() {
		return
	}
	c.startHeartbeatRound()
	for i := range c.reads {
		if c.reads[i].round == 0 {
			c.reads[i].round, c.reads[i].index = c.round, c.commit
		}
	}
	c.finishReads()
}

func (c *Core) finishReads() {
	confirmed := c.quorumRound()
	for len(c.reads) > 0 && c.reads[0].round > 0 && c.reads[0].round <= confirmed {
		c.confirmedReads = append(c.confirmedReads, ReadState{c.reads[0].id, c.reads[0].index})
		c.reads = c.reads[1:]
	}
}
