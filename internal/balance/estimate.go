package balance

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Weights of a new latency sample. A higher sample counts for more than a lower one,
// so that a straggler is recognized within a few requests.
const (
	riseWeight = 0.5
	fallWeight = 0.25
	meanWeight = 0.02
)

// estimateHalfLife is the time in which an estimate without new samples moves half
// of the way back to the mean of all servers, so that a server that was slow is
// tried again.
const estimateHalfLife = time.Second

// serverEstimate is the latency estimate of one backend server. A nil estimate is that of an unknown server.
type serverEstimate struct {
	outstanding []time.Time // outstanding requests, oldest first
	latency     float64     // seconds, at the time of the last sample
	sampledAt   time.Time   // last sample; zero without one
}

func (s *serverEstimate) load() int {
	if s == nil {
		return 0
	}
	return len(s.outstanding)
}

// expectedLatency returns the expected latency in seconds: the estimate, or the age
// of the oldest outstanding request when that is more.
func (s *serverEstimate) expectedLatency(now time.Time, mean float64) float64 {
	if s == nil {
		return max(mean, minLatency)
	}
	latency := s.decayedLatency(now, mean)
	if len(s.outstanding) > 0 {
		latency = max(latency, now.Sub(s.outstanding[0]).Seconds())
	}
	return max(latency, minLatency)
}

// minLatency keeps estimates positive, in seconds.
const minLatency = 1e-6

// decayedLatency returns the estimate in seconds, decayed towards mean until now.
func (s *serverEstimate) decayedLatency(now time.Time, mean float64) float64 {
	if s.sampledAt.IsZero() {
		return mean
	}
	decay := math.Exp2(-now.Sub(s.sampledAt).Seconds() / estimateHalfLife.Seconds())
	return mean + (s.latency-mean)*decay
}

func (s *serverEstimate) addSample(now time.Time, seconds, mean float64) {
	if s.sampledAt.IsZero() {
		s.latency, s.sampledAt = seconds, now
		return
	}
	s.latency, s.sampledAt = s.decayedLatency(now, mean), now
	weight := fallWeight
	if seconds > s.latency {
		weight = riseWeight
	}
	s.latency += (seconds - s.latency) * weight
}

// removeOutstanding removes the outstanding request that was sent closest to at.
func (s *serverEstimate) removeOutstanding(at time.Time) {
	best := -1
	for i, t := range s.outstanding {
		if best < 0 || t.Sub(at).Abs() < s.outstanding[best].Sub(at).Abs() {
			best = i
		}
	}
	if best >= 0 {
		s.outstanding = append(s.outstanding[:best], s.outstanding[best+1:]...)
	}
}

// hedgeQuantile is the share of responses, in percent, that arrive before a hedge
// would be sent. The rest, 3%, leaves room for stragglers in a budget of 5%.
const hedgeQuantile = 97

// Windows and limits of the latency distribution.
const (
	recentWindow     = 5 * time.Second
	minSamples       = 50 // samples before the quantile is known
	quantileInterval = 32 // samples between two computations of the quantile
	maxLatency       = time.Minute
)

// latencyWindows is the latency distribution over all servers in the current and the
// previous window.
type latencyWindows struct {
	mean              float64 // seconds
	current, previous *hdrhistogram.Histogram
	windowStart       time.Time
	samples           int
	cachedQuantile    time.Duration
}

func newLatencyWindows() latencyWindows {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), 2)
	}
	return latencyWindows{current: histogram(), previous: histogram()}
}

func (w *latencyWindows) addSample(now time.Time, latency time.Duration) {
	if w.samples == 0 {
		w.mean, w.windowStart = latency.Seconds(), now
	}
	w.mean += (latency.Seconds() - w.mean) * meanWeight
	if now.Sub(w.windowStart) >= recentWindow {
		w.current, w.previous, w.windowStart = w.previous, w.current, now
		w.current.Reset()
	}
	// The value is within the range of the histogram, so recording cannot fail.
	_ = w.current.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds())
	w.samples++
	if w.samples%quantileInterval == 0 || w.samples == minSamples {
		w.cachedQuantile = w.computeQuantile()
	}
}

func (w *latencyWindows) computeQuantile() time.Duration {
	larger := w.previous
	if w.current.TotalCount() > w.previous.TotalCount() {
		larger = w.current
	}
	return time.Duration(larger.ValueAtPercentile(hedgeQuantile)) * time.Microsecond
}

// quantile returns the latency at hedgeQuantile. It returns false until enough samples
// are known, and after two windows without samples.
func (w *latencyWindows) quantile(now time.Time) (time.Duration, bool) {
	return w.cachedQuantile, w.samples >= minSamples && now.Sub(w.windowStart) < 2*recentWindow
}
