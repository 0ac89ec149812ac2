package control

import (
	"maps"
	"slices"

	"github.com/agatestep/agatestep/internal/table"
)

const (
	// splitLoadShare is the load of a slice, relative to that of an average server, above
	// which it is split: a server above the balance target must be able to give up a part
	// of its load that is smaller than the excess.
	splitLoadShare = 0.2
	// maxSplitPoints bounds the split points of one decision.
	maxSplitPoints = 32
	// slicesPerServer is the number of slices for each backend server up to which a
	// service is split. Twice as many, after the loss of half of the servers, still fit
	// into the heartbeat replies.
	slicesPerServer = 70
	// maxInitialSlices bounds the initial splits; more slices make repairs slow.
	maxInitialSlices = 4096
)

// DecideInitialSplits returns split points that halve all slices of a service without
// owners, while it has few slices for its servers: small slices spread hot ranges before
// any load is measured. It returns nil if a half would be smaller than hashesPerKey.
func DecideInitialSplits(t *table.Table, service string, hashesPerKey uint64) []uint64 {
	if 2*t.SliceCount(service) > min(slicesPerServer*len(t.AvailableBackends(service)), maxInitialSlices) {
		return nil
	}
	var splitPoints []uint64
	for s := range t.AllSlices(service) {
		half := (s.Last-s.Start)/2 + 1
		if s.State != table.SliceUnowned || half < max(hashesPerKey, 1) {
			return nil
		}
		splitPoints = append(splitPoints, s.Start+half)
	}
	return splitPoints
}

// DecideSplitPoints returns where to split slices that carry too much load to be
// placed well. Keys that are hot at the same time are adjacent, so a split point is
// placed where it halves the load. A single key is not split. It is a pure function.
func DecideSplitPoints(t *table.Table, service string, loads Loads) []uint64 {
	servers := len(t.AvailableBackends(service))
	if servers < 2 || t.SliceCount(service) >= max(slicesPerServer*servers, initialDeclaredSlices+maxSplitPoints) {
		return nil
	}
	total := 0.0
	for _, load := range loads.Slices {
		total += load
	}
	limit := splitLoadShare * total / float64(servers)
	keys := slices.Sorted(maps.Keys(loads.Keys))
	var splitPoints []uint64
	for s := range t.AllSlices(service) {
		if loads.Slices[s.Start] <= limit || s.State == table.SliceReleasing || len(splitPoints) == maxSplitPoints {
			continue
		}
		if at, ok := balancedSplitPoint(s, keys, loads.Keys); ok {
			splitPoints = append(splitPoints, at)
		}
	}
	return splitPoints
}

// balancedSplitPoint returns the key of a slice before which about half of its load
// lies.
func balancedSplitPoint(s table.Slice, keys []uint64, loads map[uint64]float64) (splitPoint uint64, ok bool) {
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
		if imbalance := abs(2*sum - total); imbalance < best {
			splitPoint, best, ok = keys[i], imbalance, true
		}
	}
	return splitPoint, ok
}

func abs(x float64) float64 { return max(x, -x) }
