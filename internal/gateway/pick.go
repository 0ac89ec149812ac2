package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/agatestep/agatestep/internal/backlog"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
)

// How much longer a backend server in this data centre may take and still be
// preferred: the way to others is longer, and bytes between data centres cost and
// compete for links.
const (
	localAdvantage      = 10 * time.Millisecond
	localAdvantagePerKB = time.Millisecond
	maxLocalAdvantage   = 100 * time.Millisecond
)

func (c *call) localAdvantage() time.Duration {
	size := time.Duration(max(c.request.ContentLength, 0) >> 10)
	return min(localAdvantage+size*localAdvantagePerKB, maxLocalAdvantage)
}

// failingCost is the time that a server's share of failed requests counts for.
const failingCost = 400 * time.Millisecond

// pick returns the backend server of a call without key that is expected to answer
// first, of those that it was not sent to yet.
func (g *Gateway) pick(t *table.Table, c *call, now time.Time, d backlog.Demand) (target, *verdict.Error, time.Duration) {
	members := t.Members(c.service)
	if len(members) == 0 {
		return target{reason: "the service has no backend server"}, nil, misdirectedPause
	}
	var best *table.Backend
	var bestCost, bestWait, pause time.Duration
	decision := backlog.Refuse
	for _, i := range rand.Perm(len(members)) {
		b := members[i]
		s := g.server(b)
		if _, down := s.isDown(now); down || c.tried[keyOf(b)] && len(c.tried) < len(members) {
			continue
		}
		if g.leaves(b) {
			continue // the table does not say so yet
		}
		if left := s.paused(now); left > 0 {
			if pause == 0 || left < pause {
				pause = left
			}
			continue
		}
		s.mu.Lock()
		verdictOf, delay := s.backlog.Admit(now, d)
		cost := delay + time.Duration(s.backlog.Pace(now)*float64(d.Service)) + time.Duration(s.backlog.Failing(now)*float64(failingCost))
		cost += time.Duration(s.backlog.InFlight()) * time.Millisecond // spreads load among servers that look alike
		s.mu.Unlock()
		if b.DataCentre != g.cfg.DataCentre {
			cost += c.localAdvantage()
		}
		if b.Cold {
			cost += d.Service
		}
		if best == nil || verdictOf < decision || verdictOf == decision && cost < bestCost {
			best, bestCost, bestWait, decision = b, cost, delay, verdictOf
		}
	}
	switch {
	case best == nil && pause > 0:
		return g.awaitPause(c, now, pause)
	case best == nil:
		return target{reason: "no backend server of the service can be reached"}, nil, misdirectedPause
	case decision == backlog.Refuse:
		return target{}, overloaded(bestWait), bestWait - d.Left/2
	case decision == backlog.Hold:
		return target{reason: "the queues of all backend servers are full"}, nil, holdPause
	}
	return target{backend: best}, nil, 0
}
