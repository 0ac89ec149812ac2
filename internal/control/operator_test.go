package control

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
)

// operated is an operator command in the naive model: the last accepted one about
// a name, or the first one with a request id.
type operated struct {
	id, name, content string
	version           uint64
	result            *command.Result
}

// predict returns the expected code, and the expected answer of a resend.
func predict(byName, byID map[string]*operated, o operated) (command.ResultCode, *command.Result) {
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

// Guards against a resend that gets another answer or runs twice, a race of
// equal versions that both win or that does not name the winner, and an accepted
// version that reverts.
func TestOperatorsAgainstNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		l := &log{state: NewState(Checker{})}
		for i := range 3 {
			h := hostJoined(i)
			l.must(t, command.Command{HostJoined: &h})
		}
		byName, byID := map[string]*operated{}, map[string]*operated{}
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			o := operated{fmt.Sprint("r", rapid.IntRange(1, 12).Draw(t, "id")), rapid.SampledFrom([]string{"s1", "s2", "dc0", "dc1"}).Draw(t, "name"),
				rapid.SampledFrom([]string{"x", "y"}).Draw(t, "content"), rapid.Uint64Range(1, 4).Draw(t, "version"), nil}
			c := drain(o.id, command.DrainDataCentre, o.name, o.content == "x", o.version)
			if o.name[0] == 's' {
				c = publish(o.id, fileOf(o.name, int(o.version), 0, "# "+o.content))
			}
			code, original := predict(byName, byID, o)
			o.result = l.do(t, c)
			is.Equal(o.result.Code, code)
			switch {
			case original != nil:
				is.Equal(o.result, original)
			case code == command.ResultOK:
				is.Equal(o.result.Versions, map[string]uint64{o.name: o.version})
				byName[o.name] = &o
			case code == command.ResultConflict && byID[o.id] == nil:
				is.True(strings.Contains(o.result.Detail, "request "+byName[o.name].id)) // the winner is named
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

// Guards against a bad command that changes something or that answers without a reason.
func TestBadCommandsChangeNothing(t *testing.T) {
	l := &log{state: NewState(Checker{})}
	l.populate(t, 8, 3)
	l.must(t, command.Command{Split: &command.Split{Service: "desk", Hashes: []uint64{0}}})
	b1 := func(change func(a *command.BackendAnnounced)) command.Command { return announced("desk", 1, change) }
	file := func(version, slices int, extra string) command.File { return fileOf("desk", version, slices, extra) }
	rival := command.File{Name: "b", Content: strings.Replace(file(1, 8, "").Content, "service: desk", "service: rival", 1)}
	twice := publish("q", file(2, 8, ""))
	twice.Drain = &command.Drain{}
	for detail, c := range map[string]command.Command{
		"exactly one kind":                  twice,
		"without a request id":              publish("", file(2, 8, "")),
		"without files":                     publish("q1"),
		"unknown field":                     publish("q2", file(2, 8, "colour: red")),
		"also in":                           publish("q3", file(2, 8, ""), file(2, 8, "")),
		"already claimed":                   publish("q4", rival),
		"fixed at 8":                        publish("q5", file(2, 16, "")),
		"between keyed and not keyed":       publish("q6", file(2, 0, "")),
		"builds on version 2":               publish("q7", file(3, 8, "")),
		"belongs to backend server desk/b1": b1(func(a *command.BackendAnnounced) { a.Backend = "b9" }),
		"has to wait until its lease":       b1(func(a *command.BackendAnnounced) { a.Incarnation, a.Address = "i2", "127.0.2.9:80" }),
		"cannot move to":                    b1(func(a *command.BackendAnnounced) { a.Address = "127.0.2.9:80" }),
		"is not IP:port":                    b1(func(a *command.BackendAnnounced) { a.Address = "localhost:80" }),
		"not published":                     announced("none", 7),
		"no host and no backend server":     drain("q8", command.DrainDataCentre, "dc9", true, 0),
		"is not registered":                 drain("q9", command.DrainBackend, "desk/b9", true, 0),
		"not SERVICE/BACKEND":               drain("q10", command.DrainBackend, "desk", true, 0),
		"unknown kind":                      drain("q11", "rack", "r1", true, 0),
		"has incarnation i1":                {BackendLost: &command.BackendLost{Backend: "b1", Service: "desk", Incarnation: "i0"}},
		"h9 has no session":                 {HostLost: &command.HostLost{Host: "h9"}},
		"2 starts and 0 epochs":             {Released: &command.Released{Service: "desk", Backend: "b1", Starts: []uint64{1, 2}}},
		"is not releasing":                  {Released: &command.Released{Service: "desk", Backend: "b1", Starts: []uint64{0}, Epochs: []uint64{2}}},
		"none of 1 slices can move":         {Move: &command.Move{Service: "desk", Moves: []command.SliceMove{{To: "b2"}}}},
		"none of 1 hashes can be split":     {Split: &command.Split{Service: "desk", Hashes: []uint64{0}}},
	} {
		before := content(l.state.Table())
		res := l.do(t, c)
		if res.Code == command.ResultOK || !strings.Contains(res.Detail+strings.Join(res.Problems, "\n"), detail) {
			t.Errorf("want refusal with %q, got %+v", detail, res)
		}
		if content(l.state.Table()) != before {
			t.Errorf("%q changed the table", detail)
		}
	}
	garbage, err := command.DecodeResult(l.state.Apply(l.index+1, []byte("\xc1 garbage")))
	check(t, err == nil && garbage.Code == command.ResultInvalid, "undecodable command: %+v", garbage)
}

// content describes all of a table but its revision.
func content(t *table.Table) string {
	out := fmt.Sprint(slicesOf(t), t.Drained(), t.Hosts(), len(t.Services()), t.Service("desk").File.Version)
	for _, b := range t.Backends("desk") {
		out += fmt.Sprint(*b)
	}
	return out
}
