package limit

import "time"

// Weights of a new sample, as divisors. They are those of the round-trip
// estimate of TCP (RFC 6298).
const (
	meanWeight = 8
	devWeight  = 4
)

// A latency counts as a jump when it exceeds both jumpFactor times the mean and
// jumpDevs mean deviations above it.
const (
	jumpFactor = 3
	jumpDevs   = 4
)

// minSamples is the number of samples before a jump can be told.
const minSamples = 8

// estimate is a moving mean and mean deviation of latencies.
type estimate struct {
	mean, dev time.Duration
	samples   int
}

func (e *estimate) add(latency time.Duration) {
	e.samples++
	if e.samples == 1 {
		e.mean, e.dev = latency, latency/2
		return
	}
	diff := latency - e.mean
	e.mean += diff / meanWeight
	e.dev += (diff.Abs() - e.dev) / devWeight
}

// exceeded reports whether latency is a jump relative to the history.
func (e *estimate) exceeded(latency time.Duration) bool {
	return e.samples >= minSamples && latency > max(jumpFactor*e.mean, e.mean+jumpDevs*e.dev)
}
