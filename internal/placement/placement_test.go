package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// simulation is a keyed service whose slices are split and rebalanced in rounds.
type simulation struct {
	random                          *rand.Rand
	hashes, starts                  []uint64
	loads                           []float64
	keysByLoad                      []int // indexes of the keys, heaviest first
	slices                          []Slice
	allServers, liveServers         []Server
	totalLoad, movedLoad, moveCount float64
}

// benchKeys is the number of keys in benchmarks; tests use fewer to stay short.
const benchKeys = 200_000

// newSim returns a simulation of a deployment of section 1.5 of the design page:
// lathe-desk has 3 data centres, stock-svc has 4.
func newSim(dataCentreCount int, zipf bool, seed uint64, keys int) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 5)), hashes: make([]uint64, keys), loads: make([]float64, keys)}
	for i := range map[int]int{3: 20, 4: 30}[dataCentreCount] {
		sim.allServers = append(sim.allServers, Server{fmt.Sprintf("s%02d", i), strconv.Itoa(i % dataCentreCount), 2})
	}
	sim.keysByLoad = sim.random.Perm(keys)
	for rank, i := range sim.keysByLoad {
		if sim.hashes[i], sim.loads[i] = sim.random.Uint64(), 1; zipf {
			sim.loads[i] = float64(keys) / 10 / float64(rank+1)
		}
		sim.totalLoad += sim.loads[i]
	}
	slices.Sort(sim.hashes)
	for i := range uint64(1024) {
		sim.starts = append(sim.starts, i<<54)
	}
	sim.liveServers, sim.slices = sim.allServers, make([]Slice, 1024)
	sim.splitHotKeys(sim.loads)
	sim.rebalanceUntilStable(sim.loads, 200)
	return sim
}

// keyOwners sets the load of each slice and returns the owner of each key.
func (sim *simulation) keyOwners(loads []float64) []string {
	owners, s := make([]string, 0, len(sim.hashes)), -1
	for i, h := range sim.hashes {
		for s+1 < len(sim.starts) && sim.starts[s+1] <= h {
			s++
			sim.slices[s].Load = 0
		}
		sim.slices[s].Load += loads[i]
		owners = append(owners, sim.slices[s].Owner)
	}
	return owners
}

// splitHotKeys gives each hot key its own slice.
func (sim *simulation) splitHotKeys(loads []float64) {
	var keys []KeyLoad
	for i, h := range sim.hashes {
		_, own := slices.BinarySearch(sim.starts, h)
		keys = append(keys, KeyLoad{h, loads[i], own})
	}
	for _, h := range HotKeys(keys, sim.totalLoad, len(sim.liveServers), HotKeyOptions{}) {
		for _, at := range []uint64{h, h + 1} {
			if i, found := slices.BinarySearch(sim.starts, at); !found {
				sim.starts, sim.slices = slices.Insert(sim.starts, i, at), slices.Insert(sim.slices, i, sim.slices[i-1])
			}
		}
	}
	sim.keyOwners(loads)
}

// applyAssignment applies Assign and then moves, and counts the load that changes
// its owner.
func (sim *simulation) applyAssignment(moves ...Move) {
	next := Assign(sim.liveServers, sim.slices)
	for _, m := range moves {
		next[m.Index].Owner = m.To
	}
	for i := range next {
		if next[i].Owner != sim.slices[i].Owner && sim.slices[i].Owner != "" {
			sim.movedLoad, sim.moveCount = sim.movedLoad+next[i].Load, sim.moveCount+1
		}
	}
	sim.slices = next
}

func (sim *simulation) rebalanceUntilStable(loads []float64, rounds int) {
	for opts, moves := (Options{Floor: 0.8}), make([]Move, 1); len(moves) > 0 && rounds > 0; rounds-- {
		sim.applyAssignment()
		sim.keyOwners(loads)
		moves = Rebalance(sim.liveServers, sim.slices, opts)
		opts.Resume = len(moves) == DefaultMaxMoves
		sim.applyAssignment(moves...)
	}
	sim.applyAssignment()
}

// imbalance returns max/mean of the load of servers, without the part of the load of
// a server's hottest key that exceeds the mean.
func (sim *simulation) imbalance(owners []string) (worst float64) {
	load, heaviestKey, mean := map[string]float64{}, map[string]float64{}, sim.totalLoad/float64(len(sim.liveServers))
	for i, o := range owners {
		load[o], heaviestKey[o] = load[o]+sim.loads[i], max(heaviestKey[o], sim.loads[i])
	}
	for o, l := range load {
		worst = max(worst, (l-max(heaviestKey[o]-mean, 0))/mean)
	}
	return worst
}

// placeKeys returns the owner of each key among the live servers: by rebalanced
// slices, by the hash modulo the number of servers ("rehash"), or by a consistent
// hashing ring with 100 points per server.
func (sim *simulation) placeKeys(method string) (owners []string) {
	if method == "ours" {
		sim.rebalanceUntilStable(sim.loads, 200)
		return sim.keyOwners(sim.loads)
	}
	ring, names := []uint64{}, map[uint64]string{}
	for _, s := range sim.liveServers {
		random := rand.New(rand.NewPCG(uint64(s.Name[1])*10+uint64(s.Name[2]), 9))
		for range 100 {
			ring = append(ring, random.Uint64())
			names[ring[len(ring)-1]] = s.Name
		}
	}
	slices.Sort(ring)
	for _, h := range sim.hashes {
		at, _ := slices.BinarySearch(ring, h)
		owner := names[ring[at%len(ring)]]
		if method == "rehash" {
			owner = sim.liveServers[h%uint64(len(sim.liveServers))].Name
		}
		owners = append(owners, owner)
	}
	return owners
}

// runLoss simulates the loss and the return of servers and returns imbalances and
// moved load. moved/forced relates the moved load to the lost load plus the load
// that the least loaded server has to give up to take a single heavy key and stay
// within the target.
func (sim *simulation) runLoss(method string, lost func(i int) bool) map[string]float64 {
	before, lostLoad, forcedLoad, remaining := sim.placeKeys(method), 0.0, 0.0, []Server{}
	for i, s := range sim.allServers {
		if !lost(i) {
			remaining = append(remaining, s)
		}
	}
	mean, leastLoad := sim.totalLoad/float64(len(remaining)), slices.Min(newPlan(remaining, sim.slices).ownedLoads)
	for i, o := range before {
		if l := sim.loads[i]; !slices.ContainsFunc(remaining, func(s Server) bool { return s.Name == o }) {
			lostLoad += l
			forcedLoad += min(leastLoad, max(min(l, mean)+leastLoad-DefaultTarget*mean, 0))
		}
	}
	out := map[string]float64{"before": sim.imbalance(before)}
	sim.liveServers, sim.movedLoad = remaining, 0
	sim.applyAssignment()
	out["at-loss"] = sim.imbalance(sim.keyOwners(sim.loads))
	after := sim.placeKeys(method)
	out["after-loss"] = sim.imbalance(after)
	if method != "ours" {
		sim.movedLoad, out["at-loss"] = 0, out["after-loss"]
		for i := range before {
			if before[i] != after[i] {
				sim.movedLoad += sim.loads[i]
			}
		}
	}
	out["moved/lost"], out["moved/forced"] = sim.movedLoad/lostLoad, sim.movedLoad/(lostLoad+forcedLoad)
	if sim.liveServers = sim.allServers; method == "ours" {
		sim.movedLoad = 0
	}
	out["after-return"] = sim.imbalance(sim.placeKeys(method))
	out["return-moved"] = sim.movedLoad / (sim.totalLoad * float64(len(sim.allServers)-len(remaining)) / float64(len(sim.allServers)))
	return out
}

// runEachLoss simulates the loss of each data centre in turn and then of each of three
// servers, and returns the highest value of each metric.
func (sim *simulation) runEachLoss(dataCentreCount int) map[string]float64 {
	worst := map[string]float64{}
	for k := range dataCentreCount + 3 {
		for name, v := range sim.runLoss("ours", func(i int) bool { return i == k-dataCentreCount || k < dataCentreCount && i%dataCentreCount == k }) {
			worst[name] = max(worst[name], v)
		}
	}
	return worst
}

// changeHotKeys swaps the loads of the 160 hottest keys with those of other keys at
// once. In each second, slices are split and moved by the measured load: a sample of
// 20,000 requests, averaged with the measurement of the second before.
func (sim *simulation) changeHotKeys(method string) map[string]float64 {
	measured, cumulative, sum := slices.Clone(sim.loads), make([]float64, len(sim.loads)), 0.0
	for k := range 160 {
		i, j := sim.keysByLoad[k], sim.keysByLoad[len(sim.keysByLoad)/2+k]
		sim.loads[i], sim.loads[j] = sim.loads[j], sim.loads[i]
	}
	for i, l := range sim.loads {
		sum += l
		cumulative[i] = sum
	}
	sim.movedLoad, sim.moveCount = 0, 0
	out := map[string]float64{"at-change": sim.imbalance(sim.keyOwners(sim.loads)), "seconds": 20}
	for second := 1.0; second <= 20; second++ {
		for i := range measured {
			measured[i] /= 2
		}
		for range 20_000 {
			measured[sort.SearchFloat64s(cumulative, sim.random.Float64()*sum)] += sum / 40_000
		}
		if method == "ours" {
			sim.splitHotKeys(measured)
			sim.rebalanceUntilStable(measured, 1)
		}
		if now := sim.imbalance(sim.keyOwners(sim.loads)); now <= DefaultTarget && out["seconds"] == 20 {
			out["seconds"], out["moves"], out["moved/total"] = second, sim.moveCount, sim.movedLoad/sim.totalLoad
		}
	}
	out["after-20s"], out["moves-20s"] = sim.imbalance(sim.keyOwners(sim.loads)), sim.moveCount
	return out
}

// reportOverSeeds calls run with three seeds and reports the mean and half the range
// of each metric.
func reportOverSeeds(b *testing.B, name string, run func(seed uint64) map[string]float64) {
	b.Run(name, func(b *testing.B) {
		var x, y, z map[string]float64
		for b.Loop() {
			x, y, z = run(1), run(2), run(3)
		}
		b.ReportMetric(0, "ns/op")
		for k := range x {
			b.ReportMetric((x[k]+y[k]+z[k])/3, k)
			b.ReportMetric((max(x[k], y[k], z[k])-min(x[k], y[k], z[k]))/2, k+"±")
		}
	})
}

func BenchmarkPlacement(b *testing.B) {
	for _, dcs := range []int{3, 4} {
		for _, method := range []string{"static", "ours"} {
			reportOverSeeds(b, fmt.Sprintf("zones=%d/hot/%s", dcs, method), func(seed uint64) map[string]float64 { return newSim(dcs, true, seed, benchKeys).changeHotKeys(method) })
		}
		for _, zipf := range []bool{false, true} {
			name := fmt.Sprintf("zones=%d/zipf=%v/", dcs, zipf)
			reportOverSeeds(b, name+"cycles/ours", func(seed uint64) map[string]float64 { return newSim(dcs, zipf, seed, benchKeys).runEachLoss(dcs) })
			for lossName, lost := range map[string]func(i int) bool{"server": func(i int) bool { return i == 3 },
				"fifth": func(i int) bool { return i%5 == 3 }, "zone": func(i int) bool { return i%dcs == 1 }} {
				for _, method := range []string{"rehash", "ring", "ours"} {
					reportOverSeeds(b, name+lossName+"/"+method, func(seed uint64) map[string]float64 { return newSim(dcs, zipf, seed, benchKeys).runLoss(method, lost) })
				}
			}
		}
	}
}

// BenchmarkAssign measures the first assignment and one after the loss of a server.
func BenchmarkAssign(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		servers := make([]Server, n)
		for i := range servers {
			servers[i] = Server{strconv.Itoa(i), strconv.Itoa(i % 9), 2}
		}
		first := Assign(servers, make([]Slice, n*32))
		for k, slices := range [][]Slice{make([]Slice, n*32), first} {
			b.Run(fmt.Sprintf("servers=%d/lost=%d", n, k), func(b *testing.B) {
				for b.Loop() {
					Assign(servers[k:], slices)
				}
			})
		}
	}
}

// drawServersAndSlices returns servers of up to 3 data centres, and slices with
// owners and standbys that may not be available.
func drawServersAndSlices(t *rapid.T) (servers []Server, _ []Slice) {
	for i := range 6 {
		if rapid.Bool().Draw(t, "up") {
			servers = append(servers, Server{fmt.Sprint("s", i), fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone")), rapid.IntRange(0, 4).Draw(t, "slots")})
		}
	}
	name := rapid.SampledFrom([]string{"", "s0", "s1", "s2", "s3", "s4", "s5"})
	return servers, rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Slice {
		return Slice{name.Draw(t, "owner"), name.Draw(t, "standby"), rapid.Float64Range(0, 10).Draw(t, "load")}
	}), 0, 40).Draw(t, "slices")
}

// Guards against violated invariants of Assign: an available owner that loses a
// slice, an available standby that does not take over, a slice without an owner or
// standby, a standby in the owner's data centre, and a result that depends on the
// order of servers or changes when Assign is applied again.
func TestAssignInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, before := drawServersAndSlices(t)
		dataCentreOf, dataCentres := map[string]string{}, map[string]bool{}
		for _, s := range servers {
			dataCentreOf[s.Name], dataCentres[s.DataCentre] = s.DataCentre, true
		}
		after := Assign(servers, before)
		for i, s := range after {
			want := before[i].Owner
			if dataCentreOf[want] == "" {
				want = before[i].Standby
			}
			switch {
			case dataCentreOf[want] != "" && s.Owner != want, len(servers) > 0 && dataCentreOf[s.Owner] == "":
				t.Fatalf("slice %d: %+v became %+v", i, before[i], s)
			case len(servers) > 1 && (dataCentreOf[s.Standby] == "" || s.Standby == s.Owner),
				len(dataCentres) > 1 && dataCentreOf[s.Standby] == dataCentreOf[s.Owner], s.Load != before[i].Load:
				t.Fatalf("slice %d: standby of %+v", i, s)
			}
		}
		slices.Reverse(servers)
		if again := Assign(servers, before); !reflect.DeepEqual(again, after) {
			t.Fatalf("other order of servers: %v, %v", after, again)
		}
		if again := Assign(servers, after); !slices.EqualFunc(again, after, func(a, b Slice) bool { return a.Owner == b.Owner }) {
			t.Fatalf("applied again: %v, %v", after, again)
		}
	})
}

// Guards against moves within the target, more moves than allowed, a slice that
// moves twice, and a rebalance that raises the peak load or never ends.
func TestRebalanceInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, before := drawServersAndSlices(t)
		now, opts := Assign(servers, before), Options{MaxMoves: rapid.IntRange(1, 9).Draw(t, "moves")}
		peakLoad := func() (highest float64) {
			for i, r := 0, newRebalancer(newPlan(servers, now)); i < len(servers); i++ {
				highest = max(highest, r.relativeLoad(i))
			}
			return highest
		}
		for round := 0; ; round++ {
			moves, oldPeakLoad, moved := Rebalance(servers, now, opts), peakLoad(), map[int]bool{}
			if len(moves) == 0 {
				return
			}
			for _, m := range moves {
				if moved[m.Index] || now[m.Index].Owner == m.To || !slices.ContainsFunc(servers, func(s Server) bool { return s.Name == m.To }) {
					t.Fatalf("move %+v of %+v", m, now[m.Index])
				}
				moved[m.Index], now[m.Index].Owner = true, m.To
			}
			if len(moves) > opts.MaxMoves || oldPeakLoad <= DefaultTarget || peakLoad() > oldPeakLoad+1e-9 || round > 200 {
				t.Fatalf("round %d: %d moves at %v lead to %v", round, len(moves), oldPeakLoad, peakLoad())
			}
		}
	})
}

// Guards against an imbalance or a moved load above the target after the loss and
// return of servers, also when standbys have changed many times. With Zipf keys the
// highest moved load is above the target of 1.1.
func TestImbalanceAndMovedLoadTargets(t *testing.T) {
	for _, c := range []struct {
		zipf          bool
		atLoss, moved float64
	}{{false, 1.09, 1.01}, {true, 2, 1.25}} {
		got := newSim(3, c.zipf, 1, 30_000).runEachLoss(3)
		if got["at-loss"] > c.atLoss || got["after-loss"] > 1.15 || got["after-return"] > 1.15 ||
			got["moved/forced"] > c.moved || got["return-moved"] > 1.1 || got["return-moved"] < 0.7 {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Guards against heavy slices that stay on one server, against a mean that one heavy
// slice distorts (one slice fills a, and d must get a fair share of the rest), and
// against a server that stays at the floor, in one call or when a rebalance resumes.
func TestRebalanceEdgeCases(t *testing.T) {
	light := func(owner string, n int) []Slice { return slices.Repeat([]Slice{{Owner: owner, Load: 1}}, n) }
	servers := []Server{{"a", "1", 1}, {"b", "2", 1}, {"c", "3", 1}, {"d", "4", 1}}
	for _, c := range []struct {
		slices []Slice
		opts   Options
		least  float64 // load of every server afterwards
		moves  int
	}{
		{slices.Concat([]Slice{{"a", "", 10}, {"a", "", 10}}, light("b", 6), light("c", 6), light("d", 6)), Options{Floor: 0.8}, 9, 7},
		{slices.Concat([]Slice{{"a", "", 100}}, light("b", 10), light("c", 10)), Options{Floor: 0.8}, 6, 6},
		{slices.Concat(light("a", 40), light("b", 40), light("c", 40)), Options{Floor: 0.8}, 27, 27},
		{slices.Concat(light("a", 32), light("b", 32), light("c", 32), light("d", 24)), Options{Floor: 0.8}, 24, 0},
		{slices.Concat(light("a", 32), light("b", 32), light("c", 32), light("d", 24)), Options{Floor: 0.8, Resume: true}, 27, 3},
	} {
		moves := Rebalance(servers, c.slices, c.opts)
		for _, m := range moves {
			c.slices[m.Index].Owner = m.To
		}
		if minLoad := slices.Min(newPlan(servers, c.slices).ownedLoads); minLoad < c.least || len(moves) > c.moves {
			t.Errorf("%d moves leave a server with load %v: %v", len(moves), minLoad, moves)
		}
	}
}

// Guards against a heavy slice whose standby owns another heavy slice although a
// server with the same load owns none.
func TestStandbyOfHeavySlice(t *testing.T) {
	servers := []Server{{"a", "1", 1}, {"b", "2", 1}, {"c", "2", 1}}
	got := Assign(servers, []Slice{{"a", "", 8}, {"b", "a", 8}, {"c", "a", 4}, {"c", "a", 4}})
	if got[0].Standby != "c" {
		t.Errorf("standby %q, want c", got[0].Standby)
	}
}

// Guards against uneven load and missing standbys when there are more servers than
// are compared for each slice.
func TestAssignManyServers(t *testing.T) {
	servers, ownedSlices := []Server{{"z", "far", 1}}, map[string]int{}
	for i := range 299 {
		servers = append(servers, Server{fmt.Sprint(i), "near", 1})
	}
	for i, s := range Assign(servers, make([]Slice, 300*32)) {
		if ownedSlices[s.Owner]++; (s.Owner == "z") == (s.Standby == "z") || ownedSlices[s.Owner] > 35 {
			t.Fatalf("slice %d: %+v, %d slices of the owner", i, s, ownedSlices[s.Owner])
		}
	}
}

// Guards against splits of keys that are not hot, have their own slices already or
// exceed the bound.
func TestHotKeys(t *testing.T) {
	is := is.New(t)
	keys := []KeyLoad{{1, 4, false}, {2, 9, false}, {3, 9, true}, {4, 9, false}, {5, 6, false}}
	is.Equal(HotKeys(keys, 1000, 10, HotKeyOptions{}), []uint64{2, 4, 5}) // from 5% of 100
	is.Equal(HotKeys(keys, 1000, 10, HotKeyOptions{MaxKeySlices: 3}), []uint64{2, 4})
	is.Equal(len(HotKeys(keys, 1000, 10, HotKeyOptions{MaxKeySlices: 1})), 0)
	is.Equal(len(HotKeys([]KeyLoad{{1, 0, false}}, 0, 0, HotKeyOptions{})), 0)
}
