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

// heartbeatFleet is a leader with backend servers that send it heartbeats and apply its
// replies.
type heartbeatFleet struct {
	*testLeader
	heartbeats map[string]*wire.Heartbeat
}

func newHeartbeatFleet(t testing.TB, n int) *heartbeatFleet {
	r := &heartbeatFleet{testLeader: newTestLeader(), heartbeats: map[string]*wire.Heartbeat{}}
	r.mustApply(t, command.Command{PatchItems: &command.PatchItems{Items: deskItems(1)}})
	for i := range n {
		name := fmt.Sprintf("b%03d", i)
		r.heartbeats[name] = &wire.Heartbeat{Service: "desk", Backend: name, Born: 5, DataCentre: fmt.Sprint("dc", i%3),
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: 2}
	}
	r.sendAllHeartbeats()
	for range 8 { // the leader splits the service, waits for further servers, and assigns the keys
		r.clock.Advance(maxArrivalWait / 4)
		r.Balance(ctx)
		r.Tick(ctx)
		r.sendAllHeartbeats()
	}
	return r
}

// sendHeartbeat sends the next heartbeat of a backend server and applies the reply.
func (r *heartbeatFleet) sendHeartbeat(name string) wire.HeartbeatReply {
	hb := r.heartbeats[name]
	hb.Sequence++
	reply := r.Heartbeat(ctx, *hb)
	if reply.Grant {
		hb.Released = nil
		for _, held := range hb.Held {
			if !covered(reply.Granted, held) {
				hb.Released = append(hb.Released, wire.KeyRange{First: held.First, Last: held.Last, Handover: "token of " + name})
			}
		}
		hb.Held = reply.Granted
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

func (r *heartbeatFleet) sendAllHeartbeats() {
	for _, name := range sortedNames(r.heartbeats) {
		r.sendHeartbeat(name)
	}
}

// holders returns the servers that hold a key according to the replies.
func (r *heartbeatFleet) holders(key uint64) (servers []string) {
	for _, name := range sortedNames(r.heartbeats) {
		for _, held := range r.heartbeats[name].Held {
			if held.First <= key && key <= held.Last {
				servers = append(servers, name)
			}
		}
	}
	return servers
}

// Guards against keys that no server or two servers hold after the start, and against
// the first of many servers getting all keys.
func TestInitialAssignmentWaitsForAllServers(t *testing.T) {
	is, r := is.New(t), newHeartbeatFleet(t, 6)
	for s := range r.state.Table().AllSlices("desk") {
		is.Equal(r.holders(s.Start), []string{s.Owner})
	}
	for _, name := range sortedNames(r.heartbeats) {
		is.True(len(r.state.Table().SlicesOf("desk", name)) > 30)
	}
}

// Guards against a key of a lost server that gets a new owner while the lease may last,
// and against one that gets none after it.
func TestKeysOfLostServerAreReassignedAfterItsLease(t *testing.T) {
	is, r := is.New(t), newHeartbeatFleet(t, 3)
	lost := r.heartbeats["b000"]
	held := len(r.state.Table().SlicesOf("desk", "b000"))
	is.True(held > 0)
	delete(r.heartbeats, "b000")
	maxDuration := DefaultBackendLeaseDuration + time.Duration(backendClockDrift*float64(DefaultBackendLeaseDuration))
	for range 4 {
		r.clock.Advance(maxDuration / 4)
		is.Equal(len(r.state.Table().SlicesOf("desk", "b000")), held)
		r.sendAllHeartbeats()
	}
	r.Tick(ctx)
	is.True(r.state.Table().Backend("desk", "b000").Lost)
	r.clock.Advance(time.Second)
	r.Tick(ctx)
	r.sendAllHeartbeats()
	for s := range r.state.Table().AllSlices("desk") {
		is.Equal(r.holders(s.Start), []string{s.Owner})
	}
	// It returns and reports its old keys: the reply grants none of them.
	reply := r.Heartbeat(ctx, wire.Heartbeat{Service: "desk", Backend: "b000", Born: 5, Sequence: lost.Sequence + 1, DataCentre: "dc0",
		Address: lost.Address, Slots: 2, Held: lost.Held})
	is.True(reply.Acked)
	is.Equal(len(reply.Granted), 0)
}

// Guards against a leaving server that keeps its keys, and against keys with two holders
// while they move.
func TestLeavingServerReleasesItsKeys(t *testing.T) {
	is, r := is.New(t), newHeartbeatFleet(t, 3)
	r.heartbeats["b000"].Leaving = true
	is.True(r.sendHeartbeat("b000").Acked)
	is.True(r.state.Table().Backend("desk", "b000").Leaving)
	for range 3 {
		r.clock.Advance(time.Second)
		r.Tick(ctx)
		r.sendAllHeartbeats()
		for s := range r.state.Table().AllSlices("desk") {
			is.True(len(r.holders(s.Start)) <= 1)
		}
	}
	is.Equal(len(r.heartbeats["b000"].Held), 0)
	for s := range r.state.Table().AllSlices("desk") {
		is.Equal(r.holders(s.Start), []string{s.Owner})
		is.Equal(s.State, table.SliceOwned)
	}
}

// Guards against a new leader that takes a server for lost before the leases granted by
// the previous leader have expired, and against grants after the leader lease has lapsed.
func TestNewLeaderRenewsLeasesButDelaysLosses(t *testing.T) {
	is, r := is.New(t), newHeartbeatFleet(t, 3)
	r.setStatus(func(s *LeaderStatus) { s.Term, s.ElectedAt = 2, r.clock.Now() })
	is.True(r.sendHeartbeat("b000").Grant) // renewed
	r.clock.Advance(DefaultBackendLeaseDuration)
	r.Tick(ctx)
	is.True(!r.state.Table().Backend("desk", "b001").Lost) // sent no heartbeat, but its lease may not have expired
	r.setStatus(func(s *LeaderStatus) { s.LeaseUntil = r.clock.Now() })
	reply := r.sendHeartbeat("b001")
	is.True(!reply.Acked && !reply.Grant)
}

// Guards against a leaving server that is acknowledged without being recorded: the commit
// failed, and the heartbeat is repeated, or an earlier one arrives late.
func TestLeavingIsAcknowledgedOnlyAfterCommit(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		back  uint64 // subtracted from the sequence of the first one
	}{
		"the same heartbeat at once": {0, 0},
		"the same heartbeat later":   {3 * time.Second, 0},
		"an earlier heartbeat":       {0, 1},
	} {
		is, r := is.New(t), newHeartbeatFleet(t, 3)
		hb := *r.heartbeats["b000"]
		hb.Sequence, hb.Leaving = hb.Sequence+2, true
		r.proposeErr = ErrNotAppended
		is.True(!r.Heartbeat(ctx, hb).Acked)
		r.clock.Advance(c.after)
		hb.Sequence -= c.back
		if r.Heartbeat(ctx, hb).Acked {
			t.Errorf("%s: acknowledged, but the commit failed", name)
		}
		r.proposeErr = nil
		is.True(r.Heartbeat(ctx, hb).Acked)
		is.True(r.state.Table().Backend("desk", "b000").Leaving)
	}
}

// Guards against leases that expire because a heartbeat was forwarded twice and the
// second reply, the one that the server gets, renews nothing; and against a late
// duplicate that renews.
func TestDuplicateHeartbeatGetsFullReply(t *testing.T) {
	is, r := is.New(t), newHeartbeatFleet(t, 3)
	hb := r.heartbeats["b000"]
	is.True(r.sendHeartbeat("b000").Grant)
	duplicate := r.Heartbeat(ctx, *hb)
	is.True(duplicate.Grant)
	is.Equal(duplicate.Granted, hb.Held)
	r.clock.Advance(retryWindow + 1)
	is.True(!r.Heartbeat(ctx, *hb).Grant)
}

const retryWindow = time.Second // for which a server waits for a reply

// Guards against a stale heartbeat that renews a lease or revives a server, and against
// an invalid heartbeat that is recorded.
func TestStaleAndInvalidHeartbeats(t *testing.T) {
	is, r := is.New(t), newHeartbeatFleet(t, 3)
	stale := *r.heartbeats["b000"]
	stale.Sequence = 1
	reply := r.Heartbeat(ctx, stale)
	is.True(reply.Acked && !reply.Grant)
	invalid := stale
	invalid.Backend, invalid.Service = "bx", "unknown"
	is.True(!r.Heartbeat(ctx, invalid).Acked)
	invalid.Service, invalid.Address = "desk", "nowhere"
	is.True(r.Heartbeat(ctx, invalid).Refused)
	older := stale
	older.Backend, older.Born, older.Sequence = "by", 4, 1 // at the address of b000, which started later
	is.True(!r.Heartbeat(ctx, older).Grant)
	is.True(r.state.Table().Backend("desk", "by") == nil)
	is.True(!r.state.Table().Backend("desk", "b000").Lost)
}

// BenchmarkHeartbeat measures the time of one heartbeat on a leader with 396 servers.
func BenchmarkHeartbeat(b *testing.B) {
	r := newHeartbeatFleet(b, 396)
	names := sortedNames(r.heartbeats)
	i := 0
	for b.Loop() {
		r.sendHeartbeat(names[i%len(names)])
		i++
	}
}

// BenchmarkTickAndBalance measures the time of Tick and of Balance with 396 servers.
func BenchmarkTickAndBalance(b *testing.B) {
	r := newHeartbeatFleet(b, 396)
	for i := range uint64(4096) {
		r.loads.addReports([]wire.SliceLoads{{Service: "desk", Backend: "b001", BusyMs: 100, Slices: []wire.SliceCount{{Start: i << 52, Count: i%17 + 1}},
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

// BenchmarkApplyReport measures the time to apply one report, which every control replica
// spends.
func BenchmarkApplyReport(b *testing.B) {
	r := newHeartbeatFleet(b, 396)
	i := 0
	for b.Loop() {
		i++
		r.mustApply(b, command.Command{BackendReported: &command.BackendReported{Service: "desk", Backend: fmt.Sprintf("b%03d", i%396), Born: 5,
			DataCentre: fmt.Sprint("dc", i%396%3), Address: fmt.Sprintf("10.0.%d.%d:80", i%396/250, i%396%250), Slots: 2, Cold: i/396%2 == 0}})
	}
}

// A server deregisters before its delayed first heartbeat arrives. Guards against a
// deregistration that is acknowledged but not recorded, after which the heartbeat
// registers the server.
func TestDeregisterOfUnknownServerIsNotAcknowledged(t *testing.T) {
	is, r := is.New(t), newHeartbeatFleet(t, 3)
	end := wire.Deregister{Backend: "late"}
	is.True(!r.Deregister(ctx, end).Acked)
	r.heartbeats["late"] = &wire.Heartbeat{Service: "desk", Backend: "late", Born: 5, DataCentre: "dc0", Address: "10.0.9.9:80", Slots: 2}
	is.True(r.sendHeartbeat("late").Acked)
	is.True(r.Deregister(ctx, end).Acked)
	is.True(r.state.Table().Backend("desk", "late").Leaving)
}

// A network partition delays a heartbeat while its sender ends and is recorded as lost.
// Guards against a dead server that is used again, with the same leader and with a new
// one, and against a server that was only unreachable and is not admitted again.
func TestDelayedHeartbeatDoesNotReviveLostServer(t *testing.T) {
	for name, elect := range map[string]bool{"the same leader": false, "a new leader": true} {
		t.Run(name, func(t *testing.T) {
			is, r := is.New(t), newHeartbeatFleet(t, 3)
			delayed := []wire.Heartbeat{*r.heartbeats["b000"], *r.heartbeats["b000"]}
			for i := range delayed {
				delayed[i].Sequence += uint64(1 + i)
			}
			others := func() { r.sendHeartbeat("b001"); r.sendHeartbeat("b002") }
			for range 8 {
				r.clock.Advance(time.Second)
				others()
				r.Tick(ctx)
			}
			lost := func() bool { return r.state.Table().Backend("desk", "b000").Lost }
			is.True(lost())
			if elect {
				r.setStatus(func(s *LeaderStatus) { s.Term++; s.ElectedAt = r.clock.Now() })
			}
			for _, hb := range delayed {
				r.Heartbeat(ctx, hb)
				is.True(lost())
			}
			r.heartbeats["b000"].Sequence += 2
			r.heartbeats["b000"].Held = nil
			for range 2 {
				r.clock.Advance(DefaultHeartbeatInterval)
				is.True(r.sendHeartbeat("b000").Acked)
			}
			is.True(!lost())
		})
	}
}

// Another writer sends a heartbeat of a later process of a server, without its lists of keys. Guards
// against keys that pass on while the server holds them.
func TestHeartbeatWithoutKeyListsTakesNoKeys(t *testing.T) {
	is, r := is.New(t), newHeartbeatFleet(t, 3)
	before := r.state.Table().SlicesOf("desk", "b000")
	is.True(len(before) > 0)
	forged := *r.heartbeats["b000"]
	forged.Born, forged.Sequence, forged.Leaving, forged.NoKeyLists, forged.Held = forged.Born+1, 1, true, true, nil
	reply := r.Heartbeat(ctx, forged)
	is.True(reply.Refused && !reply.Acked)
	is.Equal(r.state.Table().SlicesOf("desk", "b000"), before)
	is.True(r.sendHeartbeat("b000").Grant)
}
