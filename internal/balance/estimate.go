package balance

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Weights of a new latency sample. A rise counts for more, so that a straggler
// shows within few requests.
const (
	riseWeight = 0.5
	fallWeight = 0.25
	meanWeight = 0.02
)

// forgetHalfLife is the time in which an estimate without new samples moves half
// of the way back to the mean of all servers, so that a server that was slow is
// tried again.
const forgetHalfLife = time.Second

// server is what a picker knows of one backend server. A nil server is unknown.
type server struct {
	sent    []time.Time // outstanding requests, oldest first
	latency float64     // seconds, at the time of the last sample
	at      time.Time   // last sample; zero without one
}

func (s *server) load() int {
	if s == nil {
		return 0
	}
	return len(s.sent)
}

// expect returns the latency to expect in seconds: the estimate, or the age of
// the oldest outstanding request when that is more.
func (s *server) expect(now time.Time, mean float64) float64 {
	if s == nil {
		return max(mean, minLatency)
	}
	latency := s.current(now, mean)
	if len(s.sent) > 0 {
		latency = max(latency, now.Sub(s.sent[0]).Seconds())
	}
	return max(latency, minLatency)
}

// minLatency keeps estimates positive, in seconds.
const minLatency = 1e-6

// current returns the estimate as it has faded until now.
func (s *server) current(now time.Time, mean float64) float64 {
	if s.at.IsZero() {
		return mean
	}
	fade := math.Exp2(-now.Sub(s.at).Seconds() / forgetHalfLife.Seconds())
	return mean + (s.latency-mean)*fade
}

func (s *server) add(now time.Time, seconds, mean float64) {
	if s.at.IsZero() {
		s.latency, s.at = seconds, now
		return
	}
	s.latency, s.at = s.current(now, mean), now
	weight := fallWeight
	if seconds > s.latency {
		weight = riseWeight
	}
	s.latency += (seconds - s.latency) * weight
}

// remove drops the outstanding request that was sent closest to at.
func (s *server) remove(at time.Time) {
	best := -1
	for i, t := range s.sent {
		if best < 0 || t.Sub(at).Abs() < s.sent[best].Sub(at).Abs() {
			best = i
		}
	}
	if best >= 0 {
		s.sent = append(s.sent[:best], s.sent[best+1:]...)
	}
}

// hedgeQuantile is the share of answers, in percent, that arrive before a hedge
// would be sent. The rest, 3%, leaves room for stragglers in a budget of 5%.
const hedgeQuantile = 97

// Windows of the latency distribution.
const (
	recentWindow     = 5 * time.Second
	minRecent        = 50 // samples before the quantile is known
	quantileInterval = 32 // samples between two computations
	maxLatency       = time.Minute
)

// recent is the latency distribution over all servers in the current and the
// previous window.
type recent struct {
	mean      float64 // seconds
	now, last *hdrhistogram.Histogram
	began     time.Time
	samples   int
	cached    time.Duration
}

func newRecent() recent {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), 2)
	}
	return recent{now: histogram(), last: histogram()}
}

func (r *recent) add(now time.Time, latency time.Duration) {
	if r.samples == 0 {
		r.mean, r.began = latency.Seconds(), now
	}
	r.mean += (latency.Seconds() - r.mean) * meanWeight
	if now.Sub(r.began) >= recentWindow {
		r.now, r.last, r.began = r.last, r.now, now
		r.now.Reset()
	}
	// The value is within the range of the histogram, so recording cannot fail.
	_ = r.now.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds())
	r.samples++
	if r.samples%quantileInterval == 0 || r.samples == minRecent {
		r.cached = r.compute()
	}
}

func (r *recent) compute() time.Duration {
	larger := r.last
	if r.now.TotalCount() > r.last.TotalCount() {
		larger = r.now
	}
	return time.Duration(larger.ValueAtPercentile(hedgeQuantile)) * time.Microsecond
}

// quantile is false as well after two windows without samples.
func (r *recent) quantile(now time.Time) (time.Duration, bool) {
	return r.cached, r.samples >= minRecent && now.Sub(r.began) < 2*recentWindow
}
