package ownership

import (
	"slices"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/placement"
	"github.com/agatestep/agatestep/internal/table"
)

// Move starts moving slices to other servers. A slice that changed since the
// decision is skipped; when none is left, the error is ErrStale.
func (s *Slices) Move(moves []command.SliceMove, fleet Fleet, index uint64) (started int, err error) {
	available := fleet.Available(s.service)
	for _, m := range moves {
		i, ok := s.find(m.Start)
		if !ok {
			continue
		}
		e := &s.list[i]
		if e.State != table.SliceOwned || e.Epoch != m.Epoch || e.Owner == m.To || !contains(available, m.To) {
			continue
		}
		s.release(e, m.To)
		if e.Standby == m.To && !s.single {
			e.Standby = e.Owner
		}
		started++
	}
	if started == 0 {
		return 0, errors.WithType(errors.Errorf(
			"service %s: none of %d slices can move: each is moving, has another epoch, or names a server that is not available",
			s.service, len(moves)), ErrStale)
	}
	s.Repair(fleet, index)
	return started, nil
}

func contains(servers []placement.Server, name string) bool {
	return slices.ContainsFunc(servers, func(s placement.Server) bool { return s.Name == name })
}

// Release completes the moves of slices that their old owner gave up. A release
// of another owner or epoch has no effect; when none fits, the error is ErrStale.
// A slice whose next owner is lost becomes unowned.
func (s *Slices) Release(r *command.Released, fleet Fleet, index uint64) (released int, err error) {
	if len(r.Starts) != len(r.Epochs) {
		return 0, errors.WithType(errors.Errorf("service %s: release with %d starts and %d epochs",
			s.service, len(r.Starts), len(r.Epochs)), ErrInvalid)
	}
	for k, start := range r.Starts {
		i, ok := s.find(start)
		if !ok {
			continue
		}
		e := &s.list[i]
		if e.State != table.SliceReleasing || e.Owner != r.Backend || e.Epoch != r.Epochs[k] {
			continue
		}
		to := e.Next
		if !s.alive(fleet, to) {
			to = ""
		}
		s.grant(e, to, index)
		released++
	}
	if released == 0 {
		return 0, errors.WithType(errors.Errorf("service %s: backend server %s is not releasing any of %d slices at these epochs",
			s.service, r.Backend, len(r.Starts)), ErrStale)
	}
	return released, nil
}

// Grant completes moves to a server that were released by their old owners. A
// slice that does not move there, or has another epoch, is left alone; when none
// fits, or the server is lost, the error is ErrStale.
func (s *Slices) Grant(g *command.Granted, fleet Fleet, index uint64) (granted int, err error) {
	if len(g.Starts) != len(g.Epochs) {
		return 0, errors.WithType(errors.Errorf("service %s: grant with %d starts and %d epochs",
			s.service, len(g.Starts), len(g.Epochs)), ErrInvalid)
	}
	if !s.alive(fleet, g.Backend) {
		// The next process of that name would hold the keys under this epoch.
		return 0, errors.WithType(errors.Errorf("service %s: backend server %s was lost before %d slices were granted to it",
			s.service, g.Backend, len(g.Starts)), ErrStale)
	}
	for k, start := range g.Starts {
		i, ok := s.find(start)
		if !ok {
			continue
		}
		e := &s.list[i]
		if e.State != table.SliceReleasing || e.Next != g.Backend || e.Epoch != g.Epochs[k] {
			continue
		}
		s.grant(e, g.Backend, index)
		granted++
	}
	if granted == 0 {
		return 0, errors.WithType(errors.Errorf("service %s: none of %d slices moves to backend server %s at these epochs",
			s.service, len(g.Starts), g.Backend), ErrStale)
	}
	return granted, nil
}

// Split cuts slices so that each hash is a slice of its own, and so that a slice
// begins at each cut. The parts keep the
// owner, the epoch and the standby. Slices that are moving are left alone; when
// nothing is cut, the error is ErrStale.
func (s *Slices) Split(hashes, cuts []uint64) (cut int, err error) {
	if len(s.list)+2*len(hashes)+len(cuts) > MaxSlices {
		return 0, errors.WithType(errors.Errorf("service %s: splitting %d hashes would exceed %d slices",
			s.service, len(hashes), MaxSlices), ErrInvalid)
	}
	for _, h := range hashes {
		if s.cut(h) {
			cut++
		}
	}
	for _, start := range cuts {
		if s.cutAt(start) {
			cut++
		}
	}
	if cut == 0 {
		return 0, errors.WithType(errors.Errorf("service %s: none of %d hashes can be split: each is a slice already or its slice is moving",
			s.service, len(hashes)+len(cuts)), ErrStale)
	}
	return cut, nil
}

func (s *Slices) cut(hash uint64) bool {
	i, ok := s.find(hash)
	if !ok {
		i--
	}
	if s.list[i].State == table.SliceReleasing {
		return false
	}
	after := hash != ^uint64(0) && (i+1 == len(s.list) || s.list[i+1].Start != hash+1)
	if ok && !after {
		return false
	}
	if !ok {
		s.insert(i, hash)
		i++
	}
	if after {
		s.insert(i, hash+1)
	}
	return true
}

// cutAt cuts the slice that holds start so that a slice begins there.
func (s *Slices) cutAt(start uint64) bool {
	i, ok := s.find(start)
	if ok || s.list[i-1].State == table.SliceReleasing {
		return false
	}
	s.insert(i-1, start)
	return true
}

// insert adds a slice after slice i that begins at start and equals slice i otherwise.
func (s *Slices) insert(i int, start uint64) {
	part := s.list[i]
	s.mark(&s.list[i], part.Owner)
	part.Start = start
	s.list = slices.Insert(s.list, i+1, part)
	s.mark(&part)
}
