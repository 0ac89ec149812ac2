package control

import (
	"testing"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/placement"
)

func fourServers() []placement.Server {
	var out []placement.Server
	for _, name := range []string{"fast", "mid1", "mid2", "slow"} {
		out = append(out, placement.Server{Name: name, Slots: 4})
	}
	return out
}

var speeds = map[string]float64{"fast": 1.5, "mid1": 1, "mid2": 1, "slow": 0.5}

func weightsFor(demand float64) map[string]int {
	out := map[string]int{}
	for _, s := range placementWeights(fourServers(), speeds, demand) {
		out[s.Name] = s.Slots
	}
	return out
}

// At low load: guards against requests that take twice as long on a slow server while a
// fast one has free slots, and against equal servers that get unequal loads.
func TestLowLoadGoesToFastServers(t *testing.T) {
	is := is.New(t)
	got := weightsFor(4)       // a quarter of 16 slots
	is.Equal(got["fast"], 270) // its target utilization: 0.45 x 6 slots
	is.Equal(got["slow"], 16)  // the minimum
	is.Equal(got["mid1"], 57)  // what is left, half for each
	is.Equal(got["mid2"], 57)
}

// In a burst: guards against a fast server that is overloaded while slow ones have
// capacity left.
func TestHighLoadIsSharedByCapacity(t *testing.T) {
	is := is.New(t)
	got := weightsFor(12) // three quarters
	is.Equal(got, map[string]int{"fast": 450, "mid1": 300, "mid2": 300, "slow": 150})
	got = weightsFor(100)
	is.Equal(got["fast"], 3*got["slow"])
}

// Guards against weights of zero, also for servers without a measured speed.
func TestUnknownSpeedsAndNoLoad(t *testing.T) {
	is := is.New(t)
	for _, demand := range []float64{0, 4} {
		for _, s := range placementWeights(fourServers(), map[string]float64{}, demand) {
			is.True(s.Slots >= 1)
		}
	}
}
