package limit

import "time"

// Weights of a new sample, as divisors. They are those of the round-trip time
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

// minSamples is the number of samples needed to detect a jump.
const minSamples = 8

// latencyEstimate is a moving mean and mean deviation of latencies.
type latencyEstimate struct {
	mean, deviation time.Duration
	samples         int
}

func (e *latencyEstimate) add(latency time.Duration) {
	e.samples++
	if e.samples == 1 {
		e.mean, e.deviation = latency, latency/2
		return
	}
	diff := latency - e.mean
	e.mean += diff / meanWeight
	e.deviation += (diff.Abs() - e.deviation) / devWeight
}

// isJump reports whether latency is a jump relative to earlier samples.
func (e *latencyEstimate) isJump(latency time.Duration) bool {
	return e.samples >= minSamples && latency > max(jumpFactor*e.mean, e.mean+jumpDevs*e.deviation)
}
