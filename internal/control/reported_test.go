package control

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/table"
)

const keySpan = uint64(1) << 48

func deskItems(version uint64) []items.Item {
	return []items.Item{
		{Key: items.Key{Kind: items.KindService, Name: "desk"}, Version: version, Document: []byte(fmt.Sprint(version)),
			Service: &items.Service{Keyed: true, LeaseByHeartbeat: true, KeySpan: keySpan, ColdRate: 3}},
		{Key: items.Key{Kind: items.KindService, Name: "vault"}, Version: version, Service: &items.Service{}},
	}
}

// drawReportedCommand draws a command about services leased by heartbeat.
func drawReportedCommand(t *rapid.T, tab *table.Table, step int) command.Command {
	n := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
	backend := fmt.Sprint("b", n("backend", 5))
	slice := func() table.Slice {
		s, _ := tab.Lookup("desk", uint64(n("key", 1<<16-1))*keySpan)
		return s
	}
	switch n("kind", 9) {
	case 0, 1, 2:
		return command.Command{BackendReported: &command.BackendReported{Service: []string{"desk", "desk", "vault"}[n("service", 2)], Backend: backend,
			Born: int64(n("born", 3)), DataCentre: fmt.Sprint("dc", n("dc", 2)), Address: fmt.Sprintf("10.0.0.%d:80", n("address", 6)), Slots: 1 + n("slots", 3),
			Cold: n("cold", 1) == 0, Leaving: n("leaving", 5) == 0}}
	case 3:
		b := tab.Backend("desk", backend)
		incarnation := ""
		if b != nil {
			incarnation = b.Incarnation
		}
		return command.Command{BackendLost: &command.BackendLost{Service: "desk", Backend: backend, Incarnation: incarnation}}
	case 4:
		s := slice()
		return command.Command{Move: &command.Move{Service: "desk", Moves: []command.SliceMove{{Start: s.Start, Epoch: s.Epoch, To: backend}}}}
	case 5, 6:
		g := &command.Granted{Service: "desk"}
		for s := range tab.AllSlices("desk") {
			if s.State == table.SliceReleasing && (g.Backend == "" || g.Backend == s.Next) && len(g.Starts) < 9 {
				g.Backend = s.Next
				g.Starts, g.Epochs = append(g.Starts, s.Start), append(g.Epochs, s.Epoch)
			}
		}
		return command.Command{Granted: g}
	case 7:
		return command.Command{Split: &command.Split{Service: "desk", Cuts: []uint64{uint64(1+n("cut", 1<<16-2)) * keySpan}}}
	case 8:
		return command.Command{Drain: &command.Drain{RequestID: fmt.Sprint("d", step), Kind: command.DrainDataCentre,
			Name: fmt.Sprint("dc", n("dc", 2)), Out: n("out", 1) == 0}}
	default:
		return command.Command{Repair: &command.Repair{Service: "desk"}}
	}
}

// ownerFences records the highest epoch of each slice's first key and its owner.
type ownerFences map[uint64]table.Slice

// check fails the test if a key changed its owner without a higher epoch.
func (f ownerFences) check(t *rapid.T, before, after *table.Table) {
	for s := range after.AllSlices("desk") {
		if s.Start%keySpan != 0 {
			t.Fatalf("slice at %x begins within a key", s.Start)
		}
		old, ok := before.Lookup("desk", s.Start)
		if !ok || s.Owner == "" {
			continue
		}
		if s.Epoch < f[s.Start].Epoch || s.Epoch < old.Epoch {
			t.Fatalf("slice %x: epoch %d after %d", s.Start, s.Epoch, max(f[s.Start].Epoch, old.Epoch))
		}
		was, is := before.Backend("desk", old.Owner), after.Backend("desk", s.Owner)
		restarted := was != nil && is != nil && was.Born != is.Born
		if (old.Owner != s.Owner || restarted) && old.Owner != "" && s.Epoch <= old.Epoch {
			t.Fatalf("slice %x passed from %s to %s with epoch %d after %d", s.Start, old.Owner, s.Owner, s.Epoch, old.Epoch)
		}
		f[s.Start] = s
	}
}

// Guards against control replicas that derive different owners from the same log,
// also after a snapshot; against epochs that decrease; and against keys that change
// their owner without a higher epoch.
func TestReplicasAgreeOnReportedServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		l, other := &fakeLog{state: NewState(Checker{})}, NewState(Checker{})
		apply := func(c command.Command) {
			data, err := c.Encode()
			is.NoErr(err)
			_, out, _ := l.Propose(ctx, data)
			is.True(bytes.Equal(out, other.Apply(l.index, data)))
		}
		apply(command.Command{PatchItems: &command.PatchItems{Items: deskItems(1)}})
		fences := ownerFences{}
		for step := range 40 {
			before := l.state.Table()
			apply(drawReportedCommand(t, before, step))
			fences.check(t, before, l.state.Table())
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				snap, err := other.Snapshot()
				is.NoErr(err)
				other = NewState(Checker{})
				is.NoErr(other.Restore(l.index, snap))
			}
		}
		want, _ := l.state.Snapshot()
		got, _ := other.Snapshot()
		is.True(bytes.Equal(want, got))
	})
}
