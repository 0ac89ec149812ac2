package backlog

import (
	"math"
	"time"
)

// Report is the load that a backend server reports with a response.
type Report struct {
	Running int // requests in execution
	Waiting int // requests in the server's queue
	Slots   int // requests that it can execute at once; zero when not reported
	// Slowdown is the current service time relative to the typical one; zero when not reported.
	Slowdown float64
}

const (
	// reportHalfLife is the age at which the requests of other entry hosts in a report
	// count half. It is a few service times.
	reportHalfLife = 300 * time.Millisecond
	// slowdownHalfLife is the same for the slowdown, which changes many times a second.
	slowdownHalfLife = 400 * time.Millisecond
	// minQueueLen and queueLenPerSlot bound the requests that may wait at a backend
	// server: one that cannot queue a request may never answer it.
	minQueueLen     = 4
	queueLenPerSlot = 2
)

// Server is the estimate for one backend server. It is not safe for concurrent use.
type Server struct {
	slots    int
	inFlight int
	report   Report
	// othersRequests is the number of requests of other entry hosts at reportedAt.
	othersRequests float64
	reportedAt     time.Time
	failures       failureRate
}

// New returns the estimate for an idle server. slots below 1 count as 1.
func New(slots int) *Server { return &Server{slots: max(slots, 1)} }

// InFlight returns the number of requests of this host at the server.
func (s *Server) InFlight() int { return s.inFlight }

// RecordSent records that a request was sent.
func (s *Server) RecordSent() { s.inFlight++ }

// RecordDone records the end of a request that was sent.
func (s *Server) RecordDone() { s.inFlight = max(s.inFlight-1, 0) }

// RecordReport updates the estimate with the report of a response. The report may still
// count the answered request as running.
func (s *Server) RecordReport(now time.Time, r Report) {
	if r.Slots > 0 {
		s.slots = r.Slots
	}
	s.report, s.reportedAt = r, now
	s.othersRequests = math.Max(0, float64(r.Running+r.Waiting-s.inFlight))
}

// decayFactor returns the weight of a value of the given age, from 1 down to 0.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// load returns the estimated number of requests at the server.
func (s *Server) load(now time.Time) float64 {
	return float64(s.inFlight) + s.othersRequests*decayFactor(now.Sub(s.reportedAt), reportHalfLife)
}

// Slowdown returns the current service time of the server relative to the typical one.
func (s *Server) Slowdown(now time.Time) float64 {
	if s.report.Slowdown <= 0 {
		return 1
	}
	return 1 + (s.report.Slowdown-1)*decayFactor(now.Sub(s.reportedAt), slowdownHalfLife)
}

// EstimateWait estimates how long a request that is sent now waits in the server's queue when
// one takes service.
func (s *Server) EstimateWait(now time.Time, service time.Duration) time.Duration {
	ahead := s.load(now) + 1 - float64(s.slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(s.slots) * s.Slowdown(now) * float64(service))
}

// QueueMayBeFull reports whether the server may be unable to queue another request.
func (s *Server) QueueMayBeFull(now time.Time) bool {
	return s.load(now) >= float64(s.slots+max(minQueueLen, queueLenPerSlot*s.slots))
}

// HasFreeSlot reports whether a slot is expected to be free.
func (s *Server) HasFreeSlot(now time.Time) bool { return s.load(now) < float64(s.slots) }
