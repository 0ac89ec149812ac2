package control

import (
	"slices"
	"time"
)

// When slices leave a slow backend server. Stragglers are usually brief: moving
// slices away costs more than waiting, and they would have to come back.
const (
	// slowRatio and normalRatio are the mean service time of a server relative to
	// the median of all servers, at which it begins and ceases to count as slow.
	slowRatio   = 3.0
	normalRatio = 1.5
	// lastingAfter is how long a server must be slow without a break.
	lastingAfter = 10 * time.Second
	// maxSlowFactor bounds how much heavier the slices of a slow server count, so
	// that it keeps some and its recovery is seen.
	maxSlowFactor = 4.0
	// minCompared is the number of measured servers below which a median says little.
	minCompared = 3
	// serviceHalfLife smooths service times. It is short, because a mean that falls
	// slowly makes a brief straggler look like a lasting one.
	serviceHalfLife = time.Second
	// paceWeight makes the pace of a server follow more slowly than its service time,
	// because keys move by it.
	paceWeight = 0.3
	// forgetServer is how long a server is remembered that serves nothing.
	forgetServer = time.Minute
)

// serverLoad is the measured service time of one backend server.
type serverLoad struct {
	busyMs, count uint64  // since the last fold
	meanMs        float64 // smoothed time per request
	paceMs        float64 // the same, smoothed for longer
	pace          float64 // the pace by which keys are placed
	seen          time.Time
	slowSince     time.Time // zero while it is not slow
	lasting       bool
}

// fold takes in the reports since the last fold.
func (s *serverLoad) fold(now time.Time, weight float64) {
	if s.count == 0 {
		return
	}
	sample := float64(s.busyMs) / float64(s.count)
	if s.seen.IsZero() {
		s.meanMs = sample
	}
	s.meanMs += weight * (sample - s.meanMs)
	if s.paceMs == 0 {
		s.paceMs = sample
	}
	s.paceMs += weight * paceWeight * (sample - s.paceMs)
	s.seen, s.busyMs, s.count = now, 0, 0
}

// judge decides, with hysteresis, whether the server is a lasting straggler.
func (s *serverLoad) judge(now time.Time, ratio float64) {
	switch {
	case ratio <= normalRatio:
		s.slowSince, s.lasting = time.Time{}, false
	case ratio < slowRatio && !s.lasting:
		s.slowSince = time.Time{}
	case s.slowSince.IsZero():
		s.slowSince = now
	case now.Sub(s.slowSince) >= lastingAfter:
		s.lasting = true
	}
}

// foldServers updates the service times of all backend servers of a service.
func (s *serviceLoads) foldServers(now time.Time, elapsed time.Duration) {
	weight := decay(elapsed, serviceHalfLife)
	var means []float64
	for name, server := range s.servers {
		server.fold(now, weight)
		if now.Sub(server.seen) > forgetServer {
			delete(s.servers, name)
		} else if server.meanMs > 0 {
			means = append(means, server.meanMs)
		}
	}
	if len(means) < minCompared {
		return
	}
	slices.Sort(means)
	median := means[(len(means)-1)/2]
	for _, server := range s.servers {
		server.judge(now, server.meanMs/median)
	}
}

// slow returns how much heavier the slices of lasting stragglers count.
func (s *serviceLoads) slow() map[string]float64 {
	out := map[string]float64{}
	for name, server := range s.servers {
		if server.lasting {
			out[name] = maxSlowFactor
		}
	}
	return out
}

// Bounds of a pace: a measurement of few requests must not empty or flood a server.
// A pace is kept until it is off by paceStep, so that keys do not move with noise.
const (
	minPace  = 0.3
	maxPace  = 2.0
	paceStep = 1.25
)

// pace returns how fast servers work relative to the median one.
func (s *serviceLoads) pace() map[string]float64 {
	var means []float64
	for _, server := range s.servers {
		if server.paceMs > 0 {
			means = append(means, server.paceMs)
		}
	}
	if len(means) < minCompared {
		return nil
	}
	slices.Sort(means)
	median := means[(len(means)-1)/2]
	out := map[string]float64{}
	for name, server := range s.servers {
		if server.paceMs <= 0 {
			continue
		}
		measured := min(max(median/server.paceMs, minPace), maxPace)
		if ratio := measured / max(server.pace, minPace/2); ratio > paceStep || ratio < 1/paceStep {
			server.pace = measured
		}
		out[name] = server.pace
	}
	s.medianMs = median
	return out
}
