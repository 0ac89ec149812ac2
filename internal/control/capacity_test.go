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

// spread has services of 23,000 slices and 360 backend servers, which share the
// slices evenly, and sessions of hosts, in nine data centres.
func spread(b *testing.B, hosts, services int) *group {
	g := newGroup()
	for i := range hosts {
		g.renew(i, func(r *wire.SessionRenew) {
			r.Host.DataCentre, r.Host.PeerAddress = fmt.Sprint("dc", i%9), fmt.Sprintf("127.1.%d.%d:1", i/250, i%250)
		})
	}
	for s := range services {
		name := fmt.Sprint("s", s)
		g.must(b, publish("p"+name, fileOf(name, 1, 23_000, "")))
		for i := range 360 {
			g.must(b, announced(name, i, func(a *command.BackendAnnounced) {
				a.Address, a.DataCentre = fmt.Sprintf("10.%d.%d.%d:80", s, i/200, i%200), fmt.Sprint("dc", i%9)
			}))
		}
		move := &command.Move{Service: name}
		for i, e := range g.state.Table().SlicesOf(name, "b0") {
			move.Moves = append(move.Moves, command.SliceMove{Start: e.Start, Epoch: e.Epoch, To: fmt.Sprint("b", i%359+1)})
		}
		g.must(b, command.Command{Move: move})
		g.must(b, command.Command{BackendLost: &command.BackendLost{Service: name, Backend: "b0", Incarnation: "i1"}})
		g.must(b, command.Command{Repair: &command.Repair{Service: name}})
	}
	return g
}

var spreads = map[int]*group{} // by services, because making the largest takes a minute

// BenchmarkDataCentreLost restores a state, which gives its memory, and applies
// what the loss of a ninth of the backend servers and entry hosts commits. Before
// that, it joins a host again. Run it with -benchtime 1x.
func BenchmarkDataCentreLost(b *testing.B) {
	for _, services := range []int{1, 5, 20} {
		hosts := services * 45
		if spreads[services] == nil {
			spreads[services] = spread(b, hosts, services)
		}
		from := spreads[services]
		data, err := from.state.Snapshot()
		is.New(b).NoErr(err)
		b.Run(fmt.Sprintf("hosts=%d/servers=%d", hosts, services*360), func(b *testing.B) {
			heap := func() float64 {
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				return float64(m.HeapAlloc) / 1e6
			}
			for b.Loop() {
				g, before, begin := newGroup(), heap(), time.Now()
				is.New(b).NoErr(g.state.Restore(from.index, data))
				b.ReportMetric(time.Since(begin).Seconds()*1e3, "restore-ms")
				b.ReportMetric(heap()-before, "state-MB")
				b.ReportMetric(float64(len(data))/1e6, "snapshot-MB")
				g.index, begin = from.index, time.Now()
				is.New(b).Equal(len(from.Tick(b.Context())), 0)
				report := func(name string) {
					b.ReportMetric(time.Since(begin).Seconds()*1e3, name+"-ms")
					delta, snapshot, _ := g.state.Changes(from.index)
					b.ReportMetric(float64(len(delta)+len(snapshot))/1e6, name+"-MB")
					begin = time.Now()
				}
				report("tick")
				fresh := hostJoined(hosts)
				g.must(b, command.Command{HostJoined: &fresh})
				report("join")
				for i := range hosts / 9 {
					g.must(b, command.Command{HostLost: &command.HostLost{Host: fmt.Sprint("h", 9*i+9)}})
				}
				report("hosts")
				for i := range services * 39 {
					g.must(b, command.Command{BackendLost: &command.BackendLost{Service: fmt.Sprint("s", i%services), Backend: fmt.Sprint("b", i/services*9+9), Incarnation: "i1"}})
				}
				report("servers")
				for i := range services {
					g.must(b, command.Command{Repair: &command.Repair{Service: fmt.Sprint("s", i)}})
				}
				report("repair")
			}
		})
	}
}
