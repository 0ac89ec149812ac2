package replication

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// group is a set of running nodes with stores in memory.
type group struct {
	t      *testing.T
	hub    *hub
	stores map[ReplicaID]Storage
	states map[ReplicaID]*journal
	every  uint64
}

func newGroup(t *testing.T, size int) (*group, []Member) {
	g := &group{t: t, hub: &hub{nodes: map[ReplicaID]*Node{}}, stores: map[ReplicaID]Storage{}, states: map[ReplicaID]*journal{}}
	var members []Member
	for i := range size {
		members = append(members, Member{ID: g.addStore(fmt.Sprint("h", i), "a"), Voter: true})
	}
	for _, m := range members {
		if err := Bootstrap(g.stores[m.ID], "g", members); err != nil {
			t.Fatal(err)
		}
		g.start(m.ID)
	}
	t.Cleanup(func() {
		for id := range g.stores {
			g.stop(id)
		}
	})
	return g, members
}

func (g *group) addStore(host, incarnation string) ReplicaID {
	id := MakeReplicaID(host, incarnation)
	g.stores[id] = newMemoryStore(host, incarnation)
	return id
}

func (g *group) start(id ReplicaID) {
	g.states[id] = &journal{}
	n, err := Start(Config{GroupID: "g", Tick: 2 * time.Millisecond, Seed: uint64(len(g.states)), Storage: g.stores[id],
		Transport: g.hub, StateMachine: g.states[id], SnapshotEvery: g.every})
	if err != nil {
		g.t.Fatal(err)
	}
	g.hub.set(id, n)
}

func (g *group) node(id ReplicaID) *Node {
	g.hub.mu.Lock()
	defer g.hub.mu.Unlock()
	return g.hub.nodes[id]
}

func (g *group) stop(id ReplicaID) {
	if n := g.node(id); n != nil {
		g.hub.set(id, nil)
		n.Stop()
	}
}

// waitFor polls a condition; the nodes run on real tickers.
func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within 10 s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (g *group) leader() (leader *Node) {
	g.t.Helper()
	waitFor(g.t, "leader with a lease", func() bool {
		for id := range g.stores {
			if n := g.node(id); n != nil && !n.Status().LeaseUntil.IsZero() {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

// propose retries until the command is committed; the commands are idempotent.
func (g *group) propose(command string) {
	g.t.Helper()
	waitFor(g.t, "commit of "+command, func() bool {
		_, _, err := g.leader().Propose(context.Background(), []byte(command))
		return err == nil
	})
}

// Guards against a group that does not elect, commit, restart with its state,
// or keep its order, for one replica and for three.
func TestGroupElectsProposesAndRestarts(t *testing.T) {
	for _, size := range []int{1, 3} {
		is := is.New(t)
		g, members := newGroup(t, size)
		for i := range 20 {
			g.propose(fmt.Sprint("c", i))
		}
		for _, m := range members {
			g.stop(m.ID)
		}
		for _, m := range members {
			g.start(m.ID)
		}
		g.propose("last")
		want := g.states[g.leader().Status().ID].all()
		is.True(len(want) >= 21)
		for _, m := range members {
			waitFor(t, "equal state", func() bool { return slices.Equal(g.states[m.ID].all(), want) })
		}
		is.True(errors.Is(Bootstrap(g.stores[members[0].ID], "g", members), ErrNotEmpty))
	}
}
