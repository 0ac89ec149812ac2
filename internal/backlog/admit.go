package backlog

import (
	"time"

	"github.com/agatestep/agatestep/internal/scheduling"
)

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
	// ByCost decides by what a delay costs the caller. TargetLeft is then the time until the
	// latency target of the request.
	ByCost     bool
	TargetLeft time.Duration
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

// unreachable reports whether the server is not expected to finish a request that waits for it, or
// would answer it late while requests of higher rank need the room.
func (d Demand) unreachable(now time.Time, wait time.Duration, slowdown float64) bool {
	work := time.Duration(slowdown * float64(d.ServiceTime))
	r := scheduling.Request{Rank: d.Rank, Arrived: now, Target: now.Add(d.TargetLeft), Deadline: now.Add(d.TimeLeft), Work: work}
	start := now.Add(wait)
	return !r.Finishes(start) || !r.OnTime(start) && wait+work > d.maxExpectedTime()
}

// Admit decides whether to send a request. wait is the estimated time until it would
// begin, which tells a refused caller when to retry.
func (s *Server) Admit(now time.Time, d Demand) (decision Decision, wait time.Duration) {
	wait = s.EstimateWait(now, d.ServiceTime)
	work := time.Duration(minServiceShare * s.Slowdown(now) * float64(d.ServiceTime))
	switch {
	case d.ByCost && d.unreachable(now, wait, s.Slowdown(now)):
		return Refuse, wait
	case !d.ByCost && wait+work > d.maxExpectedTime():
		return Refuse, wait
	case s.QueueMayBeFull(now):
		return Hold, wait
	}
	return Send, wait
}

// ReportedSlowdown returns the slowdown in the latest report of the server, or zero if there is none.
func (s *Server) ReportedSlowdown() float64 { return s.report.Slowdown }
