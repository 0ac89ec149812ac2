package ownership

import (
	"math"
	"slices"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/placement"
	"github.com/agatestep/agatestep/internal/table"
)

// aliveFleet is a fleet of servers that are all alive.
type aliveFleet []placement.Server

func (f aliveFleet) Available(string) []placement.Server { return slices.Clone(f) }

func (f aliveFleet) Alive(ref table.BackendRef) bool { return containsServer(f, ref.Name) }

var threeServers = aliveFleet{{Name: "a", DataCentre: "1"}, {Name: "b", DataCentre: "2"}, {Name: "c", DataCentre: "3"}}

// Guards against slices that leave a gap or overlap, for any number of slices and
// any splits, and against a split that changes the owner of a hash.
func TestSlicesCoverAllHashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("s", rapid.IntRange(-1, 3000).Draw(t, "count"))
		s.Reassign(threeServers, 1)
		before := slices.Clone(s.list)
		hashes := rapid.SliceOfN(rapid.OneOf(rapid.Uint64(), rapid.SampledFrom([]uint64{0, 1, math.MaxUint64})), 1, 20).Draw(t, "hashes")
		if _, err := s.Split(hashes, nil); err != nil {
			t.Fatal(err)
		}
		for i, e := range s.list {
			if (i == 0) != (e.Start == 0) || (i > 0 && e.Start <= s.list[i-1].Start) {
				t.Fatalf("slice %d starts at %x", i, e.Start)
			}
		}
		for _, h := range hashes {
			i, ok := s.find(h)
			if !ok || (h != math.MaxUint64 && s.list[i+1].Start != h+1) {
				t.Fatalf("%x is not a slice of its own", h)
			}
			k, found := slices.BinarySearchFunc(before, h, func(e table.Slice, h uint64) int {
				if e.Start > h {
					return 1
				}
				return -1
			})
			if found || before[k-1].Owner != s.list[i].Owner {
				t.Fatalf("%x went from %s to %s", h, before[k-1].Owner, s.list[i].Owner)
			}
		}
	})
}

// Guards against a move that completes although its target was lost or taken out of
// service, and against a move that never ends because no server is left.
func TestMoveWhoseTargetIsLost(t *testing.T) {
	is := is.New(t)
	s := New("s", 1)
	s.Reassign(threeServers, 1)
	is.Equal(s.list[0].Owner, "a")
	_, err := s.Move([]command.SliceMove{{Start: 0, Epoch: 1, To: "b"}}, threeServers, 2)
	is.NoErr(err)
	s.PromoteStandbys(aliveFleet{threeServers[0], threeServers[2]}, 3) // b is lost
	is.True(containsServer(aliveFleet{threeServers[0], threeServers[2]}, s.list[0].Next))
	s.Reassign(aliveFleet{threeServers[0]}, 4) // c is lost too: back to a, which must release nevertheless
	is.Equal(s.list[0].State, table.SliceReleasing)
	is.Equal(s.list[0].Next, "a")
	release := &command.Released{Service: "s", Backend: "a", Starts: []uint64{0}, Epochs: []uint64{1}}
	_, err = s.Release(release, aliveFleet{threeServers[0]}, 5)
	is.NoErr(err)
	is.Equal(s.list[0], table.Slice{Owner: "a", Epoch: 5, State: table.SliceOwned})
	s.PromoteStandbys(aliveFleet{}, 6) // no server is left
	is.Equal(s.list[0].State, table.SliceUnowned)
	s.Repair(threeServers, 7) // served again as soon as a server is available
	is.True(s.list[0].State == table.SliceOwned && s.list[0].Epoch == 7 && s.list[0].Standby != "")
}

// Guards against keys that are granted to a server which was lost after the grant
// was decided: its next process would hold them under an epoch of the lost one.
func TestLostServerIsGrantedNothing(t *testing.T) {
	is := is.New(t)
	s := New("s", 1).DisableStandbys()
	s.Reassign(threeServers, 1)
	is.Equal(s.list[0].Owner, "a")
	_, err := s.Move([]command.SliceMove{{Start: 0, Epoch: 1, To: "b"}}, threeServers, 2)
	is.NoErr(err)
	withoutB := aliveFleet{threeServers[0], threeServers[2]}
	_, err = s.Grant(&command.Granted{Service: "s", Backend: "b", Starts: []uint64{0}, Epochs: []uint64{1}}, withoutB, 3)
	is.True(errors.Is(err, ErrStale))
	is.Equal(s.list[0].Owner, "a")
	_, err = s.Release(&command.Released{Service: "s", Backend: "a", Starts: []uint64{0}, Epochs: []uint64{1}}, withoutB, 4)
	is.NoErr(err)
	is.Equal(s.list[0], table.Slice{Epoch: 1, State: table.SliceUnowned})
	s.Repair(withoutB, 5)
	is.Equal(s.list[0].Epoch, uint64(5))
}
