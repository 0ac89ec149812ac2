package control

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/pack"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

const sessionExpiry = 1011 * time.Millisecond // the length of a session with its drift margin, and 1 ms

// advanceAndTick advances the clock, runs Tick and returns the names of the hosts that the
// leader took for lost.
func (g *testLeader) advanceAndTick(d time.Duration) (lost []string) {
	g.clock.Advance(d)
	for _, c := range g.Tick(ctx) {
		lost = append(lost, c.HostLost.Host)
	}
	return lost
}

// elect makes this process the leader of the next term.
func (g *testLeader) elect() {
	g.setStatus(func(s *LeaderStatus) {
		s.IsLeader, s.Term, s.LeaseUntil, s.ElectedAt = true, s.Term+1, start.Add(time.Hour), g.clock.Now()
	})
}

// Guards against a new leader that takes hosts for lost before the sessions granted
// by the old leader have expired, or that never does.
func TestNewLeaderWaitsForOldSessions(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	is.True(g.renew(0).Granted && g.renew(1).Granted && g.renew(2).Granted)
	g.clock.Advance(800 * time.Millisecond)
	g.elect()
	is.Equal(g.advanceAndTick(1009*time.Millisecond), nil)
	is.True(g.renew(1).Granted) // continues across the change of leader
	is.Equal(g.advanceAndTick(2*time.Millisecond), []string{"h0", "h2"})
	is.Equal(len(g.state.Table().Hosts()), 1)
}

// Guards against a loop that does not expire sessions, or that does not stop.
func TestRunExpiresSessions(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	is.True(g.renew(1).Granted)
	g.clock.Advance(sessionExpiry)
	running, cancel := context.WithCancel(ctx)
	done, changed := make(chan struct{}), g.state.Changed()
	go func() { defer close(done); g.Run(running) }()
	<-changed
	is.Equal(len(g.state.Table().Hosts()), 0)
	cancel()
	<-done
}

// Guards against a session that is granted without the leader lease, also when the
// lease lapses while a command is being committed.
func TestNoSessionIsGrantedWithoutLeaderLease(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	g.beforeApply = func(c *command.Command) {
		if c.HostJoined != nil {
			g.setStatus(func(s *LeaderStatus) { s.LeaseUntil = start })
		}
	}
	is.Equal(g.renew(1).Reason, "the leader lease has run out")
	g.beforeApply = nil
	is.True(!g.renew(1).Granted && len(g.Tick(ctx)) == 0)
	g.setStatus(func(s *LeaderStatus) { s.IsLeader, s.LeaderHost = false, "h7" })
	is.True(g.renew(1).Leader == "h7" && g.Watch(ctx, wire.TableWatch{}).Leader == "h7")
	g.elect()
	is.True(g.renew(1).Granted)
}

// Guards against an old process of a host that gets a session after a new process has
// replaced it, two processes of a host with sessions at once, and a host that returns
// with a table older than an accepted configuration.
func TestHostReturnsWithNewInstanceOrStaleTable(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	old := func(r *wire.SessionRenew) { r.Applied = 1 }
	is.True(g.renew(2, old).Granted)
	g.populate(t, 8, 2)
	is.True(g.renew(2, old).Granted) // lags behind, but its session has not expired
	g.advanceAndTick(sessionExpiry)
	is.True(strings.Contains(g.renew(2, old).Reason, "watch the table first"))
	is.True(g.renew(2).Granted)
	g.renew(2, func(r *wire.SessionRenew) { r.Closing = true })
	second := func(r *wire.SessionRenew) { r.Instance = "b" }
	is.True(g.renew(1).Granted)
	is.True(!g.renew(1, second).Granted) // the first one may still act
	g.clock.Advance(sessionExpiry)
	is.True(!g.renew(1, second).Granted) // its loss is not committed
	is.True(!g.renew(1).Granted)         // and its session is not extended either
	is.Equal(g.advanceAndTick(0), []string{"h1"})
	is.True(g.renew(1, second).Granted && !g.renew(1).Granted)
	is.Equal(g.advanceAndTick(sessionExpiry), []string{"h1"})
	is.True(!g.renew(1).Granted) // the older process, refused even when the newer one is lost
	is.True(g.renew(1, second).Granted)
	g.renew(1, second, func(r *wire.SessionRenew) { r.Closing = true })
	is.Equal(len(g.state.Table().Hosts()), 0)
}

// Guards against a HostLost that is delayed past a rejoin or a change of leader
// and removes the dispatcher roles of a host with a session.
func TestDelayedHostLostHasNoEffect(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	var delayed command.Command
	g.beforeApply = func(c *command.Command) {
		if c.HostLost != nil {
			delayed = *c
		}
	}
	is.True(g.renew(1).Granted)
	g.advanceAndTick(sessionExpiry)
	is.True(g.renew(1).Granted)
	is.Equal(g.apply(t, delayed).Code, command.ResultStale) // h1 joined again
	g.proposeErr = ErrNotAppended
	g.advanceAndTick(sessionExpiry) // decided in term 1, but in flight until term 2
	g.proposeErr = nil
	g.elect()
	is.True(g.renew(1).Granted)
	is.Equal(g.apply(t, delayed).Code, command.ResultStale)
	is.Equal(len(g.state.Table().Hosts()), 1)
}

// stepUntilInForce does the wait of Propose on the fake clock. step is called every
// 10 ms.
func (g *testLeader) stepUntilInForce(revision uint64, wait time.Duration, step func()) (reply wire.ProposalReply) {
	for deadline := g.clock.Now().Add(wait); ; g.advanceAndTick(0) {
		if _, done := g.checkInForce(revision, deadline, &reply); done {
			return reply
		}
		g.clock.Advance(10 * time.Millisecond)
		step()
	}
}

// Guards against "in force" while a partitioned host may still route by the old
// table, and against an endless wait for that host.
func TestInForceWaitsForPartitionedHost(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	g.clock.Advance(2 * time.Second) // the grace period is over
	is.True(g.renew(1).Granted && g.renew(2).Granted)
	partitionedAt := g.clock.Now()
	first := g.mustApply(t, publishCommand("p1", fileOf("desk", 1, 8, "")))
	is.True(g.stepUntilInForce(first, 5*time.Second, func() { g.renew(1) }).InForce)
	is.Equal(g.clock.Now().Sub(partitionedAt), 1010*time.Millisecond) // the session of h2 with its margin
	is.True(g.renew(2).Granted)
	lagging := g.stepUntilInForce(g.mustApply(t, publishCommand("p2", fileOf("desk", 2, 8, ""))), 300*time.Millisecond, func() {
		g.renew(1)
		g.renew(2, func(r *wire.SessionRenew) { r.Applied = first }) // has a session but lags behind
	})
	is.True(!lagging.InForce)
	is.Equal(lagging.Pending, []string{"h2"})
	is.Equal(g.Sessions()[1], SessionStatus{"h2", "a", true, 1010 * time.Millisecond, first})
	is.Equal(g.state.Published()[0].Version, uint64(2))
}

// Guards against a new leader that reports "in force" while hosts that have not renewed
// with it may have sessions, and against such a report by a leader without lease.
func TestInForceAfterElection(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	is.True(g.renew(1).Granted && g.renew(2).Granted)
	g.clock.Advance(2 * time.Second)
	elected := g.clock.Now()
	g.elect()
	is.True(g.renew(1).Granted) // h2 may have a session of the old leader
	revision := g.mustApply(t, publishCommand("p1", fileOf("desk", 1, 8, "")))
	short := g.stepUntilInForce(revision, 500*time.Millisecond, func() { g.renew(1) })
	is.True(!short.InForce)
	is.Equal(short.Pending, []string{"h2"})
	is.True(g.renew(2).Granted)
	known := g.stepUntilInForce(revision, 100*time.Millisecond, func() {})
	is.True(!known.InForce && len(known.Pending) == 0) // all renewed, but the grace period is not over
	is.True(g.stepUntilInForce(revision, 5*time.Second, func() { g.renew(1) }).InForce)
	is.Equal(g.clock.Now().Sub(elected), 1010*time.Millisecond)
	g.setStatus(func(s *LeaderStatus) { s.LeaseUntil = g.clock.Now() })
	is.True(!g.stepUntilInForce(revision, time.Second, func() {}).InForce)
}

// Guards against a reply to a proposal that claims more than is known of its outcome.
func TestProposeReplies(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	g.clock.Advance(2 * time.Second)
	is.True(g.renew(1).Granted)
	propose := func(c command.Command) wire.ProposalReply {
		data, _ := c.Encode()
		return g.Leader.Propose(ctx, wire.Proposal{Command: data, WaitInForce: true, WaitMs: 60_000})
	}
	done := make(chan wire.ProposalReply)
	go func() { done <- propose(publishCommand("p1", fileOf("desk", 1, 8, ""))) }()
	var reply wire.ProposalReply
	for reply.Status == "" {
		select {
		case reply = <-done:
		default:
			g.renew(1) // acknowledges what is applied
		}
	}
	is.True(reply.InForce)
	is.Equal(propose(publishCommand("p1", fileOf("desk", 1, 8, ""))).Result, reply.Result) // a resend
	is.Equal(propose(publishCommand("p1", fileOf("desk", 2, 8, ""))).Result.Code, command.ResultConflict)
	is.Equal(propose(command.Command{}).Status, wire.ProposalDropped)
	for g.proposeErr, reply.Status = range map[error]wire.ProposalStatus{
		ErrNotLeader: wire.ProposalNotLeader, ErrNotAppended: wire.ProposalDropped, context.DeadlineExceeded: wire.ProposalUnknown,
	} {
		is.Equal(propose(publishCommand("p3", fileOf("desk", 3, 8, ""))).Status, reply.Status)
	}
}

// Guards against a watch that misses a change, that sends a delta for a revision whose
// deltas are no longer kept, or that takes a host back to a lower revision.
func TestWatch(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	changed := make(chan wire.TableReply)
	go func() { changed <- g.Watch(ctx, wire.TableWatch{Host: "h1"}) }()
	is.True(g.renew(1).Granted)
	first := <-changed
	is.True(first.Revision > 0 && (first.Delta != nil || first.Snapshot != nil))
	g.populate(t, 8, 2)
	since := g.state.Table().Revision()
	for range maxHistoryDeltas {
		g.mustApply(t, command.Command{Repair: &command.Repair{Service: "desk"}})
	}
	is.True(g.Watch(ctx, wire.TableWatch{Revision: since}).Delta != nil)
	beyond := g.Watch(ctx, wire.TableWatch{Revision: since - 1})
	encoded, err := pack.Unpack(beyond.Snapshot)
	is.NoErr(err)
	got, err := table.DecodeSnapshot(encoded)
	is.True(err == nil && beyond.Delta == nil && got.Revision() == g.state.Table().Revision())
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	ahead := g.Watch(short, wire.TableWatch{Revision: got.Revision() + 5})
	is.True(ahead.Delta == nil && ahead.Snapshot == nil)
}

// A configuration of a thousand routes is published while servers come and go. Guards
// against a leader that encodes it again for each host and each revision, which took more
// processor time than the leader has, and against hosts that end up with another table.
func TestLargeDeltaIsEncodedOnce(t *testing.T) {
	is, s := is.New(t), NewState(Checker{})
	at := uint64(0)
	apply := func(c command.Command) {
		at++
		data, err := c.Encode()
		is.NoErr(err)
		s.Apply(at, data)
	}
	apply(command.Command{PatchItems: &command.PatchItems{Items: deskItems(1)}})
	behind, near := table.Empty(), s.Table()
	many := deskItems(2)
	for i := range 2 * largeDeltaChanges {
		many = append(many, items.Item{Key: items.Key{Kind: items.KindRoute, Name: fmt.Sprint("r", i)}, Version: 2,
			Route: &items.Route{Host: "a", PathPrefix: fmt.Sprint("/", i, "/"), Timeout: time.Second, Shares: []items.Share{{Service: "desk", Weight: 1}}}})
	}
	apply(command.Command{PatchItems: &command.PatchItems{Items: many}})
	var large [][]byte
	follow := func(t *table.Table) *table.Table {
		for t.Revision() < at {
			delta, _, to := s.ChangesSince(t.Revision())
			if t.Revision() == near.Revision() {
				large = append(large, delta)
			}
			encoded, err := pack.Unpack(delta)
			is.NoErr(err)
			d, err := table.DecodeDelta(encoded)
			is.NoErr(err)
			t, err = t.Apply(d)
			is.NoErr(err)
			is.Equal(t.Revision(), to)
		}
		return t
	}
	for i := range 3 {
		apply(command.Command{BackendReported: &command.BackendReported{Service: "desk", Backend: fmt.Sprint("b", i), DataCentre: "dc1",
			Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 1}})
		want, err := s.Table().Snapshot()
		is.NoErr(err)
		for _, host := range []*table.Table{behind, near} {
			got, err := follow(host).Snapshot()
			is.NoErr(err)
			is.True(bytes.Equal(got, want))
		}
	}
	is.Equal(len(large), 6)
	for _, other := range large {
		is.True(&other[0] == &large[0][0])
	}
}

// Guards against retries of a patch that go through the log each time, and against such
// a short cut for a patch that is new or invalid.
func TestNoOpPatchIsNotProposed(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	propose := func(list []items.Item) wire.ProposalReply {
		c := command.Command{PatchItems: &command.PatchItems{Items: list}}
		data, err := c.Encode()
		is.NoErr(err)
		return g.Leader.Propose(ctx, wire.Proposal{Command: data})
	}
	is.Equal(propose(deskItems(2)).Result.Code, command.ResultOK)
	index := g.index
	for _, version := range []uint64{2, 1} {
		reply := propose(deskItems(version))
		is.Equal(reply.Status, wire.ProposalApplied)
		is.Equal(reply.Result.Code, command.ResultOK)
	}
	is.Equal(g.index, index)
	invalid := deskItems(1)
	invalid[0].Service = &items.Service{ColdRate: -1}
	is.True(propose(invalid).Result.Code != command.ResultOK)
	is.Equal(propose(deskItems(3)).Result.Code, command.ResultOK)
	is.True(g.index > index)
}

// runLoad advances the clock while all hosts renew, one of them reports 10 requests
// per slice and 300 more per hot key, each of 1 ms or of 10 ms on the server slow,
// and moves are completed. It returns the largest number of slices that moved at a time.
func (g *testLeader) runLoad(t *testing.T, d time.Duration, slow string, hot ...uint64) (maxMoved int) {
	for range d / (100 * time.Millisecond) {
		var loads []wire.SliceLoads
		for _, s := range deskSlices(g.state.Table()) {
			r := wire.SliceLoads{Service: "desk", Backend: s.Owner}
			count := uint64(10)
			for _, hash := range hot {
				if hash >= s.Start && hash <= s.Last {
					r.Keys = append(r.Keys, wire.KeyCount{Hash: hash, Count: 300})
					count += 300
				}
			}
			r.Slices, r.BusyMs = []wire.SliceCount{{Start: s.Start, Count: count}}, int64(count)
			if s.Owner == slow {
				r.BusyMs *= 10
			}
			loads = append(loads, r)
		}
		g.renew(0, func(req *wire.SessionRenew) { req.Loads = loads })
		g.renew(1)
		g.renew(2)
		g.advanceAndTick(100 * time.Millisecond)
		g.Balance(ctx)
		moving := 0
		for _, s := range deskSlices(g.state.Table()) {
			if s.State == table.SliceReleasing {
				moving++
				g.mustApply(t, command.Command{Released: &command.Released{
					Service: "desk", Backend: s.Owner, Starts: []uint64{s.Start}, Epochs: []uint64{s.Epoch}}})
			}
		}
		maxMoved = max(maxMoved, moving)
	}
	return maxMoved
}

// newServingLeader returns a leader with three hosts, and 96 slices on 6 servers.
func newServingLeader(t *testing.T) *testLeader {
	g := newTestLeader()
	require(t, g.renew(0).Granted && g.renew(1).Granted && g.renew(2).Granted, "no sessions")
	g.populate(t, 96, 6)
	g.runLoad(t, 10*time.Second, "")
	g.checkBalanced(t)
	return g
}

// checkBalanced fails the test if the imbalance of equal slices exceeds 1.15 or a slice
// has no standby for a loss of its owner.
func (g *testLeader) checkBalanced(t *testing.T) {
	for i := 1; i <= 6; i++ {
		n := len(g.state.Table().SlicesOf("desk", fmt.Sprint("b", i)))
		require(t, n >= 8 && n <= 18, "b%d has %d of 96 slices", i, n)
	}
	for _, s := range deskSlices(g.state.Table()) {
		require(t, s.Standby != "" && s.Standby != s.Owner, "%+v is not ready for a loss", s)
	}
}

// Guards against a drained data centre that keeps or gets slices, a drain that
// reassigns slices before they are released, a restored data centre that gets no load
// again, and more slices moving than allowed.
func TestDrainAndRestoreDataCentre(t *testing.T) {
	is, g := is.New(t), newServingLeader(t)
	before := deskSlices(g.state.Table())
	g.mustApply(t, drainCommand("d1", command.DrainDataCentre, "dc1", true, 1))
	for i, s := range deskSlices(g.state.Table()) {
		is.Equal(s.Owner, before[i].Owner) // nothing is granted before the release
		if s.Owner == "b1" || s.Owner == "b4" {
			is.True(s.State == table.SliceReleasing && s.Next == before[i].Standby)
		}
		is.True(!g.state.Table().Backend("desk", s.Standby).Draining)
	}
	is.Equal(g.state.Drains(), []DrainStatus{{command.DrainDataCentre, "dc1", true, 1, "d1"}})
	g.runLoad(t, 5*time.Second, "")
	is.Equal(len(g.state.Table().SlicesOf("desk", "b1"))+len(g.state.Table().SlicesOf("desk", "b4")), 0)
	g.mustApply(t, drainCommand("d2", command.DrainDataCentre, "dc1", false, 2))
	is.True(g.runLoad(t, 20*time.Second, "") <= DefaultMaxMovingSlices)
	g.checkBalanced(t)
}

// Guards against hot keys that keep a server unbalanced, splits that are repeated
// endlessly, and moves back and forth under a steady load.
func TestHotKeysAreSplitAndBalanceConverges(t *testing.T) {
	is, g := is.New(t), newServingLeader(t)
	hot := []uint64{7, 1 << 40, 1 << 63}
	g.runLoad(t, 60*time.Second, "", hot...)
	for _, hash := range hot {
		s, _ := g.state.Table().Lookup("desk", hash)
		is.True(s.Start == hash && s.Last == hash)
	}
	is.Equal(g.state.Table().SliceCount("desk"), 96+2*3)
	revision := g.state.Table().Revision()
	g.runLoad(t, 60*time.Second, "", hot...)
	is.Equal(g.state.Table().Revision(), revision)
}

// Guards against slices that leave a brief straggler, that stay on a lasting one,
// and that do not return to one that recovered.
func TestSlicesLeaveLastingStraggler(t *testing.T) {
	is, g := is.New(t), newServingLeader(t)
	revision, held := g.state.Table().Revision(), func() int { return len(g.state.Table().SlicesOf("desk", "b1")) }
	g.runLoad(t, 5*time.Second, "b1")
	g.runLoad(t, 20*time.Second, "")
	is.Equal(g.state.Table().Revision(), revision)
	before := held()
	g.runLoad(t, 30*time.Second, "b1")
	is.True(held() > 0 && held() < before/2)
	g.runLoad(t, 60*time.Second, "")
	g.checkBalanced(t)
}

// Guards against keys that stay without an owner, or get two, when a dispatcher
// and a backend server that it served are lost together, and against a loss that
// leaves slices without a standby for a second one.
func TestDispatcherAndServerLostTogether(t *testing.T) {
	is, g := is.New(t), newServingLeader(t)
	lost, held := g.state.Table().Backend("desk", "b1"), g.state.Table().SlicesOf("desk", "b1")
	for range 11 {
		for i := range 3 {
			if hostJoined(i).Host != lost.Dispatcher {
				g.renew(i)
			}
		}
		g.advanceAndTick(100 * time.Millisecond)
	}
	is.Equal(g.state.Table().Backend("desk", "b1").Dispatcher, lost.StandbyDispatcher)
	// The standby dispatcher receives no announcement and reports the loss.
	index := g.mustApply(t, command.Command{BackendLost: &command.BackendLost{Service: "desk", Backend: "b1", Incarnation: "i1"}})
	for _, s := range held {
		now, _ := g.state.Table().Lookup("desk", s.Start)
		is.True(now.Owner == s.Standby && now.Epoch == index) // in one step
	}
	g.runLoad(t, 2*time.Second, "")
	for _, s := range deskSlices(g.state.Table()) {
		is.True(s.Standby != "" && s.Standby != "b1" && s.Standby != s.Owner)
	}
}
