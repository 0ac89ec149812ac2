package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/control"
	"github.com/agatestep/agatestep/internal/replication"
	"github.com/agatestep/agatestep/internal/settings"
)

// replicaGroup is a control group in one process that can be partitioned: all messages
// are then dropped.
type replicaGroup struct {
	members     []*replica
	partitioned atomic.Bool
}

func (g *replicaGroup) Send(m replication.Message) {
	for i := 0; !g.partitioned.Load() && i < len(g.members); i++ {
		if r := g.members[i]; r.store.Identity().ID() == m.To {
			r.node.Load().Receive(m)
		}
	}
}

// Guards against a repeated replace-replica that reports success while the removal of the
// old replica is only in the log of a leader that has just lost contact with the others.
func TestReplaceWaitsForCommit(t *testing.T) {
	is, group, founding := is.New(t), &replicaGroup{}, admin.BootstrapRequest{Group: "g"}
	group.partitioned.Store(true)
	for i := range 4 {
		r, err := openReplica(t.TempDir(), "g", fmt.Sprint("h", i),
			replication.Config{Tick: 20 * time.Millisecond, Seed: uint64(i), Transport: group}, control.NewState(control.Checker{}))
		is.NoErr(err)
		defer r.stop()
		group.members = append(group.members, r)
		founding.Members = append(founding.Members, r.identity())
	}
	for _, r := range group.members {
		is.NoErr(r.bootstrap(founding))
	}
	group.partitioned.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	leaderIndex := 0 // the leader
	for _, err := group.members[leaderIndex].node.Load().ReadIndex(ctx); err != nil; _, err = group.members[leaderIndex].node.Load().ReadIndex(ctx) {
		is.NoErr(ctx.Err())
		leaderIndex = (leaderIndex + 1) % 4
	}
	leader, old := group.members[leaderIndex], founding.Members[(leaderIndex+1)%4].Replica
	group.partitioned.Store(true)
	go func() { _ = leader.node.Load().Remove(ctx, replication.ReplicaID(old)) }()
	for known := true; known; _, known = leader.member(replication.ReplicaID(old)) {
		is.NoErr(ctx.Err())
	}
	replace := admin.ReplaceRequest{Old: old, New: founding.Members[leaderIndex]}
	err := leader.replace(ctx, replace)
	is.True(err != nil)
	group.partitioned.Store(false)
	for i := 0; err != nil; i++ {
		is.NoErr(ctx.Err())
		err = group.members[i%4].replace(ctx, replace)
	}
}

// Guards against a control host that exits while it forms the group, because it checks its
// replica between the stop of the passive node and the start of the founding one.
func TestBootstrapReportsNoFailure(t *testing.T) {
	for range 20 {
		is := is.New(t)
		r, err := openReplica(t.TempDir(), "g", "h0",
			replication.Config{Tick: 20 * time.Millisecond, Transport: &replicaGroup{}}, control.NewState(control.Checker{}))
		is.NoErr(err)
		formed := make(chan error, 1)
		go func() {
			formed <- r.bootstrap(admin.BootstrapRequest{Group: "g", Members: []admin.ReplicaIdentity{r.identity()}})
		}()
		for done := false; !done; {
			select {
			case err := <-formed:
				is.NoErr(err)
				done = true
			default:
				is.NoErr(r.failure())
			}
		}
		r.stop()
	}
}

// All control hosts lose power after many changes. Guards against a start that takes longer with
// each command since the log began, while operators and backend servers wait.
func TestRestartReplaysBoundedLog(t *testing.T) {
	is, group, folder := is.New(t), &replicaGroup{}, t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	h := &ControlHost{process: &process{settings: &settings.Settings{}, clock: clock.Real{}}}
	config := h.replicationConfig(ctx)
	config.Transport, config.OnLeaderChange = group, nil
	start := func() *replica {
		r, err := openReplica(folder, "g", "h1", config, control.NewState(control.Checker{}))
		is.NoErr(err)
		return r
	}
	r := start()
	is.NoErr(r.bootstrap(admin.BootstrapRequest{Group: "g", Members: []admin.ReplicaIdentity{r.identity()}}))
	for r.Status().LeaseUntil.IsZero() {
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
	var proposals sync.WaitGroup
	const callers, commands = 50, 4 * snapshotEvery
	for range callers {
		proposals.Go(func() {
			for i := range commands / callers {
				data, err := (&command.Command{LeaderElected: &command.LeaderElected{Term: uint64(i), Host: "h1"}}).Encode()
				if err == nil {
					_, _, err = r.Propose(ctx, data)
				}
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
	proposals.Wait()
	r.stop()
	r = start()
	defer r.stop()
	for r.state.Table().Revision() <= commands { // the log is applied after openReplica has returned
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
	is.True(r.node.Load().Counters().EntriesApplied <= snapshotEvery+snapshotEvery/4+callers)
}
