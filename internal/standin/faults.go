package standin

import (
	"sync"
	"sync/atomic"
	"time"
)

// Faults are the failures of a stand-in that are switched on.
type Faults struct {
	// Freeze stops announcements, requests and orders, as if the process were
	// paused; the clock goes on and everything resumes where it stood.
	Freeze bool `json:"freeze"`
	// SlowFactor multiplies the work time; values up to 1 have no effect.
	SlowFactor float64 `json:"slow_factor"`
	// LieLoad reports an idle server, in load reports and on the health path.
	LieLoad bool `json:"lie_load"`
	// LoseAnswers executes requests and closes their connections unanswered.
	LoseAnswers bool `json:"lose_answers"`
	// TruncateAnswers cuts answers in the middle of the body.
	TruncateAnswers bool `json:"truncate_answers"`
	// ForeignIDs answers with the id of another request.
	ForeignIDs bool `json:"foreign_ids"`
	// MuteAnnouncements stops announcements while requests are still served.
	MuteAnnouncements bool `json:"mute_announcements"`
}

// ControlRequest is the body of a POST to ControlPath: it replaces the faults.
type ControlRequest struct {
	Faults
	// TurnColdMs makes the server cold for that long, from now.
	TurnColdMs int64 `json:"turn_cold_ms"`
}

// ControlPath switches failures on and off; it is served only with Config.Control.
const ControlPath = "/agatestep-standin/v1/control"

// gate blocks everything that passes it while it is closed.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed while the gate is open
	// waiting counts those that the gate holds back.
	waiting atomic.Int64
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
		if !open {
			g.opened = make(chan struct{})
		}
	default:
		if open {
			close(g.opened)
		}
	}
}

// pass returns when the gate is open or done is closed.
func (g *gate) pass(done <-chan struct{}) {
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		select {
		case <-opened:
			return
		case <-done:
			return
		}
	}
}

// SetFaults replaces the faults that are switched on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.gate.set(!f.Freeze)
}

// TurnCold makes the server cold for d, as after a start.
func (s *Server) TurnCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = s.now() + d
}

// limit returns how many requests may run now, and whether the server is cold.
func (s *Server) limit() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now() < s.coldUntil {
		return min(s.config.ColdLimit, s.config.Slots), true
	}
	return s.config.Slots, false
}

// workTime returns the time that a request works now.
func (s *Server) workTime(newConnection bool) time.Duration {
	d := s.config.WorkTime
	if newConnection {
		d += s.config.ConnectionCost
	}
	factor := 1.0
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now() < s.coldUntil {
		factor = s.config.ColdSlow
	}
	return time.Duration(float64(d) * factor * max(s.faults.SlowFactor, 1))
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
