package control

import (
	"slices"
	"time"
)

// Thresholds for moving slices away from a slow backend server. Most servers are slow
// only briefly: moving their slices costs more than waiting, and the slices would have
// to come back.
const (
	// slowRatio and normalRatio are the mean service times of a server, relative to the
	// median of all servers, from which and down to which it counts as slow.
	slowRatio   = 3.0
	normalRatio = 1.5
	// stragglerAfter is how long a server must be slow without a break to count as a
	// lasting straggler.
	stragglerAfter = 10 * time.Second
	// maxStragglerFactor multiplies the load of a straggler's slices. It is bounded so
	// that the server keeps some slices and its recovery is noticed.
	maxStragglerFactor = 4.0
	// minMeasuredServers is the number of measured servers below which a median is not
	// meaningful.
	minMeasuredServers = 3
	// serviceTimeHalfLife smooths service times. It is short, because a mean that falls
	// slowly makes a brief straggler look like a lasting one.
	serviceTimeHalfLife = time.Second
	// speedWeight makes the speed of a server change more slowly than its mean service
	// time, because keys are placed by it.
	speedWeight = 0.3
	// serverIdleTimeout is how long a server without requests is remembered.
	serverIdleTimeout = time.Minute
)

// serverTiming is the measured service time of one backend server.
type serverTiming struct {
	busyMs, count uint64  // since the last update
	meanMs        float64 // smoothed time per request
	longMeanMs    float64 // the same, smoothed over a longer time
	speed         float64 // the relative speed by which keys are placed
	lastReport    time.Time
	slowSince     time.Time // zero while it is not slow
	straggler     bool
}

// update adds the reports since the last update to the smoothed service times.
func (s *serverTiming) update(now time.Time, weight float64) {
	if s.count == 0 {
		return
	}
	sample := float64(s.busyMs) / float64(s.count)
	if s.lastReport.IsZero() {
		s.meanMs = sample
	}
	s.meanMs += weight * (sample - s.meanMs)
	if s.longMeanMs == 0 {
		s.longMeanMs = sample
	}
	s.longMeanMs += weight * speedWeight * (sample - s.longMeanMs)
	s.lastReport, s.busyMs, s.count = now, 0, 0
}

// updateStraggler decides, with hysteresis, whether the server is a lasting straggler.
// ratio is its mean service time relative to the median.
func (s *serverTiming) updateStraggler(now time.Time, ratio float64) {
	switch {
	case ratio <= normalRatio:
		s.slowSince, s.straggler = time.Time{}, false
	case ratio < slowRatio && !s.straggler:
		s.slowSince = time.Time{}
	case s.slowSince.IsZero():
		s.slowSince = now
	case now.Sub(s.slowSince) >= stragglerAfter:
		s.straggler = true
	}
}

// updateServers updates the service times of all backend servers of a service.
func (s *serviceLoads) updateServers(now time.Time, elapsed time.Duration) {
	weight := newSampleWeight(elapsed, serviceTimeHalfLife)
	var means []float64
	for name, server := range s.servers {
		server.update(now, weight)
		if now.Sub(server.lastReport) > serverIdleTimeout {
			delete(s.servers, name)
		} else if server.meanMs > 0 {
			means = append(means, server.meanMs)
		}
	}
	if len(means) < minMeasuredServers {
		return
	}
	slices.Sort(means)
	median := means[(len(means)-1)/2]
	for _, server := range s.servers {
		server.updateStraggler(now, server.meanMs/median)
	}
}

// stragglerFactors returns the factors by which the load of the slices of lasting
// stragglers is multiplied.
func (s *serviceLoads) stragglerFactors() map[string]float64 {
	out := map[string]float64{}
	for name, server := range s.servers {
		if server.straggler {
			out[name] = maxStragglerFactor
		}
	}
	return out
}

// Limits of a speed: a measurement of few requests must not drain or overload a server.
// A speed is kept until it is off by a factor of speedStep, so that noise moves no keys.
const (
	minSpeed  = 0.3
	maxSpeed  = 2.0
	speedStep = 1.25
)

// speeds returns how fast servers work relative to the median one, or nil if too few
// are measured.
func (s *serviceLoads) speeds() map[string]float64 {
	var means []float64
	for _, server := range s.servers {
		if server.longMeanMs > 0 {
			means = append(means, server.longMeanMs)
		}
	}
	if len(means) < minMeasuredServers {
		return nil
	}
	slices.Sort(means)
	median := means[(len(means)-1)/2]
	out := map[string]float64{}
	for name, server := range s.servers {
		if server.longMeanMs <= 0 {
			continue
		}
		measured := min(max(median/server.longMeanMs, minSpeed), maxSpeed)
		if ratio := measured / max(server.speed, minSpeed/2); ratio > speedStep || ratio < 1/speedStep {
			server.speed = measured
		}
		out[name] = server.speed
	}
	s.medianMs = median
	return out
}
