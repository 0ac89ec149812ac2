package gateway

import (
	"sync"

	"github.com/agatestep/agatestep/internal/items"
)

// splitter distributes the requests of each route among its services, exactly by
// weight over any run of requests (smooth weighted round robin).
type splitter struct {
	mu     sync.Mutex
	routes map[string]*split
}

type split struct {
	version uint64
	credit  []float64
}

func newSplitter() *splitter { return &splitter{routes: map[string]*split{}} }

// choose returns the service of the next request of a route.
func (s *splitter) choose(m *items.Match) string {
	if len(m.Shares) == 1 {
		return m.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[m.Name]
	if r == nil || r.version != m.Version || len(r.credit) != len(m.Shares) {
		r = &split{version: m.Version, credit: make([]float64, len(m.Shares))}
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
