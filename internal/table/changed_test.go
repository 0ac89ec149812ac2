package table

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/agatestep/agatestep/internal/service"
	"pgregory.net/rapid"
)

// Guards against changes that dispatchers miss: a backend server that is not in the
// result must own the same slices in both tables.
func TestChangedOwnersIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("b", rapid.IntRange(0, 4).Draw(t, "n")) })
		state := rapid.SampledFrom([]SliceState{SliceOwned, SliceReleasing})
		nextTable := func(old *Table, starts *rapid.Generator[uint64], n int) *Table {
			b := NewBuilder(old.Revision())
			b.PutService(Service{File: &service.File{Service: "s", Key: &service.KeySource{Header: "K"}}})
			b.PutSlice("s", Slice{Owner: "b0", State: SliceOwned})
			for range n {
				b.PutSlice("s", Slice{Start: starts.Draw(t, "start"), Owner: name.Draw(t, "owner"), Epoch: old.Revision(), State: state.Draw(t, "state")})
			}
			next, err := old.Apply(b.Delta(old.Revision() + 1))
			if err != nil {
				t.Fatal(err)
			}
			return next
		}
		old := nextTable(Empty(), rapid.Uint64Range(0, 5000), 400) // several chunks
		next := nextTable(old, rapid.Uint64Range(0, 5000), rapid.IntRange(0, 3).Draw(t, "changes"))
		changed := next.ChangedOwners(old, "s")
		for i := range 5 {
			owner := fmt.Sprint("b", i)
			if !changed[owner] && !reflect.DeepEqual(old.SlicesOf("s", owner), next.SlicesOf("s", owner)) {
				t.Fatalf("%s owns other slices and is not named", owner)
			}
		}
	})
}
