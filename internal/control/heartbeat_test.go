package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// reporters are backend servers that report to a leader and take what it grants.
type reporters struct {
	*group
	beats map[string]*wire.Heartbeat
}

func newReporters(t testing.TB, n int) *reporters {
	r := &reporters{group: newGroup(), beats: map[string]*wire.Heartbeat{}}
	r.must(t, command.Command{PatchItems: &command.PatchItems{Items: deskItems(1)}})
	for i := range n {
		name := fmt.Sprintf("b%03d", i)
		r.beats[name] = &wire.Heartbeat{Service: "desk", Backend: name, Born: 5, DataCentre: fmt.Sprint("dc", i%3),
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: 2}
	}
	r.round()
	for range 8 { // the leader cuts the service, waits for further servers, and gives the keys out
		r.clock.Advance(maxSettle / 4)
		r.Balance(ctx)
		r.Tick(ctx)
		r.round()
	}
	return r
}

// report sends the next heartbeat of a backend server and takes the answer.
func (r *reporters) report(name string) wire.HeartbeatReply {
	hb := r.beats[name]
	hb.Sequence++
	reply := r.Heartbeat(ctx, *hb)
	if reply.Grant {
		hb.Released = nil
		for _, held := range hb.Holds {
			if !covered(reply.Holds, held) {
				hb.Released = append(hb.Released, wire.KeyRange{First: held.First, Last: held.Last, Handover: "token of " + name})
			}
		}
		hb.Holds = reply.Holds
	}
	return reply
}

func covered(ranges []wire.KeyRange, held wire.KeyRange) bool {
	for _, r := range ranges {
		if r.First <= held.First && held.Last <= r.Last {
			return true
		}
	}
	return false
}

func (r *reporters) round() {
	for _, name := range sortedNames(r.beats) {
		r.report(name)
	}
}

// holders returns who holds each first key of a slice, by the answers.
func (r *reporters) holders(key uint64) (names []string) {
	for _, name := range sortedNames(r.beats) {
		for _, held := range r.beats[name].Holds {
			if held.First <= key && key <= held.Last {
				names = append(names, name)
			}
		}
	}
	return names
}

// Guards against keys that nobody holds after the start, that two servers hold, and
// that the first server of many gets all.
func TestKeysAreGivenOutOnceAllServersCame(t *testing.T) {
	is, r := is.New(t), newReporters(t, 6)
	for s := range r.state.Table().AllSlices("desk") {
		is.Equal(r.holders(s.Start), []string{s.Owner})
	}
	for _, name := range sortedNames(r.beats) {
		is.True(len(r.state.Table().SlicesOf("desk", name)) > 30)
	}
}

// Guards against a key of a lost server that passes on while its lease may last, and
// against one that does not pass on after it.
func TestLostServersKeysPassOnAfterItsLease(t *testing.T) {
	is, r := is.New(t), newReporters(t, 3)
	lost := r.beats["b000"]
	held := len(r.state.Table().SlicesOf("desk", "b000"))
	is.True(held > 0)
	delete(r.beats, "b000")
	span := DefaultBackendHold + time.Duration(backendClockDrift*float64(DefaultBackendHold))
	for range 4 {
		r.clock.Advance(span / 4)
		is.Equal(len(r.state.Table().SlicesOf("desk", "b000")), held)
		r.round()
	}
	r.Tick(ctx)
	is.True(r.state.Table().Backend("desk", "b000").Lost)
	r.clock.Advance(time.Second)
	r.Tick(ctx)
	r.round()
	for s := range r.state.Table().AllSlices("desk") {
		is.Equal(r.holders(s.Start), []string{s.Owner})
	}
	// It comes back with what it held: it is told that it holds nothing.
	reply := r.Heartbeat(ctx, wire.Heartbeat{Service: "desk", Backend: "b000", Born: 5, Sequence: lost.Sequence + 1, DataCentre: "dc0",
		Address: lost.Address, Slots: 2, Holds: lost.Holds})
	is.True(reply.Acked)
	is.Equal(len(reply.Holds), 0)
}

// Guards against a leaving server that keeps its keys, and against two holders on the
// way.
func TestLeavingServerIsEmptiedByItsHeartbeats(t *testing.T) {
	is, r := is.New(t), newReporters(t, 3)
	r.beats["b000"].Leaving = true
	is.True(r.report("b000").Acked)
	is.True(r.state.Table().Backend("desk", "b000").Leaving)
	for range 3 {
		r.clock.Advance(time.Second)
		r.Tick(ctx)
		r.round()
		for s := range r.state.Table().AllSlices("desk") {
			is.True(len(r.holders(s.Start)) <= 1)
		}
	}
	is.Equal(len(r.beats["b000"].Holds), 0)
	for s := range r.state.Table().AllSlices("desk") {
		is.Equal(r.holders(s.Start), []string{s.Owner})
		is.Equal(s.State, table.SliceOwned)
	}
}

// Guards against a leader that grants before the leases of the one before are over,
// and one that grants after its own has run out.
func TestNewLeaderRenewsAtOnceAndMovesLater(t *testing.T) {
	is, r := is.New(t), newReporters(t, 3)
	r.set(func(s *LeaderStatus) { s.Term, s.ElectedAt = 2, r.clock.Now() })
	is.True(r.report("b000").Grant) // renewed
	r.clock.Advance(DefaultBackendHold)
	r.Tick(ctx)
	is.True(!r.state.Table().Backend("desk", "b001").Lost) // silent, but its lease may last
	r.set(func(s *LeaderStatus) { s.LeaseUntil = r.clock.Now() })
	reply := r.report("b001")
	is.True(!reply.Acked && !reply.Grant)
}

// Guards against a server whose end is acknowledged without being recorded: the commit
// failed, and the heartbeat comes once more, or an earlier one comes late.
func TestLeavingIsAcknowledgedOnlyOnceItIsRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		back  uint64 // sequences before the first one
	}{
		"the same heartbeat at once": {0, 0},
		"the same heartbeat later":   {3 * time.Second, 0},
		"an earlier heartbeat":       {0, 1},
	} {
		is, r := is.New(t), newReporters(t, 3)
		hb := *r.beats["b000"]
		hb.Sequence, hb.Leaving = hb.Sequence+2, true
		r.fail = ErrDropped
		is.True(!r.Heartbeat(ctx, hb).Acked)
		r.clock.Advance(c.after)
		hb.Sequence -= c.back
		if r.Heartbeat(ctx, hb).Acked {
			t.Errorf("%s: acknowledged, but the commit failed", name)
		}
		r.fail = nil
		is.True(r.Heartbeat(ctx, hb).Acked)
		is.True(r.state.Table().Backend("desk", "b000").Leaving)
	}
}

// Guards against keys that are lost because a heartbeat was passed on twice and the
// second answer, the one that the server gets, renews nothing; and against a copy that
// comes late and renews.
func TestRepeatedHeartbeatIsAnsweredInFull(t *testing.T) {
	is, r := is.New(t), newReporters(t, 3)
	hb := r.beats["b000"]
	is.True(r.report("b000").Grant)
	again := r.Heartbeat(ctx, *hb)
	is.True(again.Grant)
	is.Equal(again.Holds, hb.Holds)
	r.clock.Advance(repeatTime + 1)
	is.True(!r.Heartbeat(ctx, *hb).Grant)
}

const repeatTime = time.Second // for which a server waits for an answer

// Guards against a late heartbeat that renews or revives anything, and one of another
// writer that is recorded.
func TestLateAndForeignHeartbeats(t *testing.T) {
	is, r := is.New(t), newReporters(t, 3)
	late := *r.beats["b000"]
	late.Sequence = 1
	reply := r.Heartbeat(ctx, late)
	is.True(reply.Acked && !reply.Grant)
	foreign := late
	foreign.Backend, foreign.Service = "bx", "unknown"
	is.True(!r.Heartbeat(ctx, foreign).Acked)
	foreign.Service, foreign.Address = "desk", "nowhere"
	is.True(r.Heartbeat(ctx, foreign).Refused)
	older := late
	older.Backend, older.Born, older.Sequence = "by", 4, 1 // at the address of b000, which was born later
	is.True(!r.Heartbeat(ctx, older).Grant)
	is.True(r.state.Table().Backend("desk", "by") == nil)
	is.True(!r.state.Table().Backend("desk", "b000").Lost)
}

// The time of a heartbeat of one of 396 servers on the leader.
func BenchmarkHeartbeat(b *testing.B) {
	r := newReporters(b, 396)
	names := sortedNames(r.beats)
	i := 0
	for b.Loop() {
		r.report(names[i%len(names)])
		i++
	}
}

// The time of a tick and of a balance with 396 servers.
func BenchmarkTickAndBalance(b *testing.B) {
	r := newReporters(b, 396)
	for i := range uint64(4096) {
		r.loads.add([]wire.SliceLoads{{Service: "desk", Backend: "b001", BusyMs: 100, Slices: []wire.SliceCount{{Start: i << 52, Count: i%17 + 1}},
			Keys: []wire.KeyCount{{Hash: i << 52, Count: i%17 + 1}}}}, r.state.Table())
	}
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			r.Tick(ctx)
		}
	})
	b.Run("balance", func(b *testing.B) {
		for b.Loop() {
			r.clock.Advance(time.Second)
			r.Balance(ctx)
		}
	})
}

// The time of applying one report on every control replica.
func BenchmarkApplyReport(b *testing.B) {
	r := newReporters(b, 396)
	i := 0
	for b.Loop() {
		i++
		r.must(b, command.Command{BackendReported: &command.BackendReported{Service: "desk", Backend: fmt.Sprintf("b%03d", i%396), Born: 5,
			DataCentre: fmt.Sprint("dc", i%396%3), Address: fmt.Sprintf("10.0.%d.%d:80", i%396/250, i%396%250), Slots: 2, Cold: i/396%2 == 0}})
	}
}

// A server deregisters before its delayed first heartbeat arrives. Guards against an
// acknowledged end that nothing records, after which the heartbeat makes the server known.
func TestEndOfAnUnknownServerIsNotAcknowledged(t *testing.T) {
	is, r := is.New(t), newReporters(t, 3)
	end := wire.Deregister{Backend: "late"}
	is.True(!r.Deregister(ctx, end).Acked)
	r.beats["late"] = &wire.Heartbeat{Service: "desk", Backend: "late", Born: 5, DataCentre: "dc0", Address: "10.0.9.9:80", Slots: 2}
	is.True(r.report("late").Acked)
	is.True(r.Deregister(ctx, end).Acked)
	is.True(r.state.Table().Backend("desk", "late").Leaving)
}

// A heartbeat is held up by a cut while its sender ends and is counted as lost. Guards
// against a dead server that is in use again, at the leader that knew it and at a new one,
// and against a server that only was out of reach and does not get back.
func TestHeldUpHeartbeatDoesNotReviveALostServer(t *testing.T) {
	for name, elect := range map[string]bool{"the same leader": false, "a new leader": true} {
		t.Run(name, func(t *testing.T) {
			is, r := is.New(t), newReporters(t, 3)
			heldUp := []wire.Heartbeat{*r.beats["b000"], *r.beats["b000"]}
			for i := range heldUp {
				heldUp[i].Sequence += uint64(1 + i)
			}
			others := func() { r.report("b001"); r.report("b002") }
			for range 8 {
				r.clock.Advance(time.Second)
				others()
				r.Tick(ctx)
			}
			lost := func() bool { return r.state.Table().Backend("desk", "b000").Lost }
			is.True(lost())
			if elect {
				r.set(func(s *LeaderStatus) { s.Term++; s.ElectedAt = r.clock.Now() })
			}
			for _, hb := range heldUp {
				r.Heartbeat(ctx, hb)
				is.True(lost())
			}
			r.beats["b000"].Sequence += 2
			r.beats["b000"].Holds = nil
			for range 2 {
				r.clock.Advance(DefaultHeartbeatInterval)
				is.True(r.report("b000").Acked)
			}
			is.True(!lost())
		})
	}
}
