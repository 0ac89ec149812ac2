package replication

// snapshotRetryIntervals is the number of heartbeat intervals after which a part of
// a snapshot is sent again; one round trip takes less than one interval.
const snapshotRetryIntervals = 3

// startSnapshot starts sending the latest snapshot to a member that lacks
// entries which are no longer in the log. The transfer continues with this
// snapshot even if a newer one is taken meanwhile.
func (c *Core) startSnapshot(to ReplicaID, p *progress) {
	s := c.snapshot
	p.snapshot, p.snapshotOffset = &s, 0
	c.sendSnapshotPart(to, p)
}

// sendSnapshotPart sends the part of the snapshot that the member expects next.
func (c *Core) sendSnapshotPart(to ReplicaID, p *progress) {
	part := *p.snapshot
	size := uint64(len(part.Data))
	part.Data = part.Data[p.snapshotOffset:min(p.snapshotOffset+uint64(c.maxAppend), size)]
	p.snapshotTicks = 0
	c.send(Message{Type: MessageSnapshot, To: to, Round: c.round, Snapshot: &part, Offset: p.snapshotOffset, Size: size})
}

// tickSnapshot resends a part when it or its reply may be lost. A member that
// does not reply at all is sent nothing until it does.
func (c *Core) tickSnapshot(to ReplicaID, p *progress) {
	if p.snapshot == nil {
		return
	}
	p.snapshotTicks++
	if p.snapshotTicks >= snapshotRetryIntervals*c.cfg.HeartbeatTicks && p.ticksSinceMessage < c.cfg.ElectionTicksMax {
		c.sendSnapshotPart(to, p)
	}
}

// handleSnapshotReply sends the next part. A lower offset than before means
// that the member restarted; the same offset is the reply to a resent part.
func (c *Core) handleSnapshotReply(m Message) {
	p := c.recordReply(m)
	if p == nil || p.snapshot == nil || m.Index != p.snapshot.Index || m.Offset == p.snapshotOffset {
		return
	}
	p.snapshotOffset = min(m.Offset, uint64(len(p.snapshot.Data)))
	c.sendSnapshotPart(m.From, p)
}

// handleSnapshot collects the parts of a snapshot and restores it when it is
// complete, unless the local log already holds its entries.
func (c *Core) handleSnapshot(m Message) error {
	s := *m.Snapshot
	reply := Message{Type: MessageAppendReply, To: m.From, Round: m.Round, Index: max(s.Index, c.commit)}
	switch {
	case s.Index <= c.commit:
	case c.log.matches(s.Index, s.Term):
		c.commit = s.Index
	case c.addSnapshotPart(s, m.Offset) < m.Size:
		reply.Type, reply.Index, reply.Offset = MessageSnapshotReply, s.Index, uint64(len(c.partialSnapshot.Data))
	default:
		s, c.partialSnapshot = *c.partialSnapshot, nil
		if err := c.restore(s); err != nil {
			return err
		}
	}
	c.send(reply)
	return nil
}

// addSnapshotPart adds a part to the snapshot that is being received and returns
// the number of bytes received so far. A part of another snapshot starts over;
// one at an unexpected offset is ignored.
func (c *Core) addSnapshotPart(part Snapshot, offset uint64) uint64 {
	if c.partialSnapshot == nil || c.partialSnapshot.Index != part.Index || c.partialSnapshot.Term != part.Term {
		c.partialSnapshot = &Snapshot{Index: part.Index, Term: part.Term, Members: part.Members}
	}
	if offset == uint64(len(c.partialSnapshot.Data)) {
		c.partialSnapshot.Data = append(c.partialSnapshot.Data, part.Data...)
	}
	return uint64(len(c.partialSnapshot.Data))
}

func (c *Core) restore(s Snapshot) error {
	log, err := newMemoryLog(s, nil, c.cfg.IsBarrierCommand)
	if err != nil {
		return err
	}
	c.log, c.snapshot, c.receivedSnapshot = log, s, &s
	c.commit, c.delivered = s.Index, s.Index
	return nil
}
