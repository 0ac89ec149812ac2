package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/wire"
)

// newLargeDeployment returns a leader with services of 23,000 slices, each spread over 359
// backend servers in nine data centres.
func newLargeDeployment(b *testing.B, hosts, services int) *testLeader {
	g := newTestLeader()
	for i := range hosts {
		h := command.HostJoined{Host: fmt.Sprint("h", i), DataCentre: fmt.Sprint("dc", i%9), PeerAddress: fmt.Sprintf("127.1.%d.%d:1", i/250, i%250), RelayAddress: "127.1.0.0:2"}
		is.New(b).True(g.renew(i, func(r *wire.SessionRenew) { r.Host = h }).Granted)
	}
	for s := range services {
		name := fmt.Sprint("s", s)
		g.mustApply(b, publishCommand("p"+name, fileOf(name, 1, 23_000, "")))
		for i := range 360 {
			dc, address := fmt.Sprint("dc", i%9), fmt.Sprintf("10.%d.%d.%d:80", s, i/200, i%200)
			g.mustApply(b, announce(name, i, func(a *command.BackendAnnounced) { a.DataCentre, a.Address = dc, address }))
		}
		move := &command.Move{Service: name}
		for i, e := range g.state.Table().SlicesOf(name, "b0") {
			move.Moves = append(move.Moves, command.SliceMove{Start: e.Start, Epoch: e.Epoch, To: fmt.Sprint("b", i%359+1)})
		}
		g.mustApply(b, command.Command{Move: move})
		g.mustApply(b, command.Command{BackendLost: &command.BackendLost{Service: name, Backend: "b0", Incarnation: "i1"}})
		g.mustApply(b, command.Command{Repair: &command.Repair{Service: name}})
	}
	return g
}

// BenchmarkDataCentreLost restores a state and measures its memory, joins a host, and
// applies the commands that the loss of a ninth of the backend servers and entry hosts
// commits. It runs five times; use -benchtime 1x and no -count.
func BenchmarkDataCentreLost(b *testing.B) {
	for _, services := range []int{1, 5, 20} {
		hosts, from := services*45, newLargeDeployment(b, services*45, services)
		data, _ := from.state.Snapshot()
		run := func(b *testing.B) {
			heap := func() float64 {
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				return float64(m.HeapAlloc) / 1e6
			}
			for b.Loop() {
				g, before := newTestLeader(), heap()
				is.New(b).NoErr(g.state.Restore(from.index, data))
				b.ReportMetric(heap()-before, "state-MB")
				b.ReportMetric(float64(len(data))/1e6, "snapshot-MB")
				g.index = from.index
				begin := time.Now()
				is.New(b).Equal(len(from.Tick(b.Context())), 0)
				report := func(name string) {
					b.ReportMetric(time.Since(begin).Seconds()*1e3, name+"-ms")
					delta, snapshot, _ := g.state.ChangesSince(from.index)
					b.ReportMetric(float64(len(delta)+len(snapshot))/1e6, name+"-MB")
					begin = time.Now()
				}
				report("tick")
				g.mustApply(b, command.Command{HostJoined: &command.HostJoined{Host: "fresh", DataCentre: "dc1", PeerAddress: "127.2.0.1:1", RelayAddress: "127.2.0.1:2"}})
				report("join")
				for i := range hosts / 9 {
					g.mustApply(b, command.Command{HostLost: &command.HostLost{Host: fmt.Sprint("h", 9*i)}})
				}
				report("hosts")
				for i := range services * 39 {
					g.mustApply(b, command.Command{BackendLost: &command.BackendLost{Service: fmt.Sprint("s", i%services), Backend: fmt.Sprint("b", i/services*9+9), Incarnation: "i1"}})
				}
				report("servers")
				for i := range services {
					g.mustApply(b, command.Command{Repair: &command.Repair{Service: fmt.Sprint("s", i)}})
				}
				report("repair")
			}
		}
		for range 5 {
			b.Run(fmt.Sprintf("hosts=%d/servers=%d", hosts, services*360), run)
		}
	}
}
