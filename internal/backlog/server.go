package backlog

import (
	"math"
	"time"
)

// Report is what a backend server says of its load with an answer.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at this moment, 1 as usual; zero when not said.
	Pace float64
}

const (
	// reportHalfLife is the age at which the part of a report that is about other
	// entry hosts counts half. It is a few service times.
	reportHalfLife = 300 * time.Millisecond
	// paceHalfLife is the same for the pace, which changes many times a second.
	paceHalfLife = 400 * time.Millisecond
	// minRoom and roomPerSlot bound the requests that may wait at a backend server:
	// one that cannot queue a request may never answer it.
	minRoom     = 4
	roomPerSlot = 2
)

// Server is the estimate for one backend server. It is not safe for concurrent use.
type Server struct {
	slots    int
	inFlight int
	report   Report
	// others is the number of requests of other entry hosts as of reported.
	others   float64
	reported time.Time
	failures failures
}

// New returns the estimate for an idle server.
func New(slots int) *Server { return &Server{slots: max(slots, 1)} }

// InFlight returns the requests of this host at the server.
func (s *Server) InFlight() int { return s.inFlight }

// Sent records that a request was sent.
func (s *Server) Sent() { s.inFlight++ }

// Done records the end of a request that was sent.
func (s *Server) Done() { s.inFlight = max(s.inFlight-1, 0) }

// Reported takes in what an answer says. The answered request may still count as
// running in the report.
func (s *Server) Reported(now time.Time, r Report) {
	if r.Slots > 0 {
		s.slots = r.Slots
	}
	s.report, s.reported = r, now
	s.others = math.Max(0, float64(r.Running+r.Waiting-s.inFlight))
}

func decayed(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// load is the estimated number of requests at the server.
func (s *Server) load(now time.Time) float64 {
	return float64(s.inFlight) + s.others*decayed(now.Sub(s.reported), reportHalfLife)
}

// Pace is how long work takes at the server now, relative to its usual time.
func (s *Server) Pace(now time.Time) float64 {
	if s.report.Pace <= 0 {
		return 1
	}
	return 1 + (s.report.Pace-1)*decayed(now.Sub(s.reported), paceHalfLife)
}

// Wait estimates the time until a request that is sent now begins, where one
// takes service.
func (s *Server) Wait(now time.Time, service time.Duration) time.Duration {
	ahead := s.load(now) + 1 - float64(s.slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(s.slots) * s.Pace(now) * float64(service))
}

// Full reports whether the server may be unable to queue another request.
func (s *Server) Full(now time.Time) bool {
	return s.load(now) >= float64(s.slots+max(minRoom, roomPerSlot*s.slots))
}

// Free reports whether a slot is expected to be free.
func (s *Server) Free(now time.Time) bool { return s.load(now) < float64(s.slots) }
