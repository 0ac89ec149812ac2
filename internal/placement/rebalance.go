package placement

import "slices"

// Move gives slice Index to server To.
type Move struct {
	Index int
	To    string
}

// Options bounds a rebalance.
type Options struct {
	// Target is the imbalance (max/mean of load per slot) within which nothing moves.
	// Zero means DefaultTarget.
	Target float64
	// Goal is the load relative to the mean down to which a server above Target gives
	// slices up, so that small changes of load start no new moves. Zero means halfway
	// between 1 and Target.
	Goal float64
	// Floor is the load relative to a fair one below which a server attracts slices
	// even within Target, so that a server that returned is used. Zero disables it.
	Floor float64
	// MaxMoves bounds the slices that one call moves. Zero means DefaultMaxMoves.
	MaxMoves int
	// Continue says that the last call gave MaxMoves moves: this one goes on to the
	// goal, although the target may be met by now.
	Continue bool
	// Urgent is the imbalance above which a heavy slice goes to the least loaded server
	// without room being made there first, which takes many moves. Zero means never.
	Urgent float64

	fill float64 // load relative to a fair one up to which a starved server is filled
	part float64 // imbalance above which heavy slices are parted
}

// Defaults of Options.
const (
	DefaultTarget   = 1.15
	DefaultMaxMoves = 32
)

func (o Options) withDefaults() Options {
	if o.Target <= 1 {
		o.Target = DefaultTarget
	}
	if o.Goal <= 1 || o.Goal > o.Target {
		o.Goal = 1 + (o.Target-1)/2
	}
	if o.MaxMoves <= 0 {
		o.MaxMoves = DefaultMaxMoves
	}
	o.fill, o.part = o.Floor, o.Target
	if o.Floor > 0 {
		o.fill = (1 + o.Floor) / 2
	}
	if o.Continue {
		o.Target, o.Floor = o.Goal, o.fill
	}
	return o
}

// Rebalance returns few moves that bring the imbalance within the goal, or none
// while it is within the target. Slices without an available owner are left to
// Assign. A server whose load is one slice gives up nothing.
func Rebalance(servers []Server, all []Slice, opts Options) []Move {
	if len(servers) < 2 || len(all) == 0 {
		return nil
	}
	opts = opts.withDefaults()
	r := newRebalance(newPlan(servers, all))
	var moves []Move
	for len(moves) < opts.MaxMoves {
		more := r.next(opts, opts.MaxMoves-len(moves))
		if len(more) == 0 {
			break
		}
		moves = append(moves, more...)
	}
	return moves
}

// rebalance is a plan with the slices by owner.
type rebalance struct {
	*plan
	mean  float64 // load per weight of all servers
	fair  float64 // the same without slices that alone exceed it on their owner
	held  [][]int // slices by owner
	moved map[int]bool
	full  []bool // servers that can give up no further slice
	over  []bool // servers that were above the target
	under []bool // servers that were below the floor
}

func newRebalance(p *plan) *rebalance {
	r := &rebalance{plan: p, held: make([][]int, len(p.servers)), moved: map[int]bool{}, full: make([]bool, len(p.servers))}
	r.over, r.under = make([]bool, len(p.servers)), make([]bool, len(p.servers))
	for i, o := range p.owner {
		if o != none {
			r.held[o] = append(r.held[o], i)
		}
	}
	r.setMeans()
	return r
}

// setMeans computes the mean, and the fair load: what is left for a server when
// each slice that exceeds a fair load has its owner for itself.
func (r *rebalance) setMeans() {
	total, weight := 0.0, 0.0
	top := make([]float64, len(r.servers))
	for s := range r.servers {
		total, weight = total+r.own[s], weight+r.weight[s]
		for _, i := range r.held[s] {
			top[s] = max(top[s], r.load[i])
		}
	}
	r.mean, r.fair = total/weight, total/weight
	alone := make([]bool, len(r.servers))
	for changed := true; changed; {
		changed = false
		for s := range r.servers {
			if !alone[s] && top[s] > r.fair*r.weight[s] && weight > r.weight[s] {
				alone[s], changed = true, true
				total, weight = total-top[s], weight-r.weight[s]
				r.fair = total / weight
			}
		}
	}
}

// level is the load of server s relative to the mean.
func (r *rebalance) level(s int) float64 { return r.own[s] / r.weight[s] / r.mean }

// starved reports whether server s is below the floor, or was and is not yet
// halfway from there to a fair load.
func (r *rebalance) starved(s int, opts Options) bool {
	share := r.own[s] / r.weight[s] / r.fair
	r.under[s] = r.under[s] || share < opts.Floor
	return r.under[s] && share < opts.fill
}

// next makes a move from the most loaded server that has to give to the least
// loaded one. Where no slice fits, it makes up to most moves that part heavy slices.
func (r *rebalance) next(opts Options, most int) []Move {
	for {
		from, to := r.extremes(opts)
		if from == none || from == to {
			return nil
		}
		if opts.Urgent > 0 && r.level(from) > opts.Urgent {
			if i := r.pickPair(from, to); i != none {
				return []Move{r.shift(i, to)}
			}
		}
		if i := r.pick(from, to); i != none {
			return []Move{r.shift(i, to)}
		}
		if r.level(from) > opts.part {
			if moves := r.exchange(from, most, opts); moves != nil {
				return moves
			}
			if i := r.pickPair(from, to); i != none {
				return []Move{r.shift(i, to)}
			}
		}
		r.full[from] = true
	}
}

// extremes returns the server to take from and the one to give to. A server that
// was above the target gives until it is at the goal; any server gives while the
// other one is starved.
func (r *rebalance) extremes(opts Options) (from, to int) {
	from, to = none, 0
	starving := false
	for s := range r.servers {
		r.over[s] = r.over[s] || r.level(s) > opts.Target
		starved := r.starved(s, opts)
		if starved == starving && r.level(s) < r.level(to) || starved && !starving {
			to, starving = s, starved
		}
	}
	for s := range r.servers {
		gives := starving || (r.over[s] && r.level(s) > opts.Goal)
		if gives && !r.full[s] && len(r.held[s]) > 1 && (from == none || r.level(s) > r.level(from)) {
			from = s
		}
	}
	return from, to
}

// pick returns the heaviest slice that brings neither from below nor to above the
// fair load.
func (r *rebalance) pick(from, to int) int {
	best := none
	limit := min(r.own[from]-r.fair*r.weight[from], r.fair*r.weight[to]-r.own[to])
	for _, i := range r.held[from] {
		if !r.moved[i] && r.load[i] <= limit && (best == none || r.load[i] > r.load[best]) {
			best = i
		}
	}
	return best
}

// pickPair returns the slice whose move lowers the higher load of the two servers
// most. It parts heavy slices that fit nowhere, after which their new owner gives
// up its light ones.
func (r *rebalance) pickPair(from, to int) int {
	best, lowest := none, r.own[from]/r.weight[from]
	for _, i := range r.held[from] {
		higher := max((r.own[from]-r.load[i])/r.weight[from], (r.own[to]+r.load[i])/r.weight[to])
		if !r.moved[i] && higher < lowest {
			best, lowest = i, higher
		}
	}
	return best
}

// exchange moves light slices away from the server that has no heavy ones, until
// a heavy slice of from fits there, and then that one. It makes no move when that
// takes more than most.
func (r *rebalance) exchange(from, most int, opts Options) []Move {
	heavy, to := r.lightestEnough(from, opts), r.lightest(from)
	if heavy == none || to == none {
		return nil
	}
	var moves []Move
	for r.own[to]+r.load[heavy] > opts.Goal*r.mean*r.weight[to] {
		i, dest := r.evictable(from, to, opts)
		if i == none || len(moves)+1 >= most {
			for _, m := range moves {
				r.shift(m.Index, to)
				r.moved[m.Index] = false
			}
			return nil
		}
		moves = append(moves, r.shift(i, dest))
	}
	return append(moves, r.shift(heavy, to))
}

// lightestEnough returns the lightest slice whose loss brings from within the target.
func (r *rebalance) lightestEnough(from int, opts Options) int {
	best := none
	for _, i := range r.held[from] {
		if r.moved[i] || r.own[from]-r.load[i] > opts.part*r.mean*r.weight[from] {
			continue
		}
		if best == none || r.load[i] < r.load[best] {
			best = i
		}
	}
	return best
}

// lightest returns the server other than from whose heaviest slice is the lightest.
func (r *rebalance) lightest(from int) int {
	best, lowest := none, 0.0
	for s := range r.servers {
		heaviest := 0.0
		for _, i := range r.held[s] {
			heaviest = max(heaviest, r.load[i])
		}
		if s != from && (best == none || heaviest/r.weight[s] < lowest) {
			best, lowest = s, heaviest/r.weight[s]
		}
	}
	return best
}

// evictable returns the heaviest slice of server s that fits on the least loaded
// server other than s and from, and that server.
func (r *rebalance) evictable(from, s int, opts Options) (slice, dest int) {
	slice, dest = none, none
	for d := range r.servers {
		if d != s && d != from && (dest == none || r.level(d) < r.level(dest)) {
			dest = d
		}
	}
	if dest == none {
		return none, none
	}
	room := opts.Goal*r.mean*r.weight[dest] - r.own[dest]
	for _, i := range r.held[s] {
		if !r.moved[i] && r.load[i] <= room && (slice == none || r.load[i] > r.load[slice]) {
			slice = i
		}
	}
	return slice, dest
}

// shift gives slice i to server to.
func (r *rebalance) shift(i, to int) Move {
	from := r.owner[i]
	r.setOwner(i, to)
	r.moved[i] = true
	at := slices.Index(r.held[from], i)
	r.held[from] = slices.Delete(r.held[from], at, at+1)
	r.held[to] = append(r.held[to], i)
	return Move{Index: i, To: r.servers[to].Name}
}
