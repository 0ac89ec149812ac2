package keylease

import (
	"time"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// sign is the first heartbeat of a process after its loss was recorded.
type sign struct {
	born     int64
	sequence uint64
	at       time.Time
}

// Returned reports whether a heartbeat shows that a process lives whose loss is in the
// table. One heartbeat does not: it may have been sent before the process ended, and held
// up since. A later one must follow in the rhythm of heartbeats, because those that a cut
// held up arrive together.
func (k *Keeper) Returned(now time.Time, hb *wire.Heartbeat) bool {
	ref := table.BackendRef{Service: hb.Service, Name: hb.Backend}
	first, ok := k.returning[ref]
	if !ok || first.born != hb.Born {
		k.returning[ref] = sign{born: hb.Born, sequence: hb.Sequence, at: now}
		return false
	}
	if hb.Sequence <= first.sequence || now.Sub(first.at) < k.cfg.ReturnGap {
		return false
	}
	delete(k.returning, ref)
	return true
}
