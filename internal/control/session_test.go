package control

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a group that cannot get from nothing to a host with a session
// and a keyed service with owners, standbys and dispatchers.
func TestBootstrapToServing(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	is.True(g.renew(1).Granted)
	is.True(g.renew(2).Granted)
	g.populate(t, 64, 4)
	for _, s := range slicesOf(g.state.Table(), "desk") {
		is.True(s.Owner != "" && s.Standby != "" && s.Owner != s.Standby)
	}
	for _, b := range g.state.Table().Members("desk") {
		is.True(b.Dispatcher != "" && b.StandbyDispatcher != "" && b.Dispatcher != b.StandbyDispatcher)
		for _, s := range g.state.Table().SlicesOf("desk", b.Name) {
			is.True(b.Epoch >= s.Epoch)
		}
	}
}
