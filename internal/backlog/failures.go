package backlog

import "time"

// failureRate is the recent share of requests that failed at a server. It decays
// with time.
type failureRate struct {
	ratio   float64
	updated time.Time
}

const (
	failureWeight   = 0.2 // weight of a new sample
	failureHalfLife = 3 * time.Second
)

func (f *failureRate) add(now time.Time, failed bool) {
	f.ratio *= decayFactor(now.Sub(f.updated), failureHalfLife)
	f.updated = now
	sample := 0.0
	if failed {
		sample = 1
	}
	f.ratio += failureWeight * (sample - f.ratio)
}

// RecordOutcome records whether a request failed through a fault of the server.
func (s *Server) RecordOutcome(now time.Time, failed bool) { s.failures.add(now, failed) }

// FailureRate returns the recent share of failed requests, from 0 to 1.
func (s *Server) FailureRate(now time.Time) float64 {
	return s.failures.ratio * decayFactor(now.Sub(s.failures.updated), failureHalfLife)
}
