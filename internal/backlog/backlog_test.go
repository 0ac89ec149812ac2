package backlog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1000, 0)

const work = 100 * time.Millisecond

// Guards against a wait that ignores queued requests, and against one that is still
// estimated for a server that has become free.
func TestWaitFollowsReportsAndOwnRequestsAndDecays(t *testing.T) {
	is := is.New(t)
	s := New(4)
	is.Equal(s.EstimateWait(now, work), time.Duration(0))
	s.RecordReport(now, Report{Running: 4, Waiting: 7, Slots: 4, Slowdown: 1})
	is.Equal(s.EstimateWait(now, work), 200*time.Millisecond) // 8 ahead of 4 slots
	s.RecordSent()
	is.Equal(s.EstimateWait(now, work), 225*time.Millisecond)
	s.RecordDone()
	// Without new reports the requests of others decay: a report must not block a
	// server for ever.
	is.True(s.EstimateWait(now.Add(reportHalfLife), work) < 100*time.Millisecond)
	is.Equal(s.EstimateWait(now.Add(time.Minute), work), time.Duration(0))
}

// Guards against a straggler that gets requests as if it were not slow: another workload
// on its host slows it down for some hundred milliseconds.
func TestSlowdownScalesWaitAndDecays(t *testing.T) {
	is := is.New(t)
	s := New(1)
	s.RecordReport(now, Report{Running: 1, Slots: 1, Slowdown: 3})
	is.Equal(s.EstimateWait(now, work), 300*time.Millisecond)
	is.Equal(s.Slowdown(now.Add(slowdownHalfLife)), 2.0)
}

// Overload: more requests than slots. Guards against requests of low rank that are sent
// while urgent ones are not, and against a wait until the deadline for a request that
// cannot be served.
func TestOverloadRefusesLowRankFirst(t *testing.T) {
	s := New(2)
	for waiting := range 20 {
		s.RecordReport(now, Report{Running: 2, Waiting: waiting, Slots: 2, Slowdown: 1})
		urgent, _ := s.Admit(now, Demand{ServiceTime: work, TimeLeft: 700 * time.Millisecond, Rank: 0, Ranks: 3})
		low, _ := s.Admit(now, Demand{ServiceTime: work, TimeLeft: 700 * time.Millisecond, Rank: 2, Ranks: 3})
		if low == Send && urgent != Send {
			t.Fatalf("%d waiting: low rank sent, urgent %v", waiting, urgent)
		}
		if waiting >= 13 && urgent != Refuse {
			t.Fatalf("%d waiting: urgent %v although the wait exceeds its time", waiting, urgent)
		}
	}
}

// A server may never answer requests that exceed its queue. Guards against a request
// that it may not be able to queue.
func TestFullQueueHoldsRequests(t *testing.T) {
	is := is.New(t)
	s := New(2)
	s.RecordReport(now, Report{Running: 2, Waiting: 4, Slots: 2, Slowdown: 1})
	d, _ := s.Admit(now, Demand{ServiceTime: work, TimeLeft: time.Minute})
	is.Equal(d, Hold)
	s.RecordReport(now, Report{Running: 2, Waiting: 2, Slots: 2, Slowdown: 1})
	d, _ = s.Admit(now, Demand{ServiceTime: work, TimeLeft: time.Minute})
	is.Equal(d, Send)
}

// A server that fails some requests although it seems healthy: guards against failures
// that are ignored, and against failures that count for ever.
func TestFailureRateRisesAndDecays(t *testing.T) {
	is := is.New(t)
	s := New(2)
	for range 10 {
		s.RecordOutcome(now, true)
	}
	is.True(s.FailureRate(now) > 0.8)
	is.True(s.FailureRate(now.Add(failureHalfLife)) < 0.5)
	for range 20 {
		s.RecordOutcome(now, false)
	}
	is.True(s.FailureRate(now) < 0.05)
}
