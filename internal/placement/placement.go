package placement

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Server is a backend server that may own slices.
type Server struct {
	Name       string
	DataCentre string
	Slots      int // weight; below 1 counts as 1
}

// Slice is the ownership and the measured load of one slice.
type Slice struct {
	Owner   string
	Standby string
	Load    float64 // in any unit, the same for all slices
}

// minCountedLoadShare is the lower bound of the load that a slice counts for, as a
// share of the mean load of a slice, so that slices without measured load are
// spread too.
const minCountedLoadShare = 0.01

// noIndex stands for a server that is not available, or for no slice.
const noIndex = -1

// plan is the working state of one placement decision. Servers are sorted by
// name and addressed by index.
type plan struct {
	servers         []Server
	indexByName     map[string]int
	weights         []float64
	dataCentres     []int // number of the data centre of each server
	dataCentreCount int
	ownedLoads      []float64 // load that each server owns
	sliceLoads      []float64 // load that each slice counts for
	owners          []int     // server that owns each slice, or noIndex
	standbys        []int     // server that is the standby of each slice, or noIndex
}

func newPlan(servers []Server, slices []Slice) *plan {
	p := &plan{servers: append([]Server(nil), servers...), indexByName: map[string]int{}}
	sort.Slice(p.servers, func(i, j int) bool { return p.servers[i].Name < p.servers[j].Name })
	dataCentreNumbers := map[string]int{}
	for i, s := range p.servers {
		p.indexByName[s.Name] = i
		p.weights = append(p.weights, float64(max(s.Slots, 1)))
		if _, ok := dataCentreNumbers[s.DataCentre]; !ok {
			dataCentreNumbers[s.DataCentre] = len(dataCentreNumbers)
		}
		p.dataCentres = append(p.dataCentres, dataCentreNumbers[s.DataCentre])
	}
	p.dataCentreCount = len(dataCentreNumbers)
	p.ownedLoads = make([]float64, len(p.servers))
	p.setSliceLoads(slices)
	for i, s := range slices {
		p.owners = append(p.owners, p.serverIndex(s.Owner))
		p.standbys = append(p.standbys, p.serverIndex(s.Standby))
		if o := p.owners[i]; o != noIndex {
			p.ownedLoads[o] += p.sliceLoads[i]
		}
	}
	return p
}

func (p *plan) serverIndex(name string) int {
	if i, ok := p.indexByName[name]; ok {
		return i
	}
	return noIndex
}

// setSliceLoads sets the load that each slice counts for.
func (p *plan) setSliceLoads(slices []Slice) {
	total := 0.0
	for _, s := range slices {
		total += max(s.Load, 0)
	}
	floor := minCountedLoadShare * total / float64(max(len(slices), 1))
	if total == 0 {
		floor = 1
	}
	for _, s := range slices {
		p.sliceLoads = append(p.sliceLoads, max(s.Load, floor))
	}
}

// maxCandidates bounds the servers that are compared for one slice, so that the
// cost does not grow with the number of servers. Choosing from a sample of this
// size balances load nearly as well as choosing from all servers.
const maxCandidates = 64

func (p *plan) candidateCount() int { return min(len(p.servers), maxCandidates) }

// candidate returns the k-th server to compare for slice i: each server in turn,
// or a pseudo-random one when there are more than maxCandidates.
func (p *plan) candidate(i, k int) int {
	n := len(p.servers)
	if n <= maxCandidates {
		return (i + k) % n
	}
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], uint64(i))
	binary.LittleEndian.PutUint64(key[8:], uint64(k))
	return int(xxhash.Sum64(key[:]) % uint64(n))
}

// Assign returns slices with an owner and a standby for each, as far as servers
// allow. A slice keeps an owner that is among servers. Otherwise its standby
// takes over, or else the least loaded server. A standby that is missing, or
// that is in the owner's data centre although there is another one, is replaced.
// So is a standby that a loss would overload.
func Assign(servers []Server, slices []Slice) []Slice {
	out := append([]Slice(nil), slices...)
	if len(servers) == 0 {
		for i := range out {
			out[i].Owner, out[i].Standby = "", ""
		}
		return out
	}
	p := newPlan(servers, slices)
	p.promoteStandbys()
	p.placeUnowned()
	p.repairStandbys()
	for i := range out {
		out[i].Owner = p.servers[p.owners[i]].Name
		out[i].Standby = ""
		if s := p.standbys[i]; s != noIndex {
			out[i].Standby = p.servers[s].Name
		}
	}
	return out
}

// AssignOwners is Assign without standbys.
func AssignOwners(servers []Server, slices []Slice) []Slice {
	if len(servers) == 0 {
		return Assign(servers, slices)
	}
	out := append([]Slice(nil), slices...)
	p := newPlan(servers, slices)
	p.placeUnowned()
	for i := range out {
		out[i].Owner, out[i].Standby = p.servers[p.owners[i]].Name, ""
	}
	return out
}

// promoteStandbys gives each slice without an available owner to its standby.
func (p *plan) promoteStandbys() {
	for i, o := range p.owners {
		if o == noIndex && p.standbys[i] != noIndex {
			p.setOwner(i, p.standbys[i])
		}
	}
}

func (p *plan) setOwner(i, owner int) {
	if oldOwner := p.owners[i]; oldOwner != noIndex {
		p.ownedLoads[oldOwner] -= p.sliceLoads[i]
	}
	p.owners[i] = owner
	p.ownedLoads[owner] += p.sliceLoads[i]
}

// placeUnowned gives the slices that still have no owner to the least loaded
// servers, the heaviest slices first.
func (p *plan) placeUnowned() {
	var unowned []int
	for i, o := range p.owners {
		if o == noIndex {
			unowned = append(unowned, i)
		}
	}
	sort.SliceStable(unowned, func(a, b int) bool { return p.sliceLoads[unowned[a]] > p.sliceLoads[unowned[b]] })
	for _, i := range unowned {
		best := p.candidate(i, 0)
		for k := range p.candidateCount() {
			s := p.candidate(i, k)
			if (p.ownedLoads[s]+p.sliceLoads[i])/p.weights[s] < (p.ownedLoads[best]+p.sliceLoads[i])/p.weights[best] {
				best = s
			}
		}
		p.setOwner(i, best)
	}
}
