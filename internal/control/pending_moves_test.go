package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
)

// Guards against an endless computation, under the leader's lock, of the next heartbeat
// of a server that has never sent one.
func TestNextHeartbeat(t *testing.T) {
	now, interval := time.Unix(1000, 0), 870*time.Millisecond
	for last, want := range map[time.Time]time.Time{
		now:                      now,
		now.Add(time.Second):     now.Add(time.Second),
		now.Add(-interval / 2):   now.Add(interval / 2),
		now.Add(-3*interval + 1): now.Add(1),
		now.Add(-24 * time.Hour): now.Add(-24 * time.Hour).Add((24*time.Hour/interval + 1) * interval),
	} {
		is.New(t).Equal(nextHeartbeat(last, now, interval), want)
	}
	nextHeartbeat(time.Time{}, now, interval) // returns
}

// keyedTable returns a table of slices of 100 hashes each with the given owners.
func keyedTable(t *testing.T, owners ...string) *table.Table {
	b := table.NewBuilder(0)
	b.PutService(table.Service{File: &service.File{Service: "desk", Version: 1, Key: &service.KeySource{PathSegment: -1}}})
	for i, owner := range owners {
		b.PutSlice("desk", table.Slice{Start: uint64(100 * i), Owner: owner, Epoch: 7, State: table.SliceOwned})
		b.PutBackend(table.Backend{Service: "desk", Name: owner, Address: fmt.Sprint("10.0.0.", i, ":80"), Slots: 4, ByHeartbeat: true})
	}
	next, err := table.Empty().Apply(b.Delta(1))
	is.New(t).NoErr(err)
	return next
}

// Guards against a move that starts long before the heartbeat of its next owner, while
// no server serves the key, and against one that never starts.
func TestMoveStartsWhenNextOwnerReportsSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := keyedTable(t, "b1", "b2")
	move := []command.SliceMove{{Start: 0, Epoch: 7, To: "b2"}}
	for wait, starts := range map[time.Duration]bool{
		0:                            false, // the old owner cannot release in time
		releaseTime:                  true,
		releaseTime + moveWindow:     true,
		releaseTime + moveWindow + 1: false,
	} {
		s := newPendingMoves()
		s.replace(tab, "desk", move, nil, nil, now)
		due := func(at time.Time) int {
			return len(s.takeDue(tab, "desk", "b1", at, func(string) (time.Time, bool) { return at.Add(wait), true }))
		}
		is.New(t).Equal(due(now) == 1, starts)
		if !starts {
			s.replace(tab, "desk", move, nil, nil, now.Add(time.Second)) // decided again, keeps its age
			is.New(t).Equal(due(now.Add(maxPendingMoveAge)), 1)
		}
	}
	s := newPendingMoves()
	s.replace(tab, "desk", []command.SliceMove{{Start: 0, Epoch: 6, To: "b2"}}, nil, nil, now) // the slice has changed meanwhile
	is.New(t).Equal(len(s.takeDue(tab, "desk", "b1", now.Add(maxPendingMoveAge), func(string) (time.Time, bool) { return now, true })), 0)
}

// A hot range: a few adjacent keys carry most of the load of one slice. Guards
// against a slice that no placement can balance, and against split points within a key.
func TestHotSlicesAreSplitBetweenKeys(t *testing.T) {
	is := is.New(t)
	tab := keyedTable(t, "b1", "b2", "b3", "b4")
	loads := Loads{Slices: map[uint64]float64{0: 100, 100: 5, 200: 5, 300: 5}, Keys: map[uint64]float64{10: 20, 11: 30, 12: 40, 13: 10, 110: 5}}
	is.Equal(DecideSplitPoints(tab, "desk", loads), []uint64{12})
	loads.Keys = map[uint64]float64{10: 100} // a single key is not split
	is.Equal(len(DecideSplitPoints(tab, "desk", loads)), 0)
	loads = Loads{Slices: map[uint64]float64{0: 5, 100: 5, 200: 5, 300: 5}, Keys: map[uint64]float64{10: 1, 11: 1, 12: 1, 13: 1, 14: 1}}
	is.Equal(DecideSplitPoints(tab, "desk", loads), []uint64{12}) // a whole server's load in one slice
}

// Guards against few large slices for many servers, and against splits within a key or
// of slices that have an owner.
func TestInitialSplits(t *testing.T) {
	is := is.New(t)
	build := func(state table.SliceState, servers int) *table.Table {
		b := table.NewBuilder(0)
		b.PutService(table.Service{File: &service.File{Service: "desk", Version: 1, Key: &service.KeySource{PathSegment: -1}}})
		for i := range uint64(128) {
			b.PutSlice("desk", table.Slice{Start: i << 57, State: state})
		}
		for i := range servers {
			b.PutBackend(table.Backend{Service: "desk", Name: fmt.Sprint("b", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Slots: 4, ByHeartbeat: true})
		}
		next, err := table.Empty().Apply(b.Delta(1))
		is.NoErr(err)
		return next
	}
	splitPoints := DecideInitialSplits(build(table.SliceUnowned, 4), "desk", 1<<48)
	is.Equal(len(splitPoints), 128)
	is.Equal(splitPoints[1], uint64(1<<57+1<<56))
	is.Equal(len(DecideInitialSplits(build(table.SliceUnowned, 3), "desk", 1<<48)), 0) // enough slices
	is.Equal(len(DecideInitialSplits(build(table.SliceOwned, 4), "desk", 1<<48)), 0)
	is.Equal(len(DecideInitialSplits(build(table.SliceUnowned, 4), "desk", 1<<57)), 0) // one slice per key
}
