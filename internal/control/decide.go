package control

import (
	"time"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/ownership"
	"github.com/agatestep/agatestep/internal/placement"
	"github.com/agatestep/agatestep/internal/table"
)

// attractFloor is the share of the mean load below which a backend server gets
// slices even when no other one is overloaded: a new or restored server.
const attractFloor = 0.5

// Loads are the measured requests per second of one service.
type Loads struct {
	Slices map[uint64]float64 // by start
	Keys   map[uint64]float64 // by hash
	// Slow are the backend servers that have been stragglers for long, with the
	// factor by which their slices count as heavier than measured.
	Slow map[string]float64
	// Pace is how fast backend servers work relative to the median one; one that is
	// missing counts as the median.
	Pace map[string]float64
	// Service is the service time of the median server; zero while unknown.
	Service time.Duration
	// Noise is the standard deviation of a server's measured load relative to its mean.
	Noise float64
}

// View is all that the decision about sessions depends on.
type View struct {
	Table *table.Table
	Term  uint64
	// GraceOver is set when every session of earlier leaders is surely over.
	GraceOver bool
	// LeasesOver is set when no dispatcher changed in an orderly way within the
	// longest lease, so that a lost dispatcher leaves no lease behind.
	LeasesOver bool
	// Live are the hosts that have a session or are opening one.
	Live map[string]bool
}

// Decide returns the commands that are due about hosts whose sessions are over. It
// is a pure function. Dispatchers are reassigned and moves of lost owners are
// completed by the commit of the loss itself.
func Decide(v View) []command.Command {
	if !v.GraceOver {
		return nil
	}
	var out []command.Command
	for _, h := range v.Table.Hosts() {
		if v.Live[h.Name] {
			continue
		}
		lost := &command.HostLost{Host: h.Name, Joined: h.Joined, Term: v.Term}
		if v.LeasesOver {
			lost.LeasesOver = v.Table.Revision()
		}
		out = append(out, command.Command{HostLost: lost})
	}
	return out
}

// DecideBalance returns the commands that are due to repair standbys, split hot
// keys and even out the load of one service: one kind at a time, in this order.
// It is a pure function. It begins no move while maxMoving slices are moving.
func DecideBalance(t *table.Table, service string, loads Loads, maxMoving int) []command.Command {
	servers, list, moving := placementView(t, service, loads)
	if incomplete(t, service, servers) {
		return []command.Command{{Repair: &command.Repair{Service: service}}}
	}
	if len(servers) < 2 {
		return nil
	}
	if hot := hotKeys(t, service, loads, len(servers)); len(hot) > 0 {
		return []command.Command{{Split: &command.Split{Service: service, Hashes: hot}}}
	}
	if moving >= maxMoving {
		return nil
	}
	to := map[int]string{}
	opts := placement.Options{Target: balanceTarget(loads.Noise), Floor: attractFloor, MaxMoves: maxMoving - moving}
	if leasedByHeartbeat(t, service) {
		opts.Urgent = urgentLevel
	}
	for _, m := range placement.Rebalance(servers, list, opts) {
		to[m.Index] = m.To
	}
	cmd := &command.Move{Service: service}
	i := 0
	for s := range t.AllSlices(service) {
		if next, ok := to[i]; ok && s.State == table.SliceOwned && next != s.Owner {
			cmd.Moves = append(cmd.Moves, command.SliceMove{Start: s.Start, Epoch: s.Epoch, To: next})
		}
		i++
	}
	if len(cmd.Moves) == 0 {
		return nil
	}
	return []command.Command{{Move: cmd}}
}

// noiseMargin is the number of standard deviations of a server's measured load that
// count as even.
const noiseMargin = 2.0

// urgentLevel is the load of a server relative to the mean above which it is relieved
// before others make room: it works at its capacity, and its callers wait.
const urgentLevel = 1.8

// balanceTarget is the imbalance within which nothing moves.
func balanceTarget(noise float64) float64 { return placement.DefaultTarget + noiseMargin*noise }

func incomplete(t *table.Table, service string, servers []placement.Server) bool {
	c := ownership.NewCoverage(servers, leasedByHeartbeat(t, service))
	for s := range t.AllSlices(service) {
		if !c.Complete(&s) {
			return true
		}
	}
	return false
}

// placementView returns the servers and slices of a service as placement sees
// them. A slice on the move counts for its next owner.
func placementView(t *table.Table, service string, loads Loads) (servers []placement.Server, list []placement.Slice, moving int) {
	for _, b := range t.Members(service) {
		servers = append(servers, placement.Server{Name: b.Name, DataCentre: b.DataCentre, Slots: b.Slots})
	}
	if loads.Pace != nil {
		servers = weights(servers, loads.Pace, loads.demand())
	}
	for s := range t.AllSlices(service) {
		p := placement.Slice{Owner: s.Owner, Standby: s.Standby, Load: loads.Slices[s.Start]}
		if s.State == table.SliceReleasing {
			p.Owner = s.Next
			moving++
		}
		if factor, ok := loads.Slow[p.Owner]; ok {
			p.Load *= factor
		}
		list = append(list, p)
	}
	return servers, list, moving
}

// spareRoom returns how much load each server can take before it carries more than the
// mean, after the given moves.
func spareRoom(servers []placement.Server, list []placement.Slice, moves []command.SliceMove, loads map[uint64]float64) map[string]float64 {
	total, weight := 0.0, 0.0
	carried := map[string]float64{}
	for _, s := range list {
		total += s.Load
		carried[s.Owner] += s.Load
	}
	for _, m := range moves {
		carried[m.To] += loads[m.Start]
	}
	for _, s := range servers {
		weight += float64(s.Slots)
	}
	room := map[string]float64{}
	for _, s := range servers {
		room[s.Name] = total*float64(s.Slots)/weight - carried[s.Name]
	}
	return room
}

func hotKeys(t *table.Table, service string, loads Loads, servers int) []uint64 {
	total := 0.0
	for _, rate := range loads.Slices {
		total += rate
	}
	var keys []placement.KeyLoad
	for _, hash := range sortedHashes(loads.Keys) {
		s, ok := t.Lookup(service, hash)
		own := ok && s.Start == s.Last
		if ok && (own || s.State == table.SliceOwned) {
			keys = append(keys, placement.KeyLoad{Hash: hash, Load: loads.Keys[hash], Own: own})
		}
	}
	return placement.HotKeys(keys, total, servers, placement.HotOptions{})
}
