package ownership

import (
	"fmt"
	"testing"

	"github.com/agatestep/agatestep/internal/placement"
	"github.com/agatestep/agatestep/internal/table"
)

// largeFleet has as many servers as the largest service of the users.
type largeFleet struct {
	servers []placement.Server
	lost    map[string]bool
}

func newLargeFleet(n int) *largeFleet {
	f := &largeFleet{lost: map[string]bool{}}
	for i := range n {
		f.servers = append(f.servers, placement.Server{Name: fmt.Sprintf("b%03d", i), DataCentre: fmt.Sprint("dc", i%5), Slots: 2})
	}
	return f
}

func (f *largeFleet) Available(string) []placement.Server {
	var out []placement.Server
	for _, s := range f.servers {
		if !f.lost[s.Name] {
			out = append(out, s)
		}
	}
	return out
}

func (f *largeFleet) Alive(ref table.BackendRef) bool { return !f.lost[ref.Name] }

// BenchmarkLoss measures the time that the loss of one server takes on every control
// replica.
func BenchmarkLoss(b *testing.B) {
	for _, slices := range []int{1024, 4096, 8192} {
		b.Run(fmt.Sprint(slices), func(b *testing.B) {
			f := newLargeFleet(396)
			s := New("desk", slices).DisableStandbys()
			s.Reassign(f, 1)
			i := 0
			for b.Loop() {
				f.lost[f.servers[i%300].Name] = true
				s.PromoteStandbys(f, uint64(i+2))
				s.Repair(f, uint64(i+2))
				delete(f.lost, f.servers[i%300].Name)
				i++
			}
		})
	}
}

// BenchmarkRebalance measures the time of one balance decision on the leader.
func BenchmarkRebalance(b *testing.B) {
	f := newLargeFleet(396)
	s := New("desk", 8192)
	s.Reassign(f, 1)
	var list []placement.Slice
	for i := range s.list {
		list = append(list, placement.Slice{Owner: s.list[i].Owner, Standby: s.list[i].Standby, Load: float64(i % 7)})
	}
	for b.Loop() {
		placement.Rebalance(f.servers, list, placement.Options{Floor: 0.5, MaxMoves: 32})
	}
}
