package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start  = time.Unix(1000, 0)
	voters = []string{"a", "b", "c", "d", "e"}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func (c *Confirmations) add(replica string, ms int, barrier uint64, group []string) {
	c.Add(BarrierAnswer{SentAt: at(ms), Replica: replica, Voters: group, Barrier: barrier})
}

// Guards against a table that counts as current by the answers of fewer than a majority, or
// as of a time later than the sending of one of their requests.
func TestMajorityConfirms(t *testing.T) {
	is := is.New(t)
	var c Confirmations
	c.add("a", 400, 5, voters)
	c.add("b", 300, 5, voters)
	is.True(c.AsOf(5).IsZero())
	c.add("c", 100, 4, voters)
	is.Equal(c.AsOf(5), at(100))
	c.add("d", 200, 9, voters) // has a change that the table lacks
	is.Equal(c.AsOf(5), at(100))
	is.Equal(c.AsOf(9), at(200))
	is.Equal(c.AsOf(5), at(200)) // the result never decreases
}

// Guards against errors with answers that arrive out of order, and against a table that is
// never confirmed while each answer names a later revision than the table has.
func TestAnswersWaitForRevision(t *testing.T) {
	is := is.New(t)
	var c Confirmations
	for i, replica := range voters[:3] {
		for round := range 4 {
			c.add(replica, 400*(3-round)+i, uint64(13-round), voters) // the newest first
		}
	}
	is.Equal(c.AsOf(10), at(0))
	is.Equal(c.AsOf(12), at(800))
	since, behind := c.Behind(12)
	is.True(behind)
	is.Equal(since, at(1200))
	is.Equal(c.AsOf(13), at(1200))
	_, behind = c.Behind(13)
	is.True(!behind)
}

// A control host lost its disk and was replaced by another one. Guards against a majority of
// replicas that do not agree on the voters: it need not contain what was committed.
func TestAnswersWithDifferentVotersAreNotCombined(t *testing.T) {
	is := is.New(t)
	var c Confirmations
	newVoters := []string{"a", "b", "c", "d", "f"}
	c.add("d", 100, 5, voters)
	c.add("e", 100, 5, voters)
	c.add("a", 100, 5, newVoters)
	c.add("b", 100, 5, newVoters)
	is.True(c.AsOf(5).IsZero())
	c.add("f", 50, 5, newVoters)
	is.Equal(c.AsOf(5), at(50))
	c.add("a", 300, 5, nil) // a replica without a group
	c.add("f", 300, 5, nil)
	c.add("e", 300, 5, nil)
	is.Equal(c.AsOf(5), at(50))
}

// Guards against memory that grows while the revision of the table does not.
func TestPendingAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	var c Confirmations
	for i := range 10 * maxPending {
		c.add("a", i, uint64(i+1), voters)
	}
	is.Equal(len(c.pending["a"]), maxPending)
}
