package upstream

import "time"

// dialTimes estimates how long connections take to open, over all addresses. On a host
// whose own link is congested, all connections open slowly; its timeouts must follow, or
// it takes its own link for the loss of healthy servers.
type dialTimes struct {
	mean, deviation time.Duration
}

// Weights of a new sample, and the number of deviations that the timeout exceeds the mean
// by, as for the retransmission timer of TCP (RFC 6298).
const (
	dialMeanWeight      = 0.125
	dialDeviationWeight = 0.25
	dialDeviations      = 4
)

func (t *dialTimes) record(took time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	diff := took - t.mean
	t.deviation += time.Duration(dialDeviationWeight * float64(diff.Abs()-t.deviation))
	t.mean += time.Duration(dialMeanWeight * float64(diff))
}

// timeout returns the time after which a dial is late, between lower and upper.
func (t *dialTimes) timeout(lower, upper time.Duration) time.Duration {
	return max(min(t.mean+dialDeviations*t.deviation, upper), lower)
}
