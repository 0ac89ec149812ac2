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
	host, server := hostJoined(rapid.IntRange(1, 4).Draw(t, "host")), rapid.IntRange(1, 5).Draw(t, "server")
	name, list := fmt.Sprint("b", server), slicesOf(cur)
	pick := func() table.Slice { return list[rapid.IntRange(0, len(list)-1).Draw(t, "slice")] }
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0:
		return command.Command{HostJoined: &host}
	case 1:
		return command.Command{HostLost: &command.HostLost{Host: host.Host}}
	case 2, 3:
		incarnation := rapid.SampledFrom([]string{"i1", "i1", "i2", "i3"}).Draw(t, "incarnation")
		return announced("desk", server, func(a *command.BackendAnnounced) { a.Incarnation = incarnation })
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
		hashes := []uint64{pick().Start, pick().Last, rapid.Uint64().Draw(t, "hash"), math.MaxUint64}
		return command.Command{Split: &command.Split{Service: "desk", Hashes: hashes}}
	case 9:
		return command.Command{Repair: &command.Repair{Service: "desk"}}
	}
	out := rapid.Bool().Draw(t, "out")
	if rapid.Bool().Draw(t, "whole") {
		return drain(fmt.Sprint("d", step), command.DrainDataCentre, fmt.Sprint("dc", server%3), out, 0)
	}
	return drain(fmt.Sprint("d", step), command.DrainBackend, "desk/"+name, out, 0)
}

// check fails a test unless a condition holds.
func check(t rapid.TB, ok bool, format string, args ...any) {
	if t.Helper(); !ok {
		t.Fatalf(format, args...)
	}
}

// checkStep compares the tables before and after one command.
func checkStep(t *rapid.T, c command.Command, old, cur *table.Table) {
	next := uint64(0)
	for _, s := range slicesOf(cur) {
		check(t, s.Start == next, "slice %x does not begin where the one before ends", s.Start)
		next = s.Last + 1
		was, _ := old.Lookup("desk", s.Start)
		b, before := cur.Backend("desk", s.Owner), old.Backend("desk", s.Owner)
		check(t, (s.State == table.SliceUnowned) == (b == nil), "state %d with owner %q", s.State, s.Owner)
		check(t, s.Epoch >= was.Epoch, "epoch of %x falls from %d to %d", s.Start, was.Epoch, s.Epoch)
		if b != nil {
			check(t, !b.Lost && (!b.Draining || s.State == table.SliceReleasing), "slice %x is owned by %+v", s.Start, b)
			check(t, b.Epoch >= s.Epoch, "order of %s has epoch %d below that of its slice, %d", b.Name, b.Epoch, s.Epoch)
		}
		if s.Owner == was.Owner && s.Epoch == was.Epoch {
			check(t, before == nil || b.Incarnation == before.Incarnation, "slice %x passed to another incarnation of %s without a grant", s.Start, s.Owner)
			continue
		}
		check(t, b == nil || s.Epoch == cur.Revision(), "slice %x was granted at %d with epoch %d", s.Start, cur.Revision(), s.Epoch)
		checkRevoked(t, c, was, s, old, cur)
	}
	check(t, next == 0, "slices do not cover all hashes")
	for _, b := range cur.Backends("desk") {
		checkServer(t, b, old, cur)
	}
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
	check(t, was.State == table.SliceReleasing && released, "slice %x goes from %s to %s, but %s was not revoked", s.Start, was.Owner, s.Owner, was.Owner)
}

func checkServer(t *rapid.T, b *table.Backend, old, cur *table.Table) {
	held := func(of *table.Table) (out []uint64) {
		for _, s := range of.SlicesOf("desk", b.Name) {
			if s.State == table.SliceOwned {
				out = append(out, s.Start)
			}
		}
		return out
	}
	hosts, was := len(cur.Hosts()), old.Backend("desk", b.Name)
	check(t, hosts == 0 || cur.Host(b.Dispatcher) != nil, "%s has the absent dispatcher %q", b.Name, b.Dispatcher)
	check(t, hosts < 2 || (cur.Host(b.StandbyDispatcher) != nil && b.StandbyDispatcher != b.Dispatcher), "%s has dispatcher %q and standby %q", b.Name, b.Dispatcher, b.StandbyDispatcher)
	if was == nil {
		return
	}
	check(t, was.Dispatcher == b.Dispatcher || cur.Host(was.Dispatcher) == nil, "%s changed its dispatcher while %s has a session", b.Name, was.Dispatcher)
	same := was.Dispatcher == b.Dispatcher && slices.Equal(held(old), held(cur))
	check(t, was.Epoch < b.Epoch || same, "%s has other slices or another dispatcher at the same epoch", b.Name)
}

// follow brings a host's table up to date as the host does.
func follow(t rapid.TB, from *table.Table, s *State) *table.Table {
	delta, snapshot, revision := s.Changes(from.Revision())
	var err error
	if delta != nil {
		var d *table.Delta
		if d, err = table.DecodeDelta(delta); err == nil {
			from, err = from.Apply(d)
		}
	} else if snapshot != nil {
		from, err = table.DecodeSnapshot(snapshot)
	}
	check(t, err == nil && from.Revision() == revision, "host does not reach revision %d: %v", revision, err)
	return from
}

// Guards against two owners of a hash, a grant before the revocation, epochs
// that fall, dispatchers that change under a session, replicas that differ, and
// hosts or restored replicas that end up with another table.
func TestRandomCommandsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		l, other, follower := &log{state: NewState(Checker{})}, NewState(Checker{}), table.Empty()
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
