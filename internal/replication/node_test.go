package replication

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// group runs nodes with stores in memory and carries their messages.
type group struct {
	t      *testing.T
	mu     sync.Mutex
	nodes  map[ReplicaID]*Node
	stores map[ReplicaID]*memoryStore
	states map[ReplicaID]*journal
}

func newGroup(t *testing.T, size int) (*group, []Member) {
	g := &group{t: t, nodes: map[ReplicaID]*Node{}, stores: map[ReplicaID]*memoryStore{}, states: map[ReplicaID]*journal{}}
	var members []Member
	for i := range size {
		store := newMemoryStore(fmt.Sprint("h", i), "a")
		g.stores[store.identity.ID()] = store
		members = append(members, Member{ID: store.identity.ID(), Voter: true})
	}
	for _, m := range members {
		if err := Bootstrap(g.stores[m.ID], "g", members); err != nil {
			t.Fatal(err)
		}
		g.start(m.ID)
		t.Cleanup(func() { g.node(m.ID).Stop() })
	}
	return g, members
}

func (g *group) start(id ReplicaID) {
	g.states[id] = &journal{}
	n, err := Start(Config{GroupID: "g", Tick: 2 * time.Millisecond, Seed: uint64(len(g.states)), Storage: g.stores[id],
		Transport: g, StateMachine: g.states[id], SnapshotEvery: 15})
	if err != nil {
		g.t.Fatal(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nodes[id] = n
}

func (g *group) node(id ReplicaID) *Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nodes[id]
}

// Send delivers a message in its encoded form.
func (g *group) Send(m Message) {
	data, err := m.Encode()
	decoded, err2 := Decode(data)
	if err = errors.Join(err, err2); err != nil {
		panic(err)
	}
	if n := g.node(m.To); n != nil {
		n.Receive(decoded)
	}
}

// waitFor polls a condition, because the nodes run on real tickers.
func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within 10 s", what)
		}
	}
}

func (g *group) leader() (leader *Node) {
	g.t.Helper()
	waitFor(g.t, "leader with a lease", func() bool {
		for id := range g.stores {
			if n := g.node(id); !n.Status().LeaseUntil.IsZero() {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

// Guards against a group that does not elect, commit, transfer leadership, read
// or restart with its state, for one replica and for three.
func TestGroupElectsProposesAndRestarts(t *testing.T) {
	for _, size := range []int{1, 3} {
		is := is.New(t)
		g, members := newGroup(t, size)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		var last uint64
		propose := func(i int) {
			waitFor(t, "commit", func() (ok bool) {
				index, _, err := g.leader().Propose(ctx, []byte(fmt.Sprint("c", i)))
				last = max(last, index)
				return err == nil
			})
		}
		for i := range 20 {
			propose(i)
		}
		waitFor(t, "transfer", func() bool { return g.leader().TransferLeadership(ctx, members[size-1].ID) == nil })
		for _, m := range members {
			g.node(m.ID).Stop()
			_, _, err := g.node(m.ID).Propose(ctx, nil)
			is.True(errors.Is(err, ErrStopped))
		}
		for _, m := range members {
			g.start(m.ID)
		}
		propose(20)
		waitFor(t, "read", func() bool {
			index, err := g.leader().ReadIndex(ctx)
			return err == nil && index >= last
		})
		want := g.states[g.leader().Status().ID].all()
		is.True(len(want) >= 21)
		for _, m := range members {
			waitFor(t, "equal state", func() bool { return slices.Equal(g.states[m.ID].all(), want) })
		}
		is.Equal(Bootstrap(g.stores[members[0].ID], "g", members), ErrNotEmpty)
	}
}
