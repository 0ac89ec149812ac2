package control

import (
	"time"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
)

// repairPerSlice is the least time between two repairs of a service, per slice. A
// repair compares each slice with up to 64 servers, on every control replica: 8 ms
// for 4,096 slices.
const repairPerSlice = 50 * time.Microsecond

// look is a look through the slices of a service.
type look struct {
	at       time.Time
	revision uint64
}

// repairs returns the repairs of services leased by heartbeat that lack owners or
// have some that leave. Those of the end of many servers are done together.
func (l *Leader) repairs(t *table.Table) []command.Command {
	var out []command.Command
	for _, s := range t.Services() {
		name := s.File.Service
		if !s.File.Keyed() || !leasedByHeartbeat(t, name) || !l.settled(t, name) || !l.repairDue(t, name) {
			continue
		}
		if len(DecideFirstCuts(t, name, t.Items().Service(name).KeySpan)) == 0 {
			servers, _, _ := placementView(t, name, Loads{})
			if incomplete(t, name, servers) {
				out = append(out, command.Command{Repair: &command.Repair{Service: name}})
			}
		}
	}
	return out
}

func (l *Leader) repairDue(t *table.Table, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, now := l.repaired[service], l.cfg.Clock.Now()
	wait := time.Duration(t.SliceCount(service)) * repairPerSlice
	if now.Sub(last.at) < wait || last.revision == t.Revision() && !last.at.IsZero() {
		return false
	}
	l.repaired[service] = look{at: now, revision: t.Revision()}
	return true
}
