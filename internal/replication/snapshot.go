package replication

// snapshotRetryRounds is the number of heartbeat intervals after which a part
// of a snapshot is sent again; one round trip takes less than one interval.
const snapshotRetryRounds = 3

// startSnapshot begins to send the latest snapshot to a member that lacks
// entries which are no longer in the log. The member continues with the same
// snapshot even if a newer one is taken meanwhile.
func (c *Core) startSnapshot(to ReplicaID, p *progress) {
	s := c.snapshot
	p.snapshot, p.offset = &s, 0
	c.sendPart(to, p)
}

// sendPart sends the part of the snapshot that the member expects.
func (c *Core) sendPart(to ReplicaID, p *progress) {
	part := *p.snapshot
	size := uint64(len(part.Data))
	part.Data = part.Data[p.offset:min(p.offset+uint64(c.maxAppend), size)]
	p.snapshotTicks = 0
	c.send(Message{Type: MessageSnapshot, To: to, Round: c.round, Snapshot: &part, Offset: p.offset, Size: size})
}

// tickSnapshot sends a part again when it or its answer may be lost. A member
// that does not answer at all gets nothing until it does.
func (c *Core) tickSnapshot(to ReplicaID, p *progress) {
	if p.snapshot == nil {
		return
	}
	p.snapshotTicks++
	if p.snapshotTicks >= snapshotRetryRounds*c.cfg.HeartbeatTicks && p.silent < c.cfg.ElectionTicksMax {
		c.sendPart(to, p)
	}
}

// handleSnapshotReply sends the next part. A lower offset than before means
// that the member restarted; the same one is the answer to a repeated part.
func (c *Core) handleSnapshotReply(m Message) {
	p := c.heard(m)
	if p == nil || p.snapshot == nil || m.Index != p.snapshot.Index || m.Offset == p.offset {
		return
	}
	p.offset = min(m.Offset, uint64(len(p.snapshot.Data)))
	c.sendPart(m.From, p)
}

// handleSnapshot collects the parts of a snapshot and restores it when it is
// complete, unless the own log turns out to hold its entries.
func (c *Core) handleSnapshot(m Message) error {
	s := *m.Snapshot
	reply := Message{Type: MessageAppendReply, To: m.From, Round: m.Round, Index: max(s.Index, c.commit)}
	switch {
	case s.Index <= c.commit:
	case c.log.matches(s.Index, s.Term):
		c.commit = s.Index
	case c.collect(s, m.Offset) < m.Size:
		reply.Type, reply.Index, reply.Offset = MessageSnapshotReply, s.Index, uint64(len(c.incoming.Data))
	default:
		s, c.incoming = *c.incoming, nil
		if err := c.restore(s); err != nil {
			return err
		}
	}
	c.send(reply)
	return nil
}

// collect adds a part to the snapshot that is being received and returns the
// number of bytes received so far. Parts that do not continue it are ignored.
func (c *Core) collect(part Snapshot, offset uint64) uint64 {
	if c.incoming == nil || c.incoming.Index != part.Index || c.incoming.Term != part.Term {
		c.incoming = &Snapshot{Index: part.Index, Term: part.Term, Members: part.Members}
	}
	if offset == uint64(len(c.incoming.Data)) {
		c.incoming.Data = append(c.incoming.Data, part.Data...)
	}
	return uint64(len(c.incoming.Data))
}

func (c *Core) restore(s Snapshot) error {
	log, err := newMemoryLog(s, nil, c.cfg.Marks)
	if err != nil {
		return err
	}
	c.log, c.snapshot, c.restored = log, s, &s
	c.commit, c.handed = s.Index, s.Index
	return nil
}
