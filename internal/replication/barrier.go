package replication

import "slices"

// Barrier is what a replica says to readers that do not go through the leader. Every
// marked command that this replica has acknowledged to a leader, or counted itself for,
// is at Index or before it. A command is committed by a majority of the voters, and a
// reader whose state has reached the barriers of a majority of the same voters, all asked
// after a moment, therefore lacks no marked command that was committed before it. This
// needs neither a leader nor a clock.
type Barrier struct {
	Replica ReplicaID
	Index   uint64
	// Voters are in force in this replica's log, in order.
	Voters []ReplicaID
}

// publishBarrier makes the barrier visible. It runs before messages are sent, so that
// nothing is acknowledged that the barrier does not cover.
func (d *driver) publishBarrier() {
	last := d.barrier.Load()
	voters := d.core.voters()
	if last != nil && last.Index == d.core.log.marked && slices.Equal(last.Voters, voters) {
		return
	}
	d.barrier.Store(&Barrier{Replica: d.cfg.ID, Index: d.core.log.marked, Voters: voters})
}

// voters returns the voters in force, in order.
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

// Barrier returns the present barrier.
func (n *Node) Barrier() Barrier { return *n.driver.barrier.Load() }
