package upstream

import "time"

// openTimes estimates how long connections take to open, over all addresses. A host
// whose own link is crowded sees all its connections open late; its timeouts must follow,
// or it takes its own link for the loss of sound servers.
type openTimes struct {
	mean, deviation time.Duration
}

// Weights of a new sample, and the deviations beyond the mean that are waited for, as for
// the retransmission timer of TCP (RFC 6298).
const (
	openMeanWeight      = 0.125
	openDeviationWeight = 0.25
	openDeviations      = 4
)

func (t *openTimes) add(took time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	off := took - t.mean
	t.deviation += time.Duration(openDeviationWeight * float64(off.Abs()-t.deviation))
	t.mean += time.Duration(openMeanWeight * float64(off))
}

// bound returns the time after which an opening is late, between least and most.
func (t *openTimes) bound(least, most time.Duration) time.Duration {
	return max(min(t.mean+openDeviations*t.deviation, most), least)
}
