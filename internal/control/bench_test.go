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
		g := newGroup()
		g.renew(0)
		for s := range services {
			name := fmt.Sprint("s", s)
			g.must(b, publish("p"+name, fileOf(name, 1, 23_000, "")))
			for i := range 360 {
				address := fmt.Sprintf("10.%d.%d.%d:80", s, i/200, i%200)
				g.must(b, announced(name, i, func(a *command.BackendAnnounced) { a.Address = address }))
			}
		}
		run := func(name string, op func(i int)) {
			b.Run(fmt.Sprintf("%s/slices=%d", name, services*23_000), func(b *testing.B) {
				for i := 0; b.Loop(); i++ {
					op(i)
				}
			})
		}
		run("lost", func(i int) {
			g.do(b, command.Command{BackendLost: &command.BackendLost{Backend: fmt.Sprint("b", 1+i%350), Service: "s0", Incarnation: "i1"}})
		})
		run("balance", func(int) {
			g.clock.Advance(2 * time.Second)
			t, loads, _ := g.balanceView()
			for _, s := range t.Services() {
				DecideBalance(t, s.File.Service, loads[s.File.Service], DefaultMaxMoving)
			}
		})
		run("snapshot+restore", func(int) {
			if snap, err := g.state.Snapshot(); err != nil || NewState(Checker{}).Restore(g.index, snap) != nil {
				b.Fatal("no snapshot")
			}
		})
	}
}
