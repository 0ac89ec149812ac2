package ownership

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/placement"
	"github.com/agatestep/agatestep/internal/table"
)

// ErrStale means that no part of a change fits the current state of its slices.
const ErrStale = errors.ConstError("stale")

// ErrInvalid means that a rule forbids the change.
const ErrInvalid = errors.ConstError("invalid")

// MaxSlices bounds the slices of one service, so that splits cannot grow the
// table without limit.
const MaxSlices = 1 << 20

// Fleet tells the aggregate which backend servers of a service there are.
type Fleet interface {
	// Available returns the servers that may get slices, sorted by name.
	Available(service string) []placement.Server
	// Alive reports whether a server may still hold a lease.
	Alive(ref table.BackendRef) bool
}

// Slices is the aggregate of the slices of one service. It is not safe for
// concurrent use.
type Slices struct {
	service string
	list    []table.Slice // sorted by start; Last is not maintained
	// single is set for services whose slices have no standbys.
	single  bool
	changed map[uint64]bool
	// touched are the backend servers whose set of slices changed.
	touched map[string]bool
}

// New returns count unowned slices of equal size that cover all hashes.
func New(service string, count int) *Slices {
	count = min(max(count, 1), MaxSlices)
	s := Load(service, nil)
	width := ^uint64(0)/uint64(count) + 1 // 0 when count is 1
	for i := range count {
		start := uint64(i) * width
		s.list = append(s.list, table.Slice{Start: start, State: table.SliceUnowned})
		s.changed[start] = true
	}
	return s
}

// Load returns the aggregate of slices that are sorted by start.
func Load(service string, list []table.Slice) *Slices {
	return &Slices{service: service, list: list, changed: map[uint64]bool{}, touched: map[string]bool{}}
}

// WithoutStandbys makes slices have no standbys: where a new owner gets its slices
// with its next heartbeat, a standby saves no time, and choosing one takes most of
// a repair.
func (s *Slices) WithoutStandbys() *Slices {
	s.single = true
	return s
}

// Len returns the number of slices.
func (s *Slices) Len() int { return len(s.list) }

// Flush adds the slices that changed since the last call to b and returns the
// backend servers whose set of slices changed.
func (s *Slices) Flush(b *table.Builder) (touched map[string]bool) {
	for start := range s.changed {
		if i, ok := s.find(start); ok {
			b.PutSlice(s.service, s.list[i])
		}
	}
	touched = s.touched
	s.changed, s.touched = map[uint64]bool{}, map[string]bool{}
	return touched
}

func (s *Slices) find(start uint64) (int, bool) {
	return slices.BinarySearchFunc(s.list, start, func(e table.Slice, start uint64) int {
		return cmp.Compare(e.Start, start)
	})
}

func (s *Slices) mark(e *table.Slice, servers ...string) {
	s.changed[e.Start] = true
	for _, name := range servers {
		if name != "" {
			s.touched[name] = true
		}
	}
}

// grant gives a slice whose previous owner holds it no more to a server, or to
// none when to is empty.
func (s *Slices) grant(e *table.Slice, to string, index uint64) {
	s.mark(e, e.Owner, to)
	e.Owner, e.Next = to, ""
	if to == "" {
		e.State = table.SliceUnowned
		return
	}
	e.State, e.Epoch = table.SliceOwned, index
}

// release starts taking a slice from an owner that is alive.
func (s *Slices) release(e *table.Slice, next string) {
	s.mark(e, e.Owner)
	e.State, e.Next = table.SliceReleasing, next
}

// Reassign brings all slices in line with the fleet, in one step: slices of lost
// owners go to their standbys, slices of draining owners begin to move, moves to
// servers that are gone get another target, unowned slices get an owner, and
// standbys are repaired.
func (s *Slices) Reassign(fleet Fleet, index uint64) {
	view := make([]placement.Slice, len(s.list))
	for i := range s.list {
		e := &s.list[i]
		view[i] = placement.Slice{Owner: e.Owner, Standby: e.Standby}
		if e.State == table.SliceReleasing {
			view[i].Owner = e.Next
		}
	}
	assign := placement.Assign
	if s.single {
		assign = placement.AssignOwners
	}
	for i, want := range assign(fleet.Available(s.service), view) {
		s.settle(&s.list[i], want, fleet, index)
	}
}

// alive reports whether a server may still hold a lease.
func (s *Slices) alive(fleet Fleet, backend string) bool {
	return backend != "" && fleet.Alive(table.BackendRef{Service: s.service, Name: backend})
}

func (s *Slices) settle(e *table.Slice, want placement.Slice, fleet Fleet, index uint64) {
	if e.Standby != want.Standby {
		e.Standby = want.Standby
		s.mark(e)
	}
	alive := s.alive(fleet, e.Owner)
	switch {
	case e.State == table.SliceReleasing && alive:
		if e.Next != want.Owner {
			e.Next = want.Owner
			s.mark(e)
		}
	case e.State == table.SliceOwned && alive:
		if e.Owner != want.Owner {
			s.release(e, want.Owner)
		}
	case e.Owner != want.Owner || e.State != table.SliceUnowned:
		s.grant(e, want.Owner, index)
	}
}

// Promote gives the slices of lost owners to their standbys. It leaves the repair
// of standbys to a later Reassign, because that weighs all slices against each
// other: when a data centre is lost, each of hundreds of losses would pay for it.
// When a standby is missing too, it does a Reassign at once.
func (s *Slices) Promote(fleet Fleet, index uint64) {
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
			s.grant(e, target, index)
		}
	}
}

// Orphan takes the slices of a server whose process is over from it, and leaves it
// to a later Reassign to give them away: when many servers end at once, one
// Reassign serves all.
func (s *Slices) Orphan(backend string, index uint64) {
	for i := range s.list {
		if e := &s.list[i]; e.Owner == backend {
			s.grant(e, "", index)
		}
	}
}

// Repair does a Reassign if a slice is not complete.
func (s *Slices) Repair(fleet Fleet, index uint64) {
	c := NewCoverage(fleet.Available(s.service), s.single)
	for i := range s.list {
		if !c.Complete(&s.list[i]) {
			s.Reassign(fleet, index)
			return
		}
	}
}

// Coverage tells whether slices have what the available servers can provide.
type Coverage struct {
	dataCentre map[string]string // by server
	several    bool              // servers are in several data centres
	single     bool              // slices have no standbys
}

// NewCoverage returns the coverage by servers. With single, slices have no standbys.
func NewCoverage(servers []placement.Server, single bool) Coverage {
	c := Coverage{single: single, dataCentre: make(map[string]string, len(servers))}
	for _, s := range servers {
		c.dataCentre[s.Name] = s.DataCentre
		c.several = c.several || s.DataCentre != servers[0].DataCentre
	}
	return c
}

// Complete reports whether a slice has an available owner, or next owner, and a
// standby elsewhere, in another data centre where there is one.
func (c Coverage) Complete(s *table.Slice) bool {
	holder := s.Owner
	if s.State == table.SliceReleasing {
		holder = s.Next
	}
	if holder == "" || len(c.dataCentre) < 2 || c.single {
		_, ok := c.dataCentre[holder]
		return ok || (holder == "" && len(c.dataCentre) == 0)
	}
	at, ok := c.dataCentre[holder]
	standbyAt, standby := c.dataCentre[s.Standby]
	return ok && standby && s.Standby != holder && (!c.several || standbyAt != at)
}

// Replace gives away the slices of a server whose process was replaced by a new
// one: what the old process held is over, as after a loss.
func (s *Slices) Replace(backend string, fleet Fleet, index uint64) {
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
