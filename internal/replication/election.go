package replication

// Tick advances the timers by one tick.
func (c *Core) Tick() {
	c.ticksSinceLeader++
	if c.role == leader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	if c.electionElapsed >= c.electionTimeout {
		c.resetTimeout()
		if m, ok := c.member(c.cfg.ID); ok && m.Voter {
			c.campaign(preCandidate, false)
		}
	}
}

func (c *Core) becomeFollower(term uint64, from ReplicaID) {
	if c.role == leader {
		// The lease that this replica held as leader may still be running.
		c.ticksSinceLeader = 0
		c.progress, c.reads, c.transfer = nil, nil, nil
	}
	if term > c.term {
		c.term, c.vote = term, ""
		// Another leader may encode the same state differently.
		c.partialSnapshot = nil
	}
	c.role, c.leader, c.votes = follower, from, nil
	c.resetTimeout()
}

// campaign asks for votes. As a pre-candidate, the replica asks whether it could
// win, without raising its term, so that a replica that returns from a partition
// does not depose a working leader.
func (c *Core) campaign(as role, transferred bool) {
	c.role, c.leader, c.votes = as, "", map[ReplicaID]bool{}
	request := Message{Type: MessagePreVote, Term: c.term + 1}
	if as == candidate {
		c.term++
		c.vote = c.cfg.ID
		request = Message{Type: MessageVote, Term: c.term, Transfer: transferred}
	}
	request.Index, request.LogTerm = c.log.lastIndex(), c.log.lastTerm()
	for _, m := range c.members() {
		if m.Voter && m.ID != c.cfg.ID {
			request.To = m.ID
			c.send(request)
		}
	}
	c.countVote(c.cfg.ID)
}

func (c *Core) countVote(from ReplicaID) {
	c.votes[from] = true
	majority := c.quorumValue(func(id ReplicaID) uint64 {
		if c.votes[id] {
			return 1
		}
		return 0
	})
	switch {
	case majority == 0:
	case c.role == preCandidate:
		c.resetTimeout()
		c.campaign(candidate, false)
	default:
		c.becomeLeader()
	}
}

// handleVote processes a request for a vote or a pre-vote.
func (c *Core) handleVote(m Message) {
	if len(c.members()) == 0 {
		return // not a member of the group yet: a wiped replica must not vote
	}
	if !m.Transfer && (c.role == leader || c.ticksSinceLeader < c.cfg.ElectionTicksMin) {
		return // a leader may hold a lease that this replica acknowledged
	}
	reply := Message{Type: MessageVoteReply, To: m.From, Reject: true}
	logUpToDate := c.log.upToDate(m.Index, m.LogTerm)
	if m.Type == MessagePreVote {
		reply.Type = MessagePreVoteReply
		if m.Term > c.term && logUpToDate {
			reply.Reject, reply.Term = false, m.Term
		}
		c.send(reply)
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, "")
	}
	if m.Term == c.term && logUpToDate && c.leader == "" && (c.vote == "" || c.vote == m.From) {
		c.vote = m.From
		c.electionElapsed = 0
		reply.Reject = false
	}
	c.send(reply)
}

func (c *Core) handleVoteReply(m Message) {
	if m.Reject {
		return
	}
	if c.role == preCandidate && m.Type == MessagePreVoteReply && m.Term == c.term+1 ||
		c.role == candidate && m.Type == MessageVoteReply && m.Term == c.term {
		c.countVote(m.From)
	}
}

// Step processes a message. Messages of another group or to another replica,
// such as an earlier incarnation of this host, are ignored.
func (c *Core) Step(m Message) error {
	if m.Group != c.cfg.Group || m.To != c.cfg.ID || m.From == c.cfg.ID {
		return nil
	}
	if m.Type == MessageVote || m.Type == MessagePreVote {
		c.handleVote(m)
		return nil
	}
	if m.Type == MessagePreVoteReply && !m.Reject {
		c.handleVoteReply(m) // carries the requested term, which no replica has reached
		return nil
	}
	fromLeader := m.Type == MessageAppend || m.Type == MessageHeartbeat || m.Type == MessageSnapshot
	if m.Term < c.term {
		if fromLeader { // informs a deposed leader of the current term
			c.send(Message{Type: MessageHeartbeatReply, To: m.From})
		}
		return nil
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, "")
	}
	if fromLeader {
		return c.stepFromLeader(m)
	}
	c.stepReply(m)
	return nil
}

func (c *Core) stepReply(m Message) {
	switch m.Type {
	case MessageVoteReply, MessagePreVoteReply:
		c.handleVoteReply(m)
	case MessageAppendReply:
		c.handleAppendReply(m)
	case MessageHeartbeatReply:
		c.handleHeartbeatReply(m)
	case MessageSnapshotReply:
		c.handleSnapshotReply(m)
	case MessageTimeoutNow:
		if member, ok := c.member(c.cfg.ID); ok && member.Voter && c.role == follower {
			c.resetTimeout()
			c.campaign(candidate, true)
		}
	}
}
