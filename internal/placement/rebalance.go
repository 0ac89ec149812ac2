package placement

import "slices"

// Move gives slice Index to server To.
type Move struct {
	Index int
	To    string
}

// Options bounds a rebalance.
type Options struct {
	// Target is the imbalance (max/mean of load per slot) up to which nothing moves.
	// Zero means DefaultTarget.
	Target float64
	// ReduceTo is the load relative to the mean down to which a server above Target
	// gives up slices, so that small changes of load start no new moves. Zero means
	// halfway between 1 and Target.
	ReduceTo float64
	// Floor is the load relative to the fair load below which a server gets slices
	// even within Target, so that a server that returned is used. Zero disables it.
	Floor float64
	// MaxMoves bounds the slices that one call moves. Zero means DefaultMaxMoves.
	MaxMoves int
	// Resume is set when the last call returned MaxMoves moves: this one continues
	// down to ReduceTo, although the imbalance may be within Target by now.
	Resume bool
	// UrgentImbalance is the imbalance above which a heavy slice moves to the least loaded
	// server at once, because making room there first takes many moves. Zero
	// disables it.
	UrgentImbalance float64

	refillTo      float64 // load relative to the fair load up to which an underloaded server is filled
	separateAbove float64 // imbalance above which heavy slices are moved to different servers
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
	if o.ReduceTo <= 1 || o.ReduceTo > o.Target {
		o.ReduceTo = 1 + (o.Target-1)/2
	}
	if o.MaxMoves <= 0 {
		o.MaxMoves = DefaultMaxMoves
	}
	o.refillTo, o.separateAbove = o.Floor, o.Target
	if o.Floor > 0 {
		o.refillTo = (1 + o.Floor) / 2
	}
	if o.Resume {
		o.Target, o.Floor = o.ReduceTo, o.refillTo
	}
	return o
}

// Rebalance returns a small number of moves that reduce the load of servers above
// opts.Target to opts.ReduceTo and fill servers below opts.Floor, or none when there
// are no such servers. Slices without an available owner are left to Assign. A
// server that owns a single slice gives up nothing.
func Rebalance(servers []Server, all []Slice, opts Options) []Move {
	if len(servers) < 2 || len(all) == 0 {
		return nil
	}
	opts = opts.withDefaults()
	r := newRebalancer(newPlan(servers, all))
	var moves []Move
	for len(moves) < opts.MaxMoves {
		more := r.nextMoves(opts, opts.MaxMoves-len(moves))
		if len(more) == 0 {
			break
		}
		moves = append(moves, more...)
	}
	return moves
}

// rebalancer is the working state of one call of Rebalance.
type rebalancer struct {
	*plan
	meanLoad      float64 // load per weight of all servers
	fairLoad      float64 // the same without slices that alone exceed it on their owner
	slicesByOwner [][]int // indexes of the slices of each server
	moved         map[int]bool
	exhausted     []bool // servers that have no further slice that can move
	aboveTarget   []bool // servers that were above the target
	belowFloor    []bool // servers that were below the floor
}

func newRebalancer(p *plan) *rebalancer {
	r := &rebalancer{plan: p, slicesByOwner: make([][]int, len(p.servers)), moved: map[int]bool{}, exhausted: make([]bool, len(p.servers))}
	r.aboveTarget, r.belowFloor = make([]bool, len(p.servers)), make([]bool, len(p.servers))
	for i, o := range p.owners {
		if o != noIndex {
			r.slicesByOwner[o] = append(r.slicesByOwner[o], i)
		}
	}
	r.computeMeans()
	return r
}

// computeMeans sets the mean load and the fair load: the mean over the remaining
// slices and servers when each slice above the fair load has a server to itself.
func (r *rebalancer) computeMeans() {
	total, weight := 0.0, 0.0
	heaviest := make([]float64, len(r.servers))
	for s := range r.servers {
		total, weight = total+r.ownedLoads[s], weight+r.weights[s]
		for _, i := range r.slicesByOwner[s] {
			heaviest[s] = max(heaviest[s], r.sliceLoads[i])
		}
	}
	r.meanLoad, r.fairLoad = total/weight, total/weight
	dedicated := make([]bool, len(r.servers))
	for changed := true; changed; {
		changed = false
		for s := range r.servers {
			if !dedicated[s] && heaviest[s] > r.fairLoad*r.weights[s] && weight > r.weights[s] {
				dedicated[s], changed = true, true
				total, weight = total-heaviest[s], weight-r.weights[s]
				r.fairLoad = total / weight
			}
		}
	}
}

// relativeLoad returns the load of server s relative to the mean.
func (r *rebalancer) relativeLoad(s int) float64 { return r.ownedLoads[s] / r.weights[s] / r.meanLoad }

// isUnderloaded reports whether server s is below the floor, or was and is not yet
// halfway from there to the fair load.
func (r *rebalancer) isUnderloaded(s int, opts Options) bool {
	ratio := r.ownedLoads[s] / r.weights[s] / r.fairLoad
	r.belowFloor[s] = r.belowFloor[s] || ratio < opts.Floor
	return r.belowFloor[s] && ratio < opts.refillTo
}

// nextMoves makes a move from the most loaded server that has to give up slices to
// the least loaded server. When no slice fits there, it makes up to maxMoves moves
// that separate heavy slices.
func (r *rebalancer) nextMoves(opts Options, maxMoves int) []Move {
	for {
		from, to := r.sourceAndDestination(opts)
		if from == noIndex || from == to {
			return nil
		}
		if opts.UrgentImbalance > 0 && r.relativeLoad(from) > opts.UrgentImbalance {
			if i := r.peakReducingSlice(from, to); i != noIndex {
				return []Move{r.applyMove(i, to)}
			}
		}
		if i := r.heaviestFittingSlice(from, to); i != noIndex {
			return []Move{r.applyMove(i, to)}
		}
		if r.relativeLoad(from) > opts.separateAbove {
			if moves := r.makeRoomAndMove(from, maxMoves, opts); moves != nil {
				return moves
			}
			if i := r.peakReducingSlice(from, to); i != noIndex {
				return []Move{r.applyMove(i, to)}
			}
		}
		r.exhausted[from] = true
	}
}

// sourceAndDestination returns the servers of the next move. A server that was
// above the target gives up slices until it is at opts.ReduceTo; any server gives
// them up while the destination is underloaded.
func (r *rebalancer) sourceAndDestination(opts Options) (from, to int) {
	from, to = noIndex, 0
	anyUnderloaded := false
	for s := range r.servers {
		r.aboveTarget[s] = r.aboveTarget[s] || r.relativeLoad(s) > opts.Target
		underloaded := r.isUnderloaded(s, opts)
		if underloaded == anyUnderloaded && r.relativeLoad(s) < r.relativeLoad(to) || underloaded && !anyUnderloaded {
			to, anyUnderloaded = s, underloaded
		}
	}
	for s := range r.servers {
		mayGiveUp := anyUnderloaded || (r.aboveTarget[s] && r.relativeLoad(s) > opts.ReduceTo)
		if mayGiveUp && !r.exhausted[s] && len(r.slicesByOwner[s]) > 1 && (from == noIndex || r.relativeLoad(s) > r.relativeLoad(from)) {
			from = s
		}
	}
	return from, to
}

// heaviestFittingSlice returns the heaviest slice of from whose move takes neither
// from below nor to above the fair load.
func (r *rebalancer) heaviestFittingSlice(from, to int) int {
	best := noIndex
	limit := min(r.ownedLoads[from]-r.fairLoad*r.weights[from], r.fairLoad*r.weights[to]-r.ownedLoads[to])
	for _, i := range r.slicesByOwner[from] {
		if !r.moved[i] && r.sliceLoads[i] <= limit && (best == noIndex || r.sliceLoads[i] > r.sliceLoads[best]) {
			best = i
		}
	}
	return best
}

// peakReducingSlice returns the slice of from whose move lowers the higher load of
// the two servers most. It separates heavy slices that fit nowhere; their new owner
// gives up its light slices afterwards.
func (r *rebalancer) peakReducingSlice(from, to int) int {
	best, lowestPeak := noIndex, r.ownedLoads[from]/r.weights[from]
	for _, i := range r.slicesByOwner[from] {
		peak := max((r.ownedLoads[from]-r.sliceLoads[i])/r.weights[from], (r.ownedLoads[to]+r.sliceLoads[i])/r.weights[to])
		if !r.moved[i] && peak < lowestPeak {
			best, lowestPeak = i, peak
		}
	}
	return best
}

// makeRoomAndMove moves slices away from the server whose slices are the lightest
// until a heavy slice of from fits there, and then moves that slice. It undoes its
// moves and returns nil when that takes more than maxMoves.
func (r *rebalancer) makeRoomAndMove(from, maxMoves int, opts Options) []Move {
	heavy, to := r.lightestSufficientSlice(from, opts), r.serverWithLightestSlices(from)
	if heavy == noIndex || to == noIndex {
		return nil
	}
	var moves []Move
	for r.ownedLoads[to]+r.sliceLoads[heavy] > opts.ReduceTo*r.meanLoad*r.weights[to] {
		i, dest := r.pickEviction(from, to, opts)
		if i == noIndex || len(moves)+1 >= maxMoves {
			for _, m := range moves {
				r.applyMove(m.Index, to)
				r.moved[m.Index] = false
			}
			return nil
		}
		moves = append(moves, r.applyMove(i, dest))
	}
	return append(moves, r.applyMove(heavy, to))
}

// lightestSufficientSlice returns the lightest slice of from whose move brings from
// within the target.
func (r *rebalancer) lightestSufficientSlice(from int, opts Options) int {
	best := noIndex
	for _, i := range r.slicesByOwner[from] {
		if r.moved[i] || r.ownedLoads[from]-r.sliceLoads[i] > opts.separateAbove*r.meanLoad*r.weights[from] {
			continue
		}
		if best == noIndex || r.sliceLoads[i] < r.sliceLoads[best] {
			best = i
		}
	}
	return best
}

// serverWithLightestSlices returns the server other than from whose heaviest slice
// is the lightest relative to the weight of the server.
func (r *rebalancer) serverWithLightestSlices(from int) int {
	best, lowest := noIndex, 0.0
	for s := range r.servers {
		heaviest := 0.0
		for _, i := range r.slicesByOwner[s] {
			heaviest = max(heaviest, r.sliceLoads[i])
		}
		if s != from && (best == noIndex || heaviest/r.weights[s] < lowest) {
			best, lowest = s, heaviest/r.weights[s]
		}
	}
	return best
}

// pickEviction returns the heaviest slice of server s that fits on the least loaded
// server other than s and from, and that server.
func (r *rebalancer) pickEviction(from, s int, opts Options) (slice, dest int) {
	slice, dest = noIndex, noIndex
	for d := range r.servers {
		if d != s && d != from && (dest == noIndex || r.relativeLoad(d) < r.relativeLoad(dest)) {
			dest = d
		}
	}
	if dest == noIndex {
		return noIndex, noIndex
	}
	room := opts.ReduceTo*r.meanLoad*r.weights[dest] - r.ownedLoads[dest]
	for _, i := range r.slicesByOwner[s] {
		if !r.moved[i] && r.sliceLoads[i] <= room && (slice == noIndex || r.sliceLoads[i] > r.sliceLoads[slice]) {
			slice = i
		}
	}
	return slice, dest
}

// applyMove gives slice i to server to.
func (r *rebalancer) applyMove(i, to int) Move {
	from := r.owners[i]
	r.setOwner(i, to)
	r.moved[i] = true
	at := slices.Index(r.slicesByOwner[from], i)
	r.slicesByOwner[from] = slices.Delete(r.slicesByOwner[from], at, at+1)
	r.slicesByOwner[to] = append(r.slicesByOwner[to], i)
	return Move{Index: i, To: r.servers[to].Name}
}
