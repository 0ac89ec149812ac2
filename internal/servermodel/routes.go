package servermodel

import "time"

const (
	// routeWeight is the weight of a sample in the mean work of a route.
	routeWeight = 0.02
	// maxFirstSamples is the number of first samples that count equally.
	maxFirstSamples = 50
	// maxRoutes bounds the routes that are tracked for a service.
	maxRoutes = 4096
)

// routeMeans holds the mean work of the requests of one service by route, over all its servers
// at usual speed.
type routeMeans struct {
	routes map[string]*routeMean
	// all is the mean over the requests of all routes.
	all routeMean
}

type routeMean struct {
	mean  time.Duration
	count int
}

func newRouteMeans() *routeMeans { return &routeMeans{routes: map[string]*routeMean{}} }

// add adds a sample: the first ones count equally, later ones with routeWeight.
func (m *routeMean) add(sample time.Duration) {
	m.count = min(m.count+1, maxFirstSamples)
	weight := max(1/float64(m.count), routeWeight)
	m.mean += time.Duration(weight * float64(sample-m.mean))
}

// of returns the mean work of a route, or the given one if none is known.
func (r *routeMeans) of(route string, unknown time.Duration) time.Duration {
	if m := r.routes[route]; m != nil {
		return m.mean
	}
	return unknown
}

// ofAll returns the mean work of all requests, or the given one if none is known.
func (r *routeMeans) ofAll(unknown time.Duration) time.Duration {
	if r.all.count > 0 {
		return r.all.mean
	}
	return unknown
}

func (r *routeMeans) add(route string, sample time.Duration) {
	m := r.routes[route]
	if m == nil {
		if len(r.routes) >= maxRoutes {
			return
		}
		m = &routeMean{}
		r.routes[route] = m
	}
	m.add(sample)
	r.all.add(sample)
}
