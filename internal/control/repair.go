package control

import (
	"time"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
)

// repairIntervalPerSlice is the least time between two repairs of a service, per
// slice. A repair compares each slice with up to 64 servers, on every control
// replica: 8 ms for 4,096 slices.
const repairIntervalPerSlice = 50 * time.Microsecond

// repairCheck records when and at which revision the slices of a service were last
// checked.
type repairCheck struct {
	checkedAt time.Time
	revision  uint64
}

// dueRepairs returns the repairs of services leased by heartbeat that have slices
// without an owner or with one that leaves. When many servers end at once, one repair
// covers all of them.
func (l *Leader) dueRepairs(t *table.Table) []command.Command {
	var out []command.Command
	for _, s := range t.Services() {
		name := s.File.Service
		if !s.File.Keyed() || !leasedByHeartbeat(t, name) || !l.assignmentReady(t, name) || !l.beginRepairCheck(t, name) {
			continue
		}
		if len(DecideInitialSplits(t, name, t.Items().Service(name).KeySpan)) == 0 {
			servers, _, _ := placementInput(t, name, Loads{})
			if needsRepair(t, name, servers) {
				out = append(out, command.Command{Repair: &command.Repair{Service: name}})
			}
		}
	}
	return out
}

// beginRepairCheck reports whether a service is due for a check, and records the check.
func (l *Leader) beginRepairCheck(t *table.Table, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, now := l.repairChecks[service], l.cfg.Clock.Now()
	wait := time.Duration(t.SliceCount(service)) * repairIntervalPerSlice
	if now.Sub(last.checkedAt) < wait || last.revision == t.Revision() && !last.checkedAt.IsZero() {
		return false
	}
	l.repairChecks[service] = repairCheck{checkedAt: now, revision: t.Revision()}
	return true
}
