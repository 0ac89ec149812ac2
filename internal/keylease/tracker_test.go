package keylease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

const leaseDuration = 3 * time.Second

var (
	electedAt = time.Unix(1000, 0)
	// confirmable is when the leases of earlier leaders have expired.
	confirmable = electedAt.Add(leaseDuration + leaseDuration/50)
)

func newTracker() *Tracker {
	return NewTracker(Config{LeaseDuration: leaseDuration, MaxClockDrift: 0.02, MaxRanges: 100}, electedAt)
}

func heartbeat(sequence uint64, holds ...wire.KeyRange) *wire.Heartbeat {
	return &wire.Heartbeat{Service: "desk", Backend: "b1", Born: 5, Sequence: sequence, Held: holds}
}

func ownedSlice(first, last, epoch uint64) table.Slice {
	return table.Slice{Start: first, Last: last, Owner: "b1", Epoch: epoch, State: table.SliceOwned}
}

func movingSlice(first, last, epoch uint64, to string) table.Slice {
	s := ownedSlice(first, last, epoch)
	s.State, s.Next = table.SliceReleasing, to
	return s
}

// newTrackerWithOmission returns a tracker whose reply to the first heartbeat of b1 has left
// out a slice that moves to b2.
func newTrackerWithOmission() (*Tracker, table.Slice) {
	tracker, s := newTracker(), movingSlice(0, 9, 7, "b2")
	tracker.Observe(electedAt, heartbeat(1), []table.Slice{s})
	tracker.Grant(electedAt, heartbeat(1), []table.Slice{s})
	return tracker, s
}

func sliceSeq(list ...table.Slice) func(func(table.Slice) bool) {
	return func(yield func(table.Slice) bool) {
		for _, s := range list {
			if !yield(s) {
				return
			}
		}
	}
}

// Guards against a key that gets a new owner while the old one still holds it: before a
// reply left it out, by a heartbeat sent before that reply, or while it is listed.
func TestSliceIsReleasedOnlyAfterAReplyOmittedIt(t *testing.T) {
	is := is.New(t)
	tracker := newTracker()
	s := movingSlice(0, 9, 7, "b2")
	held := wire.KeyRange{First: 0, Last: 9, Epoch: 7}
	releasedCount := func() int {
		starts, _ := tracker.ReleasedTo(confirmable, "desk", "b2", sliceSeq(s))
		return len(starts)
	}
	// A heartbeat without the key proves nothing by itself: it may be stale.
	is.True(tracker.Observe(electedAt, heartbeat(4), []table.Slice{s}).Newest)
	is.Equal(releasedCount(), 0)
	_, ok := tracker.Grant(electedAt, heartbeat(4), []table.Slice{s})
	is.True(ok)
	is.True(!tracker.Observe(electedAt, heartbeat(3), []table.Slice{s}).Newest) // sent before that reply
	is.Equal(releasedCount(), 0)
	is.True(tracker.Observe(electedAt, heartbeat(5, held), []table.Slice{s}).Newest) // still serves it
	is.Equal(releasedCount(), 0)
	done := heartbeat(6)
	done.Released = []wire.KeyRange{{First: 0, Last: 9, Handover: "token"}}
	is.True(tracker.Observe(electedAt, done, []table.Slice{s}).Newest)
	is.Equal(releasedCount(), 1)
	_, epochs := tracker.ReleasedTo(confirmable, "desk", "b2", sliceSeq(s))
	is.Equal(epochs, []uint64{7})
	other, _ := tracker.ReleasedTo(confirmable, "desk", "b3", sliceSeq(s))
	is.Equal(len(other), 0)
}

// Guards against a release that is taken from heartbeats that an earlier leader may have
// answered with a grant since.
func TestReleaseCountsOnceLeasesOfEarlierLeadersHaveExpired(t *testing.T) {
	is := is.New(t)
	tracker, s := newTrackerWithOmission()
	is.Equal(tracker.Observe(electedAt, heartbeat(2), []table.Slice{s}), Observation{Newest: true, Released: 1})
	starts, _ := tracker.ReleasedTo(confirmable.Add(-1), "desk", "b2", sliceSeq(s))
	is.Equal(len(starts), 0)
	starts, _ = tracker.ReleasedTo(confirmable, "desk", "b2", sliceSeq(s))
	is.Equal(starts, []uint64{0})
}

// Guards against a release, taken from heartbeats before the grant, that still counts after
// the owner has reported that it holds the slice.
func TestHeldSliceIsNotReleasedByEarlierReports(t *testing.T) {
	is := is.New(t)
	tracker, s := newTrackerWithOmission()
	tracker.Observe(electedAt, heartbeat(2), []table.Slice{s})
	tracker.Observe(electedAt, heartbeat(7, wire.KeyRange{First: 0, Last: 9, Epoch: 7}), []table.Slice{s})
	starts, _ := tracker.ReleasedTo(confirmable, "desk", "b2", sliceSeq(s))
	is.Equal(len(starts), 0)
	tracker.Observe(confirmable, heartbeat(8), []table.Slice{s})
	starts, _ = tracker.ReleasedTo(confirmable, "desk", "b2", sliceSeq(s))
	is.Equal(starts, []uint64{0})
}

// Guards against a next owner that does not get the handover token of the previous
// owner, and against a token that is sent endlessly.
func TestTokenIsSentUntilTheNextOwnerHoldsTheSlice(t *testing.T) {
	is := is.New(t)
	tracker, s := newTrackerWithOmission()
	done := heartbeat(2)
	done.Released = []wire.KeyRange{{First: 0, Last: 9, Handover: "token"}}
	tracker.Observe(electedAt, done, []table.Slice{s})
	tracker.RecordGrant("desk", []uint64{0}, 12)
	next := &wire.Heartbeat{Service: "desk", Backend: "b2", Born: 6, Sequence: 1}
	s = table.Slice{Start: 0, Last: 9, Owner: "b2", Epoch: 12, State: table.SliceOwned}
	tracker.Observe(electedAt, next, nil)
	ranges, _ := tracker.Grant(electedAt, next, []table.Slice{s})
	is.Equal(ranges, []wire.KeyRange{{First: 0, Last: 9, Epoch: 12, Handover: "token"}})
	next.Sequence, next.Held = 2, []wire.KeyRange{{First: 0, Last: 9, Epoch: 12}}
	tracker.Observe(electedAt, next, nil)
	ranges, _ = tracker.Grant(electedAt, next, []table.Slice{s})
	is.Equal(ranges, []wire.KeyRange{{First: 0, Last: 9, Epoch: 12}})
}

// Guards against a key that moves on at once because the previous owner has released
// it, although requests of the present owner still run.
func TestReleaseDoesNotCountForTheNextMove(t *testing.T) {
	is := is.New(t)
	tracker, s := newTrackerWithOmission()
	tracker.Observe(electedAt, heartbeat(2), []table.Slice{s})
	starts, _ := tracker.ReleasedTo(confirmable, "desk", "b2", sliceSeq(s))
	is.Equal(len(starts), 1)
	tracker.RecordGrant("desk", starts, 12)
	s = table.Slice{Start: 0, Last: 9, Owner: "b2", Next: "b3", Epoch: 12, State: table.SliceReleasing}
	starts, _ = tracker.ReleasedTo(confirmable, "desk", "b3", sliceSeq(s))
	is.Equal(len(starts), 0)
}

// Guards against a lease that is granted after the loss of its holder was decided, and
// against a loss that is decided before every lease has expired.
func TestLossIsDecidedWhenEveryLeaseHasExpired(t *testing.T) {
	maxDuration := leaseDuration + leaseDuration/50
	b := &table.Backend{Service: "desk", Name: "b1", Born: 5}
	for name, c := range map[string]struct {
		heard time.Duration // when its heartbeat arrives, after the election; negative for none
		at    time.Duration
		lost  bool
	}{
		"no heartbeat, a lease of an earlier leader lasts": {-1, maxDuration - 1, false},
		"no heartbeat, every lease has expired":            {-1, maxDuration, true},
		"a heartbeat, its lease lasts":                     {time.Second, time.Second + maxDuration - 1, false},
		"a heartbeat, its lease has expired":               {time.Second, time.Second + maxDuration, true},
		"a heartbeat at the election, its lease lasts":     {0, maxDuration - 1, false},
	} {
		tracker := newTracker()
		hb := heartbeat(1)
		if c.heard >= 0 {
			tracker.Observe(electedAt.Add(c.heard), hb, nil)
			tracker.Grant(electedAt.Add(c.heard), hb, nil)
		}
		if got := tracker.DecideLoss(electedAt.Add(c.at), b); got != c.lost {
			t.Errorf("%s: lost %v", name, got)
		}
		if !c.lost {
			continue
		}
		// The commit of the loss may be in flight when the process sends a heartbeat.
		if tracker.Observe(electedAt.Add(c.at), heartbeat(2), nil).Newest {
			t.Errorf("%s: heartbeat accepted after its loss was decided", name)
		}
		if _, ok := tracker.Grant(electedAt.Add(c.at), heartbeat(2), nil); ok {
			t.Errorf("%s: granted after its loss was decided", name)
		}
	}
}

// Guards against a heartbeat of an earlier process of the same name that releases or
// renews anything.
func TestHeartbeatOfEarlierProcessIsIgnored(t *testing.T) {
	is := is.New(t)
	tracker := newTracker()
	is.True(tracker.Observe(electedAt, heartbeat(1), nil).Newest)
	old := heartbeat(100)
	old.Born = 4
	is.True(!tracker.Observe(electedAt, old, nil).Newest)
	_, ok := tracker.Grant(electedAt, old, nil)
	is.True(!ok)
	fresh := heartbeat(1) // its sequence starts again
	fresh.Born = 6
	is.True(tracker.Observe(electedAt, fresh, nil).Newest)
	_, ok = tracker.Grant(electedAt, heartbeat(1), nil)
	is.True(!ok)
}

// Guards against replies that grow with the number of slices.
func TestAdjacentSlicesAreMergedIntoOneRange(t *testing.T) {
	is := is.New(t)
	tracker := newTracker()
	hb := heartbeat(1)
	tracker.Observe(electedAt, hb, nil)
	ranges, ok := tracker.Grant(electedAt, hb, []table.Slice{ownedSlice(0, 9, 7), ownedSlice(10, 19, 7), ownedSlice(20, 29, 8), ownedSlice(40, 49, 8)})
	is.True(ok)
	is.Equal(ranges, []wire.KeyRange{{First: 0, Last: 19, Epoch: 7}, {First: 20, Last: 29, Epoch: 8}, {First: 40, Last: 49, Epoch: 8}})
}

// Guards against a reply that is too large for a backend server, so that the lease on all
// of its keys expires.
func TestReplyRangesAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := newTracker()
	hb := heartbeat(1)
	tracker.Observe(electedAt, hb, nil)
	var list []table.Slice
	for i := range uint64(300) {
		list = append(list, ownedSlice(20*i, 20*i+9, 7)) // never adjacent
	}
	ranges, ok := tracker.Grant(electedAt, hb, list)
	is.True(ok)
	is.Equal(len(ranges), 100)
	is.Equal(ranges[99].First, uint64(20*99))
}
