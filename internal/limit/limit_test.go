package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against requests beyond the limit, a queue beyond its bound, requests
// that wait for an idle server, and ids that are lost or returned twice, in any order of calls.
func TestAdmissionAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Slots: rapid.IntRange(1, 5).Draw(t, "slots"), ColdLimit: rapid.IntRange(0, 6).Draw(t, "cold"),
			QueueLen: rapid.IntRange(0, 4).Draw(t, "queue"), Ramp: time.Second}
		now := time.Unix(0, 0)
		a, queuedIDs, running := New(cfg, now), map[uint64]time.Time{}, 0
		start := func(n, before int) {
			if running += n; n > 0 && before+n > a.Limit(now) {
				t.Fatalf("%d started at %d in flight with limit %d", n, before, a.Limit(now))
			}
		}
		for id := uint64(1); id <= 60; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "wait")) * time.Millisecond)
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 5:
				deadline := now.Add(time.Duration(rapid.IntRange(-5, 400).Draw(t, "deadline")) * time.Millisecond)
				switch a.Offer(now, id, deadline) {
				case Run:
					start(1, running)
				case Wait:
					queuedIDs[id] = deadline
				}
			case action < 8 && running > 0:
				running--
				a.Finish(now, Outcome{time.Duration(rapid.IntRange(1, 90).Draw(t, "latency")) * time.Millisecond, action == 5, action == 6, false})
			case action == 8:
				a.TurnCold(now)
			default:
				_, queued := queuedIDs[id-3]
				if a.Cancel(id-3) != queued {
					t.Fatalf("cancel of %d, queued %v", id-3, queued)
				}
				delete(queuedIDs, id-3)
			}
			run, expired := a.Ready(now)
			start(len(run), running)
			for _, id := range append(run, expired...) {
				if _, queued := queuedIDs[id]; !queued {
					t.Fatalf("%d returned but not queued", id)
				}
				delete(queuedIDs, id)
			}
			for id, deadline := range queuedIDs {
				if !now.Before(deadline) && a.queue[0].id == id {
					t.Fatalf("%d is past its deadline and still queued", id)
				}
			}
			if a.Queued() > 0 && running == 0 {
				t.Fatalf("%d wait for an idle server", a.Queued())
			}
			if a.Queued() != len(queuedIDs) || a.Queued() > cfg.QueueLen || a.InFlight() != running {
				t.Fatalf("queued %d of %d, in flight %d of %d", a.Queued(), len(queuedIDs), a.InFlight(), running)
			}
		}
	})
}

// Guards against a cold limit that is exceeded and against a limit that never
// reaches the slots; each case fails when the mechanism it names is disabled.
func TestColdStartLimitIsKept(t *testing.T) {
	for scenario, want := range map[string]struct{ peak, over float64 }{
		"new":             {1, 0}, // fails if the limit grows at the latency of a cold server
		"failover":        {1, 0},
		"lying-report":    {1, 0},
		"unknown":         {2, 1}, // the ramp alone allows one step
		"without-warning": {4, 2}, // in flight when it turned cold; the first sign comes from a request sent over the limit
	} {
		got := simulateColdStart(1, fourSlots, 1, scenario)
		if got["peak-cold"] > want.peak || got["sent-over"] > want.over || got["full-s"] > 8 {
			t.Errorf("%s: peak %v, sent over the cold limit %v, full after %v s; want at most %v", scenario, got["peak-cold"], got["sent-over"], got["full-s"], want)
		}
	}
}

// Guards against outcomes of a warm server that are taken for the wrong state: each case
// is one sequence of outcomes (n normal, s slow, f failed, x shed, b slow and failed).
func TestOutcomesDetermineColdState(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		outcomes string
		cold     bool
		limit    int
	}{
		{"nnn", false, 4},
		{"f", false, 4},          // a server error
		{"ff", false, 1},         // at the cold limit until a later request is answered
		{"s", false, 1},          // at the cold limit
		{"sn", false, 4},         // an outlier
		{"ssss", false, 4},       // a straggler
		{"x", false, 1},          // at the cold limit
		{"xs", true, 1},          // sheds and is slow
		{"sx", true, 1},          // the same
		{"xxx", true, 1},         // sheds load
		{"bnfbnff", true, 1},     // fails and is slow
		{"ffffffff", true, 1},    // fails
		{"fnfnfnfnfn", false, 4}, // half of the responses are errors
	} {
		now := time.Unix(0, 0)
		a := New(Config{Slots: 4, TypicalLatency: 10 * time.Millisecond}, now)
		feed := func(outcomes string) {
			for _, o := range outcomes {
				now = now.Add(time.Second)
				latency := 10 * time.Millisecond
				if o == 's' || o == 'b' {
					latency *= 10
				}
				a.Finish(now, Outcome{latency, o == 'x', o == 'f' || o == 'b', false})
			}
		}
		feed("nnnnnnnnnnnnnnnnnnnnnnnn")
		is.True(!a.Cold(now)) // warm after 2+4+6 successes without a ramp
		feed(c.outcomes)
		if a.Cold(now) != c.cold || a.Limit(now) != c.limit {
			t.Errorf("%s: cold %v, limit %d; want %v, %d", c.outcomes, a.Cold(now), a.Limit(now), c.cold, c.limit)
		}
	}
}

// Guards against requests that wait although they cannot meet their deadline: the queue
// serves the earliest deadline first and refuses requests that would miss their own, make
// another one miss its deadline or exceed MaxWait.
func TestQueueRefusesRequestsThatMissDeadlines(t *testing.T) {
	is, now := is.New(t), time.Unix(0, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	a := New(Config{Slots: 1, QueueLen: 9, MaxWait: 30 * time.Millisecond}, now)
	is.Equal(a.Offer(now, 1, at(50)), Run)
	a.Finish(now, Outcome{Latency: 10 * time.Millisecond})
	is.Equal(a.Offer(now, 2, at(50)), Run)
	is.Equal(a.Offer(now, 3, at(20)), Refuse) // 10 ms to wait, 10 ms to run, 5 ms deviation
	is.Equal(a.Offer(now, 4, time.Time{}), Wait)
	is.Equal(a.Offer(now, 5, at(29)), Wait)
	is.Equal(a.Offer(now, 6, at(28)), Refuse) // would make 5 miss its deadline
	is.Equal(a.Offer(now, 7, at(90)), Wait)
	is.Equal(a.Offer(now, 8, at(99)), Wait)
	is.Equal(a.Offer(now, 9, at(200)), Refuse) // MaxWait
	a.Finish(at(15), Outcome{Cancelled: true})
	run, _ := a.Ready(at(15))
	is.Equal(run, []uint64{5})
	_, expired := a.Ready(at(85))
	is.Equal(expired, []uint64{7}) // 5 ms left of the 10 that it needs
	next, ok := a.NextChange(at(85))
	is.True(ok && next.Equal(at(89))) // when 8 can no longer meet its deadline
	a = New(Config{Slots: 1, QueueLen: 9, TypicalLatency: time.Second}, now)
	a.Finish(now, Outcome{Latency: time.Minute})
	is.Equal(a.Offer(now, 1, at(50)), Run) // an idle server renews its estimate
	is.Equal(a.Offer(now, 2, at(50)), Refuse)
	a.Finish(now, Outcome{Latency: time.Minute})
	a.HoldUntil(at(20))
	is.Equal(a.Offer(now, 3, at(50)), Wait)
	next, _ = a.NextChange(now)
	is.Equal(next, at(20))
	run, _ = a.Ready(at(20))
	is.Equal(run, []uint64{3})
}

// Guards against an overload in which the server works for requests that are too
// late: checks goodput, retries and late refusals at twice the capacity.
func TestOverloadKeepsGoodput(t *testing.T) {
	got := simulateOverload(1, "ours", "budget")
	if got["goodput-%"] < 90 || got["retries-%"] > 10.1 || got["late-%"] > 1 {
		t.Errorf("overload: %v", got)
	}
}
