package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
)

// elect makes the leader the one of the next term.
func (r *heartbeatFleet) elect() {
	r.setStatus(func(s *LeaderStatus) { s.Term++; s.ElectedAt = r.clock.Now() })
}

// drainDataCentre takes a data centre out of service.
func (r *heartbeatFleet) drainDataCentre(t testing.TB, name string) {
	r.mustApply(t, drainCommand("drain "+name, command.DrainDataCentre, name, true, 0))
}

// The leader ends while an evacuation moves keys, and the next one first gets heartbeats
// that their sender sent before it held these keys. Guards against taking these for a
// release: the keys pass to other servers while their owner works on them within its lease.
func TestNewLeaderTakesNoReleaseFromReportsBeforeTheGrant(t *testing.T) {
	is, r := is.New(t), newHeartbeatFleet(t, 6)
	owner := r.heartbeats["b000"]
	is.True(len(owner.Held) > 0)
	leaseEnd := r.clock.Now().Add(DefaultBackendLeaseDuration)
	late := *owner
	late.Held, late.Released = nil, nil
	r.drainDataCentre(t, owner.DataCentre)
	r.elect()
	for sequence := range uint64(2) {
		late.Sequence = 1 + sequence
		r.Heartbeat(ctx, late)
	}
	others := func() {
		for _, name := range sortedNames(r.heartbeats) {
			if r.heartbeats[name].DataCentre != owner.DataCentre {
				r.sendHeartbeat(name)
			}
		}
	}
	key := owner.Held[0].First
	for others(); r.clock.Now().Before(leaseEnd); others() {
		is.Equal(r.holders(key), []string{"b000"})
		r.clock.Advance(200 * time.Millisecond)
	}
	// Its lease has expired, also on a slow clock: now the key gets its next owner.
	owner.Held = nil
	r.clock.Advance(DefaultBackendLeaseDuration / 10)
	others()
	r.clock.Advance(DefaultHeartbeatInterval)
	others()
	is.Equal(len(r.holders(key)), 1)
}

// Guards against moves for load that a new leader starts while it cannot yet confirm
// releases, so that the keys are not served meanwhile.
func TestNewLeaderStartsNoMovesBeforeItCanConfirmReleases(t *testing.T) {
	is, r := is.New(t), newHeartbeatFleet(t, 2)
	r.elect()
	r.sendAllHeartbeats()
	slice := r.state.Table().SlicesOf("desk", "b000")[0]
	pend := func() {
		move := command.SliceMove{Start: slice.Start, Epoch: slice.Epoch, To: "b001"}
		r.pendingMoves.replace(r.state.Table(), "desk", []command.SliceMove{move}, nil, nil, r.clock.Now().Add(-maxPendingMoveAge))
	}
	owned := func() bool {
		s, _ := r.state.Table().Lookup("desk", slice.Start)
		return s.Owner == "b000" && s.Next == ""
	}
	for range 3 {
		r.clock.Advance(DefaultHeartbeatInterval)
		pend()
		r.sendAllHeartbeats()
		is.True(owned())
	}
	for range 3 {
		r.clock.Advance(DefaultHeartbeatInterval)
		pend()
		r.sendAllHeartbeats()
	}
	is.True(!owned())
}
