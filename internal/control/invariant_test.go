package control

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
)

// drawCommand returns a random command, mostly one that fits the table.
func drawCommand(t *rapid.T, cur *table.Table, step int) command.Command {
	host, server := rapid.IntRange(1, 4).Draw(t, "host"), rapid.IntRange(1, 5).Draw(t, "server")
	name, list := fmt.Sprint("b", server), slicesOf(cur, "desk")
	pick := func() table.Slice { return list[rapid.IntRange(0, len(list)-1).Draw(t, "slice")] }
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0:
		h := hostJoined(host)
		return command.Command{HostJoined: &h}
	case 1:
		return command.Command{HostLost: &command.HostLost{Host: fmt.Sprint("h", host)}}
	case 2, 3:
		c := announced("desk", server)
		c.BackendAnnounced.Incarnation = rapid.SampledFrom([]string{"i1", "i1", "i2", "i3"}).Draw(t, "incarnation")
		return c
	case 4:
		lost := &command.BackendLost{Backend: name, Service: "desk", Incarnation: "i1"}
		if b := cur.Backend("desk", name); b != nil {
			lost.Incarnation = b.Incarnation
		}
		return command.Command{BackendLost: lost}
	case 5, 6:
		r := &command.Released{Service: "desk", Backend: name}
		for _, s := range cur.SlicesOf("desk", name) {
			r.Starts, r.Epochs = append(r.Starts, s.Start), append(r.Epochs, s.Epoch-uint64(rapid.IntRange(0, 9).Draw(t, "old")/9))
		}
		return command.Command{Released: r}
	case 7:
		m := &command.Move{Service: "desk"}
		for range 3 {
			s := pick()
			m.Moves = append(m.Moves, command.SliceMove{Start: s.Start, Epoch: s.Epoch, To: name})
		}
		return command.Command{Move: m}
	case 8:
		return command.Command{Split: &command.Split{Service: "desk", Hashes: []uint64{
			pick().Start, pick().Last, rapid.Uint64().Draw(t, "hash"), math.MaxUint64}}}
	case 9:
		return command.Command{Repair: &command.Repair{Service: "desk"}}
	default:
		d := &command.Drain{RequestID: fmt.Sprint("d", step), Kind: command.DrainBackend, Name: "desk/" + name, Out: rapid.Bool().Draw(t, "out")}
		if rapid.Bool().Draw(t, "whole") {
			d.Kind, d.Name = command.DrainDataCentre, fmt.Sprint("dc", server%3)
		}
		return command.Command{Drain: d}
	}
}

// checkStep compares the tables before and after one command.
func checkStep(t *rapid.T, c command.Command, old, cur *table.Table) {
	next := uint64(0)
	for _, s := range slicesOf(cur, "desk") {
		if s.Start != next {
			t.Fatalf("slice %x does not begin where the one before ends", s.Start)
		}
		next = s.Last + 1
		was, _ := old.Lookup("desk", s.Start)
		checkOwner(t, s, cur)
		if s.Epoch < was.Epoch {
			t.Fatalf("epoch of %x falls from %d to %d", s.Start, was.Epoch, s.Epoch)
		}
		if s.Owner == was.Owner && s.Epoch == was.Epoch {
			if b := old.Backend("desk", s.Owner); b != nil && b.Incarnation != cur.Backend("desk", s.Owner).Incarnation {
				t.Fatalf("slice %x passed to another incarnation of %s without a grant", s.Start, s.Owner)
			}
			continue
		}
		if s.Owner != "" && s.Epoch != cur.Revision() {
			t.Fatalf("slice %x was granted at %d with epoch %d", s.Start, cur.Revision(), s.Epoch)
		}
		checkRevoked(t, c, was, s, old, cur)
	}
	if next != 0 {
		t.Fatal("slices do not cover all hashes")
	}
	checkDispatchers(t, old, cur)
}

// checkRevoked fails when a slice has another owner, or a new grant, while the
// old owner may still serve it: the old owner is alive with the same
// incarnation and has not said that it released the slice.
func checkRevoked(t *rapid.T, c command.Command, was, s table.Slice, old, cur *table.Table) {
	before, after := old.Backend("desk", was.Owner), cur.Backend("desk", was.Owner)
	if before == nil || after.Lost || after.Incarnation != before.Incarnation {
		return
	}
	released := false
	if r := c.Released; r != nil && r.Backend == was.Owner {
		i := slices.Index(r.Starts, was.Start)
		released = i >= 0 && r.Epochs[i] == was.Epoch
	}
	if was.State != table.SliceReleasing || !released {
		t.Fatalf("slice %x goes from %s to %s, but %s was not revoked", s.Start, was.Owner, s.Owner, was.Owner)
	}
}

func checkOwner(t *rapid.T, s table.Slice, cur *table.Table) {
	b := cur.Backend("desk", s.Owner)
	switch {
	case (s.State == table.SliceUnowned) != (b == nil):
		t.Fatalf("state %d with owner %q", s.State, s.Owner)
	case b == nil:
		return
	case b.Lost || (b.Draining && s.State == table.SliceOwned):
		t.Fatalf("slice %x is owned by %+v", s.Start, b)
	case b.Epoch < s.Epoch:
		t.Fatalf("order of %s has epoch %d below that of its slice, %d", b.Name, b.Epoch, s.Epoch)
	}
}

func checkDispatchers(t *rapid.T, old, cur *table.Table) {
	for _, b := range cur.Backends("desk") {
		held := func(of *table.Table) (out []uint64) {
			for _, s := range of.SlicesOf("desk", b.Name) {
				if s.State == table.SliceOwned {
					out = append(out, s.Start)
				}
			}
			return out
		}
		was := old.Backend("desk", b.Name)
		switch {
		case len(cur.Hosts()) > 0 && cur.Host(b.Dispatcher) == nil:
			t.Fatalf("%s has the absent dispatcher %q", b.Name, b.Dispatcher)
		case len(cur.Hosts()) > 1 && (cur.Host(b.StandbyDispatcher) == nil || b.StandbyDispatcher == b.Dispatcher):
			t.Fatalf("%s has dispatcher %q and standby %q", b.Name, b.Dispatcher, b.StandbyDispatcher)
		case was == nil:
			return
		case was.Dispatcher != b.Dispatcher && cur.Host(was.Dispatcher) != nil:
			t.Fatalf("%s changed its dispatcher while %s has a session", b.Name, was.Dispatcher)
		case was.Epoch == b.Epoch && (was.Dispatcher != b.Dispatcher || fmt.Sprint(held(old)) != fmt.Sprint(held(cur))):
			t.Fatalf("%s has other slices or another dispatcher at the same epoch", b.Name)
		}
	}
}

// Guards against two owners of a hash, a grant before the revocation, epochs
// that fall, dispatchers that change under a session, replicas that differ, and
// hosts or restored replicas that end up with another table.
func TestRandomCommandsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		l := &log{state: NewState(Checker{})}
		other := NewState(Checker{})
		follower := table.Empty()
		apply := func(c command.Command) {
			data, err := c.Encode()
			is.NoErr(err)
			_, out, _ := l.Propose(ctx, data)
			is.True(bytes.Equal(out, other.Apply(l.index, data)))
		}
		apply(publish("p", fileOf("desk", 1, 8, "")))
		for step := range 40 {
			old := l.state.Table()
			c := drawCommand(t, old, step)
			apply(c)
			checkStep(t, c, old, l.state.Table())
			if rapid.IntRange(0, 3).Draw(t, "watch") == 0 {
				follower = follow(t, follower, l.state)
			}
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
		wantTable, _ := l.state.Table().Snapshot()
		gotTable, _ := follow(t, follower, l.state).Snapshot()
		is.True(bytes.Equal(wantTable, gotTable))
	})
}

// follow brings a host's table up to date as the host does.
func follow(t *rapid.T, from *table.Table, s *State) *table.Table {
	delta, snapshot, revision := s.Changes(from.Revision())
	switch {
	case delta != nil:
		d, err := table.DecodeDelta(delta)
		if err != nil {
			t.Fatal(err)
		}
		if from, err = from.Apply(d); err != nil {
			t.Fatal(err)
		}
	case snapshot != nil:
		var err error
		if from, err = table.DecodeSnapshot(snapshot); err != nil {
			t.Fatal(err)
		}
	}
	if from.Revision() != revision {
		t.Fatalf("host is at revision %d, the state at %d", from.Revision(), revision)
	}
	return from
}
