package confirm

import (
	"slices"
	"time"
)

// Answer is what one control replica says.
type Answer struct {
	// Asked is when the reader sent the question.
	Asked   time.Time
	Replica string
	// Voters are the voters of the group as this replica knows them, in order.
	Voters []string
	// Barrier is the revision that the reader's state must have reached.
	Barrier uint64
}

// maxOpen bounds the answers of one replica that wait for the reader's state to reach
// their barrier. Readers ask some times a second.
const maxOpen = 16

// Confirmations are the answers of all replicas. The zero value is ready to use; it is
// not safe for concurrent use.
type Confirmations struct {
	// open are the answers by replica, oldest first; all of one replica have its present
	// voters.
	open map[string][]Answer
	asOf time.Time
}

// Add takes an answer in.
func (c *Confirmations) Add(a Answer) {
	if c.open == nil {
		c.open = map[string][]Answer{}
	}
	known := c.open[a.Replica]
	if n := len(known); n > 0 && !slices.Equal(known[n-1].Voters, a.Voters) {
		known = nil // as of other voters
	}
	known = append(known, a)
	slices.SortFunc(known, func(x, y Answer) int { return x.Asked.Compare(y.Asked) })
	if len(known) > maxOpen {
		known = slices.Delete(known, 0, len(known)-maxOpen)
	}
	c.open[a.Replica] = known
}

// AsOf returns the latest time such that a state of this revision lacks nothing that was
// acknowledged before it. It never goes back; before the first majority it is the zero
// time.
func (c *Confirmations) AsOf(revision uint64) time.Time {
	latest := map[string]time.Time{}
	for replica, answers := range c.open {
		for i, a := range slices.Backward(answers) {
			if a.Barrier <= revision {
				latest[replica] = a.Asked
				c.open[replica] = answers[i:] // earlier ones say nothing more
				break
			}
		}
	}
	for replica := range latest {
		if at, ok := c.majority(replica, latest); ok && at.After(c.asOf) {
			c.asOf = at
		}
	}
	return c.asOf
}

// majority returns the latest time at which a majority of the voters, as a replica knows
// them, had been asked, and all of them knew the same voters.
func (c *Confirmations) majority(replica string, latest map[string]time.Time) (time.Time, bool) {
	voters := c.open[replica][0].Voters
	var times []time.Time
	for _, v := range voters {
		if at, ok := latest[v]; ok && slices.Equal(c.open[v][0].Voters, voters) {
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

// Behind returns the lowest revision that would confirm more than the present one, and
// since when a replica has been known to be past it; false if nothing is waited for.
func (c *Confirmations) Behind(revision uint64) (since time.Time, behind bool) {
	for _, answers := range c.open {
		for _, a := range answers {
			if a.Barrier > revision && (!behind || a.Asked.Before(since)) {
				since, behind = a.Asked, true
			}
		}
	}
	return since, behind
}
