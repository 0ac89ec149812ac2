package command

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/items"
)

// Guards against withdrawals that hosts do not wait for, and against heartbeats and moves
// that make every table count as outdated.
func TestMayWithdraw(t *testing.T) {
	many := &PatchItems{}
	for i := range 1000 {
		many.Items = append(many.Items, items.Item{Key: items.Key{Kind: items.KindRoute, Name: fmt.Sprint("r", i)}, Version: 1, Removed: true})
	}
	for name, c := range map[string]struct {
		command Command
		want    bool
	}{
		"a patch":               {Command{PatchItems: &PatchItems{}}, true},
		"a large patch":         {Command{PatchItems: many}, true},
		"service files":         {Command{Publish: &Publish{RequestID: "p"}}, true},
		"a drain":               {Command{Drain: &Drain{RequestID: "d"}}, true},
		"a server that leaves":  {Command{BackendReported: &BackendReported{Backend: "b", Leaving: true}}, true},
		"a server that is new":  {Command{BackendReported: &BackendReported{Backend: "b"}}, false},
		"keys that are granted": {Command{Granted: &Granted{Service: "s", Starts: []uint64{1}}}, false},
		"an election":           {Command{LeaderElected: &LeaderElected{Term: 3}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := c.command.Encode()
			is.NoErr(err)
			is.Equal(MayWithdraw(data), c.want)
		})
	}
	is.New(t).True(MayWithdraw(nil) && MayWithdraw([]byte{0xc1}))
}
