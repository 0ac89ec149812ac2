package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/command"
)

// BenchmarkState measures services of 23,000 slices and 360 backend servers each;
// 20 of them are the design target.
func BenchmarkState(b *testing.B) {
	for _, services := range []int{1, 5, 20} {
		g := newTestLeader()
		g.renew(0)
		for s := range services {
			name := fmt.Sprint("s", s)
			g.mustApply(b, publishCommand("p"+name, fileOf(name, 1, 23_000, "")))
			for i := range 360 {
				address := fmt.Sprintf("10.%d.%d.%d:80", s, i/200, i%200)
				g.mustApply(b, announce(name, i, func(a *command.BackendAnnounced) { a.Address = address }))
			}
			m, r := &command.Move{Service: name}, &command.Released{Service: name, Backend: "b0"}
			for _, s := range g.state.Table().SlicesOf(name, "b0") { // b0 owns all slices
				m.Moves = append(m.Moves, command.SliceMove{Start: s.Start, Epoch: s.Epoch, To: fmt.Sprint("b", len(m.Moves)%360)})
				r.Starts, r.Epochs = append(r.Starts, s.Start), append(r.Epochs, s.Epoch)
			}
			g.mustApply(b, command.Command{Move: m})
			g.mustApply(b, command.Command{Released: r})
		}
		run := func(name string, op func(i int)) {
			b.Run(fmt.Sprintf("%s/slices=%d", name, services*23_000), func(b *testing.B) {
				for i := 0; b.Loop(); i++ {
					op(i)
				}
			})
		}
		run("lost", func(i int) {
			g.apply(b, command.Command{BackendLost: &command.BackendLost{Backend: fmt.Sprint("b", 1+3*(i%119)), Service: "s0", Incarnation: "i1"}})
		})
		run("repair", func(int) { g.mustApply(b, command.Command{Repair: &command.Repair{Service: "s0"}}) })
		run("balance", func(int) {
			g.clock.Advance(2 * time.Second)
			t, loads, _, _ := g.balanceInput()
			for _, s := range t.Services() {
				DecideBalance(t, s.File.Service, loads[s.File.Service], DefaultMaxMovingSlices)
			}
		})
		run("snapshot+restore", func(int) {
			if snap, err := g.state.Snapshot(); err != nil || NewState(Checker{}).Restore(g.index, snap) != nil {
				b.Fatal("no snapshot")
			}
		})
	}
}
