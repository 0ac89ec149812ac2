package replication

import "slices"

// Barrier lets readers that do not go through the leader bound the age of their state. It
// covers the commands that Config.BarrierCovers selects: every covered command that this
// replica has acknowledged to a leader, or as the leader has counted as stored by itself,
// is at or before Index. A command is committed by a majority of the voters. If a reader
// requests barriers from a majority of the same voters after time T and its state has
// reached all of them, it therefore lacks no covered command that was committed before T.
// This needs neither a leader nor synchronised clocks.
type Barrier struct {
	Replica ReplicaID
	Index   uint64
	// Voters are the voters in force in this replica's log, sorted.
	Voters []ReplicaID
}

// publishBarrier makes the barrier visible to other goroutines. It runs before messages
// are sent, so that nothing is acknowledged that the barrier does not cover.
func (d *driver) publishBarrier() {
	last := d.barrier.Load()
	voters := d.core.voters()
	if last != nil && last.Index == d.core.log.barrierIndex && slices.Equal(last.Voters, voters) {
		return
	}
	d.barrier.Store(&Barrier{Replica: d.cfg.ID, Index: d.core.log.barrierIndex, Voters: voters})
}

// voters returns the voters in force, sorted.
func (c *Core) voters() []ReplicaID {
	var out []ReplicaID
	for _, m := range c.members() {
		if m.Voter {
			out = append(out, m.ID)
		}
	}
	slices.Sort(out)
	return out
}

// Barrier returns the current barrier.
func (n *Node) Barrier() Barrier { return *n.driver.barrier.Load() }
