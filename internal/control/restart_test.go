package control

import (
	"testing"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/items"
)

// A control host restarts from a snapshot and gets an old patch or heartbeat again. Guards
// against the reuse of a removed item or of a server that has announced that it leaves.
func TestRestoreKeepsRemovalsAndDeregistrations(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{state: NewState(Checker{})}
	vault := deskItems(1)[1]
	removed := vault
	removed.Version, removed.Removed, removed.Service, removed.Document = 2, true, nil, nil
	reported := func(leaving bool) command.Command {
		return command.Command{BackendReported: &command.BackendReported{Service: "desk", Backend: "b1", Born: 5, DataCentre: "dc1",
			Address: "10.0.0.1:80", Slots: 2, Leaving: leaving}}
	}
	patch := func(list ...items.Item) command.Command {
		return command.Command{PatchItems: &command.PatchItems{Items: list}}
	}
	l.mustApply(t, patch(deskItems(1)...))
	l.mustApply(t, reported(true))
	l.mustApply(t, patch(removed))
	data, err := l.state.Snapshot()
	is.NoErr(err)
	restored := NewState(Checker{})
	is.NoErr(restored.Restore(l.index, data))
	l.state = restored
	l.apply(t, patch(vault))
	l.apply(t, reported(false))
	is.True(l.state.Items().Service("vault") == nil)
	is.True(l.state.Table().Backend("desk", "b1").Leaving)
}
