package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"testing"
)

// world is a keyed service in simulated time: keys with loads, and its slices.
type world struct {
	random  *rand.Rand
	hashes  []uint64 // of the keys, sorted
	loads   []float64
	total   float64
	starts  []uint64
	slices  []Slice
	alive   []Server
	all     []Server
	moved   float64
	moves   int
	ownKeys map[uint64]bool
}

const (
	keyCount  = 200_000
	hottest   = 160
	maxRounds = 200
)

// shape is one deployment of section 1.5 of the design page.
type shape struct {
	name                  string
	servers, slots, zones int
}

var shapes = []shape{{"lathe", 20, 4, 3}, {"stock", 30, 2, 4}}

// newWorld returns a service with keys of uniform or Zipf(1.0) load.
func newWorld(s shape, zipf bool, seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 5)), ownKeys: map[uint64]bool{}}
	for i := range s.servers {
		w.all = append(w.all, Server{Name: fmt.Sprintf("s%02d", i), DataCentre: strconv.Itoa(i % s.zones), Slots: s.slots})
	}
	w.alive = w.all
	for range keyCount {
		w.hashes = append(w.hashes, w.random.Uint64())
	}
	sort.Slice(w.hashes, func(i, j int) bool { return w.hashes[i] < w.hashes[j] })
	w.loads = make([]float64, keyCount)
	for rank, i := range w.random.Perm(keyCount) {
		w.loads[i] = 1
		if zipf {
			w.loads[i] = keyCount / 10 / float64(rank+1)
		}
		w.total += w.loads[i]
	}
	for i := range uint64(1024) {
		w.starts = append(w.starts, i<<54)
	}
	w.slices = make([]Slice, len(w.starts))
	w.weigh()
	return w
}

func (w *world) sliceOf(hash uint64) int {
	return sort.Search(len(w.starts), func(i int) bool { return w.starts[i] > hash }) - 1
}

// weigh sets the load of each slice.
func (w *world) weigh() {
	s := 0
	for i := range w.slices {
		w.slices[i].Load = 0
	}
	for i, h := range w.hashes {
		for s+1 < len(w.starts) && w.starts[s+1] <= h {
			s++
		}
		w.slices[s].Load += w.loads[i]
	}
}

// split makes slices of the hot keys.
func (w *world) split() {
	var keys []KeyLoad
	for i, h := range w.hashes {
		if w.loads[i] > w.total/10_000 {
			keys = append(keys, KeyLoad{h, w.loads[i], w.ownKeys[h]})
		}
	}
	for _, h := range HotKeys(keys, w.total, len(w.alive), HotOptions{}) {
		w.ownKeys[h] = true
		for _, at := range []uint64{h, h + 1} {
			if i := w.sliceOf(at); w.starts[i] != at {
				w.starts = append(w.starts[:i+1], append([]uint64{at}, w.starts[i+1:]...)...)
				w.slices = append(w.slices[:i+1], append([]Slice{w.slices[i]}, w.slices[i+1:]...)...)
			}
		}
	}
	w.weigh()
}

// take replaces the slices and counts the load that changed its owner.
func (w *world) take(next []Slice) {
	for i := range next {
		if w.slices[i].Owner != "" && next[i].Owner != w.slices[i].Owner {
			w.moved += next[i].Load
			w.moves++
		}
	}
	w.slices = next
}

// round assigns and rebalances once and reports whether anything moved.
func (w *world) round() bool {
	w.take(Assign(w.alive, w.slices))
	moves := Rebalance(w.alive, w.slices, Options{Floor: 0.8})
	next := append([]Slice(nil), w.slices...)
	for _, m := range moves {
		next[m.Index].Owner = m.To
	}
	w.take(next)
	return len(moves) > 0
}

func (w *world) settle() (rounds int) {
	for rounds = 1; w.round() && rounds < maxRounds; rounds++ {
	}
	w.take(Assign(w.alive, w.slices))
	return rounds
}

// imbalance is max/mean, where what the hottest key of a server has above the
// mean does not count.
func (w *world) imbalance(owner func(i int) string) float64 {
	load, top := map[string]float64{}, map[string]float64{}
	for i, l := range w.loads {
		o := owner(i)
		load[o] += l
		top[o] = max(top[o], l)
	}
	mean, worst := w.total/float64(len(w.alive)), 0.0
	for o, l := range load {
		worst = max(worst, (l-max(top[o]-mean, 0))/mean)
	}
	return worst
}

func (w *world) owners() func(i int) string {
	s := 0
	return func(i int) string {
		for s+1 < len(w.starts) && w.starts[s+1] <= w.hashes[i] {
			s++
		}
		return w.slices[s].Owner
	}
}

// rehash is the naive baseline: hash modulo the number of servers.
func rehash(alive []Server) func(hash uint64) string {
	return func(hash uint64) string { return alive[hash%uint64(len(alive))].Name }
}

// ring is consistent hashing with 100 points per server and no bound on load.
func ring(alive []Server) func(hash uint64) string {
	type point struct {
		at   uint64
		name string
	}
	var points []point
	for _, s := range alive {
		n, _ := strconv.ParseUint(s.Name[1:], 10, 64)
		random := rand.New(rand.NewPCG(n, 9))
		for range 100 {
			points = append(points, point{random.Uint64(), s.Name})
		}
	}
	sort.Slice(points, func(i, j int) bool { return points[i].at < points[j].at })
	return func(hash uint64) string {
		return points[sort.Search(len(points), func(i int) bool { return points[i].at >= hash })%len(points)].name
	}
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
	for name := range runs[0] {
		x, y, z := runs[0][name], runs[1][name], runs[2][name]
		b.ReportMetric((x+y+z)/3, name)
		b.ReportMetric((max(x, y, z)-min(x, y, z))/2, name+"±")
	}
}

// remaining returns the servers after a loss.
func remaining(all []Server, what string) (left []Server) {
	for i, s := range all {
		lost := map[string]bool{"server": i == 3, "fifth": i%5 == 3, "zone": s.DataCentre == "1"}[what]
		if !lost {
			left = append(left, s)
		}
	}
	return left
}

// Loss and return of one server, a fifth of the servers and a data centre. The
// load that has to move is that of the lost servers, and their fair share on return.
func BenchmarkLoss(b *testing.B) {
	for _, s := range shapes {
		for _, keys := range []string{"uniform", "zipf"} {
			for _, what := range []string{"server", "fifth", "zone"} {
				for _, how := range []string{"rehash", "ring", "ours"} {
					b.Run(fmt.Sprintf("%s/%s/%s/%s", s.name, keys, what, how), func(b *testing.B) {
						measure(b, func(seed uint64) map[string]float64 {
							w := newWorld(s, keys == "zipf", seed)
							if how != "ours" {
								return w.lossHashed(map[string]func([]Server) func(uint64) string{"rehash": rehash, "ring": ring}[how], what)
							}
							return w.loss(what)
						})
					})
				}
			}
		}
	}
}

func (w *world) loss(what string) map[string]float64 {
	w.split()
	w.settle()
	before := w.imbalance(w.owners())
	left := remaining(w.all, what)
	must := w.mustMove(left)
	w.alive, w.moved, w.moves = left, 0, 0
	w.take(Assign(w.alive, w.slices))
	at := w.imbalance(w.owners())
	w.settle()
	out := map[string]float64{"imbalance": before, "at-loss": at, "after-loss": w.imbalance(w.owners()), "loss-moved": w.moved / must}
	w.alive, w.moved = w.all, 0
	w.settle()
	out["after-return"] = w.imbalance(w.owners())
	out["return-moved"] = w.moved / (w.total * float64(len(w.all)-len(left)) / float64(len(w.all)))
	return out
}

// mustMove is the load of the lost slices, and what the least loaded server has
// to give up when it takes over a single heavy key: the rest of 1.15 x the mean.
func (w *world) mustMove(left []Server) float64 {
	p, must := newPlan(left, w.slices), 0.0
	least, mean := slices.Min(p.own), w.total/float64(len(left))
	for i, s := range w.slices {
		if p.owner[i] == none {
			must += s.Load
			if w.ownKeys[w.starts[i]] {
				must += min(least, max(min(s.Load, mean)+least-DefaultTarget*mean, 0))
			}
		}
	}
	return must
}

func contains(servers []Server, name string) bool {
	for _, s := range servers {
		if s.Name == name {
			return true
		}
	}
	return false
}

func (w *world) lossHashed(place func([]Server) func(uint64) string, what string) map[string]float64 {
	left := remaining(w.all, what)
	before, after := place(w.all), place(left)
	must, moved := 0.0, 0.0
	for i, h := range w.hashes {
		if !contains(left, before(h)) {
			must += w.loads[i]
		}
		if before(h) != after(h) {
			moved += w.loads[i]
		}
	}
	owner := func(i int) string { return before(w.hashes[i]) }
	out := map[string]float64{"imbalance": w.imbalance(owner), "after-return": w.imbalance(owner), "loss-moved": moved / must}
	out["return-moved"] = moved / (w.total * float64(len(w.all)-len(left)) / float64(len(w.all)))
	w.alive = left
	out["after-loss"] = w.imbalance(func(i int) string { return after(w.hashes[i]) })
	return out
}
