package gateway

import (
	"time"

	"github.com/agatestep/agatestep/internal/backlog"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
)

// How much longer a backend server in this data centre may take and still be
// preferred: others are further away, and traffic between data centres costs money and
// competes for links.
const (
	baseLocalPreference  = 10 * time.Millisecond
	localPreferencePerKB = time.Millisecond
	maxLocalPreference   = 100 * time.Millisecond
)

func (c *call) localPreference() time.Duration {
	size := time.Duration(max(c.request.ContentLength, 0) >> 10)
	return min(baseLocalPreference+size*localPreferencePerKB, maxLocalPreference)
}

// failurePenalty is the cost of a server all of whose requests fail; a share of failed
// requests costs that share of it.
const failurePenalty = 400 * time.Millisecond

// selectBackend returns the backend server of a call without a key that is expected to answer
// first. Servers that were tried already are skipped while there are others.
func (g *Gateway) selectBackend(t *table.Table, c *call, now time.Time, d backlog.Demand) (target, *verdict.Error, time.Duration) {
	members := t.AvailableBackends(c.service)
	if len(members) == 0 {
		return target{reason: "the service has no backend server"}, nil, misdirectedDelay
	}
	var best, doubted *table.Backend
	var bestCost, bestWait, pause time.Duration
	decision := backlog.Refuse
	compared := 0
	for _, i := range g.candidateOrder(members) {
		b := members[i]
		if c.coldOnly && !b.Cold {
			continue
		}
		s := g.server(b)
		if _, down := s.downTimeLeft(now); down || c.tried[keyOf(b)] && len(c.tried) < len(members) {
			continue
		}
		if g.isLeaving(b) {
			continue // known before the table says so
		}
		if s.avoided(now, c) {
			if _, ok := s.maySend(now, 0, c); ok {
				doubted = b
			}
			continue
		}
		if left := s.pauseLeft(now); left > 0 {
			if pause == 0 || left < pause {
				pause = left
			}
			continue
		}
		s.mu.Lock()
		memberDecision, delay := s.backlog.Admit(now, d)
		cost := delay + time.Duration(s.backlog.Slowdown(now)*float64(d.ServiceTime)) + time.Duration(s.backlog.FailureRate(now)*float64(failurePenalty))
		cost += time.Duration(s.backlog.InFlight()) * time.Millisecond // spreads load among servers that look alike
		s.mu.Unlock()
		if b.DataCentre != g.cfg.DataCentre {
			cost += c.localPreference()
		}
		cost += g.connectionCost(b.Address)
		if b.Cold {
			cost += d.ServiceTime
		}
		if best == nil || memberDecision < decision || memberDecision == decision && cost < bestCost {
			best, bestCost, bestWait, decision = b, cost, delay, memberDecision
		}
		if compared++; decision == backlog.Send && g.enoughChoices(compared) {
			break
		}
	}
	switch {
	case best == nil && pause > 0:
		return g.targetAfter(c, now, pause, verdict.ReasonOverloaded, pauseReason)
	case best == nil && doubted != nil:
		return target{backend: doubted}, nil, 0
	case best == nil:
		return target{reason: "no backend server of the service can be reached"}, nil, misdirectedDelay
	case decision == backlog.Refuse:
		return target{}, overloadError(bestWait), bestWait - d.TimeLeft/2
	case decision == backlog.Hold:
		return target{reason: "the queues of all backend servers are full"}, nil, queueFullDelay
	}
	return target{backend: best}, nil, 0
}
