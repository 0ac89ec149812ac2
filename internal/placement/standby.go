package placement

import "sort"

// standbySlack is the load of a standby after the loss of a data centre, relative
// to the mean, from which slices that are well placed get another standby too.
const standbySlack = 1.05

// spread tracks where load goes when a server or a data centre is lost.
type spread struct {
	fromServer map[[2]int]float64 // owner, standby: load
	fromZone   [][]float64        // data centre of the owner, standby: load
	mean       float64            // load per weight
	heaviest   []float64          // load of the heaviest slice of each server
	zoneMean   []float64          // load per weight after the loss of each data centre
}

func (p *plan) newSpread() *spread {
	sp := &spread{fromServer: map[[2]int]float64{}, fromZone: make([][]float64, p.zones)}
	total, weight := 0.0, 0.0
	zoneWeight := make([]float64, p.zones)
	for s := range p.servers {
		total, weight = total+p.own[s], weight+p.weight[s]
		zoneWeight[p.zone[s]] += p.weight[s]
	}
	sp.mean = total / weight
	sp.heaviest = make([]float64, len(p.servers))
	for i, o := range p.owner {
		sp.heaviest[o] = max(sp.heaviest[o], p.load[i])
	}
	for z := range zoneWeight {
		sp.fromZone[z] = make([]float64, len(p.servers))
		sp.zoneMean = append(sp.zoneMean, total/max(weight-zoneWeight[z], 1))
	}
	return sp
}

func (p *plan) addStandby(sp *spread, i int, sign float64) {
	o, s := p.owner[i], p.standby[i]
	sp.fromServer[[2]int{o, s}] += sign * p.load[i]
	sp.fromZone[p.zone[o]][s] += sign * p.load[i]
}

// mayStandBy reports whether server s may be the standby of slices of server o.
func (p *plan) mayStandBy(o, s int) bool {
	return s != none && s != o && (p.zones == 1 || p.zone[s] != p.zone[o])
}

// repairStandbys replaces standbys that are missing or badly placed, heaviest
// slices first, such that a loss spreads evenly. Then it replaces those on
// servers that the loss of a data centre would overload.
func (p *plan) repairStandbys() {
	sp := p.newSpread()
	var broken []int
	for i := range p.owner {
		if p.mayStandBy(p.owner[i], p.standby[i]) {
			p.addStandby(sp, i, 1)
		} else {
			broken = append(broken, i)
		}
	}
	sort.SliceStable(broken, func(a, b int) bool { return p.load[broken[a]] > p.load[broken[b]] })
	for _, i := range broken {
		if p.standby[i] = p.chooseStandby(sp, i); p.standby[i] != none {
			p.addStandby(sp, i, 1)
		}
	}
	for i := range p.owner {
		if p.standby[i] != none && p.overloads(sp, i) {
			p.addStandby(sp, i, -1)
			p.standby[i] = p.chooseStandby(sp, i)
			p.addStandby(sp, i, 1)
		}
	}
}

// overloads reports whether the standby of slice i would be overloaded by the
// loss of the owner or of the owner's data centre.
func (p *plan) overloads(sp *spread, i int) bool {
	o, s := p.owner[i], p.standby[i]
	z := p.zone[o]
	return p.own[s]+sp.fromZone[z][s] > standbySlack*sp.zoneMean[z]*p.weight[s] ||
		p.own[s]+sp.fromServer[[2]int{o, s}] > standbySlack*sp.mean*p.weight[s]
}

// chooseStandby returns the server on which a loss of the owner of slice i, or
// of the owner's data centre, weighs least. Two heavy slices are kept apart,
// because parting them later costs moves.
func (p *plan) chooseStandby(sp *spread, i int) int {
	o, best, bestScore := p.owner[i], none, 0.0
	for k := range p.candidates() {
		s := p.candidate(i, k)
		if !p.mayStandBy(o, s) {
			continue
		}
		score := p.standbyScore(sp, o, s) + min(p.load[i], sp.heaviest[s])/p.weight[s]
		if best == none || score < bestScore {
			best, bestScore = s, score
		}
	}
	// The drawn candidates may all be in the owner's data centre.
	for k := 0; best == none && k < len(p.servers); k++ {
		if s := (i + k) % len(p.servers); p.mayStandBy(o, s) {
			best = s
		}
	}
	return best
}

// standbyScore adds the load of server s after the loss of server o and that
// after the loss of o's data centre. The sum lets the loss of the server decide
// where data centres are even, and the other way round.
func (p *plan) standbyScore(sp *spread, o, s int) float64 {
	return (2*p.own[s] + sp.fromServer[[2]int{o, s}] + sp.fromZone[p.zone[o]][s]) / p.weight[s]
}
