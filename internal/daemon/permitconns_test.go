package daemon

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
)

// Guards against hosts that connect to all permit issuers at once after a start, to
// themselves, or to more hosts than they can keep connections to, and against connections
// to dispatchers of warm servers, which issue no permits.
func TestIssuersToConnect(t *testing.T) {
	is := is.New(t)
	const hosts = maxPermitConns + 20
	b := table.NewBuilder(0)
	b.PutService(table.Service{File: &service.File{Service: "desk", Version: 1, Key: &service.KeySource{PathSegment: -1}}, Revision: 1})
	for i := range hosts {
		name := fmt.Sprintf("h%03d", i)
		b.PutHost(table.Host{Name: name, PeerAddress: name + ":1"})
		b.PutBackend(table.Backend{Service: "desk", Name: "b" + name, Dispatcher: name, Cold: true})
	}
	b.PutHost(table.Host{Name: "warm", PeerAddress: "warm:1"})
	b.PutBackend(table.Backend{Service: "desk", Name: "awarm", Dispatcher: "warm"})
	control := []string{"c1:1", "c2:1"}
	tab, err := table.Empty().Apply(b.Delta(1))
	is.NoErr(err)
	open := map[string]bool{}
	for round := 0; ; round++ {
		due := issuersToConnect(control, tab, "h000", func(address string) bool { return open[address] })
		if round == 0 {
			is.Equal(due[:2], control)
		}
		if len(due) == 0 {
			break
		}
		is.True(len(due) <= maxConnectsPerRound)
		for _, address := range due {
			is.True(!open[address] && address != "h000:1" && address != "warm:1")
			open[address] = true
		}
	}
	is.Equal(len(open), maxPermitConns)
	delete(open, "h001:1")
	is.Equal(issuersToConnect(control, tab, "h000", func(address string) bool { return open[address] }), []string{"h001:1"})
}
