package daemon

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/agatestep/agatestep/internal/replication"
	"github.com/agatestep/agatestep/internal/wire"
)

// handleBarrier returns the revision that the caller's routing table must have reached.
func (r *replica) handleBarrier(_ context.Context, request wire.BarrierRequest) (wire.BarrierReply, error) {
	return barrierReply(r.node.Load().Barrier(), request), nil
}

// handleBarrier is that of the replica, with the data centre if the caller asks for it.
func (h *ControlHost) handleBarrier(ctx context.Context, request wire.BarrierRequest) (wire.BarrierReply, error) {
	reply, err := h.replica.handleBarrier(ctx, request)
	if request.AskDataCentre {
		reply.DataCentre = h.settings.DataCentre
	}
	return reply, err
}

func barrierReply(b replication.Barrier, request wire.BarrierRequest) wire.BarrierReply {
	reply := wire.BarrierReply{Replica: string(b.Replica), Barrier: b.Index, Group: voterSetHash(b.Voters)}
	if reply.Group == request.Group {
		return reply
	}
	for _, v := range b.Voters {
		reply.Voters = append(reply.Voters, string(v))
	}
	return reply
}

// voterSetHash returns a hash that identifies a set of voters, which are sorted.
func voterSetHash(voters []replication.ReplicaID) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, v := range voters {
		_, _ = d.WriteString(string(v)) // a hash does not fail
		_, _ = d.Write([]byte{0})       // ids hold no zero byte
	}
	return d.Sum64()
}
