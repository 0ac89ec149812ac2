package gateway

import (
	"sync"

	"github.com/agatestep/agatestep/internal/items"
)

// splitter distributes the requests of each route among its services by weight (smooth
// weighted round robin): the shares are exact over any run of requests.
type splitter struct {
	mu     sync.Mutex
	routes map[string]*routeSplit
}

type routeSplit struct {
	version uint64
	credit  []float64
}

func newSplitter() *splitter { return &splitter{routes: map[string]*routeSplit{}} }

// chooseService returns the service of the next request of a route.
func (s *splitter) chooseService(m *items.Match) string {
	if len(m.Shares) == 1 {
		return m.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[m.Name]
	if r == nil || r.version != m.Version || len(r.credit) != len(m.Shares) {
		r = &routeSplit{version: m.Version, credit: make([]float64, len(m.Shares))}
		s.routes[m.Name] = r
	}
	total, best := 0.0, 0
	for i, share := range m.Shares {
		r.credit[i] += share.Weight
		total += share.Weight
		if r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best] -= total
	return m.Shares[best].Service
}
