package control

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/ownership"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
)

// initialDeclaredSlices is the number of slices of a service that a configuration item
// declares, before its first backend servers are known. With it, a heartbeat reply of
// 4 KiB holds the ranges of each of two servers. Services with more servers are split.
const initialDeclaredSlices = 256

const noHigherVersion = "no item has a higher version"

// declaredService is a service that exists because a configuration item names it.
type declaredService struct {
	file     *service.File
	revision uint64
}

// Items returns the set of configuration items with the operators' documents.
func (s *State) Items() *items.Set { return s.items.Load() }

// ItemsAt waits until the state has reached a revision and returns the configuration
// items that are not removed. The error is that of ctx, annotated with the revision that
// was reached.
func (s *State) ItemsAt(ctx context.Context, revision uint64) ([]items.Item, error) {
	for {
		changed := s.Changed()
		at := s.Table().Revision()
		if at >= revision {
			return s.Items().Active(), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errors.Annotatef(ctx.Err(), "this replica has revision %d, not %d", at, revision)
		}
	}
}

// patchItems applies a patch as a whole or refuses it as a whole.
func (s *State) patchItems(index uint64, p *command.PatchItems) *command.Result {
	current := s.items.Load()
	if problems := current.Validate(p.Items); len(problems) > 0 {
		res := refusedResult(index, invalidf("%d problems in the configuration, first: %s", len(problems), problems[0]))
		res.Problems = problems
		return res
	}
	for _, item := range p.Items {
		if src := s.sources[item.Name]; item.Kind == items.KindService && src != nil {
			return refusedResult(index, invalidf("service %q is published as a service file (%s)", item.Name, src.Name))
		}
	}
	next, changed := current.Apply(p.Items)
	if len(changed) == 0 {
		return &command.Result{Code: command.ResultOK, Detail: noHigherVersion, Revision: index}
	}
	s.items.Store(next)
	s.changedItems = changed
	for _, item := range changed {
		if item.Kind == items.KindService && !item.Removed {
			s.declareService(item, index)
		}
	}
	atomic.StoreUint64(&s.operatorRevision, index)
	return &command.Result{Code: command.ResultOK, Detail: summarizeItems(changed), Revision: index}
}

func summarizeItems(changed []items.Item) string {
	const maxNames = 4 // keeps the log line of a large patch short
	names := make([]string, 0, maxNames+1)
	for i, item := range changed {
		if i == maxNames {
			names = append(names, "...")
			break
		}
		names = append(names, item.Name)
	}
	return strings.Join(names, " ")
}

// declareService creates a service that an item names for the first time.
func (s *State) declareService(item items.Item, index uint64) {
	if s.declared[item.Name] != nil {
		return
	}
	file := &service.File{Service: item.Name, Version: 1, ColdStart: service.ColdStart{Limit: 1, Ramp: item.Service.ColdFor}}
	if item.Service.Keyed {
		file.Key, file.Slices = &service.KeySource{PathSegment: -1}, initialDeclaredSlices
		s.slices[item.Name] = ownership.New(item.Name, initialDeclaredSlices).DisableStandbys()
	}
	s.declared[item.Name] = &declaredService{file: file, revision: index}
}

// applyReport applies the state that a backend server reports. A new server gets
// slices, and a leaving one gives them up, by a later decision of the leader.
func (s *State) applyReport(index uint64, r *command.BackendReported) error {
	if s.declared[r.Service] == nil {
		return invalidf("backend server %s/%s: no configuration item names the service", r.Service, r.Backend)
	}
	ended, err := s.fleet.RecordHeartbeat(r, index)
	if err != nil {
		return err
	}
	for _, ref := range ended {
		s.unassignSlices(ref, index)
	}
	return nil
}

// unassignSlices takes the slices from a server whose process has ended. The leader
// assigns them by a repair soon after.
func (s *State) unassignSlices(ref table.BackendRef, index uint64) {
	if o := s.slices[ref.Service]; o != nil {
		o.Unassign(ref.Name, index)
	}
}
