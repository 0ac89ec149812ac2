package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/wire"
)

// lose advances the clock, without heartbeats of one server, until its loss is recorded.
func (r *heartbeatFleet) lose(t testing.TB, name string) {
	silent := r.heartbeats[name]
	delete(r.heartbeats, name)
	for range 8 {
		r.clock.Advance(time.Second)
		r.sendAllHeartbeats()
		r.Tick(ctx)
	}
	r.heartbeats[name] = silent
	if !r.state.Table().Backend("desk", name).Lost {
		t.Fatalf("%s is not lost", name)
	}
}

// A server that was cut off is recorded as lost and then announces that it leaves. Guards
// against an acknowledgement that records nothing, after which late heartbeats make the
// server available again.
func TestLostServerThatLeavesIsNotUsedAgain(t *testing.T) {
	for name, leave := range map[string]func(r *heartbeatFleet) wire.HeartbeatReply{
		"by a deregistration": func(r *heartbeatFleet) wire.HeartbeatReply {
			return r.Deregister(ctx, wire.Deregister{Backend: "b000"})
		},
		"by a heartbeat": func(r *heartbeatFleet) wire.HeartbeatReply {
			hb := *r.heartbeats["b000"]
			hb.Sequence, hb.Leaving = hb.Sequence+20, true
			return r.Heartbeat(ctx, hb)
		},
	} {
		for _, elect := range []bool{false, true} {
			is, r := is.New(t), newHeartbeatFleet(t, 3)
			r.lose(t, "b000")
			r.sendHeartbeat("b000") // the first sign of life
			r.proposeErr = ErrNotAppended
			is.True(!leave(r).Acked)
			r.proposeErr = nil
			is.True(leave(r).Acked)
			if elect {
				r.elect()
			}
			for range 4 { // late heartbeats from before
				r.clock.Advance(DefaultHeartbeatInterval)
				r.sendHeartbeat("b000")
				b := r.state.Table().Backend("desk", "b000")
				if !b.Lost && !b.Leaving {
					t.Fatalf("%s, new leader %v: available again", name, elect)
				}
			}
		}
	}
}

// Guards against an acknowledgement that a server leaves although nothing is recorded of it:
// the commit of its first heartbeat failed, and the heartbeat comes again.
func TestLeavingOfUnrecordedServerIsNotAcknowledged(t *testing.T) {
	is, r := is.New(t), newHeartbeatFleet(t, 2)
	hb := *r.heartbeats["b000"]
	hb.Backend, hb.Address, hb.Leaving = "new", "10.0.9.9:80", true
	r.proposeErr = ErrNotAppended
	is.True(!r.Heartbeat(ctx, hb).Acked)
	r.clock.Advance(2 * retryWindow)
	is.True(!r.Heartbeat(ctx, hb).Acked)
	r.proposeErr = nil
	is.True(!r.Heartbeat(ctx, hb).Acked)
	hb.Sequence++
	is.True(r.Heartbeat(ctx, hb).Acked)
	is.True(r.state.Table().Backend("desk", "new").Leaving)
	hb.Born-- // an earlier process of that name is gone for good
	is.True(r.Heartbeat(ctx, hb).Acked)
}
