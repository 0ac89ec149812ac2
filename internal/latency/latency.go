// Package latency keeps histograms of durations and publishes their quantiles.
package latency

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in milliseconds.
const (
	lowest, highest = 1, 60_000
	digits          = 1
)

// Histograms are histograms in milliseconds, by label. They implement expvar.Var and
// are safe for concurrent use.
type Histograms struct {
	mu      sync.Mutex
	byLabel map[string]*hdrhistogram.Histogram
}

// New returns histograms without a label.
func New() *Histograms { return &Histograms{byLabel: map[string]*hdrhistogram.Histogram{}} }

// Record adds a duration under a label.
func (l *Histograms) Record(label string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.byLabel[label]
	if h == nil {
		h = hdrhistogram.New(lowest, highest, digits)
		l.byLabel[label] = h
	}
	// The bound keeps the value within the histogram, the only cause of an error.
	_ = h.RecordValue(min(max(d.Milliseconds(), lowest), highest))
}

// String implements expvar.Var.
func (l *Histograms) String() string {
	type summary struct {
		Count              int64
		P50, P90, P99, Max int64
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]summary{}
	for label, h := range l.byLabel {
		out[label] = summary{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
	}
	data, err := json.Marshal(out)
	if err != nil {
		return "{}" // numbers and strings always encode
	}
	return string(data)
}
