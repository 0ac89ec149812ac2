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

// world is a keyed service that is settled in simulated rounds.
type world struct {
	random              *rand.Rand
	hashes, starts      []uint64
	loads               []float64
	rank                []int // keys by falling load
	slices              []Slice
	all, alive          []Server
	total, moved, moves float64
}

// benchKeys is the number of keys in benchmarks; tests use fewer to stay short.
const benchKeys = 200_000

// newWorld returns a deployment of section 1.5 of the design page: lathe-desk has
// 3 data centres, stock-svc 4.
func newWorld(zones int, zipf bool, seed uint64, keys int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 5)), hashes: make([]uint64, keys), loads: make([]float64, keys)}
	for i := range map[int]int{3: 20, 4: 30}[zones] {
		w.all = append(w.all, Server{fmt.Sprintf("s%02d", i), strconv.Itoa(i % zones), 2})
	}
	w.rank = w.random.Perm(keys)
	for rank, i := range w.rank {
		if w.hashes[i], w.loads[i] = w.random.Uint64(), 1; zipf {
			w.loads[i] = float64(keys) / 10 / float64(rank+1)
		}
		w.total += w.loads[i]
	}
	slices.Sort(w.hashes)
	for i := range uint64(1024) {
		w.starts = append(w.starts, i<<54)
	}
	w.alive, w.slices = w.all, make([]Slice, 1024)
	w.split(w.loads)
	w.settle(w.loads, 200)
	return w
}

// owners sets the load of each slice and returns the owner of each key.
func (w *world) owners(loads []float64) []string {
	owners, s := make([]string, 0, len(w.hashes)), -1
	for i, h := range w.hashes {
		for s+1 < len(w.starts) && w.starts[s+1] <= h {
			s++
			w.slices[s].Load = 0
		}
		w.slices[s].Load += loads[i]
		owners = append(owners, w.slices[s].Owner)
	}
	return owners
}

// split makes slices of the hot keys.
func (w *world) split(loads []float64) {
	var keys []KeyLoad
	for i, h := range w.hashes {
		_, own := slices.BinarySearch(w.starts, h)
		keys = append(keys, KeyLoad{h, loads[i], own})
	}
	for _, h := range HotKeys(keys, w.total, len(w.alive), HotOptions{}) {
		for _, at := range []uint64{h, h + 1} {
			if i, found := slices.BinarySearch(w.starts, at); !found {
				w.starts, w.slices = slices.Insert(w.starts, i, at), slices.Insert(w.slices, i, w.slices[i-1])
			}
		}
	}
	w.owners(loads)
}

// assign applies Assign and the given moves, and counts the load that changes its owner.
func (w *world) assign(moves ...Move) {
	next := Assign(w.alive, w.slices)
	for _, m := range moves {
		next[m.Index].Owner = m.To
	}
	for i := range next {
		if next[i].Owner != w.slices[i].Owner && w.slices[i].Owner != "" {
			w.moved, w.moves = w.moved+next[i].Load, w.moves+1
		}
	}
	w.slices = next
}

func (w *world) settle(loads []float64, rounds int) {
	for opts, moves := (Options{Floor: 0.8}), make([]Move, 1); len(moves) > 0 && rounds > 0; rounds-- {
		w.assign()
		w.owners(loads)
		moves = Rebalance(w.alive, w.slices, opts)
		opts.Continue = len(moves) == DefaultMaxMoves
		w.assign(moves...)
	}
	w.assign()
}

// imbalance is max/mean; what the hottest key of a server has above the mean does not count.
func (w *world) imbalance(owners []string) (worst float64) {
	load, top, mean := map[string]float64{}, map[string]float64{}, w.total/float64(len(w.alive))
	for i, o := range owners {
		load[o], top[o] = load[o]+w.loads[i], max(top[o], w.loads[i])
	}
	for o, l := range load {
		worst = max(worst, (l-max(top[o]-mean, 0))/mean)
	}
	return worst
}

// place returns the owners among the servers that are alive: settled slices, the
// hash modulo the number of servers, or a ring of 100 points per server.
func (w *world) place(how string) (owners []string) {
	if how == "ours" {
		w.settle(w.loads, 200)
		return w.owners(w.loads)
	}
	ring, names := []uint64{}, map[uint64]string{}
	for _, s := range w.alive {
		random := rand.New(rand.NewPCG(uint64(s.Name[1])*10+uint64(s.Name[2]), 9))
		for range 100 {
			ring = append(ring, random.Uint64())
			names[ring[len(ring)-1]] = s.Name
		}
	}
	slices.Sort(ring)
	for _, h := range w.hashes {
		at, _ := slices.BinarySearch(ring, h)
		owner := names[ring[at%len(ring)]]
		if how == "rehash" {
			owner = w.alive[h%uint64(len(w.alive))].Name
		}
		owners = append(owners, owner)
	}
	return owners
}

// loss takes servers out and brings them back. moved/forced counts, beside the
// lost load, what the least loaded server has to give up to take a single heavy
// key and stay within the target.
func (w *world) loss(how string, lost func(i int) bool) map[string]float64 {
	before, must, forced, left := w.place(how), 0.0, 0.0, []Server{}
	for i, s := range w.all {
		if !lost(i) {
			left = append(left, s)
		}
	}
	mean, least := w.total/float64(len(left)), slices.Min(newPlan(left, w.slices).own)
	for i, o := range before {
		if l := w.loads[i]; !slices.ContainsFunc(left, func(s Server) bool { return s.Name == o }) {
			must += l
			forced += min(least, max(min(l, mean)+least-DefaultTarget*mean, 0))
		}
	}
	out := map[string]float64{"before": w.imbalance(before)}
	w.alive, w.moved = left, 0
	w.assign()
	out["at-loss"] = w.imbalance(w.owners(w.loads))
	after := w.place(how)
	out["after-loss"] = w.imbalance(after)
	if how != "ours" {
		w.moved, out["at-loss"] = 0, out["after-loss"]
		for i := range before {
			if before[i] != after[i] {
				w.moved += w.loads[i]
			}
		}
	}
	out["moved/lost"], out["moved/forced"] = w.moved/must, w.moved/(must+forced)
	if w.alive = w.all; how == "ours" {
		w.moved = 0
	}
	out["after-return"] = w.imbalance(w.place(how))
	out["return-moved"] = w.moved / (w.total * float64(len(w.all)-len(left)) / float64(len(w.all)))
	return out
}

// cycles takes out each data centre in turn and then each of three servers, and
// returns the worst of each figure.
func (w *world) cycles(zones int) map[string]float64 {
	worst := map[string]float64{}
	for k := range zones + 3 {
		for name, v := range w.loss("ours", func(i int) bool { return i == k-zones || k < zones && i%zones == k }) {
			worst[name] = max(worst[name], v)
		}
	}
	return worst
}

// changeHot exchanges the 160 hottest keys for others at once. Every second the
// load of that second, a sample of 20,000 requests averaged with the last, leads
// to splits and moves.
func (w *world) changeHot(how string) map[string]float64 {
	seen, sums, sum := slices.Clone(w.loads), make([]float64, len(w.loads)), 0.0
	for k := range 160 {
		i, j := w.rank[k], w.rank[len(w.rank)/2+k]
		w.loads[i], w.loads[j] = w.loads[j], w.loads[i]
	}
	for i, l := range w.loads {
		sum += l
		sums[i] = sum
	}
	w.moved, w.moves = 0, 0
	out := map[string]float64{"at-change": w.imbalance(w.owners(w.loads)), "seconds": 20}
	for second := 1.0; second <= 20; second++ {
		for i := range seen {
			seen[i] /= 2
		}
		for range 20_000 {
			seen[sort.SearchFloat64s(sums, w.random.Float64()*sum)] += sum / 40_000
		}
		if how == "ours" {
			w.split(seen)
			w.settle(seen, 1)
		}
		if now := w.imbalance(w.owners(w.loads)); now <= DefaultTarget && out["seconds"] == 20 {
			out["seconds"], out["moves"], out["moved/total"] = second, w.moves, w.moved/w.total
		}
	}
	out["after-20s"], out["moves-20s"] = w.imbalance(w.owners(w.loads)), w.moves
	return out
}

// measure runs do with three seeds and reports the mean and half the range of each metric.
func measure(b *testing.B, name string, do func(seed uint64) map[string]float64) {
	b.Run(name, func(b *testing.B) {
		var x, y, z map[string]float64
		for b.Loop() {
			x, y, z = do(1), do(2), do(3)
		}
		b.ReportMetric(0, "ns/op")
		for k := range x {
			b.ReportMetric((x[k]+y[k]+z[k])/3, k)
			b.ReportMetric((max(x[k], y[k], z[k])-min(x[k], y[k], z[k]))/2, k+"±")
		}
	})
}

func BenchmarkPlacement(b *testing.B) {
	for _, zones := range []int{3, 4} {
		for _, how := range []string{"static", "ours"} {
			measure(b, fmt.Sprintf("zones=%d/hot/%s", zones, how), func(seed uint64) map[string]float64 { return newWorld(zones, true, seed, benchKeys).changeHot(how) })
		}
		for _, zipf := range []bool{false, true} {
			name := fmt.Sprintf("zones=%d/zipf=%v/", zones, zipf)
			measure(b, name+"cycles/ours", func(seed uint64) map[string]float64 { return newWorld(zones, zipf, seed, benchKeys).cycles(zones) })
			for what, lost := range map[string]func(i int) bool{"server": func(i int) bool { return i == 3 },
				"fifth": func(i int) bool { return i%5 == 3 }, "zone": func(i int) bool { return i%zones == 1 }} {
				for _, how := range []string{"rehash", "ring", "ours"} {
					measure(b, name+what+"/"+how, func(seed uint64) map[string]float64 { return newWorld(zones, zipf, seed, benchKeys).loss(how, lost) })
				}
			}
		}
	}
}

// Cost of the first assignment and of one after the loss of a server.
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

// draw returns servers of up to 3 data centres and slices with any owners, some
// of which are not available.
func draw(t *rapid.T) (servers []Server, _ []Slice) {
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

// Guards against broken rules of ownership: an available owner that loses a
// slice, an available standby that is passed over, a slice without an owner or
// standby, a standby in the owner's data centre, and a result that depends on the
// order of servers or changes when applied again.
func TestAssignAgainstRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, before := draw(t)
		zone, zones := map[string]string{}, map[string]bool{}
		for _, s := range servers {
			zone[s.Name], zones[s.DataCentre] = s.DataCentre, true
		}
		after := Assign(servers, before)
		for i, s := range after {
			want := before[i].Owner
			if zone[want] == "" {
				want = before[i].Standby
			}
			switch {
			case zone[want] != "" && s.Owner != want, len(servers) > 0 && zone[s.Owner] == "":
				t.Fatalf("slice %d: %+v became %+v", i, before[i], s)
			case len(servers) > 1 && (zone[s.Standby] == "" || s.Standby == s.Owner),
				len(zones) > 1 && zone[s.Standby] == zone[s.Owner], s.Load != before[i].Load:
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

// Guards against moves within the target, more moves than allowed, a slice that is
// moved twice, a rebalance that makes the worst server worse or never ends.
func TestRebalanceAgainstRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, before := draw(t)
		now, opts := Assign(servers, before), Options{MaxMoves: rapid.IntRange(1, 9).Draw(t, "moves")}
		worst := func() (most float64) {
			for i, r := 0, newRebalance(newPlan(servers, now)); i < len(servers); i++ {
				most = max(most, r.level(i))
			}
			return most
		}
		for round := 0; ; round++ {
			moves, was, moved := Rebalance(servers, now, opts), worst(), map[int]bool{}
			if len(moves) == 0 {
				return
			}
			for _, m := range moves {
				if moved[m.Index] || now[m.Index].Owner == m.To || !slices.ContainsFunc(servers, func(s Server) bool { return s.Name == m.To }) {
					t.Fatalf("move %+v of %+v", m, now[m.Index])
				}
				moved[m.Index], now[m.Index].Owner = true, m.To
			}
			if len(moves) > opts.MaxMoves || was <= DefaultTarget || worst() > was+1e-9 || round > 200 {
				t.Fatalf("round %d: %d moves at %v lead to %v", round, len(moves), was, worst())
			}
		}
	})
}

// Guards against losses and returns that leave the imbalance or the moved load
// above the target, also when standbys have changed many times. Under Zipf keys
// the worst moved load of the cycle is above the target of 1.1.
func TestTargets(t *testing.T) {
	for _, c := range []struct {
		zipf          bool
		atLoss, moved float64
	}{{false, 1.09, 1.01}, {true, 2, 1.25}} {
		got := newWorld(3, c.zipf, 1, 30_000).cycles(3)
		if got["at-loss"] > c.atLoss || got["after-loss"] > 1.15 || got["after-return"] > 1.15 ||
			got["moved/forced"] > c.moved || got["return-moved"] > 1.1 || got["return-moved"] < 0.7 {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Guards against heavy slices that stay together, against a mean that one heavy
// slice distorts (a is full by one slice, d has to get a fair share of the rest), and
// against a server that stays at the floor, at once or after an interruption.
func TestRebalanceCases(t *testing.T) {
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
		{slices.Concat(light("a", 32), light("b", 32), light("c", 32), light("d", 24)), Options{Floor: 0.8, Continue: true}, 27, 3},
	} {
		moves := Rebalance(servers, c.slices, c.opts)
		for _, m := range moves {
			c.slices[m.Index].Owner = m.To
		}
		if least := slices.Min(newPlan(servers, c.slices).own); least < c.least || len(moves) > c.moves {
			t.Errorf("%d moves leave a server with load %v: %v", len(moves), least, moves)
		}
	}
}

// Guards against a heavy slice whose standby owns a heavy one although another
// server with the same load does not.
func TestStandbyOfHeavySlice(t *testing.T) {
	servers := []Server{{"a", "1", 1}, {"b", "2", 1}, {"c", "2", 1}}
	got := Assign(servers, []Slice{{"a", "", 8}, {"b", "a", 8}, {"c", "a", 4}, {"c", "a", 4}})
	if got[0].Standby != "c" {
		t.Errorf("standby %q, want c", got[0].Standby)
	}
}

// Guards against uneven shares or missing standbys where servers are too many to
// compare them all.
func TestAssignManyServers(t *testing.T) {
	servers, own := []Server{{"z", "far", 1}}, map[string]int{}
	for i := range 299 {
		servers = append(servers, Server{fmt.Sprint(i), "near", 1})
	}
	for i, s := range Assign(servers, make([]Slice, 300*32)) {
		if own[s.Owner]++; (s.Owner == "z") == (s.Standby == "z") || own[s.Owner] > 35 {
			t.Fatalf("slice %d: %+v, %d slices of the owner", i, s, own[s.Owner])
		}
	}
}

// Guards against splits of keys that are not hot, exist already or exceed the bound.
func TestHotKeys(t *testing.T) {
	is := is.New(t)
	keys := []KeyLoad{{1, 4, false}, {2, 9, false}, {3, 9, true}, {4, 9, false}, {5, 6, false}}
	is.Equal(HotKeys(keys, 1000, 10, HotOptions{}), []uint64{2, 4, 5}) // from 5% of 100
	is.Equal(HotKeys(keys, 1000, 10, HotOptions{MaxOwn: 3}), []uint64{2, 4})
	is.Equal(len(HotKeys(keys, 1000, 10, HotOptions{MaxOwn: 1})), 0)
	is.Equal(len(HotKeys([]KeyLoad{{1, 0, false}}, 0, 0, HotOptions{})), 0)
}
