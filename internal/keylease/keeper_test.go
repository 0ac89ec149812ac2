package keylease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

const hold = 3 * time.Second

var start = time.Unix(1000, 0)

func newKeeper() *Keeper {
	return NewKeeper(Config{Hold: hold, MaxClockDrift: 0.02, MaxRanges: 100}, start)
}

func beat(sequence uint64, holds ...wire.KeyRange) *wire.Heartbeat {
	return &wire.Heartbeat{Service: "desk", Backend: "b1", Born: 5, Sequence: sequence, Holds: holds}
}

func owned(first, last, epoch uint64) table.Slice {
	return table.Slice{Start: first, Last: last, Owner: "b1", Epoch: epoch, State: table.SliceOwned}
}

func moving(first, last, epoch uint64, to string) table.Slice {
	s := owned(first, last, epoch)
	s.State, s.Next = table.SliceReleasing, to
	return s
}

func all(list ...table.Slice) func(func(table.Slice) bool) {
	return func(yield func(table.Slice) bool) {
		for _, s := range list {
			if !yield(s) {
				return
			}
		}
	}
}

// Guards against a key that passes on while its owner still holds it: before an
// answer left it out, by a heartbeat sent before that answer, or while listed.
func TestFreedOnlyAfterAnAnswerLeftItOut(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	s := moving(0, 9, 7, "b2")
	held := wire.KeyRange{First: 0, Last: 9, Epoch: 7}
	freed := func() int {
		starts, _ := k.Freed("desk", "b2", all(s))
		return len(starts)
	}
	// A heartbeat without the key proves nothing by itself: it may be late.
	is.True(k.Observe(start, beat(4), []table.Slice{s}))
	is.Equal(freed(), 0)
	_, ok := k.Grant(start, beat(4), []table.Slice{s})
	is.True(ok)
	is.True(!k.Observe(start, beat(3), []table.Slice{s})) // sent before that answer
	is.Equal(freed(), 0)
	is.True(k.Observe(start, beat(5, held), []table.Slice{s})) // still works on it
	is.Equal(freed(), 0)
	done := beat(6)
	done.Released = []wire.KeyRange{{First: 0, Last: 9, Handover: "token"}}
	is.True(k.Observe(start, done, []table.Slice{s}))
	is.Equal(freed(), 1)
	_, epochs := k.Freed("desk", "b2", all(s))
	is.Equal(epochs, []uint64{7})
	other, _ := k.Freed("desk", "b3", all(s))
	is.Equal(len(other), 0)
}

// Guards against a next owner that starts without what the owner before had, and
// against a token that is sent for ever.
func TestTokenGoesToTheNextOwnerUntilItHolds(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	s := moving(0, 9, 7, "b2")
	k.Observe(start, beat(1), []table.Slice{s})
	k.Grant(start, beat(1), []table.Slice{s})
	done := beat(2)
	done.Released = []wire.KeyRange{{First: 0, Last: 9, Handover: "token"}}
	k.Observe(start, done, []table.Slice{s})
	k.Granted("desk", []uint64{0}, 12)
	next := &wire.Heartbeat{Service: "desk", Backend: "b2", Born: 6, Sequence: 1}
	s = table.Slice{Start: 0, Last: 9, Owner: "b2", Epoch: 12, State: table.SliceOwned}
	k.Observe(start, next, nil)
	rows, _ := k.Grant(start, next, []table.Slice{s})
	is.Equal(rows, []wire.KeyRange{{First: 0, Last: 9, Epoch: 12, Handover: "token"}})
	next.Sequence, next.Holds = 2, []wire.KeyRange{{First: 0, Last: 9, Epoch: 12}}
	k.Observe(start, next, nil)
	rows, _ = k.Grant(start, next, []table.Slice{s})
	is.Equal(rows, []wire.KeyRange{{First: 0, Last: 9, Epoch: 12}})
}

// Guards against a key that passes on at once because it was given up before, by
// the owner before the present one, whose requests still run.
func TestGrantedKeyIsNotFreedAgain(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	s := moving(0, 9, 7, "b2")
	k.Observe(start, beat(1), []table.Slice{s})
	k.Grant(start, beat(1), []table.Slice{s})
	k.Observe(start, beat(2), []table.Slice{s})
	starts, _ := k.Freed("desk", "b2", all(s))
	is.Equal(len(starts), 1)
	k.Granted("desk", starts, 12)
	s = table.Slice{Start: 0, Last: 9, Owner: "b2", Next: "b3", Epoch: 12, State: table.SliceReleasing}
	starts, _ = k.Freed("desk", "b3", all(s))
	is.Equal(len(starts), 0)
}

// Guards against a lease that outlasts the decision that its holder is lost, and
// against a loss that is decided while a lease may last.
func TestLostWhenEveryLeaseIsOver(t *testing.T) {
	span := hold + hold/50
	b := &table.Backend{Service: "desk", Name: "b1", Born: 5}
	for name, c := range map[string]struct {
		heard time.Duration // after the election; negative for never
		at    time.Duration
		lost  bool
	}{
		"never heard, an earlier leader's lease lasts": {-1, span - 1, false},
		"never heard":                  {-1, span, true},
		"heard, its lease lasts":       {time.Second, time.Second + span - 1, false},
		"heard, its lease is over":     {time.Second, time.Second + span, true},
		"heard before the last answer": {0, span - 1, false},
	} {
		k := newKeeper()
		hb := beat(1)
		if c.heard >= 0 {
			k.Observe(start.Add(c.heard), hb, nil)
			k.Grant(start.Add(c.heard), hb, nil)
		}
		if got := k.Lost(start.Add(c.at), b); got != c.lost {
			t.Errorf("%s: lost %v", name, got)
		}
		if !c.lost {
			continue
		}
		// The commit of the loss may be on its way when the process is heard again.
		if k.Observe(start.Add(c.at), beat(2), nil) {
			t.Errorf("%s: heard after its loss was decided", name)
		}
		if _, ok := k.Grant(start.Add(c.at), beat(2), nil); ok {
			t.Errorf("%s: granted after its loss was decided", name)
		}
	}
}

// Guards against a heartbeat of an earlier process of the same name that moves or
// renews anything.
func TestEarlierProcessIsIgnored(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	is.True(k.Observe(start, beat(1), nil))
	old := beat(100)
	old.Born = 4
	is.True(!k.Observe(start, old, nil))
	_, ok := k.Grant(start, old, nil)
	is.True(!ok)
	fresh := beat(1) // its counts start anew
	fresh.Born = 6
	is.True(k.Observe(start, fresh, nil))
	_, ok = k.Grant(start, beat(1), nil)
	is.True(!ok)
}

// Guards against answers that grow with the number of slices.
func TestAdjacentSlicesAreOneRange(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	hb := beat(1)
	k.Observe(start, hb, nil)
	rows, ok := k.Grant(start, hb, []table.Slice{owned(0, 9, 7), owned(10, 19, 7), owned(20, 29, 8), owned(40, 49, 8)})
	is.True(ok)
	is.Equal(rows, []wire.KeyRange{{First: 0, Last: 19, Epoch: 7}, {First: 20, Last: 29, Epoch: 8}, {First: 40, Last: 49, Epoch: 8}})
}

// Guards against an answer that a backend server does not take, whereupon all of its
// keys lapse.
func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	hb := beat(1)
	k.Observe(start, hb, nil)
	var list []table.Slice
	for i := range uint64(300) {
		list = append(list, owned(20*i, 20*i+9, 7)) // never adjacent
	}
	rows, ok := k.Grant(start, hb, list)
	is.True(ok)
	is.Equal(len(rows), 100)
	is.Equal(rows[99].First, uint64(20*99))
}
