package daemon

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/agatestep/agatestep/internal/replication"
	"github.com/agatestep/agatestep/internal/wire"
)

// handleBarrier tells a host which revision its table must have reached.
func (r *replica) handleBarrier(_ context.Context, ask wire.BarrierAsk) (wire.BarrierReply, error) {
	return barrierReply(r.node.Load().Barrier(), ask), nil
}

func barrierReply(b replication.Barrier, ask wire.BarrierAsk) wire.BarrierReply {
	reply := wire.BarrierReply{Replica: string(b.Replica), Barrier: b.Index, Group: groupOf(b.Voters)}
	if reply.Group == ask.Group {
		return reply
	}
	for _, v := range b.Voters {
		reply.Voters = append(reply.Voters, string(v))
	}
	return reply
}

// groupOf names voters, which are in order.
func groupOf(voters []replication.ReplicaID) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, v := range voters {
		_, _ = d.WriteString(string(v)) // a hash does not fail
		_, _ = d.Write([]byte{0})       // ids hold no zero byte
	}
	return d.Sum64()
}
