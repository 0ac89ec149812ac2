package permit

import "time"

const (
	// refusalValidShare is the part of the expected wait for which a refusal is assumed to
	// hold. After it, the queue that refused is still far from empty.
	refusalValidShare = 0.25
	// maxRefusalValidity bounds that time, because the load may change.
	maxRefusalValidity = 400 * time.Millisecond
	// minTimeFactor is how many times the time left of the refused request another request
	// must have for a permit to be requested nevertheless.
	minTimeFactor = 1.1
	// minServiceShare is the part of the service time of the refused request that another
	// request must take to be refused too. Shorter ones may fit in where queues are ordered
	// by cost.
	minServiceShare = 0.9
)

// RefusalCache remembers the last refusal of one queue, so that an entry host does not
// request permits that would be refused again: when a key is hot, the permit requests of
// all hosts would overload the host that manages the queue and its link. The zero value is
// ready to use; it is not safe for concurrent use.
type RefusalCache struct {
	validUntil, refusedAt time.Time
	rank                  int
	timeLeft              time.Duration // time left of the refused request
	retryAfter            time.Duration
	service               time.Duration // usual service time of the refused request, if given
}

// Record records that a permit request was refused at now; wait is the expected wait, after
// which the caller may retry.
func (c *RefusalCache) Record(now time.Time, r Request, wait time.Duration) {
	left := r.Deadline.Sub(now)
	if now.Before(c.validUntil) && (clampRank(r.Rank) > c.rank || left < c.timeLeft || r.Service > c.service) {
		return // the recorded refusal covers more requests
	}
	validFor := min(time.Duration(refusalValidShare*float64(wait)), maxRefusalValidity)
	*c = RefusalCache{validUntil: now.Add(validFor), refusedAt: now, rank: clampRank(r.Rank), timeLeft: left, retryAfter: wait, service: r.Service}
}

// Predict reports whether a permit request would be refused, and when its caller may retry.
func (c *RefusalCache) Predict(now time.Time, r Request) (retry time.Duration, refused bool) {
	if !now.Before(c.validUntil) || clampRank(r.Rank) < c.rank || float64(r.Service) < minServiceShare*float64(c.service) || float64(r.Deadline.Sub(now)) > minTimeFactor*float64(c.timeLeft) {
		return 0, false
	}
	return max(c.retryAfter-now.Sub(c.refusedAt), 0), true
}
