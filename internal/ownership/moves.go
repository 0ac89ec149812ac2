package ownership

import (
	"slices"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/placement"
	"github.com/agatestep/agatestep/internal/table"
)

// Move starts moving slices to other servers and returns how many. A slice that
// changed since the decision is skipped; when none is left, the error is ErrStale.
func (s *Slices) Move(moves []command.SliceMove, fleet Fleet, index uint64) (started int, err error) {
	available := fleet.Available(s.service)
	for _, m := range moves {
		i, ok := s.find(m.Start)
		if !ok {
			continue
		}
		e := &s.list[i]
		if e.State != table.SliceOwned || e.Epoch != m.Epoch || e.Owner == m.To || !containsServer(available, m.To) {
			continue
		}
		s.beginRelease(e, m.To)
		if e.Standby == m.To && !s.noStandbys {
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

func containsServer(servers []placement.Server, name string) bool {
	return slices.ContainsFunc(servers, func(s placement.Server) bool { return s.Name == name })
}

// Release completes the moves of slices that their old owner has released and returns
// how many. A slice with another owner or epoch is skipped; when none is left, the error
// is ErrStale. It is ErrInvalid unless r has one epoch per start. A slice whose next
// owner is lost becomes unowned.
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
		s.setOwner(e, to, index)
		released++
	}
	if released == 0 {
		return 0, errors.WithType(errors.Errorf("service %s: backend server %s is not releasing any of %d slices at these epochs",
			s.service, r.Backend, len(r.Starts)), ErrStale)
	}
	return released, nil
}

// Grant completes the moves of slices to a server whose old owners have released them,
// and returns how many. A slice that does not move there, or has another epoch, is
// skipped; when none is left, or the server is lost, the error is ErrStale. It is
// ErrInvalid unless g has one epoch per start.
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
		s.setOwner(e, g.Backend, index)
		granted++
	}
	if granted == 0 {
		return 0, errors.WithType(errors.Errorf("service %s: none of %d slices moves to backend server %s at these epochs",
			s.service, len(g.Starts), g.Backend), ErrStale)
	}
	return granted, nil
}

// Split splits slices so that each hash is a slice of its own, and so that a slice
// begins at each split point, and returns how many were split. The parts keep the owner,
// the epoch and the standby. Slices that are moving are skipped; when nothing is split,
// the error is ErrStale. It is ErrInvalid if the service could exceed MaxSlices.
func (s *Slices) Split(hashes, splitPoints []uint64) (split int, err error) {
	if len(s.list)+2*len(hashes)+len(splitPoints) > MaxSlices {
		return 0, errors.WithType(errors.Errorf("service %s: splitting %d hashes would exceed %d slices",
			s.service, len(hashes), MaxSlices), ErrInvalid)
	}
	for _, h := range hashes {
		if s.isolateHash(h) {
			split++
		}
	}
	for _, start := range splitPoints {
		if s.splitAt(start) {
			split++
		}
	}
	if split == 0 {
		return 0, errors.WithType(errors.Errorf("service %s: none of %d hashes can be split: each is a slice already or its slice is moving",
			s.service, len(hashes)+len(splitPoints)), ErrStale)
	}
	return split, nil
}

// isolateHash splits the slice that holds hash so that hash is a slice of its own. It
// reports whether the slice was split.
func (s *Slices) isolateHash(hash uint64) bool {
	i, ok := s.find(hash)
	if !ok {
		i--
	}
	if s.list[i].State == table.SliceReleasing {
		return false
	}
	splitAfter := hash != ^uint64(0) && (i+1 == len(s.list) || s.list[i+1].Start != hash+1)
	if ok && !splitAfter {
		return false
	}
	if !ok {
		s.insertAfter(i, hash)
		i++
	}
	if splitAfter {
		s.insertAfter(i, hash+1)
	}
	return true
}

// splitAt splits the slice that holds start so that a slice begins there. It reports
// whether the slice was split.
func (s *Slices) splitAt(start uint64) bool {
	i, ok := s.find(start)
	if ok || s.list[i-1].State == table.SliceReleasing {
		return false
	}
	s.insertAfter(i-1, start)
	return true
}

// insertAfter inserts a slice after slice i that begins at start and is a copy of slice i
// otherwise.
func (s *Slices) insertAfter(i int, start uint64) {
	part := s.list[i]
	s.markChanged(&s.list[i], part.Owner)
	part.Start = start
	s.list = slices.Insert(s.list, i+1, part)
	s.markChanged(&part)
}
