package placement

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
	// Goal is the imbalance at which a rebalance that has begun ends. It is below
	// Target, so that small changes of load start no new one. Zero means halfway
	// between 1 and Target.
	Goal float64
	// Floor is the load relative to the mean below which a server attracts slices
	// even within Target, so that a server that returned is used. Zero disables it.
	Floor float64
	// MaxMoves bounds the slices that one call moves. Zero means DefaultMaxMoves.
	MaxMoves int
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
	return o
}

// Rebalance returns few moves that bring the imbalance within the goal, or none
// while it is within the target. Slices without an available owner are left to
// Assign. A server whose load is one slice gives up nothing.
func Rebalance(servers []Server, slices []Slice, opts Options) []Move {
	if len(servers) < 2 || len(slices) == 0 {
		return nil
	}
	opts = opts.withDefaults()
	r := newRebalance(newPlan(servers, slices))
	if !r.needed(opts) {
		return nil
	}
	var moves []Move
	for len(moves) < opts.MaxMoves {
		move, ok := r.next(opts)
		if !ok {
			break
		}
		moves = append(moves, move)
	}
	return moves
}

// rebalance is a plan with the slices by owner.
type rebalance struct {
	*plan
	mean  float64
	held  [][]int // slices by owner
	moved map[int]bool
	full  []bool // servers that can give up no further slice
}

func newRebalance(p *plan) *rebalance {
	r := &rebalance{plan: p, held: make([][]int, len(p.servers)), moved: map[int]bool{}, full: make([]bool, len(p.servers))}
	total, weight := 0.0, 0.0
	for s := range p.servers {
		total, weight = total+p.own[s], weight+p.weight[s]
	}
	r.mean = total / weight
	for i, o := range p.owner {
		if o != none {
			r.held[o] = append(r.held[o], i)
		}
	}
	return r
}

// level is the load of server s relative to the mean.
func (r *rebalance) level(s int) float64 { return r.own[s] / r.weight[s] / r.mean }

func (r *rebalance) needed(opts Options) bool {
	for s := range r.servers {
		if l := r.level(s); (l > opts.Target && len(r.held[s]) > 1) || l < opts.Floor {
			return true
		}
	}
	return false
}

// next makes the best single move: from the most loaded server that can still
// give, to the least loaded one.
func (r *rebalance) next(opts Options) (Move, bool) {
	for {
		from, to := r.extremes()
		if from == none || (r.level(from) <= opts.Goal && r.level(to) >= opts.Floor) {
			return Move{}, false
		}
		if i := r.pick(from, to); i != none {
			r.shift(i, from, to)
			return Move{Index: i, To: r.servers[to].Name}, true
		}
		r.full[from] = true
	}
}

func (r *rebalance) extremes() (from, to int) {
	from, to = none, 0
	for s := range r.servers {
		if !r.full[s] && len(r.held[s]) > 1 && (from == none || r.level(s) > r.level(from)) {
			from = s
		}
		if r.level(s) < r.level(to) {
			to = s
		}
	}
	return from, to
}

// pick returns the heaviest slice of from that leaves to below the level that
// from had, and that does not push from far below the mean.
func (r *rebalance) pick(from, to int) int {
	best := none
	excess := (r.level(from) - 1) * r.mean * r.weight[from]
	room := (1 - r.level(to)) * r.mean * r.weight[to]
	for _, i := range r.held[from] {
		if r.moved[i] || r.load[i] > max(min(excess, room), 0) {
			continue
		}
		if best == none || r.load[i] > r.load[best] {
			best = i
		}
	}
	return best
}

func (r *rebalance) shift(i, from, to int) {
	r.setOwner(i, to)
	r.moved[i] = true
	for k, h := range r.held[from] {
		if h == i {
			r.held[from] = append(r.held[from][:k], r.held[from][k+1:]...)
			break
		}
	}
	r.held[to] = append(r.held[to], i)
}
