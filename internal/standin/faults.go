package standin

import (
	"sync"
	"sync/atomic"
	"time"
)

// Faults are the injected faults of a stand-in.
type Faults struct {
	// Freeze suspends announcements, requests and orders, as if the process were
	// paused. The clock goes on, and everything resumes where it stopped.
	Freeze bool `json:"freeze"`
	// SlowFactor multiplies the work time; values up to 1 have no effect.
	SlowFactor float64 `json:"slow_factor"`
	// LieLoad reports an idle server, in load reports and on the health path.
	LieLoad bool `json:"lie_load"`
	// LoseAnswers executes requests and closes their connections unanswered.
	LoseAnswers bool `json:"lose_answers"`
	// TruncateAnswers cuts answers in the middle of the body.
	TruncateAnswers bool `json:"truncate_answers"`
	// ForeignIDs answers with a request id other than the request's own.
	ForeignIDs bool `json:"foreign_ids"`
	// MuteAnnouncements stops announcements while requests are still served.
	MuteAnnouncements bool `json:"mute_announcements"`
}

// ControlRequest is the body of a POST to ControlPath: it replaces the faults.
type ControlRequest struct {
	Faults
	// TurnColdMs is the time in milliseconds that the server turns cold for.
	TurnColdMs int64 `json:"turn_cold_ms"`
}

// ControlPath is the path that replaces the faults; it is served only with
// Config.Control.
const ControlPath = "/agatestep-standin/v1/control"

// gate blocks the callers of waitOpen while it is closed.
type gate struct {
	mu     sync.Mutex
	openCh chan struct{} // closed while the gate is open
	// waiting counts the goroutines in waitOpen.
	waiting atomic.Int64
}

func newGate() *gate {
	g := &gate{openCh: make(chan struct{})}
	close(g.openCh)
	return g
}

func (g *gate) setOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.openCh:
		if !open {
			g.openCh = make(chan struct{})
		}
	default:
		if open {
			close(g.openCh)
		}
	}
}

// waitOpen returns when the gate is open or done is closed.
func (g *gate) waitOpen(done <-chan struct{}) {
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	for {
		g.mu.Lock()
		openCh := g.openCh
		g.mu.Unlock()
		select {
		case <-openCh:
			return
		case <-done:
			return
		}
	}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.gate.setOpen(!f.Freeze)
}

// TurnCold makes the server cold for d, as it is after its start.
func (s *Server) TurnCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = s.now() + d
}

// concurrencyLimit returns how many requests may run at once now, and whether the
// server is cold.
func (s *Server) concurrencyLimit() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now() < s.coldUntil {
		return min(s.config.ColdLimit, s.config.Slots), true
	}
	return s.config.Slots, false
}

// workTime returns the current work time of a request.
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
