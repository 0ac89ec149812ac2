package placement

import "sort"

// maxFailoverLoad is the load of a server after the loss of another server or of a
// data centre, relative to the mean, above which slices get another standby
// although theirs is in a valid place.
const maxFailoverLoad = 1.05

// failoverLoads holds the load that each standby takes over when a server or a data
// centre is lost.
type failoverLoads struct {
	byServer       map[[2]int]float64 // load by owner and standby
	byDataCentre   [][]float64        // load by data centre of the owner and standby
	meanLoad       float64            // load per weight
	heaviestSlices []float64          // load of the heaviest slice of each server
	meanAfterLoss  []float64          // load per weight after the loss of each data centre
}

func (p *plan) newFailoverLoads() *failoverLoads {
	f := &failoverLoads{byServer: map[[2]int]float64{}, byDataCentre: make([][]float64, p.dataCentreCount)}
	total, weight := 0.0, 0.0
	dataCentreWeights := make([]float64, p.dataCentreCount)
	for s := range p.servers {
		total, weight = total+p.ownedLoads[s], weight+p.weights[s]
		dataCentreWeights[p.dataCentres[s]] += p.weights[s]
	}
	f.meanLoad = total / weight
	f.heaviestSlices = make([]float64, len(p.servers))
	for i, o := range p.owners {
		f.heaviestSlices[o] = max(f.heaviestSlices[o], p.sliceLoads[i])
	}
	for dc := range dataCentreWeights {
		f.byDataCentre[dc] = make([]float64, len(p.servers))
		f.meanAfterLoss = append(f.meanAfterLoss, total/max(weight-dataCentreWeights[dc], 1))
	}
	return f
}

func (p *plan) addFailoverLoad(f *failoverLoads, i int, sign float64) {
	o, s := p.owners[i], p.standbys[i]
	f.byServer[[2]int{o, s}] += sign * p.sliceLoads[i]
	f.byDataCentre[p.dataCentres[o]][s] += sign * p.sliceLoads[i]
}

// canBeStandby reports whether server s may be the standby of slices of server o.
func (p *plan) canBeStandby(o, s int) bool {
	return s != noIndex && s != o && (p.dataCentreCount == 1 || p.dataCentres[s] != p.dataCentres[o])
}

// repairStandbys replaces standbys that are missing or not valid, heaviest slices
// first, so that the load of a lost server or data centre is spread evenly. Then it
// replaces standbys that such a loss would overload.
func (p *plan) repairStandbys() {
	f := p.newFailoverLoads()
	var misplaced []int
	for i := range p.owners {
		if p.canBeStandby(p.owners[i], p.standbys[i]) {
			p.addFailoverLoad(f, i, 1)
		} else {
			misplaced = append(misplaced, i)
		}
	}
	sort.SliceStable(misplaced, func(a, b int) bool { return p.sliceLoads[misplaced[a]] > p.sliceLoads[misplaced[b]] })
	for _, i := range misplaced {
		if p.standbys[i] = p.chooseStandby(f, i); p.standbys[i] != noIndex {
			p.addFailoverLoad(f, i, 1)
		}
	}
	for i := range p.owners {
		if p.standbys[i] != noIndex && p.isStandbyOverloaded(f, i) {
			p.addFailoverLoad(f, i, -1)
			p.standbys[i] = p.chooseStandby(f, i)
			p.addFailoverLoad(f, i, 1)
		}
	}
}

// isStandbyOverloaded reports whether the loss of the owner of slice i, or of the
// owner's data centre, would overload the standby.
func (p *plan) isStandbyOverloaded(f *failoverLoads, i int) bool {
	o, s := p.owners[i], p.standbys[i]
	dc := p.dataCentres[o]
	return p.ownedLoads[s]+f.byDataCentre[dc][s] > maxFailoverLoad*f.meanAfterLoss[dc]*p.weights[s] ||
		p.ownedLoads[s]+f.byServer[[2]int{o, s}] > maxFailoverLoad*f.meanLoad*p.weights[s]
}

// chooseStandby returns the server that has the least load after a loss of the
// owner of slice i or of the owner's data centre. It keeps heavy slices on
// different servers, because separating them later costs moves.
func (p *plan) chooseStandby(f *failoverLoads, i int) int {
	o, best, bestScore := p.owners[i], noIndex, 0.0
	for k := range p.candidateCount() {
		s := p.candidate(i, k)
		if !p.canBeStandby(o, s) {
			continue
		}
		score := p.standbyScore(f, o, s) + min(p.sliceLoads[i], f.heaviestSlices[s])/p.weights[s]
		if best == noIndex || score < bestScore {
			best, bestScore = s, score
		}
	}
	// The sampled candidates may all be in the owner's data centre.
	for k := 0; best == noIndex && k < len(p.servers); k++ {
		if s := (i + k) % len(p.servers); p.canBeStandby(o, s) {
			best = s
		}
	}
	return best
}

// standbyScore returns the sum of the load of server s after the loss of server o
// and of its load after the loss of o's data centre; lower is better. With the sum,
// the loss of the server decides between servers that are equal for the loss of the
// data centre, and the other way round.
func (p *plan) standbyScore(f *failoverLoads, o, s int) float64 {
	return (2*p.ownedLoads[s] + f.byServer[[2]int{o, s}] + f.byDataCentre[p.dataCentres[o]][s]) / p.weights[s]
}
