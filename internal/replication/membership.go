package replication

import "slices"

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	ChangeAddLearner ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
)

// ProposeChange appends a membership change and returns its index. It returns
// zero when the group already has the requested membership.
func (c *Core) ProposeChange(kind ChangeKind, id ReplicaID) (uint64, error) {
	if c.role != leader {
		return 0, notLeader(c.leader)
	}
	// Without a committed entry of this leader's term, two leaders could each
	// have a change in progress, with majorities that do not overlap.
	if c.log.latestMembership().index > c.commit || !c.committedOwnTerm() || c.transfer != nil {
		return 0, ErrChangeInProgress
	}
	members, err := c.membersAfterChange(kind, id)
	if err != nil || members == nil {
		return 0, err
	}
	data, err := EncodeMembers(members)
	if err != nil {
		return 0, err
	}
	index := c.appendAsLeader(EntryMembers, data)
	c.updateProgress()
	c.replicateAll()
	return index, nil
}

// membersAfterChange returns the member list after the change; nil means no
// change.
func (c *Core) membersAfterChange(kind ChangeKind, id ReplicaID) ([]Member, error) {
	members := slices.Clone(c.members())
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	switch kind {
	case ChangeAddLearner:
		if id == "" || id.Host() == string(id) {
			return nil, ErrUnknownReplica
		}
		if i >= 0 {
			return nil, nil
		}
		return append(members, Member{ID: id}), nil
	case ChangePromote:
		if i < 0 {
			return nil, ErrUnknownReplica
		}
		if members[i].Voter {
			return nil, nil
		}
		if p := c.progress[id]; p.match < c.commit || p.ticksSinceMessage >= c.cfg.ElectionTicksMax {
			return nil, ErrNotCaughtUp
		}
		members[i].Voter = true
	case ChangeRemove:
		if i < 0 {
			return nil, nil
		}
		members = slices.Delete(members, i, i+1)
	}
	if !c.quorumActive(members) {
		return nil, ErrQuorumAtRisk
	}
	return members, nil
}

// transfer is a leadership transfer in progress. The lease is not renewed while
// it runs, and the target is told to campaign only after the lease has expired;
// the followers then vote although they heard from this leader recently.
type transfer struct {
	to         ReplicaID
	ticks      int
	leaseRound uint64
}

// TransferLeadership starts a transfer of leadership to another voter.
func (c *Core) TransferLeadership(to ReplicaID) error {
	if c.role != leader {
		return notLeader(c.leader)
	}
	if m, ok := c.member(to); !ok || !m.Voter {
		return ErrUnknownReplica
	}
	if c.transfer != nil && c.transfer.to != to {
		return ErrTransferFailed
	}
	if to != c.cfg.ID && c.transfer == nil {
		c.transfer = &transfer{to: to, leaseRound: c.leaseRound()}
	}
	return nil
}

func (c *Core) tickTransfer() {
	t := c.transfer
	if t == nil {
		return
	}
	t.ticks++
	p := c.progress[t.to]
	switch {
	case p == nil || t.ticks >= 2*c.cfg.ElectionTicksMax:
		c.transfer = nil // the target is gone or too slow: stay the leader
	case t.ticks >= c.cfg.ElectionTicksMin && p.match == c.log.lastIndex():
		c.send(Message{Type: MessageTimeoutNow, To: t.to})
		// The message may arrive late, so this leader must not renew its lease
		// again in this term.
		c.becomeFollower(c.term, "")
	}
}
