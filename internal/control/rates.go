package control

import (
	"math"
	"time"
)

const (
	// fastHalfLife is the age at which a measurement has half its weight in the estimate
	// that detects hot ranges, which last for seconds.
	fastHalfLife = time.Second
	// slowHalfLife is the same for the estimate of steady loads: the load of a server
	// with few requests a second differs significantly from others only after many
	// seconds.
	slowHalfLife = 8 * time.Second
	// changeThresholdStdDevs is the number of standard deviations by which the fast
	// estimate must differ from the slow one to replace it.
	changeThresholdStdDevs = 3.0
)

// halfLives are the half-lives of the two estimates of a rate.
type halfLives struct{ fast, slow time.Duration }

// followDuration is how long a rate follows the fast estimate after that has diverged
// from the slow one. By then the fast estimate reflects most of the change.
const followDuration = 4 * fastHalfLife

// rate estimates requests per second. The slow estimate is used as long as it is within
// the noise of the fast one.
type rate struct {
	fast, slow      float64
	followRemaining time.Duration // remaining time for which the fast estimate is used
	count           uint64        // since the last update
}

// update adds the requests counted during the elapsed time to both estimates.
func (r *rate) update(elapsed time.Duration, h halfLives) {
	observed := float64(r.count) / elapsed.Seconds()
	r.count = 0
	r.fast += newSampleWeight(elapsed, h.fast) * (observed - r.fast)
	r.slow += newSampleWeight(elapsed, h.slow) * (observed - r.slow)
	if h.fast == h.slow {
		return
	}
	r.followRemaining = max(r.followRemaining-elapsed, 0)
	if math.Abs(r.fast-r.slow) > changeThresholdStdDevs*rateStdDev(r.fast, h.fast) {
		r.followRemaining = followDuration
	}
	if r.followRemaining > 0 {
		r.slow = r.fast
	}
}

// rateStdDev returns the standard deviation of an estimated rate of requests that
// arrive independently of each other. The rate is taken as at least one request per
// half-life, because the true rate may be above zero even if no request was seen.
func rateStdDev(perSecond float64, halfLife time.Duration) float64 {
	seconds := halfLife.Seconds()
	return math.Sqrt(max(perSecond, 1/seconds) * math.Ln2 / 2 / seconds)
}

// perSecond returns the estimate in use.
func (r *rate) perSecond() float64 { return r.slow }

// splitOff subtracts the given share from the rate and returns it as a new rate.
func (r *rate) splitOff(share float64) *rate {
	out := &rate{fast: share * r.fast, slow: share * r.slow, followRemaining: r.followRemaining}
	r.fast, r.slow = r.fast-out.fast, r.slow-out.slow
	return out
}

// estimateRelativeStdDev returns the standard deviation of the measured load of a server
// relative to the mean load, for services leased by heartbeat, given for how long loads
// were measured.
func (l Loads) estimateRelativeStdDev(servers int, observed time.Duration) float64 {
	mean := 0.0
	for _, perSecond := range l.Slices {
		mean += perSecond / float64(max(servers, 1))
	}
	if mean == 0 {
		return 0
	}
	return rateStdDev(mean, min(max(observed, fastHalfLife), slowHalfLife)) / mean
}
