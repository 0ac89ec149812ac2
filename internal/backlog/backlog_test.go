package backlog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1000, 0)

const work = 100 * time.Millisecond

// Guards against requests that are sent although others already wait, and against
// refusals of a server that is free.
func TestWaitFollowsReportsAndOwnRequests(t *testing.T) {
	is := is.New(t)
	s := New(4)
	is.Equal(s.Wait(now, work), time.Duration(0))
	s.Reported(now, Report{Running: 4, Waiting: 7, Slots: 4, Pace: 1})
	is.Equal(s.Wait(now, work), 200*time.Millisecond) // 8 ahead of 4 slots
	s.Sent()
	is.Equal(s.Wait(now, work), 225*time.Millisecond)
	s.Done()
	// Others drain while nothing is heard; a report must not block a server for ever.
	is.True(s.Wait(now.Add(reportHalfLife), work) < 100*time.Millisecond)
	is.Equal(s.Wait(now.Add(time.Minute), work), time.Duration(0))
}

// Guards against a straggler that gets work at its usual pace: a neighbour slows it
// down for some hundred milliseconds.
func TestPaceStretchesTheWaitAndFades(t *testing.T) {
	is := is.New(t)
	s := New(1)
	s.Reported(now, Report{Running: 1, Slots: 1, Pace: 3})
	is.Equal(s.Wait(now, work), 300*time.Millisecond)
	is.Equal(s.Pace(now.Add(paceHalfLife)), 2.0)
}

// Overload: more requests than slots. Guards against requests of low rank that take
// the place of urgent ones, and against a wait until the deadline for a request
// that cannot be served.
func TestOverloadRefusesLowRankFirst(t *testing.T) {
	s := New(2)
	for waiting := range 20 {
		s.Reported(now, Report{Running: 2, Waiting: waiting, Slots: 2, Pace: 1})
		urgent, _ := s.Admit(now, Demand{Service: work, Left: 700 * time.Millisecond, Rank: 0, Ranks: 3})
		low, _ := s.Admit(now, Demand{Service: work, Left: 700 * time.Millisecond, Rank: 2, Ranks: 3})
		if low == Send && urgent != Send {
			t.Fatalf("%d waiting: low rank sent, urgent %v", waiting, urgent)
		}
		if waiting >= 13 && urgent != Refuse {
			t.Fatalf("%d waiting: urgent %v although the wait exceeds its time", waiting, urgent)
		}
	}
}

// A server that hangs when its queue is full: guards against a request that it may
// not be able to queue.
func TestFullQueueHolds(t *testing.T) {
	is := is.New(t)
	s := New(2)
	s.Reported(now, Report{Running: 2, Waiting: 4, Slots: 2, Pace: 1})
	d, _ := s.Admit(now, Demand{Service: work, Left: time.Minute})
	is.Equal(d, Hold)
	s.Reported(now, Report{Running: 2, Waiting: 2, Slots: 2, Pace: 1})
	d, _ = s.Admit(now, Demand{Service: work, Left: time.Minute})
	is.Equal(d, Send)
}

// A grey server: guards against failures that are forgotten at once or for ever.
func TestFailingShareRisesAndFades(t *testing.T) {
	is := is.New(t)
	s := New(2)
	for range 10 {
		s.Outcome(now, true)
	}
	is.True(s.Failing(now) > 0.8)
	is.True(s.Failing(now.Add(failureHalfLife)) < 0.5)
	for range 20 {
		s.Outcome(now, false)
	}
	is.True(s.Failing(now) < 0.05)
}
