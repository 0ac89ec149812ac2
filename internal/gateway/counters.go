package gateway

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counters are the metrics of the gateways of a process.
type Counters struct {
	Requests, Retries, Opened, Reused *expvar.Int
	// Outcomes counts requests by kind and outcome, Refusals by reason.
	Outcomes, Refusals *expvar.Map
	latencies          *latencies
}

var counters = newCounters()

func newCounters() *Counters {
	c := &Counters{
		Requests:  expvar.NewInt("agatestep_gateway_requests"),
		Retries:   expvar.NewInt("agatestep_gateway_retries"),
		Opened:    expvar.NewInt("agatestep_gateway_connections_opened"),
		Reused:    expvar.NewInt("agatestep_gateway_connections_reused"),
		Outcomes:  expvar.NewMap("agatestep_gateway_outcomes"),
		Refusals:  expvar.NewMap("agatestep_gateway_refusals"),
		latencies: &latencies{byLabel: map[string]*hdrhistogram.Histogram{}},
	}
	expvar.Publish("agatestep_gateway_latency_ms", c.latencies)
	return c
}

// latencies are histograms of the time to the end of an answer, by kind of
// request and outcome.
type latencies struct {
	mu      sync.Mutex
	byLabel map[string]*hdrhistogram.Histogram
}

// Range and precision of the histograms, in milliseconds.
const (
	latencyLowest, latencyHighest = 1, 60_000
	latencyDigits                 = 1
)

func (l *latencies) record(label string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.byLabel[label]
	if h == nil {
		h = hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits)
		l.byLabel[label] = h
	}
	// The bound keeps the value within the histogram, the only cause of an error.
	_ = h.RecordValue(min(max(d.Milliseconds(), latencyLowest), latencyHighest))
}

// String implements expvar.Var.
func (l *latencies) String() string {
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
