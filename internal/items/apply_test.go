package items

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// The table changes hundreds of times a second by changes that do not affect items. Guards
// against a copy of all items for each of them, on every control and entry host.
func TestNoOpPatchCopiesNothing(t *testing.T) {
	is := is.New(t)
	var list []Item
	for i := range 1500 {
		list = append(list, Item{Key: Key{Kind: KindRoute, Name: fmt.Sprint("r", i)}, Version: 2, Route: &Route{Host: "a", PathPrefix: fmt.Sprint("/", i, "/")}})
	}
	set := NewSet(list...)
	old := list[7]
	old.Version = 1
	for _, patch := range [][]Item{nil, {list[3]}, {old}} {
		var next *Set
		is.Equal(testing.AllocsPerRun(10, func() { next, _ = set.Apply(patch) }), 0.0)
		is.True(next == set)
	}
	changed := list[3]
	changed.Version = 3
	next, applied := set.Apply([]Item{changed, old})
	is.Equal(len(applied), 1)
	is.True(next != set)
	before, _ := set.Get(changed.Key)
	is.Equal(before.Version, uint64(2)) // the original set is unchanged
}
