package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"testing"
)

// shape is one deployment of section 1.5 of the design page.
type shape struct {
	name                  string
	servers, slots, zones int
}

var shapes = []shape{{"lathe", 20, 4, 3}, {"stock", 30, 2, 4}}

// world is a keyed service whose slices are settled in simulated rounds.
type world struct {
	random     *rand.Rand
	hashes     []uint64 // of the keys, sorted
	loads      []float64
	rank       []int // keys by falling load
	starts     []uint64
	slices     []Slice
	all, alive []Server
	own        map[uint64]bool
	total      float64
	moved      float64
	moves      int
}

const (
	keyCount = 200_000
	hottest  = 160
)

func newWorld(s shape, zipf bool, seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 5)), own: map[uint64]bool{}, loads: make([]float64, keyCount)}
	for i := range s.servers {
		w.all = append(w.all, Server{fmt.Sprintf("s%02d", i), strconv.Itoa(i % s.zones), s.slots})
	}
	for range keyCount {
		w.hashes = append(w.hashes, w.random.Uint64())
	}
	slices.Sort(w.hashes)
	w.rank = w.random.Perm(keyCount)
	for rank, i := range w.rank {
		w.loads[i] = 1
		if zipf {
			w.loads[i] = keyCount / 10 / float64(rank+1)
		}
		w.total += w.loads[i]
	}
	for i := range uint64(1024) {
		w.starts = append(w.starts, i<<54)
	}
	w.alive, w.slices = w.all, make([]Slice, 1024)
	w.split(w.loads)
	w.settle(w.loads, 200)
	return w
}

// owners returns the owner of each key and sets the load of each slice.
func (w *world) owners(loads []float64) []string {
	owners, s := make([]string, 0, keyCount), 0
	for i := range w.slices {
		w.slices[i].Load = 0
	}
	for i, h := range w.hashes {
		for s+1 < len(w.starts) && w.starts[s+1] <= h {
			s++
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
		if loads[i] > w.total/10_000 {
			keys = append(keys, KeyLoad{h, loads[i], w.own[h]})
		}
	}
	for _, h := range HotKeys(keys, w.total, len(w.alive), HotOptions{}) {
		w.own[h] = true
		for _, at := range []uint64{h, h + 1} {
			if i, found := slices.BinarySearch(w.starts, at); !found {
				w.starts, w.slices = slices.Insert(w.starts, i, at), slices.Insert(w.slices, i, w.slices[i-1])
			}
		}
	}
	w.owners(loads)
}

// take replaces the slices and counts the load that changed its owner.
func (w *world) take(next []Slice) {
	for i := range next {
		if next[i].Owner != w.slices[i].Owner && w.slices[i].Owner != "" {
			w.moved, w.moves = w.moved+next[i].Load, w.moves+1
		}
	}
	w.slices = next
}

// settle assigns and rebalances by the measured loads until nothing moves.
func (w *world) settle(loads []float64, rounds int) {
	opts := Options{Floor: 0.8}
	for moving := true; moving && rounds > 0; rounds-- {
		w.take(Assign(w.alive, w.slices))
		w.owners(loads)
		next := slices.Clone(w.slices)
		moves := Rebalance(w.alive, w.slices, opts)
		opts.Continue = len(moves) == DefaultMaxMoves
		for _, m := range moves {
			next[m.Index].Owner = m.To
		}
		w.take(next)
		moving = len(moves) > 0
	}
	w.take(Assign(w.alive, w.slices))
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

// hashed returns the owners by a baseline: the hash modulo the number of servers,
// or a ring with 100 points per server and no bound on load.
func (w *world) hashed(how string, alive []Server) (owners []string) {
	ring, names := []uint64{}, map[uint64]string{}
	for _, s := range alive {
		n, _ := strconv.ParseUint(s.Name[1:], 10, 64)
		for random, k := rand.New(rand.NewPCG(n, 9)), 0; k < 100; k++ {
			ring = append(ring, random.Uint64())
			names[ring[len(ring)-1]] = s.Name
		}
	}
	slices.Sort(ring)
	for _, h := range w.hashes {
		at := sort.Search(len(ring), func(i int) bool { return ring[i] >= h }) % len(ring)
		owners = append(owners, map[string]string{"rehash": alive[h%uint64(len(alive))].Name, "ring": names[ring[at]]}[how])
	}
	return owners
}

// loss takes servers out and brings them back. must is the load of the lost
// servers; forced adds what the least loaded server has to give up to take a
// single heavy key and stay within the target.
func (w *world) loss(how string, lost func(i int) bool) map[string]float64 {
	place := func() []string {
		if how != "ours" {
			return w.hashed(how, w.alive)
		}
		w.settle(w.loads, 200)
		return w.owners(w.loads)
	}
	before, must, forced, left := place(), 0.0, 0.0, []Server{}
	for i, s := range w.all {
		if !lost(i) {
			left = append(left, s)
		}
	}
	mean, least := w.total/float64(len(left)), slices.Min(newPlan(left, w.slices).own)
	isLost := func(o string) bool { return !slices.ContainsFunc(left, func(s Server) bool { return s.Name == o }) }
	for i, o := range before {
		if l := w.loads[i]; isLost(o) {
			must += l
			forced += min(least, max(min(l, mean)+least-DefaultTarget*mean, 0))
		}
	}
	out := map[string]float64{"before": w.imbalance(before)}
	w.alive, w.moved = left, 0
	if how == "ours" {
		w.take(Assign(left, w.slices))
		out["at-loss"] = w.imbalance(w.owners(w.loads))
	}
	after := place()
	out["after-loss"] = w.imbalance(after)
	for i := range before {
		if how != "ours" && before[i] != after[i] {
			w.moved += w.loads[i]
		}
	}
	out["moved/lost"], out["moved/forced"] = w.moved/must, w.moved/(must+forced)
	if w.alive = w.all; how == "ours" {
		w.moved = 0
	}
	out["after-return"] = w.imbalance(place())
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

// measure runs do with three seeds and reports the mean and half the range of each metric.
func measure(b *testing.B, do func(seed uint64) map[string]float64) {
	var runs [3]map[string]float64
	for b.Loop() {
		for i := range runs {
			runs[i] = do(uint64(i + 1))
		}
	}
	b.ReportMetric(0, "ns/op")
	for name, x := range runs[0] {
		y, z := runs[1][name], runs[2][name]
		b.ReportMetric((x+y+z)/3, name)
		b.ReportMetric((max(x, y, z)-min(x, y, z))/2, name+"±")
	}
}

// Loss and return of one server, a fifth of the servers and a data centre.
func BenchmarkLoss(b *testing.B) {
	for _, s := range shapes {
		lost := map[string]func(i int) bool{"server": func(i int) bool { return i == 3 },
			"fifth": func(i int) bool { return i%5 == 3 }, "zone": func(i int) bool { return i%s.zones == 1 }}
		for _, keys := range []string{"uniform", "zipf"} {
			b.Run(fmt.Sprintf("%s/%s/cycles/ours", s.name, keys), func(b *testing.B) {
				measure(b, func(seed uint64) map[string]float64 { return newWorld(s, keys == "zipf", seed).cycles(s.zones) })
			})
			for _, what := range []string{"server", "fifth", "zone"} {
				for _, how := range []string{"rehash", "ring", "ours"} {
					b.Run(fmt.Sprintf("%s/%s/%s/%s", s.name, keys, what, how), func(b *testing.B) {
						measure(b, func(seed uint64) map[string]float64 { return newWorld(s, keys == "zipf", seed).loss(how, lost[what]) })
					})
				}
			}
		}
	}
}

// The 160 hottest keys change at once. Every second the load of that second, a
// sample of 20,000 requests averaged with the last, leads to splits and moves.
func BenchmarkHotKeys(b *testing.B) {
	for _, s := range shapes {
		for _, how := range []string{"static", "moves", "ours"} {
			b.Run(s.name+"/"+how, func(b *testing.B) {
				measure(b, func(seed uint64) map[string]float64 { return newWorld(s, true, seed).changeHot(how) })
			})
		}
	}
}

func (w *world) changeHot(how string) map[string]float64 {
	seen := slices.Clone(w.loads)
	for k := range hottest {
		i, j := w.rank[k], w.rank[keyCount/2+k]
		w.loads[i], w.loads[j] = w.loads[j], w.loads[i]
	}
	sum, sums := 0.0, make([]float64, keyCount)
	for i, l := range w.loads {
		sum += l
		sums[i] = sum
	}
	w.moved, w.moves = 0, 0
	out := map[string]float64{"at-change": w.imbalance(w.owners(w.loads)), "seconds": 20}
	for second := 1; second <= 20; second++ {
		for i := range seen {
			seen[i] /= 2
		}
		for range 20_000 {
			seen[sort.SearchFloat64s(sums, w.random.Float64()*sum)] += sum / 20_000 / 2
		}
		if how == "ours" {
			w.split(seen)
		}
		if w.owners(seen); how != "static" {
			w.settle(seen, 1)
		}
		if in := w.imbalance(w.owners(w.loads)) <= DefaultTarget; in && out["seconds"] == 20 && out["moves"] == 0 {
			out["seconds"], out["moves"], out["moved/total"] = float64(second), float64(w.moves), w.moved/w.total
		}
	}
	out["after-20s"], out["moves-20s"], out["moved/total-20s"] = w.imbalance(w.owners(w.loads)), float64(w.moves), w.moved/w.total
	return out
}

// Cost of the first assignment, and of one after the loss of a server.
func BenchmarkAssign(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		servers := make([]Server, n)
		for i := range servers {
			servers[i] = Server{strconv.Itoa(i), strconv.Itoa(i % 9), 2}
		}
		first := Assign(servers, make([]Slice, n*32))
		b.Run(fmt.Sprintf("servers=%d/first", n), func(b *testing.B) {
			for b.Loop() {
				Assign(servers, make([]Slice, n*32))
			}
		})
		b.Run(fmt.Sprintf("servers=%d/loss", n), func(b *testing.B) {
			for b.Loop() {
				Assign(servers[1:], first)
			}
		})
	}
}
