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

// minLoadShare is the smallest load that a slice counts for, as a share of the
// mean load of a slice, so that slices without measured load are spread too.
const minLoadShare = 0.01

// none is the index of a server that is not available.
const none = -1

// plan is the working state of one placement decision. Servers are sorted by
// name and addressed by index.
type plan struct {
	servers []Server
	index   map[string]int
	weight  []float64
	zone    []int // data centre of each server, by number
	zones   int
	own     []float64 // load that each server owns
	load    []float64 // load that each slice counts for
	owner   []int
	standby []int
}

func newPlan(servers []Server, slices []Slice) *plan {
	p := &plan{servers: append([]Server(nil), servers...), index: map[string]int{}}
	sort.Slice(p.servers, func(i, j int) bool { return p.servers[i].Name < p.servers[j].Name })
	zones := map[string]int{}
	for i, s := range p.servers {
		p.index[s.Name] = i
		p.weight = append(p.weight, float64(max(s.Slots, 1)))
		if _, ok := zones[s.DataCentre]; !ok {
			zones[s.DataCentre] = len(zones)
		}
		p.zone = append(p.zone, zones[s.DataCentre])
	}
	p.zones = len(zones)
	p.own = make([]float64, len(p.servers))
	p.countLoads(slices)
	for i, s := range slices {
		p.owner = append(p.owner, p.find(s.Owner))
		p.standby = append(p.standby, p.find(s.Standby))
		if o := p.owner[i]; o != none {
			p.own[o] += p.load[i]
		}
	}
	return p
}

func (p *plan) find(name string) int {
	if i, ok := p.index[name]; ok {
		return i
	}
	return none
}

// countLoads sets the load that each slice counts for.
func (p *plan) countLoads(slices []Slice) {
	total := 0.0
	for _, s := range slices {
		total += max(s.Load, 0)
	}
	floor := minLoadShare * total / float64(max(len(slices), 1))
	if total == 0 {
		floor = 1
	}
	for _, s := range slices {
		p.load = append(p.load, max(s.Load, floor))
	}
}

// maxCandidates bounds the servers that are compared for one slice, so that the
// cost does not grow with the number of servers. The choice among this many drawn
// ones is nearly as even as the choice among all.
const maxCandidates = 64

func (p *plan) candidates() int { return min(len(p.servers), maxCandidates) }

// candidate returns the k-th server to compare for slice i: every server in turn,
// or a drawn one where there are too many.
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
// takes over, or else the least loaded server. Standbys that are missing, or
// that share the owner's data centre while another one is available, are replaced.
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
	p.placeOrphans()
	p.repairStandbys()
	for i := range out {
		out[i].Owner = p.servers[p.owner[i]].Name
		out[i].Standby = ""
		if s := p.standby[i]; s != none {
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
	p.placeOrphans()
	for i := range out {
		out[i].Owner, out[i].Standby = p.servers[p.owner[i]].Name, ""
	}
	return out
}

// promoteStandbys gives each slice without an available owner to its standby.
func (p *plan) promoteStandbys() {
	for i, o := range p.owner {
		if o == none && p.standby[i] != none {
			p.setOwner(i, p.standby[i])
		}
	}
}

func (p *plan) setOwner(i, to int) {
	if from := p.owner[i]; from != none {
		p.own[from] -= p.load[i]
	}
	p.owner[i] = to
	p.own[to] += p.load[i]
}

// placeOrphans gives the slices that still have no owner to the least loaded
// servers, the heaviest slices first.
func (p *plan) placeOrphans() {
	var orphans []int
	for i, o := range p.owner {
		if o == none {
			orphans = append(orphans, i)
		}
	}
	sort.SliceStable(orphans, func(a, b int) bool { return p.load[orphans[a]] > p.load[orphans[b]] })
	for _, i := range orphans {
		best := p.candidate(i, 0)
		for k := range p.candidates() {
			s := p.candidate(i, k)
			if (p.own[s]+p.load[i])/p.weight[s] < (p.own[best]+p.load[i])/p.weight[best] {
				best = s
			}
		}
		p.setOwner(i, best)
	}
}
