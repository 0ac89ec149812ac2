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

// thing is a service or drained name in the naive model of operator commands.
type thing struct {
	version         uint64
	content, winner string
	original        *command.Result
}

type answer struct {
	content string
	result  *command.Result
}

// expect predicts the code of an operator command, and the original answer if it
// is a resend.
func expect(things map[string]*thing, answers map[string]answer, id, name, content string, version uint64) (command.ResultCode, *command.Result) {
	full := fmt.Sprint(name, version, content)
	if old, ok := answers[id]; ok {
		if old.content == full {
			return old.result.Code, old.result
		}
		return command.ResultConflict, nil
	}
	t := things[name]
	switch {
	case t == nil && strings.HasPrefix(name, "dc") && version > 1:
		return command.ResultStale, nil
	case t == nil || version == t.version+1, version == 0:
		return command.ResultOK, nil
	case version == t.version && content == t.content:
		return command.ResultOK, t.original
	case version == t.version:
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
			l.apply(t, command.Command{HostJoined: &h})
		}
		things, answers := map[string]*thing{}, map[string]answer{}
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			id := fmt.Sprint("r", rapid.IntRange(1, 12).Draw(t, "id"))
			name := rapid.SampledFrom([]string{"s1", "s2", "dc0", "dc1"}).Draw(t, "name")
			version := rapid.Uint64Range(1, 4).Draw(t, "version")
			content := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "content")
			c := command.Command{Drain: &command.Drain{RequestID: id, Kind: command.DrainDataCentre, Name: name, Out: content == "x", Version: version}}
			if name[0] == 's' {
				c = publish(id, fileOf(name, int(version), 0, "# "+content))
			}
			code, original := expect(things, answers, id, name, content, version)
			res := l.apply(t, c)
			is.Equal(res.Code, code)
			if original != nil {
				is.Equal(res, original)
			} else if code == command.ResultOK {
				things[name] = &thing{version, content, id, res}
				is.Equal(res.Versions, map[string]uint64{name: version})
			} else if w := things[name]; code == command.ResultConflict && answers[id].result == nil {
				is.True(strings.Contains(res.Detail, "request "+w.winner)) // the winner is named
			}
			if _, seen := answers[id]; !seen {
				answers[id] = answer{fmt.Sprint(name, version, content), res}
			}
			for name, w := range things {
				if s := l.state.Table().Service(name); name[0] == 's' {
					is.Equal(s.File.Version, w.version)
				}
			}
		}
	})
}

// apply is do for rapid, whose T has no TB.
func (l *log) apply(t *rapid.T, c command.Command) *command.Result {
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	_, out, _ := l.Propose(ctx, data)
	res, err := command.DecodeResult(out)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// Guards against a bad command that changes something or that answers without a reason.
func TestBadCommandsChangeNothing(t *testing.T) {
	l := &log{state: NewState(Checker{})}
	l.populate(t, 8, 3)
	other := func(change func(a *command.BackendAnnounced)) command.Command {
		c := announced("desk", 1)
		change(c.BackendAnnounced)
		return c
	}
	twice := publish("q", fileOf("desk", 2, 8, ""))
	twice.Drain = &command.Drain{}
	for detail, c := range map[string]command.Command{
		"exactly one kind":                  twice,
		"without a request id":              publish("", fileOf("desk", 2, 8, "")),
		"without files":                     publish("q1"),
		"unknown field":                     publish("q2", fileOf("desk", 2, 8, "colour: red")),
		"also in":                           publish("q3", fileOf("desk", 2, 8, ""), fileOf("desk", 2, 8, "")),
		"already claimed":                   publish("q4", command.File{Name: "b", Content: strings.Replace(fileOf("desk", 1, 8, "").Content, "service: desk", "service: rival", 1)}),
		"fixed at 8":                        publish("q5", fileOf("desk", 2, 16, "")),
		"between keyed and not keyed":       publish("q6", fileOf("desk", 2, 0, "")),
		"builds on version 2":               publish("q7", fileOf("desk", 3, 8, "")),
		"belongs to backend server desk/b1": other(func(a *command.BackendAnnounced) { a.Backend = "b9" }),
		"has to wait until its lease":       other(func(a *command.BackendAnnounced) { a.Incarnation, a.Address = "i2", "127.0.2.9:80" }),
		"cannot move to":                    other(func(a *command.BackendAnnounced) { a.Address = "127.0.2.9:80" }),
		"not published":                     announced("none", 7),
		"is not IP:port":                    other(func(a *command.BackendAnnounced) { a.Address = "localhost:80" }),
		"no host and no backend server":     {Drain: &command.Drain{RequestID: "q8", Kind: command.DrainDataCentre, Name: "dc9", Out: true}},
		"is not registered":                 {Drain: &command.Drain{RequestID: "q9", Kind: command.DrainBackend, Name: "desk/b9", Out: true}},
		"not SERVICE/BACKEND":               {Drain: &command.Drain{RequestID: "q10", Kind: command.DrainBackend, Name: "desk", Out: true}},
		"has incarnation i1":                {BackendLost: &command.BackendLost{Backend: "b1", Service: "desk", Incarnation: "i0"}},
		"h9 has no session":                 {HostLost: &command.HostLost{Host: "h9"}},
		"2 starts and 0 epochs":             {Released: &command.Released{Service: "desk", Backend: "b1", Starts: []uint64{1, 2}}},
		"is not releasing":                  {Released: &command.Released{Service: "desk", Backend: "b1", Starts: []uint64{0}, Epochs: []uint64{2}}},
		"none of 1 slices can move":         {Move: &command.Move{Service: "desk", Moves: []command.SliceMove{{To: "b2"}}}},
		"none of 1 hashes can be split":     {Split: &command.Split{Service: "desk", Hashes: []uint64{0}}},
	} {
		if detail == "none of 1 hashes can be split" {
			l.must(t, c) // the first split of hash 0 succeeds
		}
		before := l.state.Table()
		res := l.do(t, c)
		if res.Code == command.ResultOK || !strings.Contains(res.Detail+strings.Join(res.Problems, "\n"), detail) {
			t.Errorf("want refusal with %q, got %+v", detail, res)
		}
		if after := l.state.Table(); !sameContent(before, after) {
			t.Errorf("%q changed the table", detail)
		}
	}
	l.index++
	if res, _ := command.DecodeResult(l.state.Apply(l.index, []byte("\xc1 garbage"))); res.Code != command.ResultInvalid {
		t.Errorf("undecodable command: %+v", res)
	}
}

func sameContent(a, b *table.Table) bool {
	return fmt.Sprint(slicesOf(a, "desk")) == fmt.Sprint(slicesOf(b, "desk")) && a.Service("desk") == b.Service("desk") &&
		a.Backend("desk", "b1") == b.Backend("desk", "b1") && len(a.Backends("desk")) == len(b.Backends("desk")) &&
		len(a.Services()) == len(b.Services()) && fmt.Sprint(a.Drained(), a.Hosts()) == fmt.Sprint(b.Drained(), b.Hosts())
}
