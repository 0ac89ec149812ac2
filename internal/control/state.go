package control

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/fleet"
	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/ownership"
	"github.com/agatestep/agatestep/internal/table"
)

// State is the replicated state machine. Apply, Snapshot and Restore are called
// by one goroutine; all other methods are safe for concurrent use.
type State struct {
	checker Checker
	fleet   *fleet.Fleet
	slices  map[string]*ownership.Slices // keyed services only
	sources map[string]*source
	// items holds the configuration items with the operators' documents, declared the
	// services that they name.
	items            atomic.Pointer[items.Set]
	declared         map[string]*declaredService
	changedItems     []items.Item // changed by the command being applied
	results          *results
	operatorRevision uint64

	table atomic.Pointer[table.Table]
	hosts atomic.Pointer[hostRecords]
	// acceptedView is replaced only when an operator command is accepted.
	acceptedView atomic.Pointer[operatorView]
	history      *history

	mu      sync.Mutex
	changed chan struct{} // closed by the next change
}

// NewState returns the state before the first command. Functions that checker leaves
// nil are taken from ServiceChecker.
func NewState(checker Checker) *State {
	defaults := ServiceChecker()
	if checker.Parse == nil {
		checker.Parse = defaults.Parse
	}
	if checker.CheckSet == nil {
		checker.CheckSet = defaults.CheckSet
	}
	s := &State{
		checker:  checker,
		fleet:    fleet.New(),
		slices:   map[string]*ownership.Slices{},
		sources:  map[string]*source{},
		declared: map[string]*declaredService{},
		results:  newResults(),
		history:  newHistory(),
		changed:  make(chan struct{}),
	}
	s.items.Store(items.NewSet())
	s.table.Store(table.Empty())
	s.hosts.Store(&hostRecords{})
	s.acceptedView.Store(&operatorView{})
	return s
}

// Table returns the routing table of the last applied command.
func (s *State) Table() *table.Table { return s.table.Load() }

// Changed returns a channel that is closed by the next applied command or
// restored snapshot. To miss no change, call it before reading the state.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// OperatorRevision returns the revision of the last publish or drain that was
// accepted. Hosts must not open a session with an older table.
func (s *State) OperatorRevision() uint64 { return atomic.LoadUint64(&s.operatorRevision) }

// ChangesSince returns the update from the table of revision since to the current
// one: a delta, or a snapshot when the deltas after since are no longer kept. Both
// are nil when since is the current revision or a higher one.
func (s *State) ChangesSince(since uint64) (delta, snapshot []byte, revision uint64) {
	return s.history.changes(since, s.Table())
}

// Apply executes the command at a log index and returns its encoded result. It is
// deterministic. A command that cannot be decoded or that a rule forbids changes
// only the revision.
func (s *State) Apply(index uint64, data []byte) []byte {
	var result *command.Result
	if current := s.Table().Revision(); index <= current {
		result = &command.Result{Code: command.ResultStale, Detail: errors.Errorf("index %d is applied already", index).Error(), Revision: current}
	} else {
		result = s.execute(index, data)
		s.advanceTable(index)
	}
	encoded, err := command.EncodeResult(result)
	if err != nil {
		return nil // a Result holds strings and numbers only, which always encode
	}
	return encoded
}

// advanceTable builds the next table from the changes of one command and stores it.
func (s *State) advanceTable(index uint64) {
	old := s.Table()
	b := table.NewBuilder(old.Revision())
	for _, name := range sortedNames(s.slices) {
		for backend := range s.slices[name].Flush(b) {
			s.fleet.RaiseEpoch(table.BackendRef{Service: name, Name: backend}, index)
		}
	}
	for _, src := range s.sources {
		if src.Revision == index {
			b.PutService(table.Service{File: src.file, Revision: index})
		}
	}
	for _, d := range s.declared {
		if d.revision == index {
			b.PutService(table.Service{File: d.file, Revision: index})
		}
	}
	for _, item := range s.changedItems {
		b.PutItem(item)
	}
	s.changedItems = nil
	if s.OperatorRevision() == index {
		s.storeOperatorView()
	}
	if s.fleet.HostsChanged() {
		s.storeHosts()
	}
	s.fleet.Flush(b)
	delta := b.Delta(index)
	next, err := old.Apply(delta)
	if err != nil {
		// The aggregates produced a delta that contradicts the table they produced
		// before. Continuing would let replicas route by different tables.
		panic(errors.Annotatef(err, "control: command %d", index))
	}
	s.history.add(delta)
	s.setTable(next)
}

// setTable stores a table and wakes the goroutines that wait for a change.
func (s *State) setTable(next *table.Table) {
	s.table.Store(next)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) execute(index uint64, data []byte) *command.Result {
	c, err := command.Decode(data)
	if err != nil {
		return refusedResult(index, errors.WithType(err, fleet.ErrInvalid))
	}
	if n := c.CountSet(); n != 1 {
		return refusedResult(index, invalidf("a command has exactly one kind, this one has %d", n))
	}
	switch {
	case c.PatchItems != nil:
		return s.patchItems(index, c.PatchItems)
	case c.Publish != nil:
		return s.executeOnce(index, c.Publish.RequestID, data, func() *command.Result { return s.publishFiles(index, c.Publish) })
	case c.Drain != nil:
		return s.executeOnce(index, c.Drain.RequestID, data, func() *command.Result { return s.applyDrain(index, c.Drain) })
	}
	detail, err := s.executeInternal(index, c)
	if err != nil {
		return refusedResult(index, err)
	}
	return &command.Result{Code: command.ResultOK, Detail: detail, Revision: index}
}

// executeInternal executes the commands that daemons propose themselves.
func (s *State) executeInternal(index uint64, c *command.Command) (detail string, err error) {
	switch {
	case c.HostJoined != nil:
		return "", s.fleet.JoinHost(c.HostJoined, index)
	case c.HostLost != nil:
		return "", s.fleet.MarkHostLost(c.HostLost, index)
	case c.LeaderElected != nil:
		return "", s.fleet.RecordElection(c.LeaderElected.Term)
	case c.HandOver != nil:
		return "", s.fleet.HandOver(c.HandOver)
	case c.HandedOver != nil:
		return "", s.fleet.HandedOver(c.HandedOver, index)
	case c.BackendAnnounced != nil:
		return "", s.applyAnnouncement(index, c.BackendAnnounced)
	case c.BackendReported != nil:
		return "", s.applyReport(index, c.BackendReported)
	case c.BackendLost != nil:
		l := c.BackendLost
		ref := table.BackendRef{Service: l.Service, Name: l.Backend}
		if err := s.fleet.MarkBackendLost(ref, l.Incarnation, index); err != nil {
			return "", err
		}
		if s.declared[l.Service] != nil {
			s.unassignSlices(ref, index)
			return "", nil
		}
		if o := s.slices[l.Service]; o != nil {
			o.PromoteStandbys(s.fleet, index)
		}
		return "", nil
	default:
		return s.executeSliceCommand(index, c)
	}
}

// executeSliceCommand executes the commands about slices of one keyed service.
func (s *State) executeSliceCommand(index uint64, c *command.Command) (string, error) {
	switch {
	case c.Move != nil:
		o, err := s.keyedSlices(c.Move.Service)
		if err != nil {
			return "", err
		}
		n, err := o.Move(c.Move.Moves, s.fleet, index)
		return partialDetail(n, len(c.Move.Moves)), err
	case c.Released != nil:
		o, err := s.keyedSlices(c.Released.Service)
		if err != nil {
			return "", err
		}
		n, err := o.Release(c.Released, s.fleet, index)
		return partialDetail(n, len(c.Released.Starts)), err
	case c.Granted != nil:
		o, err := s.keyedSlices(c.Granted.Service)
		if err != nil {
			return "", err
		}
		n, err := o.Grant(c.Granted, s.fleet, index)
		return partialDetail(n, len(c.Granted.Starts)), err
	case c.Repair != nil:
		o, err := s.keyedSlices(c.Repair.Service)
		if err != nil {
			return "", err
		}
		o.Repair(s.fleet, index)
		return "", nil
	default:
		o, err := s.keyedSlices(c.Split.Service)
		if err != nil {
			return "", err
		}
		n, err := o.Split(c.Split.Hashes, c.Split.Cuts)
		return partialDetail(n, len(c.Split.Hashes)+len(c.Split.Cuts)), err
	}
}

func (s *State) keyedSlices(service string) (*ownership.Slices, error) {
	if o := s.slices[service]; o != nil {
		return o, nil
	}
	return nil, invalidf("service %q is not published or not divided by key", service)
}

func (s *State) applyAnnouncement(index uint64, a *command.BackendAnnounced) error {
	if s.sources[a.Service] == nil {
		return invalidf("backend server %s/%s: service %q is not published", a.Service, a.Backend, a.Service)
	}
	replaced, err := s.fleet.RegisterBackend(a, index)
	if err != nil {
		return err
	}
	if o := s.slices[a.Service]; o != nil {
		if replaced {
			o.ReplaceProcess(a.Backend, s.fleet, index)
		}
		o.Repair(s.fleet, index)
	}
	return nil
}

func (s *State) reassign(service string, index uint64) {
	if o := s.slices[service]; o != nil {
		o.Reassign(s.fleet, index)
	}
}

// hostRecords are the entry hosts that opened a session, by name.
type hostRecords map[string]fleet.Host

// storeHosts publishes the host records so that the leader can read them
// concurrently.
func (s *State) storeHosts() {
	records := hostRecords(s.fleet.Hosts())
	s.hosts.Store(&records)
}

// host returns the record of an entry host as of the last change of any host.
func (s *State) host(name string) (fleet.Host, bool) {
	h, ok := (*s.hosts.Load())[name]
	return h, ok
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
