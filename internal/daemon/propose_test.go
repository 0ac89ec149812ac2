package daemon

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/timeline"
	"github.com/agatestep/agatestep/internal/wire"
)

// Guards against a search for the leader that alternates between a follower and an empty
// replica.
func TestNextReplicaFindsLeader(t *testing.T) {
	d := &Daemon{replicaAddresses: []string{"a1", "a2", "a3"}, replicaAddressByHost: map[string]string{"h1": "a1", "h2": "a2", "h3": "a3"}}
	for _, first := range d.replicaAddresses {
		address, attempts := first, 0
		for hints := map[string]string{"a1": "h2", "a3": ""}; address != "a2" && attempts < 10; attempts++ {
			address = d.nextReplica(address, hints[address], attempts)
		}
		is.New(t).True(attempts <= 2)
	}
}

// Guards against the status "may have run" for a command that reached no replica.
func TestUnreachableReplicaLeavesProposalDropped(t *testing.T) {
	is := is.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	d := &Daemon{process: &process{client: peer.NewClient(timeline.NewClock(time.Now), nil)}}
	reply, err := d.proposeTo(context.Background(), closed.Addr().String(), wire.MethodOperatorCommand, wire.Proposal{})
	is.NoErr(err)
	is.Equal(leastCertain(wire.ProposalReply{Status: wire.ProposalDropped}, reply, err).Status, wire.ProposalDropped)
}
