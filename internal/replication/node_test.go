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

// nodes carries messages between the nodes of a process in their encoded form.
type nodes struct{ sync.Map }

func (ns *nodes) Send(m Message) {
	data, err := m.Encode()
	decoded, err2 := Decode(data)
	if err = errors.Join(err, err2); err != nil {
		panic(err)
	}
	if n, ok := ns.Load(m.To); ok {
		n.(*Node).Receive(decoded)
	}
}

// start starts a node for each store.
func (ns *nodes) start(t *testing.T, stores []*memoryStore) (states []*journal) {
	for i, s := range stores {
		states = append(states, &journal{})
		n, err := Start(Config{GroupID: "g", Tick: 2 * time.Millisecond, Seed: uint64(i), Storage: s,
			Transport: ns, StateMachine: states[i], SnapshotEvery: 15})
		if err != nil {
			t.Fatal(err)
		}
		ns.Store(s.identity.ID(), n)
		t.Cleanup(n.Stop)
	}
	return states
}

// retry calls f with the nodes in turn until it succeeds on one.
func (ns *nodes) retry(t *testing.T, what string, f func(*Node) bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		done := false
		ns.Range(func(_, n any) bool {
			done = f(n.(*Node))
			return !done
		})
		if done {
			return
		}
	}
	t.Fatalf("no %s within 10 s", what)
}

// Guards against a group that does not elect, commit, transfer leadership, read
// or restart with its state, for one replica and for three.
func TestGroupElectsProposesAndRestarts(t *testing.T) {
	for _, size := range []int{1, 3} {
		is, ctx, ns, last := is.New(t), context.Background(), &nodes{}, uint64(0)
		var stores []*memoryStore
		var members []Member
		for i := range size {
			stores = append(stores, newMemoryStore(fmt.Sprint("h", i), "a"))
			members = append(members, Member{ID: stores[i].identity.ID(), Voter: true})
		}
		for _, s := range stores {
			is.NoErr(Bootstrap(s, "g", members))
		}
		is.Equal(Bootstrap(stores[0], "g", members), ErrNotEmpty)
		for round := range 2 {
			states := ns.start(t, stores)
			for range 20 {
				ns.retry(t, "commit", func(n *Node) bool {
					index, _, err := n.Propose(ctx, []byte("c"))
					last = max(last, index)
					return err == nil
				})
			}
			to := members[round%size].ID
			ns.retry(t, "transfer", func(n *Node) bool { return n.TransferLeadership(ctx, to) == nil && n.Status().Leader == to })
			ns.retry(t, "read", func(n *Node) bool {
				index, err := n.ReadIndex(ctx)
				return err == nil && index >= last
			})
			for _, s := range stores {
				n, _ := ns.Load(s.identity.ID())
				ns.retry(t, "apply", func(*Node) bool { return n.(*Node).Status().Applied >= last })
				n.(*Node).Stop()
				_, _, err := n.(*Node).Propose(ctx, nil)
				is.True(errors.Is(err, ErrStopped))
			}
			for _, state := range states {
				is.True(len(*state) >= 20*(round+1) && slices.Equal(*state, *states[0]))
			}
		}
	}
}
