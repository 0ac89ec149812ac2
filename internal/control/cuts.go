package control

import (
	"maps"
	"slices"

	"github.com/agatestep/agatestep/internal/table"
)

const (
	// cutShare is the load of a slice relative to that of an average server above
	// which it is cut: a server at the balance target must be able to give up a part
	// of its load that is smaller than the excess.
	cutShare = 0.2
	// maxCuts bounds the cuts of one decision.
	maxCuts = 32
	// slicesPerServer is the number of slices for each backend server up to which a
	// service is cut. Twice as many, after the loss of half of the servers, still fit
	// into the answers to heartbeats.
	slicesPerServer = 70
	// maxFirstSlices bounds the first cuts; more slices make repairs slow.
	maxFirstSlices = 4096
)

// DecideFirstCuts returns cuts that halve all slices of a service that nobody owns
// yet, while it has few for its servers: small slices spread busy ranges before
// any load is measured.
func DecideFirstCuts(t *table.Table, service string, span uint64) []uint64 {
	if 2*t.SliceCount(service) > min(slicesPerServer*len(t.Members(service)), maxFirstSlices) {
		return nil
	}
	var cuts []uint64
	for s := range t.AllSlices(service) {
		half := (s.Last-s.Start)/2 + 1
		if s.State != table.SliceUnowned || half < max(span, 1) {
			return nil
		}
		cuts = append(cuts, s.Start+half)
	}
	return cuts
}

// DecideCuts returns where to cut slices that carry too much load to be placed
// well. Keys are adjacent when they are busy together, so a cut goes where it
// halves the load. A single key is not cut. It is a pure function.
func DecideCuts(t *table.Table, service string, loads Loads) []uint64 {
	servers := len(t.Members(service))
	if servers < 2 || t.SliceCount(service) >= max(slicesPerServer*servers, declaredSlices+maxCuts) {
		return nil
	}
	total := 0.0
	for _, load := range loads.Slices {
		total += load
	}
	limit := cutShare * total / float64(servers)
	keys := slices.Sorted(maps.Keys(loads.Keys))
	var cuts []uint64
	for s := range t.AllSlices(service) {
		if loads.Slices[s.Start] <= limit || s.State == table.SliceReleasing || len(cuts) == maxCuts {
			continue
		}
		if at, ok := halve(s, keys, loads.Keys); ok {
			cuts = append(cuts, at)
		}
	}
	return cuts
}

// halve returns the key of a slice before which about half of its load lies.
func halve(s table.Slice, keys []uint64, loads map[uint64]float64) (cut uint64, ok bool) {
	from, _ := slices.BinarySearch(keys, s.Start)
	to := from
	total := 0.0
	for to < len(keys) && keys[to] <= s.Last {
		total += loads[keys[to]]
		to++
	}
	if to-from < 2 {
		return 0, false
	}
	sum, best := 0.0, total
	for i := from + 1; i < to; i++ {
		sum += loads[keys[i-1]]
		if uneven := abs(2*sum - total); uneven < best {
			cut, best, ok = keys[i], uneven, true
		}
	}
	return cut, ok
}

func abs(x float64) float64 { return max(x, -x) }
