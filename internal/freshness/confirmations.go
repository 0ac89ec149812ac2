package freshness

import (
	"slices"
	"time"
)

// BarrierAnswer is the answer of one control replica to a barrier request.
type BarrierAnswer struct {
	// SentAt is when the reader sent the request.
	SentAt  time.Time
	Replica string
	// Voters are the voters of the group as known to this replica, in order.
	Voters []string
	// Barrier is the revision that the reader's state must reach for the answer to count.
	Barrier uint64
}

// maxPending bounds the answers of one replica that wait for the reader's state to reach
// their barrier. Readers ask several times a second.
const maxPending = 16

// Confirmations collects the answers of all replicas. The zero value is ready to use; it
// is not safe for concurrent use.
type Confirmations struct {
	// pending holds the answers by replica, oldest first. All answers of a replica name the
	// same voters.
	pending map[string][]BarrierAnswer
	asOf    time.Time
}

// Add records an answer. It drops the earlier answers of the replica if the voters differ.
func (c *Confirmations) Add(a BarrierAnswer) {
	if c.pending == nil {
		c.pending = map[string][]BarrierAnswer{}
	}
	fromReplica := c.pending[a.Replica]
	if n := len(fromReplica); n > 0 && !slices.Equal(fromReplica[n-1].Voters, a.Voters) {
		fromReplica = nil // they name other voters
	}
	fromReplica = append(fromReplica, a)
	slices.SortFunc(fromReplica, func(x, y BarrierAnswer) int { return x.SentAt.Compare(y.SentAt) })
	if len(fromReplica) > maxPending {
		fromReplica = slices.Delete(fromReplica, 0, len(fromReplica)-maxPending)
	}
	c.pending[a.Replica] = fromReplica
}

// AsOf returns the latest time such that a state of this revision contains every change
// that was acknowledged before that time. It never decreases; before the first majority it
// is the zero time.
func (c *Confirmations) AsOf(revision uint64) time.Time {
	latest := map[string]time.Time{}
	for replica, answers := range c.pending {
		for i, a := range slices.Backward(answers) {
			if a.Barrier <= revision {
				latest[replica] = a.SentAt
				c.pending[replica] = answers[i:] // earlier ones add nothing
				break
			}
		}
	}
	for replica := range latest {
		if at, ok := c.majorityTime(replica, latest); ok && at.After(c.asOf) {
			c.asOf = at
		}
	}
	return c.asOf
}

// majorityTime returns the latest time such that a majority of the voters known to a replica
// answered requests that were sent at or after it. Only answers that name the same voters
// count. It returns false if there is no such majority.
func (c *Confirmations) majorityTime(replica string, latest map[string]time.Time) (time.Time, bool) {
	voters := c.pending[replica][0].Voters
	var times []time.Time
	for _, v := range voters {
		if at, ok := latest[v]; ok && slices.Equal(c.pending[v][0].Voters, voters) {
			times = append(times, at)
		}
	}
	needed := len(voters)/2 + 1
	if len(voters) == 0 || len(times) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1], true
}

// Behind reports whether a replica has answered with a barrier past the revision, and when
// the earliest such request was sent.
func (c *Confirmations) Behind(revision uint64) (since time.Time, behind bool) {
	for _, answers := range c.pending {
		for _, a := range answers {
			if a.Barrier > revision && (!behind || a.SentAt.Before(since)) {
				since, behind = a.SentAt, true
			}
		}
	}
	return since, behind
}
