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

// Guards against a search that goes around between a follower and an empty replica.
func TestSearchFindsTheLeader(t *testing.T) {
	d := &Daemon{replicas: []string{"a1", "a2", "a3"}, byHost: map[string]string{"h1": "a1", "h2": "a2", "h3": "a3"}}
	for _, first := range d.replicas {
		address, asked := first, 0
		for hints := map[string]string{"a1": "h2", "a3": ""}; address != "a2" && asked < 10; asked++ {
			address = d.nextReplica(address, hints[address], asked)
		}
		is.New(t).True(asked <= 2)
	}
}

// Guards against "may have run" for a command that could not be sent to anyone.
func TestUnreachableReplicasDidNotRunACommand(t *testing.T) {
	is := is.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	d := &Daemon{process: &process{client: peer.NewClient(timeline.NewClock(time.Now), nil)}}
	reply, err := d.proposeAt(context.Background(), closed.Addr().String(), wire.MethodOperate, wire.Proposal{})
	is.NoErr(err)
	is.Equal(worse(wire.ProposalReply{Status: wire.ProposalDropped}, reply, err).Status, wire.ProposalDropped)
}
