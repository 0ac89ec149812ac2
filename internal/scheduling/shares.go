package scheduling

import (
	"math"
	"time"
)

const (
	// minServedShare is how often a class must be served relative to all requests, a little more
	// often than the quarter that is promised.
	minServedShare = 0.3
	// minAsked is the number of recent requests from which a share says something.
	minAsked = 6
	// shareHalfLife is the age at which a request counts half in the shares.
	shareHalfLife = 5 * time.Second
)

// Shares counts how often the requests of each class are served, so that none starves. The zero
// value is ready to use.
type Shares struct {
	classes map[string]*share
	total   share
	updated time.Time
}

type share struct{ asked, served float64 }

// rate returns the share of requests that are served, if each caller that is refused asks once more.
func (s share) rate() float64 {
	if s.asked == 0 {
		return 1
	}
	served := min(s.served/s.asked, 1)
	return served * (2 - served)
}

// RecordAsked counts a request of a class, RecordServed one that the server gets.
func (s *Shares) RecordAsked(now time.Time, class string) { s.add(now, class, share{asked: 1}) }

// RecordServed counts a request that the server gets.
func (s *Shares) RecordServed(now time.Time, class string) { s.add(now, class, share{served: 1}) }

func (s *Shares) add(now time.Time, class string, n share) {
	s.decay(now)
	if s.classes == nil {
		s.classes = map[string]*share{}
	}
	c := s.classes[class]
	if c == nil {
		if len(s.classes) >= maxClasses {
			return // its requests are ordered by value alone
		}
		c = &share{}
		s.classes[class] = c
	}
	for _, counted := range []*share{c, &s.total} {
		counted.asked += n.asked
		counted.served += n.served
	}
}

// decay ages the counts. It keeps them between calls that are close to each other.
func (s *Shares) decay(now time.Time) {
	age := now.Sub(s.updated)
	if age < shareHalfLife/100 {
		return
	}
	factor := math.Exp2(-age.Seconds() / shareHalfLife.Seconds())
	for _, c := range s.classes {
		c.asked *= factor
		c.served *= factor
	}
	s.total.asked *= factor
	s.total.served *= factor
	s.updated = now
}

// Starves reports whether a class is served too rarely compared with all requests.
func (s *Shares) Starves(class string) bool {
	c := s.classes[class]
	return c != nil && c.asked >= minAsked && c.rate() < minServedShare*s.total.rate()
}

// Favour marks the request of each starving class that is to be served first.
func (s *Shares) Favour(now time.Time, waiting []*Request) {
	first := map[string]*Request{}
	for _, r := range waiting {
		r.Favoured = false
		if !r.Reachable(now) || !s.Starves(r.Class) {
			continue
		}
		best := first[r.Class]
		if best == nil || (candidate{r, r.value(now)}).precedes(candidate{best, best.value(now)}) {
			first[r.Class] = r
		}
	}
	for _, r := range first {
		r.Favoured = true
	}
}
