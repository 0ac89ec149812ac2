package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/items"
)

// BenchmarkReport measures a report of a backend server that changes the table, in a
// deployment of 400 servers, 85 hosts and 1,500 routes. When a data centre returns, hundreds
// of them arrive at once.
func BenchmarkReport(b *testing.B) {
	is := is.New(b)
	r := newHeartbeatFleet(b, 400)
	for i := range 85 {
		host := hostJoined(i)
		r.mustApply(b, command.Command{HostJoined: &host})
	}
	r.mustApply(b, command.Command{PatchItems: &command.PatchItems{Items: append(deskItems(2), routeItems(1500, 1)...)}})
	reports := make([][]byte, 0, 2*len(r.heartbeats))
	for _, cold := range []bool{true, false} {
		for _, name := range sortedNames(r.heartbeats) {
			hb := r.heartbeats[name]
			c := command.Command{BackendReported: &command.BackendReported{Service: hb.Service, Backend: name, Born: hb.Born,
				DataCentre: hb.DataCentre, Address: hb.Address, Slots: hb.Slots, Cold: cold}}
			data, err := c.Encode()
			is.NoErr(err)
			reports = append(reports, data)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		_, _, err := r.fakeLog.Propose(ctx, reports[i%len(reports)])
		is.NoErr(err)
	}
}

func routeItems(n int, version uint64) (list []items.Item) {
	for i := range n {
		list = append(list, items.Item{Key: items.Key{Kind: items.KindRoute, Name: fmt.Sprint("r", i)}, Version: version,
			Route: &items.Route{Host: "a", PathPrefix: fmt.Sprint("/", i, "/"), Timeout: time.Second, Shares: []items.Share{{Service: "desk", Weight: 1}}}})
	}
	return list
}
