package backlog

import "time"

// failures is the recent share of requests that failed at a server although it
// seems healthy.
type failures struct {
	share float64
	at    time.Time
}

const (
	failureWeight   = 0.2
	failureHalfLife = 3 * time.Second
)

func (f *failures) add(now time.Time, failed bool) {
	f.share *= decayed(now.Sub(f.at), failureHalfLife)
	f.at = now
	sample := 0.0
	if failed {
		sample = 1
	}
	f.share += failureWeight * (sample - f.share)
}

// Outcome records whether a request failed for a reason that lies with the server.
func (s *Server) Outcome(now time.Time, failed bool) { s.failures.add(now, failed) }

// Failing is the recent share of failed requests.
func (s *Server) Failing(now time.Time) float64 {
	return s.failures.share * decayed(now.Sub(s.failures.at), failureHalfLife)
}
