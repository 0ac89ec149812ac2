package control

import (
	"maps"
	"math"
	"slices"

	"github.com/agatestep/agatestep/internal/placement"
)

const (
	// targetUtilization is the share of a server's capacity up to which requests hardly
	// wait. It leaves room for twice the load, which can arrive faster than keys move.
	targetUtilization = 0.45
	// minUtilization is the share of its capacity that every server gets, so that its
	// speed stays measured and it can take over more.
	minUtilization = 0.08
)

// weightPerSlot is the weight of one busy slot. It is large because weights are
// integers and must represent small differences.
const weightPerSlot = 100

// demand returns the number of slots of median speed that the load keeps busy.
func (l Loads) demand() float64 {
	total := 0.0
	for _, rate := range l.Slices {
		total += rate
	}
	return total * l.MedianServiceTime.Seconds()
}

// placementWeights returns the servers with the weights by which keys are placed, as
// their Slots: the load that each is to carry. While the target utilization suffices,
// fast servers are filled up to it first and slow ones get what is left; otherwise all
// get load in proportion to their capacity. demand is the number of slots of median
// speed that the load keeps busy.
func placementWeights(servers []placement.Server, speed map[string]float64, demand float64) []placement.Server {
	capacity := map[string]float64{}
	total := 0.0
	for _, s := range servers {
		factor := speed[s.Name]
		if factor <= 0 {
			factor = 1
		}
		capacity[s.Name] = float64(s.Slots) * factor
		total += capacity[s.Name]
	}
	assigned := map[string]float64{}
	utilization := targetUtilization
	if demand > targetUtilization*total {
		utilization = demand / max(total, math.SmallestNonzeroFloat64)
	}
	remaining := demand
	for name, c := range capacity {
		assigned[name] = min(minUtilization, utilization) * c
		remaining -= assigned[name]
	}
	for _, group := range groupBySpeed(servers, speed) {
		spare := 0.0
		for _, name := range group {
			spare += utilization*capacity[name] - assigned[name]
		}
		share := min(max(remaining, 0)/max(spare, math.SmallestNonzeroFloat64), 1)
		for _, name := range group {
			more := share * (utilization*capacity[name] - assigned[name])
			assigned[name] += more
			remaining -= more
		}
	}
	out := slices.Clone(servers)
	for i := range out {
		out[i].Slots = max(1, int(assigned[out[i].Name]*weightPerSlot+0.5))
	}
	return out
}

// groupBySpeed returns the names of servers in groups of the same speed, the fastest
// first.
func groupBySpeed(servers []placement.Server, speed map[string]float64) [][]string {
	groups := map[float64][]string{}
	for _, s := range servers {
		groups[speed[s.Name]] = append(groups[speed[s.Name]], s.Name)
	}
	var out [][]string
	for _, key := range slices.Backward(slices.Sorted(maps.Keys(groups))) {
		out = append(out, groups[key])
	}
	return out
}
