package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// settle lets time pass while all hosts renew, one of them reports loads, and
// dispatchers confirm moves at once. It returns the largest number of slices that
// were on the move at the end of a tick.
func (g *group) settle(t *testing.T, d time.Duration, loads func() []wire.SliceLoads) (most int) {
	for range d / (100 * time.Millisecond) {
		g.clock.Advance(100 * time.Millisecond)
		for i := range 3 {
			g.renew(i, func(r *wire.SessionRenew) {
				if i == 0 && loads != nil {
					r.Loads = loads()
				}
			})
		}
		g.Tick(ctx)
		g.Balance(ctx)
		moving := 0
		for _, s := range slicesOf(g.state.Table(), "desk") {
			if s.State == table.SliceReleasing {
				moving++
			}
		}
		most = max(most, moving)
		g.releaseAll(t)
	}
	return most
}

// even is a load of 10 requests per 100 ms on each slice, and more on some keys.
func (g *group) even(hot ...uint64) func() []wire.SliceLoads {
	return func() []wire.SliceLoads {
		r := wire.SliceLoads{Service: "desk"}
		at := map[uint64]int{}
		for _, s := range slicesOf(g.state.Table(), "desk") {
			at[s.Start] = len(r.Slices)
			r.Slices = append(r.Slices, wire.SliceCount{Start: s.Start, Count: 10})
		}
		for _, hash := range hot {
			s, _ := g.state.Table().Lookup("desk", hash)
			r.Slices[at[s.Start]].Count += 300
			r.Keys = append(r.Keys, wire.KeyCount{Hash: hash, Count: 300})
		}
		return []wire.SliceLoads{r}
	}
}

func shares(t *table.Table) map[string]int {
	out := map[string]int{}
	for _, s := range slicesOf(t, "desk") {
		out[s.Owner]++
	}
	return out
}

func serving(t *testing.T) *group {
	g := newGroup()
	for i := range 3 {
		if r := g.renew(i); !r.Granted {
			t.Fatal(r.Reason)
		}
	}
	g.populate(t, 96, 6)
	g.settle(t, 3*time.Second, nil)
	return g
}

// Guards against a drained data centre that keeps or gets slices, a drain that
// gives slices away before they are released, a restored one that gets no load
// back, and more slices on the move than allowed.
func TestDrainAndRestoreDataCentre(t *testing.T) {
	is := is.New(t)
	g := serving(t)
	checkEven(t, g)
	g.settle(t, 5*time.Second, g.even())
	before := slicesOf(g.state.Table(), "desk")
	drain := &command.Drain{RequestID: "d1", Kind: command.DrainDataCentre, Name: "dc1", Out: true}
	g.must(t, command.Command{Drain: drain})
	for i, s := range slicesOf(g.state.Table(), "desk") {
		is.Equal(s.Owner, before[i].Owner) // nothing is granted before the release
		if s.Owner == "b1" || s.Owner == "b4" {
			is.Equal(s.State, table.SliceReleasing)
			is.Equal(s.Next, before[i].Standby)
		}
		b := g.state.Table().Backend("desk", s.Standby)
		is.True(!b.Draining)
	}
	g.settle(t, 5*time.Second, g.even())
	is.Equal(shares(g.state.Table())["b1"]+shares(g.state.Table())["b4"], 0)
	drain.RequestID, drain.Out = "d2", false
	g.must(t, command.Command{Drain: drain})
	moving := g.settle(t, 20*time.Second, g.even())
	is.True(moving <= DefaultMaxMoving)
	checkEven(t, g)
}

// checkEven fails when the imbalance of 96 equal slices on 6 servers exceeds 1.15.
func checkEven(t *testing.T, g *group) {
	t.Helper()
	for i := 1; i <= 6; i++ {
		if n := shares(g.state.Table())[fmt.Sprint("b", i)]; n < 8 || n > 18 {
			t.Errorf("b%d has %d of 96 slices", i, n)
		}
	}
}

// Guards against hot keys that keep the load of a server uneven, splits that are
// repeated for ever, and moves back and forth under a steady load.
func TestHotKeysAreSplitAndLoadSettles(t *testing.T) {
	is := is.New(t)
	g := serving(t)
	hot := []uint64{7, 1 << 40, 1 << 63}
	g.settle(t, 30*time.Second, g.even(hot...))
	for _, hash := range hot {
		s, ok := g.state.Table().Lookup("desk", hash)
		is.True(ok && s.Start == hash && s.Last == hash)
	}
	is.Equal(g.state.Table().SliceCount("desk"), 96+2*3)
	revision := g.state.Table().Revision()
	g.settle(t, 20*time.Second, g.even(hot...))
	is.Equal(g.state.Table().Revision(), revision)
	is.Equal(len(g.Balance(ctx)), 0)
}
