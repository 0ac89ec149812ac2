package control

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

var ctx = context.Background()

// Guards against a group that cannot get from nothing to a host with a session
// and a keyed service with owners, standbys and dispatchers.
func TestBootstrapToServing(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	is.True(g.renew(1).Granted)
	is.True(g.renew(2).Granted)
	g.populate(t, 64, 4)
	for _, s := range slicesOf(g.state.Table(), "desk") {
		is.True(s.Owner != "" && s.Standby != "" && s.Owner != s.Standby)
	}
	for _, b := range g.state.Table().Members("desk") {
		is.True(b.Dispatcher != "" && b.StandbyDispatcher != "" && b.Dispatcher != b.StandbyDispatcher)
		for _, s := range g.state.Table().SlicesOf("desk", b.Name) {
			is.True(b.Epoch >= s.Epoch)
		}
	}
}

// lost names the hosts whose loss the leader proposed.
func lost(due []command.Command) (out []string) {
	for _, c := range due {
		if c.HostLost != nil {
			out = append(out, c.HostLost.Host)
		}
	}
	return out
}

// Guards against a new leader that takes hosts for expired before the sessions
// granted by the old one are over, or that never does.
func TestNewLeaderWaitsOneSession(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	for i := range 3 {
		is.True(g.renew(i).Granted)
	}
	g.clock.Advance(800 * time.Millisecond)
	g.set(func(s *LeaderStatus) { s.Term, s.ElectedAt = 2, g.clock.Now() })
	is.Equal(lost(g.Tick(ctx)), nil)
	g.clock.Advance(1009 * time.Millisecond)
	is.True(g.renew(1).Granted) // survives the change of leader
	is.Equal(lost(g.Tick(ctx)), nil)
	g.clock.Advance(2 * time.Millisecond)
	is.Equal(lost(g.Tick(ctx)), []string{"h0", "h2"})
	is.Equal(len(g.state.Table().Hosts()), 1)
}

// Guards against a session that is granted or reported in force without the
// leader lease, also when the lease ends while a command is being committed.
func TestNothingIsGrantedWithoutLease(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	g.hook = func(c *command.Command) {
		if c.HostJoined != nil {
			g.set(func(s *LeaderStatus) { s.LeaseUntil = start })
		}
	}
	is.Equal(g.renew(1).Reason, "the leader lease has run out")
	g.hook = nil
	is.True(!g.renew(1).Granted)
	is.Equal(len(g.Tick(ctx)), 0)
	g.set(func(s *LeaderStatus) { s.IsLeader, s.LeaderHost = false, "h7" })
	is.Equal(g.renew(1).Leader, "h7")
	is.Equal(g.Watch(ctx, wire.TableWatch{}).Leader, "h7")
	// Elected again: h1 is in the state but may have a session of another leader.
	g.set(func(s *LeaderStatus) {
		s.IsLeader, s.Term, s.LeaseUntil, s.ElectedAt = true, 3, start.Add(time.Hour), g.clock.Now()
	})
	is.True(g.renew(1).Granted)
}

// Guards against an old process of a host that gets its session back after a new
// process has taken its place, and against two processes with sessions at once.
func TestInstancesOfOneHost(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	second := func(r *wire.SessionRenew) { r.Instance = "b" }
	is.True(g.renew(1).Granted)
	is.True(!g.renew(1, second).Granted) // the first one may still act
	g.clock.Advance(1011 * time.Millisecond)
	is.True(!g.renew(1, second).Granted) // its loss is not committed
	is.True(!g.renew(1).Granted)         // and its session is not extended either
	is.Equal(lost(g.Tick(ctx)), []string{"h1"})
	is.True(g.renew(1, second).Granted)
	is.True(!g.renew(1).Granted)
	g.clock.Advance(1011 * time.Millisecond)
	g.Tick(ctx)
	is.True(!g.renew(1).Granted) // older, even when the newer one is lost
	is.True(g.renew(1, second).Granted)
	g.renew(1, second, func(r *wire.SessionRenew) { r.Closing = true })
	is.Equal(len(g.state.Table().Hosts()), 0)
}

// Guards against a HostLost that is delayed past a rejoin or a change of leader
// and takes the dispatcher roles from a host with a session.
func TestDelayedHostLostHasNoEffect(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	var delayed []command.Command
	g.hook = func(c *command.Command) {
		if c.HostLost != nil {
			delayed = append(delayed, *c)
		}
	}
	is.True(g.renew(1).Granted)
	g.clock.Advance(1011 * time.Millisecond)
	g.Tick(ctx)
	is.True(g.renew(1).Granted)
	is.Equal(g.do(t, delayed[0]).Code, command.ResultStale) // h1 joined again
	g.clock.Advance(1011 * time.Millisecond)
	g.fail = ErrDropped
	g.Tick(ctx) // decided in term 1, but on its way until term 2
	g.fail = nil
	g.set(func(s *LeaderStatus) { s.Term, s.ElectedAt = 2, g.clock.Now() })
	is.True(g.renew(1).Granted)
	is.Equal(g.do(t, delayed[len(delayed)-1]).Code, command.ResultStale)
	is.Equal(len(g.state.Table().Hosts()), 1)
}

// Guards against a host that returns with a table older than an accepted
// configuration, which would revert the configuration there.
func TestReturningHostNeedsAcceptedConfiguration(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	old := func(r *wire.SessionRenew) { r.Applied = 1 }
	is.True(g.renew(1, old).Granted)
	g.populate(t, 8, 2)
	is.True(g.renew(1, old).Granted) // behind, but with a session that is not over
	g.clock.Advance(1011 * time.Millisecond)
	g.Tick(ctx)
	is.True(strings.Contains(g.renew(1, old).Reason, "watch the table first"))
	is.True(g.renew(1).Granted)
}

// Guards against keys that stay without an owner, or get two, when a dispatcher
// and the backend server that it served are lost together.
func TestDispatcherAndServerLostTogether(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	for i := range 3 {
		is.True(g.renew(i).Granted)
	}
	g.populate(t, 64, 3)
	g.settle(t, 3*time.Second, nil)
	victim := g.state.Table().Backend("desk", "b1")
	held := g.state.Table().SlicesOf("desk", "b1")
	is.True(len(held) > 0)
	for range 11 {
		g.clock.Advance(100 * time.Millisecond)
		for i := range 3 {
			if hostJoined(i).Host != victim.Dispatcher {
				g.renew(i)
			}
		}
		g.Tick(ctx)
	}
	is.Equal(g.state.Table().Host(victim.Dispatcher), nil)
	is.Equal(g.state.Table().Backend("desk", "b1").Dispatcher, victim.StandbyDispatcher)
	// The standby dispatcher hears nothing and reports the loss.
	index := g.must(t, command.Command{BackendLost: &command.BackendLost{Service: "desk", Backend: "b1", Incarnation: "i1"}})
	for _, s := range held {
		now, _ := g.state.Table().Lookup("desk", s.Start)
		is.Equal(now.Owner, s.Standby) // in one step
		is.Equal(now.Epoch, index)
	}
	g.settle(t, 2*time.Second, nil)
	for _, s := range slicesOf(g.state.Table(), "desk") {
		is.True(s.Standby != "" && s.Standby != "b1" && s.Standby != s.Owner) // ready for a second loss
	}
}

// releaseAll confirms all moves, as dispatchers do.
func (g *group) releaseAll(t *testing.T) {
	for _, s := range slicesOf(g.state.Table(), "desk") {
		if s.State == table.SliceReleasing {
			g.must(t, command.Command{Released: &command.Released{
				Service: "desk", Backend: s.Owner, Starts: []uint64{s.Start}, Epochs: []uint64{s.Epoch}}})
		}
	}
}
