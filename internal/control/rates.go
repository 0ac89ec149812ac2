package control

import (
	"math"
	"time"
)

const (
	// fastHalfLife is the age at which a measurement counts half in the estimate that
	// finds hot ranges, which last for seconds.
	fastHalfLife = time.Second
	// slowHalfLife is the same for the estimate of steady loads: a server with few
	// requests a second needs many seconds to be told from its neighbours.
	slowHalfLife = 8 * time.Second
	// confidence is the number of standard deviations by which the fast estimate must
	// leave the slow one to replace it.
	confidence = 3.0
)

// halfLives are those of the two estimates of a rate.
type halfLives struct{ fast, slow time.Duration }

// followFor is how long a rate follows the fast estimate after it left the slow one. The
// fast one has taken in most of the change by then.
const followFor = 4 * fastHalfLife

// rate is an estimate of requests per second. The slow estimate stands as long as it
// is within the noise of the fast one.
type rate struct {
	fast, slow float64
	follow     time.Duration // for which the fast estimate stands
	count      uint64        // since the last fold
}

// fold takes in the count of the time that elapsed.
func (r *rate) fold(elapsed time.Duration, h halfLives) {
	sample := float64(r.count) / elapsed.Seconds()
	r.count = 0
	r.fast += decay(elapsed, h.fast) * (sample - r.fast)
	r.slow += decay(elapsed, h.slow) * (sample - r.slow)
	if h.fast == h.slow {
		return
	}
	r.follow = max(r.follow-elapsed, 0)
	if math.Abs(r.fast-r.slow) > confidence*deviation(r.fast, h.fast) {
		r.follow = followFor
	}
	if r.follow > 0 {
		r.slow = r.fast
	}
}

// deviation is the standard deviation of an estimate of a rate of requests that come
// independently of each other. The rate counts as one request in the half-life at
// least: none seen does not mean that none come.
func deviation(perSecond float64, halfLife time.Duration) float64 {
	seconds := halfLife.Seconds()
	return math.Sqrt(max(perSecond, 1/seconds) * math.Ln2 / 2 / seconds)
}

// perSecond is the estimate.
func (r *rate) perSecond() float64 { return r.slow }

// part splits off the given share of a rate.
func (r *rate) part(share float64) *rate {
	out := &rate{fast: share * r.fast, slow: share * r.slow, follow: r.follow}
	r.fast, r.slow = r.fast-out.fast, r.slow-out.slow
	return out
}

// noise is the standard deviation of the measured load of a server relative to the
// mean one, for services leased by heartbeat, after loads were observed for some time.
func (l Loads) noise(servers int, observed time.Duration) float64 {
	mean := 0.0
	for _, perSecond := range l.Slices {
		mean += perSecond / float64(max(servers, 1))
	}
	if mean == 0 {
		return 0
	}
	return deviation(mean, min(max(observed, fastHalfLife), slowHalfLife)) / mean
}
