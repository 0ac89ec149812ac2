package control

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/wire"
)

// A heartbeat with impossible values does not come from a backend server. Guards against one
// that is granted keys, that claims an address which another server uses, or that takes much
// of the leader's processor time.
func TestImplausibleHeartbeatsAreRefused(t *testing.T) {
	is, r := is.New(t), newHeartbeatFleet(t, 4)
	tooLate := r.clock.Now().Add(2 * maxBornAhead).UnixMilli()
	for name, change := range map[string]func(*wire.Heartbeat){
		"port 0":              func(hb *wire.Heartbeat) { hb.Address = "10.9.9.9:0" },
		"port out of range":   func(hb *wire.Heartbeat) { hb.Address = "10.9.9.9:99999" },
		"no port":             func(hb *wire.Heartbeat) { hb.Address = "10.9.9.9" },
		"no address":          func(hb *wire.Heartbeat) { hb.Address = "0.0.0.0:80" },
		"a multicast address": func(hb *wire.Heartbeat) { hb.Address = "224.0.0.1:80" },
		"slots below 1":       func(hb *wire.Heartbeat) { hb.Slots = -1 },
		"too many slots":      func(hb *wire.Heartbeat) { hb.Slots = 1 << 40 },
		"the largest number":  func(hb *wire.Heartbeat) { hb.Slots = math.MaxInt },
		"cold for ever":       func(hb *wire.Heartbeat) { hb.ColdMs = math.MaxInt64 },
		"born in the future":  func(hb *wire.Heartbeat) { hb.Born = tooLate },
		"too many ranges":     func(hb *wire.Heartbeat) { hb.Held = make([]wire.KeyRange, maxReportedRanges+1) },
	} {
		invalid := wire.Heartbeat{Service: "desk", Backend: "odd", Born: 7, DataCentre: "dc1", Address: "10.9.9.9:80", Slots: 2, Sequence: 1}
		change(&invalid)
		reply := r.Heartbeat(ctx, invalid)
		if !reply.Refused || reply.Acked {
			t.Errorf("%s: %+v", name, reply)
		}
	}
	is.True(r.state.Table().Backend("desk", "odd") == nil)
	is.True(r.sendHeartbeat("b000").Grant) // the real servers are still served
}
