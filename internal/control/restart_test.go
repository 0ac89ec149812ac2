package control

import (
	"testing"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/items"
)

// A control host restarts from a snapshot and gets an old change or heartbeat once more.
// Guards against a withdrawn item or a server that announced its end that is in use again.
func TestRestartForgetsNoWithdrawal(t *testing.T) {
	is := is.New(t)
	l := &log{state: NewState(Checker{})}
	vault := deskItems(1)[1]
	withdrawn := vault
	withdrawn.Version, withdrawn.Removed, withdrawn.Service, withdrawn.Document = 2, true, nil, nil
	reported := func(leaving bool) command.Command {
		return command.Command{BackendReported: &command.BackendReported{Service: "desk", Backend: "b1", Born: 5, DataCentre: "dc1",
			Address: "10.0.0.1:80", Slots: 2, Leaving: leaving}}
	}
	patch := func(list ...items.Item) command.Command {
		return command.Command{PatchItems: &command.PatchItems{Items: list}}
	}
	l.must(t, patch(deskItems(1)...))
	l.must(t, reported(true))
	l.must(t, patch(withdrawn))
	data, err := l.state.Snapshot()
	is.NoErr(err)
	restored := NewState(Checker{})
	is.NoErr(restored.Restore(l.index, data))
	l.state = restored
	l.do(t, patch(vault))
	l.do(t, reported(false))
	is.True(l.state.Items().Service("vault") == nil)
	is.True(l.state.Table().Backend("desk", "b1").Leaving)
}
