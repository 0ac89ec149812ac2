package daemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/logstore"
	"github.com/agatestep/agatestep/internal/replication"
)

// replicas is a control group in one process whose messages can be cut off.
type replicas struct {
	nodes map[replication.ReplicaID]*replication.Node
	all   []*replica
	cut   atomic.Bool
}

func (g *replicas) Send(m replication.Message) {
	if !g.cut.Load() {
		g.nodes[m.To].Receive(m)
	}
}

type noState struct{}

func (noState) Apply(uint64, []byte) []byte  { return nil }
func (noState) Snapshot() ([]byte, error)    { return nil, nil }
func (noState) Restore(uint64, []byte) error { return nil }

// Guards against a repeated replace-replica that says done while the removal of the
// old replica is only in the log of a leader that has just lost the others.
func TestReplaceIsNotDoneBeforeItIsCommitted(t *testing.T) {
	is, g := is.New(t), &replicas{nodes: map[replication.ReplicaID]*replication.Node{}}
	var members []replication.Member
	for i := range 4 {
		store, err := logstore.Open(t.TempDir(), logstore.Options{Group: "g", Host: fmt.Sprint("h", i)})
		is.NoErr(err)
		g.all = append(g.all, &replica{store: store})
		members = append(members, replication.Member{ID: store.Identity().ID(), Voter: true})
	}
	g.cut.Store(true) // no message before all nodes are in the map
	for i, r := range g.all {
		is.NoErr(replication.Bootstrap(r.store, "g", members))
		node, err := replication.Start(replication.Config{GroupID: "g", Tick: 20 * time.Millisecond, Seed: uint64(i),
			Storage: r.store, Transport: g, StateMachine: noState{}})
		is.NoErr(err)
		r.node.Store(node)
		g.nodes[members[i].ID] = node
		defer r.stop()
	}
	g.cut.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var leader *replica
	for i := 0; leader == nil; i = (i + 1) % 4 {
		is.NoErr(ctx.Err())
		if _, err := g.all[i].node.Load().ReadIndex(ctx); err == nil {
			leader = g.all[i]
		}
	}
	at := 0
	for g.all[at] == leader {
		at++
	}
	old, fresh := members[at].ID, leader.store.Identity().ID()
	g.cut.Store(true)
	go func() { _ = leader.node.Load().Remove(ctx, old) }()
	for _, known := leader.member(old); known && leader.node.Load().Status().IsLeader; _, known = leader.member(old) {
		is.NoErr(ctx.Err())
	}
	err := leader.replace(ctx, admin.ReplaceRequest{Old: string(old), New: admin.ReplicaIdentity{Replica: string(fresh)}})
	is.True(err != nil)
	g.cut.Store(false)
	for i := 0; err != nil; i = (i + 1) % 4 {
		is.NoErr(ctx.Err())
		err = g.all[i].replace(ctx, admin.ReplaceRequest{Old: string(old), New: admin.ReplicaIdentity{Replica: string(fresh)}})
	}
}
