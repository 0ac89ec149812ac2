package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// await takes the steps of the wait in Propose on the fake clock. step is called
// after each 10 ms.
func (g *group) await(revision uint64, wait time.Duration, step func()) wire.ProposalReply {
	var reply wire.ProposalReply
	deadline := g.clock.Now().Add(wait)
	for {
		if _, done := g.checkInForce(revision, deadline, &reply); done {
			return reply
		}
		g.clock.Advance(10 * time.Millisecond)
		step()
		g.Tick(ctx)
	}
}

// Guards against "in force" while a cut-off host may still route by the old
// table, and against waiting for it for ever.
func TestInForceWaitsForCutOffHost(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	g.clock.Advance(2 * time.Second) // past the grace
	is.True(g.renew(1).Granted && g.renew(2).Granted)
	cut := g.clock.Now()
	first := g.must(t, publish("p1", fileOf("desk", 1, 8, "")))
	reply := g.await(first, 5*time.Second, func() { g.renew(1) })
	is.True(reply.InForce)
	is.Equal(g.clock.Now().Sub(cut), 1010*time.Millisecond) // the session of h2 with its margin
	is.True(g.renew(2).Granted)
	second := g.must(t, publish("p2", fileOf("desk", 2, 8, "")))
	late := g.await(second, 300*time.Millisecond, func() {
		g.renew(1)
		g.renew(2, func(r *wire.SessionRenew) { r.Applied = first }) // has a session but lags
	})
	is.True(!late.InForce)
	is.Equal(late.Pending, []string{"h2"})
}

// Guards against a new leader that reports "in force" while hosts that it does
// not know may have sessions, and against a report by a leader without lease.
func TestInForceAfterElection(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	is.True(g.renew(1).Granted && g.renew(2).Granted)
	g.clock.Advance(2 * time.Second)
	elected := g.clock.Now()
	g.set(func(s *LeaderStatus) { s.Term, s.ElectedAt = 2, elected })
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
	is := is.New(t)
	g := newGroup()
	g.clock.Advance(2 * time.Second)
	is.True(g.renew(1).Granted)
	propose := func(c command.Command) wire.ProposalReply {
		data, err := c.Encode()
		is.NoErr(err)
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
	for err, want := range map[error]wire.ProposalStatus{
		ErrNotLeader: wire.ProposalNotLeader, ErrDropped: wire.ProposalDropped, context.DeadlineExceeded: wire.ProposalUnknown,
	} {
		g.fail = err
		is.Equal(propose(publish("p3", fileOf("desk", 3, 8, ""))).Status, want)
	}
}

// Guards against a watch that misses a change, that answers a host beyond the
// delta horizon with a delta, or that takes a host back to a lower revision.
func TestWatch(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	changed := make(chan wire.TableReply)
	go func() { changed <- g.Watch(ctx, wire.TableWatch{Host: "h1"}) }()
	is.True(g.renew(1).Granted)
	first := <-changed
	is.True(first.Revision > 0 && (first.Delta != nil || first.Snapshot != nil))
	g.populate(t, 8, 2)
	since := g.state.Table().Revision()
	for i := range maxHistory {
		h := hostJoined(2)
		h.AdminAddress = fmt.Sprintf("127.0.0.1:%d", i+1)
		g.must(t, command.Command{HostJoined: &h})
	}
	is.True(g.Watch(ctx, wire.TableWatch{Revision: since}).Delta != nil)
	beyond := g.Watch(ctx, wire.TableWatch{Revision: since - 1})
	is.True(beyond.Delta == nil)
	got, err := table.DecodeSnapshot(beyond.Snapshot)
	is.NoErr(err)
	is.Equal(got.Revision(), g.state.Table().Revision())
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	ahead := g.Watch(short, wire.TableWatch{Revision: got.Revision() + 5})
	is.True(ahead.Delta == nil && ahead.Snapshot == nil)
}
