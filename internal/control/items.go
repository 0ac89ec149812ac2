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

// declaredSlices is the number of slices of a service that configuration items
// name, before its first backend servers are known. With it, a heartbeat answer of
// 4 KiB holds what each of two servers is told. Services with more servers are cut.
const declaredSlices = 256

const noHigherVersion = "no item has a higher version"

// declared is a service that exists because an item names it.
type declared struct {
	file     *service.File
	revision uint64
}

// Items returns the configuration items in force with the operators' documents.
func (s *State) Items() *items.Set { return s.items.Load() }

// ItemsAt returns the configuration items that stand, once the state has reached a revision.
func (s *State) ItemsAt(ctx context.Context, revision uint64) ([]items.Item, error) {
	for {
		changed := s.Changed()
		at := s.Table().Revision()
		if at >= revision {
			return s.Items().Standing(), nil
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
		res := refused(index, invalidf("%d problems in the configuration, first: %s", len(problems), problems[0]))
		res.Problems = problems
		return res
	}
	for _, item := range p.Items {
		if src := s.sources[item.Name]; item.Kind == items.KindService && src != nil {
			return refused(index, invalidf("service %q is published as a service file (%s)", item.Name, src.Name))
		}
	}
	next, changed := current.Apply(p.Items)
	if len(changed) == 0 {
		return &command.Result{Code: command.ResultOK, Detail: noHigherVersion, Revision: index}
	}
	s.items.Store(next)
	s.patched = changed
	for _, item := range changed {
		if item.Kind == items.KindService && !item.Removed {
			s.declare(item, index)
		}
	}
	atomic.StoreUint64(&s.operated, index)
	return &command.Result{Code: command.ResultOK, Detail: describe(changed), Revision: index}
}

func describe(changed []items.Item) string {
	const most = 4 // keeps the log line of a large patch short
	names := make([]string, 0, most+1)
	for i, item := range changed {
		if i == most {
			names = append(names, "...")
			break
		}
		names = append(names, item.Name)
	}
	return strings.Join(names, " ")
}

// declare creates a service that an item names for the first time.
func (s *State) declare(item items.Item, index uint64) {
	if s.declared[item.Name] != nil {
		return
	}
	file := &service.File{Service: item.Name, Version: 1, ColdStart: service.ColdStart{Limit: 1, Ramp: item.Service.ColdFor}}
	if item.Service.Keyed {
		file.Key, file.Slices = &service.KeySource{PathSegment: -1}, declaredSlices
		s.slices[item.Name] = ownership.New(item.Name, declaredSlices).WithoutStandbys()
	}
	s.declared[item.Name] = &declared{file: file, revision: index}
}

// reported applies what a backend server says of itself. A server that is new,
// or leaves, gets or gives up slices by a later decision of the leader.
func (s *State) reported(index uint64, r *command.BackendReported) error {
	if s.declared[r.Service] == nil {
		return invalidf("backend server %s/%s: no configuration item names the service", r.Service, r.Backend)
	}
	ended, err := s.fleet.Report(r, index)
	if err != nil {
		return err
	}
	for _, ref := range ended {
		s.orphan(ref, index)
	}
	return nil
}

// orphan takes the slices from a server that is over. The leader repairs the
// service soon.
func (s *State) orphan(ref table.BackendRef, index uint64) {
	if o := s.slices[ref.Service]; o != nil {
		o.Orphan(ref.Name, index)
	}
}
