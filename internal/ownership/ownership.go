package ownership

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/placement"
	"github.com/agatestep/agatestep/internal/table"
)

// ErrStale means that no part of a change applies to the current state of its slices.
const ErrStale = errors.ConstError("stale")

// ErrInvalid means that a rule forbids the change.
const ErrInvalid = errors.ConstError("invalid")

// MaxSlices bounds the slices of one service, so that splits cannot grow the
// table without limit.
const MaxSlices = 1 << 20

// Fleet provides the backend servers of a service.
type Fleet interface {
	// Available returns the servers that may get slices, sorted by name.
	Available(service string) []placement.Server
	// Alive reports whether a server may still hold a lease.
	Alive(ref table.BackendRef) bool
}

// Slices holds the slices of one service, which cover all hashes. It is not safe for
// concurrent use.
type Slices struct {
	service string
	list    []table.Slice // sorted by start; Last is not maintained
	// noStandbys is set for services whose slices have no standbys.
	noStandbys    bool
	changedStarts map[uint64]bool
	// changedServers are the backend servers whose set of slices changed.
	changedServers map[string]bool
}

// New returns count unowned slices of equal size that cover all hashes. count is
// limited to the range from 1 to MaxSlices.
func New(service string, count int) *Slices {
	count = min(max(count, 1), MaxSlices)
	s := Load(service, nil)
	width := ^uint64(0)/uint64(count) + 1 // 0 when count is 1
	for i := range count {
		start := uint64(i) * width
		s.list = append(s.list, table.Slice{Start: start, State: table.SliceUnowned})
		s.changedStarts[start] = true
	}
	return s
}

// Load returns the Slices of a service with the given list, which must be sorted by
// start.
func Load(service string, list []table.Slice) *Slices {
	return &Slices{service: service, list: list, changedStarts: map[uint64]bool{}, changedServers: map[string]bool{}}
}

// DisableStandbys disables standbys and returns s. If new owners get their slices with
// their next heartbeat, a standby saves no time, and choosing one takes most of the time
// of a repair.
func (s *Slices) DisableStandbys() *Slices {
	s.noStandbys = true
	return s
}

// Len returns the number of slices.
func (s *Slices) Len() int { return len(s.list) }

// Flush adds the slices that changed since the last call to b and returns the
// backend servers whose set of slices changed.
func (s *Slices) Flush(b *table.Builder) (changedServers map[string]bool) {
	for start := range s.changedStarts {
		if i, ok := s.find(start); ok {
			b.PutSlice(s.service, s.list[i])
		}
	}
	changedServers = s.changedServers
	s.changedStarts, s.changedServers = map[uint64]bool{}, map[string]bool{}
	return changedServers
}

// find returns the index of the slice that begins at start, or false and the index at
// which it would be inserted.
func (s *Slices) find(start uint64) (int, bool) {
	return slices.BinarySearchFunc(s.list, start, func(e table.Slice, start uint64) int {
		return cmp.Compare(e.Start, start)
	})
}

// markChanged records for Flush that a slice changed, and with it the sets of slices of
// the given servers. Empty names are ignored.
func (s *Slices) markChanged(e *table.Slice, servers ...string) {
	s.changedStarts[e.Start] = true
	for _, name := range servers {
		if name != "" {
			s.changedServers[name] = true
		}
	}
}

// setOwner assigns a slice that its previous owner no longer holds to a server, or
// makes it unowned when to is empty.
func (s *Slices) setOwner(e *table.Slice, to string, index uint64) {
	s.markChanged(e, e.Owner, to)
	e.Owner, e.Next = to, ""
	if to == "" {
		e.State = table.SliceUnowned
		return
	}
	e.State, e.Epoch = table.SliceOwned, index
}

// beginRelease starts the release of a slice by an owner that is alive.
func (s *Slices) beginRelease(e *table.Slice, next string) {
	s.markChanged(e, e.Owner)
	e.State, e.Next = table.SliceReleasing, next
}

// Reassign adapts all slices to the fleet in one step: slices of lost owners go to
// their standbys, slices of draining owners begin to move, moves to lost servers get
// another target, unowned slices get an owner, and standbys are repaired.
func (s *Slices) Reassign(fleet Fleet, index uint64) {
	assignment := make([]placement.Slice, len(s.list))
	for i := range s.list {
		e := &s.list[i]
		assignment[i] = placement.Slice{Owner: e.Owner, Standby: e.Standby}
		if e.State == table.SliceReleasing {
			assignment[i].Owner = e.Next
		}
	}
	assign := placement.Assign
	if s.noStandbys {
		assign = placement.AssignOwners
	}
	for i, want := range assign(fleet.Available(s.service), assignment) {
		s.applyAssignment(&s.list[i], want, fleet, index)
	}
}

// alive reports whether a server may still hold a lease.
func (s *Slices) alive(fleet Fleet, backend string) bool {
	return backend != "" && fleet.Alive(table.BackendRef{Service: s.service, Name: backend})
}

// applyAssignment moves a slice towards the wanted owner and standby, as far as the
// state of its current owner allows.
func (s *Slices) applyAssignment(e *table.Slice, want placement.Slice, fleet Fleet, index uint64) {
	if e.Standby != want.Standby {
		e.Standby = want.Standby
		s.markChanged(e)
	}
	alive := s.alive(fleet, e.Owner)
	switch {
	case e.State == table.SliceReleasing && alive:
		if e.Next != want.Owner {
			e.Next = want.Owner
			s.markChanged(e)
		}
	case e.State == table.SliceOwned && alive:
		if e.Owner != want.Owner {
			s.beginRelease(e, want.Owner)
		}
	case e.Owner != want.Owner || e.State != table.SliceUnowned:
		s.setOwner(e, want.Owner, index)
	}
}

// PromoteStandbys assigns the slices of lost owners to their standbys. It leaves the
// repair of standbys to a later Reassign, which compares all slices with each other:
// when a data centre is lost, each of hundreds of losses would incur that cost. When
// a standby is missing too, it does a Reassign at once.
func (s *Slices) PromoteStandbys(fleet Fleet, index uint64) {
	available := map[string]bool{}
	for _, server := range fleet.Available(s.service) {
		available[server.Name] = true
	}
	for i := range s.list {
		e := &s.list[i]
		target := e.Standby
		if e.State == table.SliceReleasing {
			target = e.Next
		}
		lost := e.Owner != "" && !available[e.Owner] && !s.alive(fleet, e.Owner)
		switch {
		case (lost || e.State == table.SliceReleasing) && !available[target]:
			s.Reassign(fleet, index)
			return
		case lost:
			if e.Standby == target {
				e.Standby = ""
			}
			s.setOwner(e, target, index)
		}
	}
}

// Unassign makes the slices of a server whose process has ended unowned. A later
// Reassign assigns them: when many servers end at once, one Reassign covers all.
func (s *Slices) Unassign(backend string, index uint64) {
	for i := range s.list {
		if e := &s.list[i]; e.Owner == backend {
			s.setOwner(e, "", index)
		}
	}
}

// Repair does a Reassign if a slice is not complete as defined by Coverage.
func (s *Slices) Repair(fleet Fleet, index uint64) {
	c := NewCoverage(fleet.Available(s.service), s.noStandbys)
	for i := range s.list {
		if !c.Complete(&s.list[i]) {
			s.Reassign(fleet, index)
			return
		}
	}
}

// Coverage checks whether slices have the owners and standbys that the available servers
// can provide.
type Coverage struct {
	dataCentre          map[string]string // by server
	multipleDataCentres bool              // servers are in several data centres
	noStandbys          bool              // slices have no standbys
}

// NewCoverage returns the Coverage for the available servers. noStandbys tells that
// slices have no standbys.
func NewCoverage(servers []placement.Server, noStandbys bool) Coverage {
	c := Coverage{noStandbys: noStandbys, dataCentre: make(map[string]string, len(servers))}
	for _, s := range servers {
		c.dataCentre[s.Name] = s.DataCentre
		c.multipleDataCentres = c.multipleDataCentres || s.DataCentre != servers[0].DataCentre
	}
	return c
}

// Complete reports whether a slice has an available owner, or next owner if it is
// moving, and a standby on another server, in another data centre if there are several.
func (c Coverage) Complete(s *table.Slice) bool {
	owner := s.Owner
	if s.State == table.SliceReleasing {
		owner = s.Next
	}
	if owner == "" || len(c.dataCentre) < 2 || c.noStandbys {
		_, ok := c.dataCentre[owner]
		return ok || (owner == "" && len(c.dataCentre) == 0)
	}
	ownerDataCentre, ok := c.dataCentre[owner]
	standbyDataCentre, hasStandby := c.dataCentre[s.Standby]
	return ok && hasStandby && s.Standby != owner && (!c.multipleDataCentres || standbyDataCentre != ownerDataCentre)
}

// ReplaceProcess reassigns the slices of a server whose process was replaced by a new
// one: the slices of the old process are handled as after a loss.
func (s *Slices) ReplaceProcess(backend string, fleet Fleet, index uint64) {
	s.Reassign(without{fleet, backend}, index)
}

// without is a fleet in which one backend server is lost.
type without struct {
	Fleet
	name string
}

func (w without) Available(service string) []placement.Server {
	return slices.DeleteFunc(w.Fleet.Available(service), func(s placement.Server) bool { return s.Name == w.name })
}

func (w without) Alive(ref table.BackendRef) bool { return ref.Name != w.name && w.Fleet.Alive(ref) }
