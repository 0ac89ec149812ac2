package backlog

import "time"

// Decision is what to do with a request.
type Decision uint8

// The decisions.
const (
	Send Decision = iota + 1
	Hold
	Refuse
)

// Demand is what a request needs.
type Demand struct {
	// Service is the usual time that its work takes.
	Service time.Duration
	// Left is the time until its caller gives up or its route's timeout.
	Left time.Duration
	// Rank is the priority of its route, 0 first, of Ranks that the service has.
	Rank, Ranks int
}

// lowestShare is the part of the time left that a request of the lowest rank may
// be expected to take; one of the highest rank may take all of it. When a server
// is overloaded, requests of low rank are refused while the others still fit.
const lowestShare = 0.6

// patience returns the longest expected time to an answer with which d is sent.
func (d Demand) patience() time.Duration {
	share := 1.0
	if d.Ranks > 1 {
		share = 1 - (1-lowestShare)*float64(d.Rank)/float64(d.Ranks-1)
	}
	return time.Duration(share * float64(d.Left))
}

// minServiceShare is the part of the usual service time that must be left for the
// work itself: service times vary, and half of them are shorter than the mean.
const minServiceShare = 0.6

// Admit decides on a request. wait is the estimated time until it would begin,
// which tells a refused caller when to come back.
func (s *Server) Admit(now time.Time, d Demand) (decision Decision, wait time.Duration) {
	wait = s.Wait(now, d.Service)
	work := time.Duration(minServiceShare * s.Pace(now) * float64(d.Service))
	switch {
	case wait+work > d.patience():
		return Refuse, wait
	case s.Full(now):
		return Hold, wait
	}
	return Send, wait
}
