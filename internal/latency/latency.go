// Package latency records histograms of durations and publishes their quantiles.
package latency

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range in milliseconds and precision of the histograms.
const (
	minMillis, maxMillis = 1, 60_000
	significantDigits    = 1
)

// Histograms holds one histogram in milliseconds per label. It implements expvar.Var and
// is safe for concurrent use.
type Histograms struct {
	mu      sync.Mutex
	byLabel map[string]*hdrhistogram.Histogram
}

// New returns an empty set of histograms.
func New() *Histograms { return &Histograms{byLabel: map[string]*hdrhistogram.Histogram{}} }

// Record adds a duration to the histogram of a label. It is rounded down to milliseconds
// and kept within the range of the histograms.
func (l *Histograms) Record(label string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.byLabel[label]
	if h == nil {
		h = hdrhistogram.New(minMillis, maxMillis, significantDigits)
		l.byLabel[label] = h
	}
	// The only error is a value out of range, which the bounds prevent.
	_ = h.RecordValue(min(max(d.Milliseconds(), minMillis), maxMillis))
}

// String implements expvar.Var. It returns the count and the quantiles of each label as JSON.
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
