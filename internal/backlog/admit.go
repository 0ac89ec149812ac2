package backlog

import "time"

// Decision is what to do with a request.
type Decision uint8

// The decisions.
const (
	Send   Decision = iota + 1 // send it now
	Hold                       // keep it at this host for now
	Refuse                     // it cannot be answered in time
)

// Demand describes the service time, deadline and priority of a request.
type Demand struct {
	// ServiceTime is the typical service time of the request.
	ServiceTime time.Duration
	// TimeLeft is the time until its caller gives up or its route times out.
	TimeLeft time.Duration
	// Rank is the priority of its route, from 0, the highest, to Ranks-1.
	Rank, Ranks int
}

// lowestRankShare is the share of the time left that a request of the lowest rank may
// be expected to take; one of the highest rank may take all of it. When a server is
// overloaded, requests of low rank are thus refused first.
const lowestRankShare = 0.6

// maxExpectedTime returns the longest expected time to a response with which the request
// is not refused.
func (d Demand) maxExpectedTime() time.Duration {
	share := 1.0
	if d.Ranks > 1 {
		share = 1 - (1-lowestRankShare)*float64(d.Rank)/float64(d.Ranks-1)
	}
	return time.Duration(share * float64(d.TimeLeft))
}

// minServiceShare is the share of the typical service time that must remain for the
// work itself: service times vary, and half of them are shorter than the mean.
const minServiceShare = 0.6

// Admit decides whether to send a request. wait is the estimated time until it would
// begin, which tells a refused caller when to retry.
func (s *Server) Admit(now time.Time, d Demand) (decision Decision, wait time.Duration) {
	wait = s.EstimateWait(now, d.ServiceTime)
	work := time.Duration(minServiceShare * s.Slowdown(now) * float64(d.ServiceTime))
	switch {
	case wait+work > d.maxExpectedTime():
		return Refuse, wait
	case s.QueueMayBeFull(now):
		return Hold, wait
	}
	return Send, wait
}
