package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/wire"
)

// populated has services of 23,000 slices and 360 backend servers each, in nine
// data centres; 20 of them are the design target.
func populated(b *testing.B, services int) *group {
	g := newGroup()
	for i := range 9 {
		g.renew(i)
	}
	for s := range services {
		name := fmt.Sprint("s", s)
		g.must(b, publish("p"+name, fileOf(name, 1, 23_000, "")))
		for i := range 360 {
			c := announced(name, i)
			c.BackendAnnounced.Address = fmt.Sprintf("10.%d.%d.%d:80", s, i/200, i%200)
			c.BackendAnnounced.DataCentre = fmt.Sprint("dc", i%9)
			g.must(b, c)
		}
	}
	return g
}

func BenchmarkState(b *testing.B) {
	for _, services := range []int{1, 5, 20} {
		g := populated(b, services)
		run := func(name string, op func(i int)) {
			b.Run(fmt.Sprintf("%s/slices=%d", name, services*23_000), func(b *testing.B) {
				for i := 0; b.Loop(); i++ {
					op(i)
				}
			})
		}
		run("move32+release", func(i int) {
			m := &command.Move{Service: "s0"}
			r := &command.Released{Service: "s0", Backend: "b0"}
			for _, s := range g.state.Table().SlicesOf("s0", "b0")[:32] {
				m.Moves = append(m.Moves, command.SliceMove{Start: s.Start, Epoch: s.Epoch, To: "b1"})
				r.Starts, r.Epochs = append(r.Starts, s.Start), append(r.Epochs, s.Epoch)
			}
			g.must(b, command.Command{Move: m})
			g.must(b, command.Command{Released: r})
		})
		run("lost", func(i int) {
			g.must(b, command.Command{BackendLost: &command.BackendLost{Service: "s0", Backend: fmt.Sprint("b", 2+i%300), Incarnation: "i1"}})
		})
		run("balance", func(i int) {
			g.clock.Advance(2 * time.Second)
			g.renew(0, func(r *wire.SessionRenew) {
				r.Loads = []wire.SliceLoads{{Service: "s0", Slices: []wire.SliceCount{{Count: 100}}}}
			})
			t, loads, _ := g.balanceView()
			for _, s := range t.Services() {
				DecideBalance(t, s.File.Service, loads[s.File.Service], DefaultMaxMoving)
			}
		})
		run("snapshot+restore", func(i int) {
			snap, err := g.state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			if err := NewState(Checker{}).Restore(g.index, snap); err != nil {
				b.Fatal(err)
			}
		})
	}
}

func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		l := &log{state: NewState(Checker{})}
		var files []command.File
		for i := range n {
			files = append(files, fileOf(fmt.Sprint("s", i), 1, 0, ""))
		}
		l.must(b, publish("all", files...))
		b.Run(fmt.Sprint("services=", n), func(b *testing.B) {
			for i := 2; b.Loop(); i++ {
				version := int(l.state.Table().Service("s0").File.Version) + 1
				l.must(b, publish(fmt.Sprint("p", i, version), fileOf("s0", version, 0, "")))
			}
		})
	}
}
