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

const overdue = 1011 * time.Millisecond // one session with its drift margin, and 1 ms

// tick lets time pass and returns the names of the hosts that the leader took for lost.
func (g *group) tick(d time.Duration) (lost []string) {
	g.clock.Advance(d)
	for _, c := range g.Tick(ctx) {
		lost = append(lost, c.HostLost.Host)
	}
	return lost
}

// elect makes the leader that of a later term.
func (g *group) elect() {
	g.set(func(s *LeaderStatus) {
		s.IsLeader, s.Term, s.LeaseUntil, s.ElectedAt = true, s.Term+1, start.Add(time.Hour), g.clock.Now()
	})
}

// Guards against a new leader that takes hosts for expired before the sessions
// granted by the old one are over, or that never does.
func TestNewLeaderWaitsOneSession(t *testing.T) {
	is, g := is.New(t), newGroup()
	is.True(g.renew(0).Granted && g.renew(1).Granted && g.renew(2).Granted)
	g.clock.Advance(800 * time.Millisecond)
	g.elect()
	is.Equal(g.tick(1009*time.Millisecond), nil)
	is.True(g.renew(1).Granted) // survives the change of leader
	is.Equal(g.tick(2*time.Millisecond), []string{"h0", "h2"})
	is.Equal(len(g.state.Table().Hosts()), 1)
}

// Guards against a loop that does not expire sessions, or that does not stop.
func TestRunExpiresSessions(t *testing.T) {
	is, g := is.New(t), newGroup()
	is.True(g.renew(1).Granted)
	g.clock.Advance(overdue)
	running, cancel := context.WithCancel(ctx)
	done, changed := make(chan struct{}), g.state.Changed()
	go func() { defer close(done); g.Run(running) }()
	<-changed
	is.Equal(len(g.state.Table().Hosts()), 0)
	cancel()
	<-done
}

// Guards against a session that is granted without the leader lease, also when the
// lease ends while a command is being committed.
func TestNothingIsGrantedWithoutLease(t *testing.T) {
	is, g := is.New(t), newGroup()
	g.hook = func(c *command.Command) {
		if c.HostJoined != nil {
			g.set(func(s *LeaderStatus) { s.LeaseUntil = start })
		}
	}
	is.Equal(g.renew(1).Reason, "the leader lease has run out")
	g.hook = nil
	is.True(!g.renew(1).Granted && len(g.Tick(ctx)) == 0)
	g.set(func(s *LeaderStatus) { s.IsLeader, s.LeaderHost = false, "h7" })
	is.True(g.renew(1).Leader == "h7" && g.Watch(ctx, wire.TableWatch{}).Leader == "h7")
	g.elect()
	is.True(g.renew(1).Granted)
}

// Guards against an old process of a host that gets its session back after a new
// process has taken its place, two processes with sessions at once, and a host
// that returns with a table older than an accepted configuration.
func TestReturningHosts(t *testing.T) {
	is, g := is.New(t), newGroup()
	old := func(r *wire.SessionRenew) { r.Applied = 1 }
	is.True(g.renew(2, old).Granted)
	g.populate(t, 8, 2)
	is.True(g.renew(2, old).Granted) // behind, but with a session that is not over
	g.tick(overdue)
	is.True(strings.Contains(g.renew(2, old).Reason, "watch the table first"))
	is.True(g.renew(2).Granted)
	g.renew(2, func(r *wire.SessionRenew) { r.Closing = true })
	second := func(r *wire.SessionRenew) { r.Instance = "b" }
	is.True(g.renew(1).Granted)
	is.True(!g.renew(1, second).Granted) // the first one may still act
	g.clock.Advance(overdue)
	is.True(!g.renew(1, second).Granted) // its loss is not committed
	is.True(!g.renew(1).Granted)         // and its session is not extended either
	is.Equal(g.tick(0), []string{"h1"})
	is.True(g.renew(1, second).Granted && !g.renew(1).Granted)
	is.Equal(g.tick(overdue), []string{"h1"})
	is.True(!g.renew(1).Granted) // older, even when the newer one is lost
	is.True(g.renew(1, second).Granted)
	g.renew(1, second, func(r *wire.SessionRenew) { r.Closing = true })
	is.Equal(len(g.state.Table().Hosts()), 0)
}

// Guards against a HostLost that is delayed past a rejoin or a change of leader
// and takes the dispatcher roles from a host with a session.
func TestDelayedHostLostHasNoEffect(t *testing.T) {
	is, g := is.New(t), newGroup()
	var delayed command.Command
	g.hook = func(c *command.Command) {
		if c.HostLost != nil {
			delayed = *c
		}
	}
	is.True(g.renew(1).Granted)
	g.tick(overdue)
	is.True(g.renew(1).Granted)
	is.Equal(g.do(t, delayed).Code, command.ResultStale) // h1 joined again
	g.fail = ErrDropped
	g.tick(overdue) // decided in term 1, but on its way until term 2
	g.fail = nil
	g.elect()
	is.True(g.renew(1).Granted)
	is.Equal(g.do(t, delayed).Code, command.ResultStale)
	is.Equal(len(g.state.Table().Hosts()), 1)
}

// await takes the steps of the wait in Propose on the fake clock. step is called
// after each 10 ms.
func (g *group) await(revision uint64, wait time.Duration, step func()) (reply wire.ProposalReply) {
	for deadline := g.clock.Now().Add(wait); ; g.tick(0) {
		if _, done := g.checkInForce(revision, deadline, &reply); done {
			return reply
		}
		g.clock.Advance(10 * time.Millisecond)
		step()
	}
}

// Guards against "in force" while a cut-off host may still route by the old
// table, and against waiting for it for ever.
func TestInForceWaitsForCutOffHost(t *testing.T) {
	is, g := is.New(t), newGroup()
	g.clock.Advance(2 * time.Second) // past the grace
	is.True(g.renew(1).Granted && g.renew(2).Granted)
	cut := g.clock.Now()
	first := g.must(t, publish("p1", fileOf("desk", 1, 8, "")))
	is.True(g.await(first, 5*time.Second, func() { g.renew(1) }).InForce)
	is.Equal(g.clock.Now().Sub(cut), 1010*time.Millisecond) // the session of h2 with its margin
	is.True(g.renew(2).Granted)
	late := g.await(g.must(t, publish("p2", fileOf("desk", 2, 8, ""))), 300*time.Millisecond, func() {
		g.renew(1)
		g.renew(2, func(r *wire.SessionRenew) { r.Applied = first }) // has a session but lags
	})
	is.True(!late.InForce)
	is.Equal(late.Pending, []string{"h2"})
	is.Equal(g.Sessions()[1], SessionStatus{"h2", "a", true, 1010 * time.Millisecond, first})
	is.Equal(g.state.Published()[0].Version, uint64(2))
}

// Guards against a new leader that reports "in force" while hosts that it does
// not know may have sessions, and against a report by a leader without lease.
func TestInForceAfterElection(t *testing.T) {
	is, g := is.New(t), newGroup()
	is.True(g.renew(1).Granted && g.renew(2).Granted)
	g.clock.Advance(2 * time.Second)
	elected := g.clock.Now()
	g.elect()
	is.True(g.renew(1).Granted) // h2 may have a session of the old leader
	revision := g.must(t, publish("p1", fileOf("desk", 1, 8, "")))
	short := g.await(revision, 500*time.Millisecond, func() { g.renew(1) })
	is.True(!short.InForce)
	is.Equal(short.Pending, []string{"h2"})
	is.True(g.renew(2).Granted)
	known := g.await(revision, 100*time.Millisecond, func() {})
	is.True(!known.InForce && len(known.Pending) == 0) // all renewed, but the grace is not over
	is.True(g.await(revision, 5*time.Second, func() { g.renew(1) }).InForce)
	is.Equal(g.clock.Now().Sub(elected), 1010*time.Millisecond)
	g.set(func(s *LeaderStatus) { s.LeaseUntil = g.clock.Now() })
	is.True(!g.await(revision, time.Second, func() {}).InForce)
}

// Guards against a proposal whose answer claims more than is known of it.
func TestProposeAnswers(t *testing.T) {
	is, g := is.New(t), newGroup()
	g.clock.Advance(2 * time.Second)
	is.True(g.renew(1).Granted)
	propose := func(c command.Command) wire.ProposalReply {
		data, _ := c.Encode()
		return g.Leader.Propose(ctx, wire.Proposal{Command: data, WaitInForce: true, WaitMs: 60_000})
	}
	done := make(chan wire.ProposalReply)
	go func() { done <- propose(publish("p1", fileOf("desk", 1, 8, ""))) }()
	var reply wire.ProposalReply
	for reply.Status == "" {
		select {
		case reply = <-done:
		default:
			g.renew(1) // acknowledges what is applied
		}
	}
	is.True(reply.InForce)
	is.Equal(propose(publish("p1", fileOf("desk", 1, 8, ""))).Result, reply.Result) // a resend
	is.Equal(propose(publish("p1", fileOf("desk", 2, 8, ""))).Result.Code, command.ResultConflict)
	is.Equal(propose(command.Command{}).Status, wire.ProposalDropped)
	for g.fail, reply.Status = range map[error]wire.ProposalStatus{
		ErrNotLeader: wire.ProposalNotLeader, ErrDropped: wire.ProposalDropped, context.DeadlineExceeded: wire.ProposalUnknown,
	} {
		is.Equal(propose(publish("p3", fileOf("desk", 3, 8, ""))).Status, reply.Status)
	}
}

// Guards against a watch that misses a change, that answers a host beyond the
// delta horizon with a delta, or that takes a host back to a lower revision.
func TestWatch(t *testing.T) {
	is, g := is.New(t), newGroup()
	changed := make(chan wire.TableReply)
	go func() { changed <- g.Watch(ctx, wire.TableWatch{Host: "h1"}) }()
	is.True(g.renew(1).Granted)
	first := <-changed
	is.True(first.Revision > 0 && (first.Delta != nil || first.Snapshot != nil))
	g.populate(t, 8, 2)
	since := g.state.Table().Revision()
	for range maxHistory {
		g.must(t, command.Command{Repair: &command.Repair{Service: "desk"}})
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

// A configuration of a thousand routes while servers come and go: guards against a
// leader that encodes it again for each host and each revision, which took more
// processor time than the leader has, and against hosts that end with another table.
func TestLargeChangeIsEncodedOnce(t *testing.T) {
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
	for i := range 2 * largeChanges {
		many = append(many, items.Item{Key: items.Key{Kind: items.KindRoute, Name: fmt.Sprint("r", i)}, Version: 2,
			Route: &items.Route{Host: "a", PathPrefix: fmt.Sprint("/", i, "/"), Timeout: time.Second, Shares: []items.Share{{Service: "desk", Weight: 1}}}})
	}
	apply(command.Command{PatchItems: &command.PatchItems{Items: many}})
	var large [][]byte
	follow := func(t *table.Table) *table.Table {
		for t.Revision() < at {
			delta, _, to := s.Changes(t.Revision())
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

// Guards against a patch that is sent again and again and takes its way through the
// log each time, and against an answer to one that is new or invalid.
func TestPatchThatIsHeldNeedsNoLog(t *testing.T) {
	is, g := is.New(t), newGroup()
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

// settle lets time pass in which all hosts renew, one of them reports 10 requests
// per slice and 300 more per hot key, each of 1 ms or of 10 ms on the server slow,
// and moves are confirmed. It returns the largest number of slices on the move.
func (g *group) settle(t *testing.T, d time.Duration, slow string, hot ...uint64) (most int) {
	for range d / (100 * time.Millisecond) {
		var loads []wire.SliceLoads
		for _, s := range slicesOf(g.state.Table()) {
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
		g.tick(100 * time.Millisecond)
		g.Balance(ctx)
		moving := 0
		for _, s := range slicesOf(g.state.Table()) {
			if s.State == table.SliceReleasing {
				moving++
				g.must(t, command.Command{Released: &command.Released{
					Service: "desk", Backend: s.Owner, Starts: []uint64{s.Start}, Epochs: []uint64{s.Epoch}}})
			}
		}
		most = max(most, moving)
	}
	return most
}

// serving returns a group with three hosts, and 96 slices on 6 servers.
func serving(t *testing.T) *group {
	g := newGroup()
	check(t, g.renew(0).Granted && g.renew(1).Granted && g.renew(2).Granted, "no sessions")
	g.populate(t, 96, 6)
	g.settle(t, 10*time.Second, "")
	g.checkEven(t)
	return g
}

// checkEven fails when the imbalance of equal slices exceeds 1.15 or a slice is
// not ready for a loss.
func (g *group) checkEven(t *testing.T) {
	for i := 1; i <= 6; i++ {
		n := len(g.state.Table().SlicesOf("desk", fmt.Sprint("b", i)))
		check(t, n >= 8 && n <= 18, "b%d has %d of 96 slices", i, n)
	}
	for _, s := range slicesOf(g.state.Table()) {
		check(t, s.Standby != "" && s.Standby != s.Owner, "%+v is not ready for a loss", s)
	}
}

// Guards against a drained data centre that keeps or gets slices, a drain that
// gives slices away before they are released, a restored one that gets no load
// back, and more slices on the move than allowed.
func TestDrainAndRestoreDataCentre(t *testing.T) {
	is, g := is.New(t), serving(t)
	before := slicesOf(g.state.Table())
	g.must(t, drain("d1", command.DrainDataCentre, "dc1", true, 1))
	for i, s := range slicesOf(g.state.Table()) {
		is.Equal(s.Owner, before[i].Owner) // nothing is granted before the release
		if s.Owner == "b1" || s.Owner == "b4" {
			is.True(s.State == table.SliceReleasing && s.Next == before[i].Standby)
		}
		is.True(!g.state.Table().Backend("desk", s.Standby).Draining)
	}
	is.Equal(g.state.Drains(), []DrainStatus{{command.DrainDataCentre, "dc1", true, 1, "d1"}})
	g.settle(t, 5*time.Second, "")
	is.Equal(len(g.state.Table().SlicesOf("desk", "b1"))+len(g.state.Table().SlicesOf("desk", "b4")), 0)
	g.must(t, drain("d2", command.DrainDataCentre, "dc1", false, 2))
	is.True(g.settle(t, 20*time.Second, "") <= DefaultMaxMoving)
	g.checkEven(t)
}

// Guards against hot keys that keep the load of a server uneven, splits that are
// repeated for ever, and moves back and forth under a steady load.
func TestHotKeysAreSplitAndLoadSettles(t *testing.T) {
	is, g := is.New(t), serving(t)
	hot := []uint64{7, 1 << 40, 1 << 63}
	g.settle(t, 60*time.Second, "", hot...)
	for _, hash := range hot {
		s, _ := g.state.Table().Lookup("desk", hash)
		is.True(s.Start == hash && s.Last == hash)
	}
	is.Equal(g.state.Table().SliceCount("desk"), 96+2*3)
	revision := g.state.Table().Revision()
	g.settle(t, 60*time.Second, "", hot...)
	is.Equal(g.state.Table().Revision(), revision)
}

// Guards against slices that leave a brief straggler, that stay on a lasting one,
// and that do not come back to one that recovered.
func TestSlicesLeaveLastingStraggler(t *testing.T) {
	is, g := is.New(t), serving(t)
	revision, held := g.state.Table().Revision(), func() int { return len(g.state.Table().SlicesOf("desk", "b1")) }
	g.settle(t, 5*time.Second, "b1")
	g.settle(t, 20*time.Second, "")
	is.Equal(g.state.Table().Revision(), revision)
	before := held()
	g.settle(t, 30*time.Second, "b1")
	is.True(held() > 0 && held() < before/2)
	g.settle(t, 60*time.Second, "")
	g.checkEven(t)
}

// Guards against keys that stay without an owner, or get two, when a dispatcher
// and a backend server that it served are lost together, and against a loss that
// leaves slices unprepared for a second one.
func TestDispatcherAndServerLostTogether(t *testing.T) {
	is, g := is.New(t), serving(t)
	victim, held := g.state.Table().Backend("desk", "b1"), g.state.Table().SlicesOf("desk", "b1")
	for range 11 {
		for i := range 3 {
			if hostJoined(i).Host != victim.Dispatcher {
				g.renew(i)
			}
		}
		g.tick(100 * time.Millisecond)
	}
	is.Equal(g.state.Table().Backend("desk", "b1").Dispatcher, victim.StandbyDispatcher)
	// The standby dispatcher hears nothing and reports the loss.
	index := g.must(t, command.Command{BackendLost: &command.BackendLost{Service: "desk", Backend: "b1", Incarnation: "i1"}})
	for _, s := range held {
		now, _ := g.state.Table().Lookup("desk", s.Start)
		is.True(now.Owner == s.Standby && now.Epoch == index) // in one step
	}
	g.settle(t, 2*time.Second, "")
	for _, s := range slicesOf(g.state.Table()) {
		is.True(s.Standby != "" && s.Standby != "b1" && s.Standby != s.Owner)
	}
}
