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

// replicas is a control group in one process whose messages can be cut off.
type replicas struct {
	all []*replica
	cut atomic.Bool
}

func (g *replicas) Send(m replication.Message) {
	for i := 0; !g.cut.Load() && i < len(g.all); i++ {
		if r := g.all[i]; r.store.Identity().ID() == m.To {
			r.node.Load().Receive(m)
		}
	}
}

// Guards against a repeated replace-replica that says done while the removal of the
// old replica is only in the log of a leader that has just lost the others.
func TestReplaceIsNotDoneBeforeItIsCommitted(t *testing.T) {
	is, g, founding := is.New(t), &replicas{}, admin.BootstrapRequest{Group: "g"}
	g.cut.Store(true)
	for i := range 4 {
		r, err := openReplica(t.TempDir(), "g", fmt.Sprint("h", i),
			replication.Config{Tick: 20 * time.Millisecond, Seed: uint64(i), Transport: g}, control.NewState(control.Checker{}))
		is.NoErr(err)
		defer r.stop()
		g.all = append(g.all, r)
		founding.Members = append(founding.Members, r.identity())
	}
	for _, r := range g.all {
		is.NoErr(r.bootstrap(founding))
	}
	g.cut.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	at := 0 // the leader
	for _, err := g.all[at].node.Load().ReadIndex(ctx); err != nil; _, err = g.all[at].node.Load().ReadIndex(ctx) {
		is.NoErr(ctx.Err())
		at = (at + 1) % 4
	}
	leader, old := g.all[at], founding.Members[(at+1)%4].Replica
	g.cut.Store(true)
	go func() { _ = leader.node.Load().Remove(ctx, replication.ReplicaID(old)) }()
	for known := true; known; _, known = leader.member(replication.ReplicaID(old)) {
		is.NoErr(ctx.Err())
	}
	replace := admin.ReplaceRequest{Old: old, New: founding.Members[at]}
	err := leader.replace(ctx, replace)
	is.True(err != nil)
	g.cut.Store(false)
	for i := 0; err != nil; i++ {
		is.NoErr(ctx.Err())
		err = g.all[i%4].replace(ctx, replace)
	}
}

// Guards against a control host that ends itself while it forms the group, because it
// looks at its replica between the passive node and the founding one.
func TestFormingTheGroupIsNoFailure(t *testing.T) {
	for range 20 {
		is := is.New(t)
		r, err := openReplica(t.TempDir(), "g", "h0",
			replication.Config{Tick: 20 * time.Millisecond, Transport: &replicas{}}, control.NewState(control.Checker{}))
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

// All control hosts lose power late on a day of many changes. Guards against a start that takes
// longer with each command of the day, while operators and backend servers wait.
func TestRestartAppliesABoundedPartOfTheLog(t *testing.T) {
	is, g, folder := is.New(t), &replicas{}, t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	h := &ControlHost{process: &process{settings: &settings.Settings{}, clock: clock.Real{}}}
	config := h.logConfig(ctx)
	config.Transport, config.OnLeaderChange = g, nil
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
	for r.state.Table().Revision() <= commands { // the log is applied after the start has returned
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
	is.True(r.node.Load().Counters().EntriesApplied <= snapshotEvery+snapshotEvery/4+callers)
}
