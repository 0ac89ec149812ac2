package replication

import "fmt"

// stepFromLeader processes a message of the leader of the current term.
func (c *Core) stepFromLeader(m Message) error {
	if c.role == leader {
		return fmt.Errorf("replication: %s also leads term %d", m.From, m.Term)
	}
	if c.role != follower {
		c.becomeFollower(m.Term, m.From)
	}
	c.leader = m.From
	c.electionElapsed, c.ticksSinceLeader = 0, 0
	switch m.Type {
	case MessageAppend:
		return c.handleAppend(m)
	case MessageSnapshot:
		return c.handleSnapshot(m)
	}
	c.commit = max(c.commit, min(m.Commit, c.log.lastIndex()))
	c.send(Message{Type: MessageHeartbeatReply, To: m.From, Round: m.Round})
	return nil
}

func (c *Core) handleAppend(m Message) error {
	reply := Message{Type: MessageAppendReply, To: m.From, Round: m.Round, Index: m.Index}
	if m.Index < c.commit {
		reply.Index = c.commit // committed entries match every leader's log
		c.send(reply)
		return nil
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		reply.Reject, reply.Hint = true, c.appendHint(m.Index)
		c.send(reply)
		return nil
	}
	if err := c.appendEntries(m.Entries); err != nil {
		return err
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, reply.Index))
	c.send(reply)
	return nil
}

// appendHint returns the index that the leader should try after a mismatch at
// index: the end of a short log, or the end of the term before the conflict.
func (c *Core) appendHint(index uint64) uint64 {
	if last := c.log.lastIndex(); index > last {
		return last
	}
	conflict, _ := c.log.term(index)
	hint := index - 1
	for hint > c.commit && c.log.matches(hint, conflict) {
		hint--
	}
	return hint
}

// appendEntries appends the leader's entries and drops local entries that conflict
// with them.
func (c *Core) appendEntries(entries []Entry) error {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.commit {
			return fmt.Errorf("replication: entry %d of term %d conflicts with a committed entry", e.Index, e.Term)
		}
		if e.Index <= c.log.lastIndex() {
			c.log.truncate(e.Index - 1)
		}
		return c.log.append(entries[i:])
	}
	return nil
}
