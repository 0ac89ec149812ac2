package placement

import "sort"

// spread tracks where load goes when a server or a data centre is lost.
type spread struct {
	fromServer map[[2]int]float64 // owner, standby: load
	fromZone   map[[2]int]float64 // data centre of the owner, standby: load
}

func (p *plan) addStandby(sp *spread, i int, sign float64) {
	o, s := p.owner[i], p.standby[i]
	sp.fromServer[[2]int{o, s}] += sign * p.load[i]
	sp.fromZone[[2]int{p.zone[o], s}] += sign * p.load[i]
}

// validStandby reports whether the standby of slice i may stay.
func (p *plan) validStandby(i int) bool {
	o, s := p.owner[i], p.standby[i]
	return s != none && s != o && (p.zones == 1 || p.zone[s] != p.zone[o])
}

// repairStandbys replaces standbys that are missing or badly placed, heaviest
// slices first, such that a loss spreads evenly.
func (p *plan) repairStandbys() {
	sp := &spread{fromServer: map[[2]int]float64{}, fromZone: map[[2]int]float64{}}
	var broken []int
	for i := range p.owner {
		if p.validStandby(i) {
			p.addStandby(sp, i, 1)
		} else {
			broken = append(broken, i)
		}
	}
	sort.SliceStable(broken, func(a, b int) bool { return p.load[broken[a]] > p.load[broken[b]] })
	for _, i := range broken {
		p.standby[i] = p.chooseStandby(sp, i)
		if p.standby[i] != none {
			p.addStandby(sp, i, 1)
		}
	}
}

// chooseStandby returns the server on which a loss of the owner of slice i, or
// of the owner's data centre, weighs least.
func (p *plan) chooseStandby(sp *spread, i int) int {
	o, best, bestScore := p.owner[i], none, 0.0
	for s := range p.servers {
		if s == o || (p.zones > 1 && p.zone[s] == p.zone[o]) {
			continue
		}
		score := p.standbyScore(sp, o, s)
		if best == none || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// standbyScore is the load that server s would take over from server o and from
// its data centre. The sum lets the loss of the server decide where data
// centres are even, and the other way round.
func (p *plan) standbyScore(sp *spread, o, s int) float64 {
	return (sp.fromServer[[2]int{o, s}] + sp.fromZone[[2]int{p.zone[o], s}]) / p.weight[s]
}
