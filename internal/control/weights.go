package control

import (
	"maps"
	"math"
	"slices"

	"github.com/agatestep/agatestep/internal/placement"
)

const (
	// easyUse is the share of a server's capacity up to which requests hardly wait.
	// It leaves room for twice the load, which comes sooner than keys can move.
	easyUse = 0.45
	// leastUse is the share of its capacity that every server gets, so that its pace
	// stays known and it can take over more.
	leastUse = 0.08
)

// paceUnits is the weight of one busy slot, so that weights, which are whole
// numbers, tell small differences apart.
const paceUnits = 100

// demand is the number of slots of median pace that the load keeps busy.
func (l Loads) demand() float64 {
	total := 0.0
	for _, rate := range l.Slices {
		total += rate
	}
	return total * l.Service.Seconds()
}

// weights returns the weights of servers by which keys are placed: the load that
// each is to carry. While there is room, fast servers get their easy load first
// and slow ones what is left; otherwise all get load by their capacity. demand is
// the number of slots of the median pace that the load keeps busy.
func weights(servers []placement.Server, pace map[string]float64, demand float64) []placement.Server {
	capacity := map[string]float64{}
	total := 0.0
	for _, s := range servers {
		p := pace[s.Name]
		if p <= 0 {
			p = 1
		}
		capacity[s.Name] = float64(s.Slots) * p
		total += capacity[s.Name]
	}
	use := map[string]float64{}
	level := easyUse
	if demand > easyUse*total {
		level = demand / max(total, math.SmallestNonzeroFloat64)
	}
	left := demand
	for name, c := range capacity {
		use[name] = min(leastUse, level) * c
		left -= use[name]
	}
	for _, group := range byPace(servers, pace) {
		room := 0.0
		for _, name := range group {
			room += level*capacity[name] - use[name]
		}
		share := min(max(left, 0)/max(room, math.SmallestNonzeroFloat64), 1)
		for _, name := range group {
			more := share * (level*capacity[name] - use[name])
			use[name] += more
			left -= more
		}
	}
	out := slices.Clone(servers)
	for i := range out {
		out[i].Slots = max(1, int(use[out[i].Name]*paceUnits+0.5))
	}
	return out
}

// byPace returns the names of servers in groups of the same pace, the fastest first.
func byPace(servers []placement.Server, pace map[string]float64) [][]string {
	groups := map[float64][]string{}
	for _, s := range servers {
		groups[pace[s.Name]] = append(groups[pace[s.Name]], s.Name)
	}
	var out [][]string
	for _, p := range slices.Backward(slices.Sorted(maps.Keys(groups))) {
		out = append(out, groups[p])
	}
	return out
}
