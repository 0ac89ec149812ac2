package keylease

import (
	"time"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// recoveryAttempt is the first heartbeat of a process after its loss was recorded.
type recoveryAttempt struct {
	born       int64
	sequence   uint64
	receivedAt time.Time
}

// ConfirmRecovery reports whether a heartbeat shows that a process whose loss is in the
// table is alive. One heartbeat does not: it may have been sent before the process ended,
// and delayed since. A later one must follow after at least MinRecoveryGap, because
// heartbeats that a network partition delayed arrive together.
func (tr *Tracker) ConfirmRecovery(now time.Time, hb *wire.Heartbeat) bool {
	ref := table.BackendRef{Service: hb.Service, Name: hb.Backend}
	first, ok := tr.recovering[ref]
	if !ok || first.born != hb.Born {
		tr.recovering[ref] = recoveryAttempt{born: hb.Born, sequence: hb.Sequence, receivedAt: now}
		return false
	}
	if hb.Sequence <= first.sequence || now.Sub(first.receivedAt) < tr.cfg.MinRecoveryGap {
		return false
	}
	delete(tr.recovering, ref)
	return true
}
