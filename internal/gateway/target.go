package gateway

import (
	"time"

	"github.com/agatestep/agatestep/internal/backlog"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
)

// target is the backend server that a call is sent to.
type target struct {
	backend *table.Backend
	slice   table.Slice
	reason  string // why there is no backend
}

// chooseTarget chooses the backend server of a call. Without one, the delay is how long
// to wait for a change; with a refusal, it is when the caller should retry.
func (g *Gateway) chooseTarget(c *call) (target, *verdict.Error, time.Duration) {
	t := g.cfg.Tables()
	now := g.cfg.Clock.Now()
	demand := g.demand(c, now)
	if c.keyed {
		return g.ownerTarget(t, c, now)
	}
	return g.selectBackend(t, c, now, demand)
}

func (g *Gateway) demand(c *call, now time.Time) backlog.Demand {
	return backlog.Demand{ServiceTime: g.serviceTimesOf(c.service).mean(c.match.Name), TimeLeft: g.timeLeft(c, now), Rank: c.rank(), Ranks: priorityLevels,
		ByCost: g.cfg.OrderedByCost, TargetLeft: c.arrived.Add(c.match.Target).Sub(now)}
}

// priorityLevels is the number of distinct priorities; routes with a lower priority count
// as the lowest one.
const priorityLevels = 4

// ownerTarget returns the owner of a keyed call's key. The results are those of chooseTarget.
func (g *Gateway) ownerTarget(t *table.Table, c *call, now time.Time) (target, *verdict.Error, time.Duration) {
	slice, ok := t.Lookup(c.service, c.Hash)
	if !ok || slice.Owner == "" {
		return target{reason: "the key has no owner"}, nil, misdirectedDelay
	}
	b := t.Backend(c.service, slice.Owner)
	if b == nil || !g.mayStillServe(b, now) {
		return target{reason: "the key's owner is leaving or lost"}, nil, misdirectedDelay
	}
	if c.misdirected[slice.Epoch] >= maxMisdirected {
		return target{reason: "the key's owner says that it does not hold the key"}, nil, misdirectedDelay
	}
	s := g.server(b)
	if left, down := s.downTimeLeft(now); down {
		return target{reason: "the key's owner cannot be reached"}, nil, min(left, misdirectedDelay)
	}
	if wait, ok := s.maySend(now, slice.Epoch, c); !ok {
		return g.targetInDoubt(c, s, now, wait)
	}
	if left := s.pauseLeft(now); left > 0 {
		return g.targetAfter(c, now, left, verdict.ReasonOverloaded, pauseReason)
	}
	return target{backend: b, slice: slice}, nil, 0
}

// targetInDoubt returns the target of a call for a key whose owner is in doubt and may be sent the
// next request after the time given. While that is likely to be a handover, the call waits.
func (g *Gateway) targetInDoubt(c *call, s *server, now time.Time, wait time.Duration) (target, *verdict.Error, time.Duration) {
	const detail = "another process may be at the address of the key's owner"
	if s.probablyGone() {
		return target{}, noBackendError(detail), wait
	}
	return g.targetAfter(c, now, wait, verdict.ReasonNoBackend, detail)
}

const pauseReason = "the backend server asked for a pause"

// targetAfter returns the target of a call that is not sent to any server for the time left: the
// call waits if it may be held for so long, and is refused at once if not.
func (g *Gateway) targetAfter(c *call, now time.Time, left time.Duration, reason verdict.Reason, detail string) (target, *verdict.Error, time.Duration) {
	total := c.deadline.Sub(c.arrived)
	if now.Add(left).Sub(c.arrived) < time.Duration(maxHoldShare*float64(total)) {
		return target{reason: detail}, nil, left
	}
	return target{}, verdict.Unavailable(reason, detail), left
}

func overloadError(wait time.Duration) *verdict.Error {
	return verdict.Unavailable(verdict.ReasonOverloaded, "the expected wait of "+wait.Round(time.Millisecond).String()+" leaves no time for the work")
}
