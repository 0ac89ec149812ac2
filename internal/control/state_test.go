package control

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/pack"
	"github.com/agatestep/agatestep/internal/table"
)

// drawCommand draws a command, mostly one that is valid for the table.
func drawCommand(t *rapid.T, cur *table.Table, step int) command.Command {
	host, server := hostJoined(rapid.IntRange(1, 4).Draw(t, "host")), rapid.IntRange(1, 5).Draw(t, "server")
	name, list := fmt.Sprint("b", server), deskSlices(cur)
	pick := func() table.Slice { return list[rapid.IntRange(0, len(list)-1).Draw(t, "slice")] }
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0:
		return command.Command{HostJoined: &host}
	case 1:
		return command.Command{HostLost: &command.HostLost{Host: host.Host}}
	case 2, 3:
		incarnation := rapid.SampledFrom([]string{"i1", "i1", "i2", "i3"}).Draw(t, "incarnation")
		return announce("desk", server, func(a *command.BackendAnnounced) { a.Incarnation = incarnation })
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
		return drainCommand(fmt.Sprint("d", step), command.DrainDataCentre, fmt.Sprint("dc", server%3), out, 0)
	}
	return drainCommand(fmt.Sprint("d", step), command.DrainBackend, "desk/"+name, out, 0)
}

// require fails a test unless a condition holds.
func require(t rapid.TB, ok bool, format string, args ...any) {
	if t.Helper(); !ok {
		t.Fatalf(format, args...)
	}
}

// checkTransition checks the invariants between the tables before and after one command.
func checkTransition(t *rapid.T, c command.Command, old, cur *table.Table) {
	next := uint64(0)
	for _, s := range deskSlices(cur) {
		require(t, s.Start == next, "slice %x does not begin where the one before ends", s.Start)
		next = s.Last + 1
		was, _ := old.Lookup("desk", s.Start)
		b, before := cur.Backend("desk", s.Owner), old.Backend("desk", s.Owner)
		require(t, (s.State == table.SliceUnowned) == (b == nil), "state %d with owner %q", s.State, s.Owner)
		require(t, s.Epoch >= was.Epoch, "epoch of %x falls from %d to %d", s.Start, was.Epoch, s.Epoch)
		if b != nil {
			require(t, !b.Lost && (!b.Draining || s.State == table.SliceReleasing), "slice %x is owned by %+v", s.Start, b)
			require(t, b.Epoch >= s.Epoch, "order of %s has epoch %d below that of its slice, %d", b.Name, b.Epoch, s.Epoch)
		}
		if s.Owner == was.Owner && s.Epoch == was.Epoch {
			require(t, before == nil || b.Incarnation == before.Incarnation, "slice %x passed to another incarnation of %s without a grant", s.Start, s.Owner)
			continue
		}
		require(t, b == nil || s.Epoch == cur.Revision(), "slice %x was granted at %d with epoch %d", s.Start, cur.Revision(), s.Epoch)
		checkRevoked(t, c, was, s, old, cur)
	}
	require(t, next == 0, "slices do not cover all hashes")
	for _, b := range cur.Backends("desk") {
		checkServer(t, b, old, cur)
	}
}

// checkRevoked fails the test if a slice has another owner, or a new grant, while the
// old owner may still serve it: the old owner is alive with the same incarnation and
// has not reported that it released the slice.
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
	require(t, was.State == table.SliceReleasing && released, "slice %x goes from %s to %s, but %s was not revoked", s.Start, was.Owner, s.Owner, was.Owner)
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
	require(t, hosts == 0 || cur.Host(b.Dispatcher) != nil, "%s has the absent dispatcher %q", b.Name, b.Dispatcher)
	require(t, hosts < 2 || (cur.Host(b.StandbyDispatcher) != nil && b.StandbyDispatcher != b.Dispatcher), "%s has dispatcher %q and standby %q", b.Name, b.Dispatcher, b.StandbyDispatcher)
	if was == nil {
		return
	}
	require(t, was.Dispatcher == b.Dispatcher || cur.Host(was.Dispatcher) == nil, "%s changed its dispatcher while %s has a session", b.Name, was.Dispatcher)
	same := was.Dispatcher == b.Dispatcher && slices.Equal(held(old), held(cur))
	require(t, was.Epoch < b.Epoch || same, "%s has other slices or another dispatcher at the same epoch", b.Name)
}

// followTable updates a host's table as the host does.
func followTable(t rapid.TB, from *table.Table, s *State) *table.Table {
	delta, snapshot, revision := s.ChangesSince(from.Revision())
	unpack := func(packed []byte) []byte {
		encoded, err := pack.Unpack(packed)
		require(t, err == nil, "%v", err)
		return encoded
	}
	var err error
	if delta != nil {
		var d *table.Delta
		if d, err = table.DecodeDelta(unpack(delta)); err == nil {
			from, err = from.Apply(d)
		}
	} else if snapshot != nil {
		from, err = table.DecodeSnapshot(unpack(snapshot))
	}
	require(t, err == nil && from.Revision() == revision, "host does not reach revision %d: %v", revision, err)
	return from
}

// Guards against two owners of a hash, a grant before the revocation, epochs
// that decrease, dispatchers that change during a session, replicas that diverge, and
// hosts or restored replicas that end up with another table.
func TestRandomCommandsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		l, other, follower := &fakeLog{state: NewState(Checker{})}, NewState(Checker{}), table.Empty()
		apply := func(c command.Command) {
			data, err := c.Encode()
			is.NoErr(err)
			_, out, _ := l.Propose(ctx, data)
			is.True(bytes.Equal(out, other.Apply(l.index, data)))
		}
		apply(publishCommand("p", fileOf("desk", 1, 8, "")))
		for step := range 40 {
			old := l.state.Table()
			c := drawCommand(t, old, step)
			apply(c)
			checkTransition(t, c, old, l.state.Table())
			if rapid.IntRange(0, 3).Draw(t, "watch") == 0 {
				follower = followTable(t, follower, l.state)
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
		gotTable, _ := followTable(t, follower, l.state).Snapshot()
		is.True(bytes.Equal(wantTable, gotTable))
	})
}

// operatorCommand is an operator command in the model: the last accepted one about
// a name, or the first one with a request id.
type operatorCommand struct {
	id, name, content string
	version           uint64
	result            *command.Result
}

// predictResult returns the expected code, and the expected result of a resend.
func predictResult(byName, byID map[string]*operatorCommand, o operatorCommand) (command.ResultCode, *command.Result) {
	if first := byID[o.id]; first != nil && (first.name != o.name || first.content != o.content || first.version != o.version) {
		return command.ResultConflict, nil
	} else if first != nil {
		return first.result.Code, first.result
	}
	last := byName[o.name]
	switch {
	case last == nil && (o.name[0] == 's' || o.version == 1), last != nil && o.version == last.version+1:
		return command.ResultOK, nil
	case last != nil && o.version == last.version && o.content == last.content:
		return command.ResultOK, last.result
	case last != nil && o.version == last.version:
		return command.ResultConflict, nil
	}
	return command.ResultStale, nil
}

// Guards against a resend that gets another result or runs twice, two commands with
// the same version that are both accepted, a refusal that does not name the accepted
// one, and an accepted version that is reverted.
func TestOperatorCommandsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		l := &fakeLog{state: NewState(Checker{})}
		for i := range 3 {
			h := hostJoined(i)
			l.mustApply(t, command.Command{HostJoined: &h})
		}
		byName, byID := map[string]*operatorCommand{}, map[string]*operatorCommand{}
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			o := operatorCommand{fmt.Sprint("r", rapid.IntRange(1, 12).Draw(t, "id")), rapid.SampledFrom([]string{"s1", "s2", "dc0", "dc1"}).Draw(t, "name"),
				rapid.SampledFrom([]string{"x", "y"}).Draw(t, "content"), rapid.Uint64Range(1, 4).Draw(t, "version"), nil}
			c := drainCommand(o.id, command.DrainDataCentre, o.name, o.content == "x", o.version)
			if o.name[0] == 's' {
				c = publishCommand(o.id, fileOf(o.name, int(o.version), 0, "# "+o.content))
			}
			code, original := predictResult(byName, byID, o)
			o.result = l.apply(t, c)
			is.Equal(o.result.Code, code)
			switch {
			case original != nil:
				is.Equal(o.result, original)
			case code == command.ResultOK:
				is.Equal(o.result.Versions, map[string]uint64{o.name: o.version})
				byName[o.name] = &o
			case code == command.ResultConflict && byID[o.id] == nil:
				is.True(strings.Contains(o.result.Detail, "request "+byName[o.name].id)) // the accepted command is named
			}
			if byID[o.id] == nil {
				byID[o.id] = &o
			}
			if last := byName[o.name]; last != nil && o.name[0] == 's' {
				is.Equal(l.state.Table().Service(o.name).File.Version, last.version)
			}
		}
	})
}

// Guards against an invalid command that changes the table or is refused without a reason.
func TestInvalidCommandsChangeNothing(t *testing.T) {
	l := &fakeLog{state: NewState(Checker{})}
	l.populate(t, 8, 3)
	l.mustApply(t, command.Command{Split: &command.Split{Service: "desk", Hashes: []uint64{0}}})
	b1 := func(change func(a *command.BackendAnnounced)) command.Command { return announce("desk", 1, change) }
	file := func(version, slices int, extra string) command.File { return fileOf("desk", version, slices, extra) }
	rival := command.File{Name: "b", Content: strings.Replace(file(1, 8, "").Content, "service: desk", "service: rival", 1)}
	twoKinds := publishCommand("q", file(2, 8, ""))
	twoKinds.Drain = &command.Drain{}
	for detail, c := range map[string]command.Command{
		"exactly one kind":                  twoKinds,
		"without a request id":              publishCommand("", file(2, 8, "")),
		"without files":                     publishCommand("q1"),
		"unknown field":                     publishCommand("q2", file(2, 8, "colour: red")),
		"also in":                           publishCommand("q3", file(2, 8, ""), file(2, 8, "")),
		"already claimed":                   publishCommand("q4", rival),
		"fixed at 8":                        publishCommand("q5", file(2, 16, "")),
		"between keyed and not keyed":       publishCommand("q6", file(2, 0, "")),
		"builds on version 2":               publishCommand("q7", file(3, 8, "")),
		"belongs to backend server desk/b1": b1(func(a *command.BackendAnnounced) { a.Backend = "b9" }),
		"has to wait until its lease":       b1(func(a *command.BackendAnnounced) { a.Incarnation, a.Address = "i2", "127.0.2.9:80" }),
		"cannot move to":                    b1(func(a *command.BackendAnnounced) { a.Address = "127.0.2.9:80" }),
		"is not IP:port":                    b1(func(a *command.BackendAnnounced) { a.Address = "localhost:80" }),
		"not published":                     announce("none", 7),
		"no host and no backend server":     drainCommand("q8", command.DrainDataCentre, "dc9", true, 0),
		"is not registered":                 drainCommand("q9", command.DrainBackend, "desk/b9", true, 0),
		"not SERVICE/BACKEND":               drainCommand("q10", command.DrainBackend, "desk", true, 0),
		"unknown kind":                      drainCommand("q11", "rack", "r1", true, 0),
		"has incarnation i1":                {BackendLost: &command.BackendLost{Backend: "b1", Service: "desk", Incarnation: "i0"}},
		"h9 has no session":                 {HostLost: &command.HostLost{Host: "h9"}},
		"2 starts and 0 epochs":             {Released: &command.Released{Service: "desk", Backend: "b1", Starts: []uint64{1, 2}}},
		"is not releasing":                  {Released: &command.Released{Service: "desk", Backend: "b1", Starts: []uint64{0}, Epochs: []uint64{2}}},
		"none of 1 slices can move":         {Move: &command.Move{Service: "desk", Moves: []command.SliceMove{{To: "b2"}}}},
		"none of 1 hashes can be split":     {Split: &command.Split{Service: "desk", Hashes: []uint64{0}}},
	} {
		before := tableContent(l.state.Table())
		res := l.apply(t, c)
		if res.Code == command.ResultOK || !strings.Contains(res.Detail+strings.Join(res.Problems, "\n"), detail) {
			t.Errorf("want refusal with %q, got %+v", detail, res)
		}
		if tableContent(l.state.Table()) != before {
			t.Errorf("%q changed the table", detail)
		}
	}
	garbage, err := command.DecodeResult(l.state.Apply(l.index+1, []byte("\xc1 garbage")))
	require(t, err == nil && garbage.Code == command.ResultInvalid, "undecodable command: %+v", garbage)
}

// tableContent describes everything in a table except its revision.
func tableContent(t *table.Table) string {
	out := fmt.Sprint(deskSlices(t), t.Drained(), t.Hosts(), len(t.Services()), t.Service("desk").File.Version)
	for _, b := range t.Backends("desk") {
		out += fmt.Sprint(*b)
	}
	return out
}
