package replication_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/logstore"
	"github.com/agatestep/agatestep/internal/replication"
)

// group runs replicas on disk in one process and carries their messages in
// encoded form.
type group struct {
	is      *is.I
	stores  []*logstore.Store
	members []replication.Member
	nodes   sync.Map // of *replication.Node by id
	states  []*state
}

// state is a state machine that keeps every command.
type state []string

func (s *state) Apply(_ uint64, command []byte) []byte { *s = append(*s, string(command)); return nil }

func (s *state) Snapshot() ([]byte, error) { return replication.Marshal(*s) }

func (s *state) Restore(_ uint64, data []byte) error { return replication.Unmarshal(data, s) }

func newGroup(tb testing.TB, size int) *group {
	g := &group{is: is.New(tb)}
	for i := range size {
		s, err := logstore.Open(tb.TempDir(), logstore.Options{Group: "g", Host: fmt.Sprint("h", i)})
		g.is.NoErr(err)
		g.stores = append(g.stores, s)
		g.members = append(g.members, replication.Member{ID: s.Identity().ID(), Voter: true})
	}
	for _, s := range g.stores {
		g.is.NoErr(replication.Bootstrap(s, "g", g.members))
	}
	return g
}

func (g *group) Send(m replication.Message) {
	data, err := m.Encode()
	decoded, err2 := replication.Decode(data)
	if err = errors.Join(err, err2); err != nil {
		panic(err)
	}
	if n, ok := g.nodes.Load(m.To); ok {
		n.(*replication.Node).Receive(decoded)
	}
}

func (g *group) start(tick time.Duration, snapshotEvery uint64) {
	g.states = nil
	for i, s := range g.stores {
		g.states = append(g.states, &state{})
		n, err := replication.Start(replication.Config{GroupID: "g", Tick: tick, Seed: uint64(i), Storage: s, Transport: g, StateMachine: g.states[i], SnapshotEvery: snapshotEvery})
		g.is.NoErr(err)
		g.nodes.Store(g.members[i].ID, n)
	}
}

func (g *group) node(i int) *replication.Node {
	n, _ := g.nodes.Load(g.members[i].ID)
	return n.(*replication.Node)
}

// retryOnAnyNode calls f with each node in turn until it succeeds, for at most
// 20 s.
func (g *group) retryOnAnyNode(f func(*replication.Node) error) {
	err := errors.New("not tried")
	for deadline := time.Now().Add(20 * time.Second); err != nil && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for i := 0; i < len(g.members) && err != nil; i++ {
			err = f(g.node(i))
		}
	}
	g.is.NoErr(err)
}

// Guards against a group of one or three replicas that fails to elect a leader,
// commit, transfer leadership, read, change its members or restart with its
// state.
func TestGroupElectsProposesAndRestarts(t *testing.T) {
	for _, size := range []int{1, 3} {
		g, ctx, last := newGroup(t, size), context.Background(), uint64(0)
		g.is.Equal(replication.Bootstrap(g.stores[0], "g", g.members), replication.ErrNotEmpty)
		for round := range 2 {
			g.start(5*time.Millisecond, 15)
			for range 20 {
				g.retryOnAnyNode(func(n *replication.Node) error {
					index, _, err := n.Propose(ctx, []byte("c"))
					last = max(last, index)
					return err
				})
			}
			g.retryOnAnyNode(func(n *replication.Node) error { return n.TransferLeadership(ctx, g.members[round%size].ID) })
			g.retryOnAnyNode(func(n *replication.Node) error {
				index, err := n.ReadIndex(ctx)
				g.is.True(err != nil || index >= last)
				return err
			})
			if other := g.members[(round+1)%size].ID; size > 1 {
				g.retryOnAnyNode(func(n *replication.Node) error { return n.Remove(ctx, other) })
				g.retryOnAnyNode(func(n *replication.Node) error { return n.AddLearner(ctx, other) })
				g.retryOnAnyNode(func(n *replication.Node) error { return n.Promote(ctx, other) })
			}
			_, _, err := g.node(0).Propose(ctx, make([]byte, replication.MaxCommandBytes+1))
			g.is.Equal(err, replication.ErrTooLarge)
			for i := range g.stores {
				n := g.node(i)
				g.retryOnAnyNode(func(*replication.Node) error {
					if a := n.Status().Applied; a < last {
						return fmt.Errorf("applied %d of %d", a, last)
					}
					return nil
				})
				n.Stop()
				_, _, err := n.Propose(ctx, nil)
				g.is.True(errors.Is(err, replication.ErrStopped))
				g.is.True(len(*g.states[i]) >= 20*(round+1) && slices.Equal(*g.states[i], *g.states[0]))
			}
		}
	}
}

// BenchmarkCommit measures the latency of a commit, and the syncs and log bytes
// per command, with three replicas on disk and 1 to 256 concurrent callers.
func BenchmarkCommit(b *testing.B) {
	for _, load := range [][2]int{{1, 200}, {16, 200}, {256, 200}, {16, 2000}, {16, 20_000}} {
		callers := load[0]
		b.Run(fmt.Sprintf("callers=%d/bytes=%d", callers, load[1]), func(b *testing.B) {
			g, ctx := newGroup(b, 3), context.Background()
			g.start(0, 1<<40)
			var leader *replication.Node
			g.retryOnAnyNode(func(n *replication.Node) error { leader = n; _, err := n.ReadIndex(ctx); return err })
			var next atomic.Int64
			var wg sync.WaitGroup
			latencies := make([]time.Duration, b.N)
			before, syncs := g.stores[0].BytesWritten(), leader.Counters().Syncs
			b.ResetTimer()
			for range callers {
				wg.Go(func() {
					for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
						began := time.Now()
						if _, _, err := leader.Propose(ctx, make([]byte, load[1])); err != nil {
							b.Error(err)
						}
						latencies[i] = time.Since(began)
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())*float64(callers)/float64(b.N), "ns/commit")
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[b.N/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(latencies[b.N*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(g.stores[0].BytesWritten()-before)/float64(b.N), "log-B/change")
			b.ReportMetric(float64(leader.Counters().Syncs-syncs)/float64(b.N), "syncs/change")
			for i := range g.stores {
				g.node(i).Stop()
			}
		})
	}
}
