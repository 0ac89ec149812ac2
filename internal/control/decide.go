package control

import (
	"time"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/ownership"
	"github.com/agatestep/agatestep/internal/placement"
	"github.com/agatestep/agatestep/internal/table"
)

// underloadShare is the share of the mean load below which a backend server gets slices
// even when no other one is overloaded. A new or restored server is below it.
const underloadShare = 0.5

// Loads are the measured requests per second of one service.
type Loads struct {
	Slices map[uint64]float64 // by start
	Keys   map[uint64]float64 // by hash
	// StragglerFactors maps the lasting stragglers among the backend servers to the
	// factor by which the measured load of their slices is multiplied.
	StragglerFactors map[string]float64
	// Speed is how fast backend servers work relative to the median one. A missing
	// server counts as the median.
	Speed map[string]float64
	// MedianServiceTime is the service time of the median server; zero while unknown.
	MedianServiceTime time.Duration
	// RelativeStdDev is the standard deviation of a server's measured load relative
	// to its mean.
	RelativeStdDev float64
}

// SessionView is the input of DecideLostHosts.
type SessionView struct {
	Table *table.Table
	Term  uint64
	// GraceOver is set when every session granted by earlier leaders has expired, even
	// on the slowest clock allowed.
	GraceOver bool
	// LeasesOver is set when no dispatcher handed its role over in an orderly way
	// within the longest lease, so that a lost dispatcher leaves no lease behind.
	LeasesOver bool
	// Live tells which hosts have a session or are opening one.
	Live map[string]bool
}

// DecideLostHosts returns a HostLost command for each host whose session has
// expired. It is a pure function. Applying the command also reassigns dispatchers
// and completes the moves of lost owners.
func DecideLostHosts(v SessionView) []command.Command {
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
// keys or rebalance the load of one service: one kind at a time, in this order.
// It is a pure function. It starts no move while maxMovingSlices slices are moving.
func DecideBalance(t *table.Table, service string, loads Loads, maxMovingSlices int) []command.Command {
	servers, list, moving := placementInput(t, service, loads)
	if needsRepair(t, service, servers) {
		return []command.Command{{Repair: &command.Repair{Service: service}}}
	}
	if len(servers) < 2 {
		return nil
	}
	if hot := hotKeys(t, service, loads, len(servers)); len(hot) > 0 {
		return []command.Command{{Split: &command.Split{Service: service, Hashes: hot}}}
	}
	if moving >= maxMovingSlices {
		return nil
	}
	to := map[int]string{}
	opts := placement.Options{Target: balanceTarget(loads.RelativeStdDev), Floor: underloadShare, MaxMoves: maxMovingSlices - moving}
	if leasedByHeartbeat(t, service) {
		opts.UrgentImbalance = overloadRatio
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

// balanceStdDevs is the number of standard deviations of a server's measured
// load that count as balanced.
const balanceStdDevs = 2.0

// overloadRatio is the load of a server relative to the mean above which a slice leaves
// it at once, without making room on the target first: the server works at its capacity,
// and its callers wait.
const overloadRatio = 1.8

// balanceTarget returns the imbalance up to which no slice is moved.
func balanceTarget(stdDev float64) float64 { return placement.DefaultTarget + balanceStdDevs*stdDev }

func needsRepair(t *table.Table, service string, servers []placement.Server) bool {
	c := ownership.NewCoverage(servers, leasedByHeartbeat(t, service))
	for s := range t.AllSlices(service) {
		if !c.Complete(&s) {
			return true
		}
	}
	return false
}

// placementInput returns the servers and slices of a service in the form that package
// placement takes, and the number of moving slices. A moving slice counts for its next
// owner.
func placementInput(t *table.Table, service string, loads Loads) (servers []placement.Server, list []placement.Slice, moving int) {
	for _, b := range t.AvailableBackends(service) {
		servers = append(servers, placement.Server{Name: b.Name, DataCentre: b.DataCentre, Slots: b.Slots})
	}
	if loads.Speed != nil {
		servers = placementWeights(servers, loads.Speed, loads.demand())
	}
	for s := range t.AllSlices(service) {
		p := placement.Slice{Owner: s.Owner, Standby: s.Standby, Load: loads.Slices[s.Start]}
		if s.State == table.SliceReleasing {
			p.Owner = s.Next
			moving++
		}
		if factor, ok := loads.StragglerFactors[p.Owner]; ok {
			p.Load *= factor
		}
		list = append(list, p)
	}
	return servers, list, moving
}

// headroomByServer returns how much load each server can take on before it exceeds its
// share of the mean, once the given moves are done.
func headroomByServer(servers []placement.Server, list []placement.Slice, moves []command.SliceMove, loads map[uint64]float64) map[string]float64 {
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
	headroom := map[string]float64{}
	for _, s := range servers {
		headroom[s.Name] = total*float64(s.Slots)/weight - carried[s.Name]
	}
	return headroom
}

func hotKeys(t *table.Table, service string, loads Loads, servers int) []uint64 {
	total := 0.0
	for _, rate := range loads.Slices {
		total += rate
	}
	var keys []placement.KeyLoad
	for _, hash := range sortedHashes(loads.Keys) {
		s, ok := t.Lookup(service, hash)
		singleHash := ok && s.Start == s.Last
		if ok && (singleHash || s.State == table.SliceOwned) {
			keys = append(keys, placement.KeyLoad{Hash: hash, Load: loads.Keys[hash], HasSlice: singleHash})
		}
	}
	return placement.HotKeys(keys, total, servers, placement.HotKeyOptions{})
}
