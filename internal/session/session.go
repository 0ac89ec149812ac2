package session

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// Caller calls a method of another daemon.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Replica is a host with a control replica.
type Replica struct {
	Host    string
	Address string // IP:port of its peer listener
}

// Config configures a session.
type Config struct {
	Host     command.HostJoined
	Instance string
	// Replicas are the control replicas.
	Replicas []Replica
	Caller   Caller
	// WatchCaller makes the calls that watch the table, over separate connections, so
	// that large changes do not delay renewals. Nil means Caller.
	WatchCaller   Caller
	Clock         clock.Clock
	Logger        *zap.Logger
	RenewInterval time.Duration
	// CallTimeout bounds one renewal, so that an unresponsive replica does not use up the
	// time of the session.
	CallTimeout time.Duration
	// WatchPoll is how long a control host may hold a watch open without a change.
	WatchPoll time.Duration
	// ConfirmInterval is the time between two rounds of barrier requests to all control
	// hosts, which bound the age of the table. Zero disables them, and the age is never
	// known.
	ConfirmInterval time.Duration
	// WatchAnyReplica allows tables from any control host, not only from the leader.
	WatchAnyReplica bool
	// NearbyTables prefers tables from control hosts in the data centre of this host.
	NearbyTables bool
	// Loads returns the load to report with a renewal; it may be nil.
	Loads func() []wire.SliceLoads
	// AckChanges renews the session as soon as a new revision is applied, so that
	// operators who wait until it is in force are notified immediately.
	AckChanges bool
	// OnTable is called after each change of the routing table, with the time until
	// which the previous table is known to have been current; it may be nil.
	OnTable func(t *table.Table, since time.Time)
	// OnConfirmed is called when the table is confirmed as of a later time; it may be nil.
	OnConfirmed func()
	// OnWatchReply is called after each reply to a watch with the time that the request
	// and the reply were in transit; it may be nil.
	OnWatchReply func(transit time.Duration)
	// RecordEvent adds an event to the timeline.
	RecordEvent func(kind, subject, detail string)
}

// Session is the lease of one entry host. Its readers never block.
type Session struct {
	cfg Config
	// leader is the target of renewals and watchLeader that of watches. A single late
	// call does not move the watch away from the leader; a granted renewal moves it to
	// the replica that granted it.
	leader, watchLeader *leaderHint
	// watchInterrupt is closed to end the pending watch, so that the next one goes to
	// another control host.
	watchInterrupt atomic.Pointer[chan struct{}]

	seeds atomic.Pointer[[]Replica]
	table atomic.Pointer[table.Table]
	lease atomic.Pointer[lease]
	// renewalSlot serialises renewals: its capacity is one.
	renewalSlot chan struct{}
	// closeCtx is cancelled by Close, which also cancels a pending renewal.
	closeCtx       context.Context
	cancelOnClose  context.CancelFunc
	lastLoadReport time.Time
	closing        atomic.Bool
	replyTimeout   time.Duration // wait for a reply beyond WatchPoll; used by the watch loop only
	// controlHosts are the peer addresses of the control hosts that the leader named last.
	controlHosts atomic.Pointer[[]string]
	// asOf is a time such that the table has every change acknowledged before it.
	asOf             atomic.Pointer[time.Time]
	barrierAnswers   barrierAnswers
	dataCentres      controlDataCentres
	votersHash       atomic.Uint64 // of the voters that a control host named last
	sourceSwitches   atomic.Int64  // how often the watch moved to another control host
	lastWatchFailure string        // last logged error, used by the watch loop only
	renewNow         chan struct{}
	// initialRevision is the leader's revision when this process received its first table;
	// initialTableComplete is set once the table has reached it.
	initialRevision      uint64 // used by the watch only
	initialTableComplete atomic.Bool
}

// lease is an immutable state of the session.
type lease struct {
	until time.Time
	// minRevision is the lowest table revision that may be used for routing: the
	// leader's revision when the session was opened, or reopened after it lapsed.
	minRevision uint64
}

// New returns a session that holds no lease yet.
func New(cfg Config) *Session {
	if cfg.WatchCaller == nil {
		cfg.WatchCaller = cfg.Caller
	}
	s := &Session{cfg: cfg, replyTimeout: cfg.CallTimeout,
		leader: newLeaderHint(cfg.Replicas), watchLeader: newLeaderHint(cfg.Replicas), renewNow: make(chan struct{}, 1)}
	s.renewalSlot = make(chan struct{}, 1)
	s.closeCtx, s.cancelOnClose = context.WithCancel(context.Background())
	s.seeds.Store(&cfg.Replicas)
	s.table.Store(table.Empty())
	s.lease.Store(&lease{})
	s.asOf.Store(&time.Time{})
	s.barrierAnswers.votersByHash, s.barrierAnswers.lastAnswered = map[uint64][]string{}, map[string]time.Time{}
	s.barrierAnswers.barriers = map[string]uint64{}
	interrupt := make(chan struct{})
	s.watchInterrupt.Store(&interrupt)
	return s
}

// Table returns the latest routing table. It may be used only until ValidUntil.
func (s *Session) Table() *table.Table { return s.table.Load() }

// TableCurrentAsOf returns a time such that the table has every change acknowledged before it. It
// follows from the barriers of a majority of the control replicas and is the zero time
// until a majority has answered.
func (s *Session) TableCurrentAsOf() time.Time { return *s.asOf.Load() }

// ValidUntil returns the end of the session on the local clock. It is the zero
// time while the table is older than the session requires.
func (s *Session) ValidUntil() time.Time {
	l := s.lease.Load()
	if s.table.Load().Revision() < l.minRevision {
		return time.Time{}
	}
	return l.until
}

// Valid reports whether the table may be used now.
func (s *Session) Valid() bool { return s.cfg.Clock.Now().Before(s.ValidUntil()) }

// Leader returns the last known peer address of the leader.
func (s *Session) Leader() string { return s.leader.get() }

// Run renews the session and watches the table until ctx ends.
func (s *Session) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.watchLoop(ctx) })
	wg.Go(func() { s.confirmLoop(ctx) })
	s.renewLoop(ctx)
	wg.Wait()
}

func (s *Session) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.RenewInterval)
	defer ticker.Stop()
	wasValid := false
	for {
		_ = s.Renew(ctx)
		if valid := s.Valid(); valid != wasValid {
			wasValid = valid
			s.reportValidity(valid)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.renewNow: // acknowledge a new revision immediately
		}
	}
}

func (s *Session) reportValidity(valid bool) {
	kind := "session-lost"
	if valid {
		kind = "session-valid"
	}
	s.cfg.Logger.Info("session changed", zap.Bool("valid", valid), zap.Uint64("revision", s.Table().Revision()))
	s.cfg.RecordEvent(kind, s.cfg.Host.Host, "")
}

// acquireRenewal waits until no renewal is in progress and prevents others until
// releaseRenewal.
func (s *Session) acquireRenewal(ctx context.Context) error {
	select {
	case s.renewalSlot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

func (s *Session) releaseRenewal() { <-s.renewalSlot }

// Renew renews the session once, asking each replica in turn until one grants it.
func (s *Session) Renew(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.closeCtx, cancel)()
	if err := s.acquireRenewal(ctx); err != nil {
		return errors.Annotate(err, "session is closing")
	}
	defer s.releaseRenewal()
	if s.closing.Load() {
		return errors.New("session is closing")
	}
	request := s.renewRequest()
	var lastErr error
	for range s.leader.maxAttempts() {
		address := s.leader.get()
		sent := s.cfg.Clock.Now()
		reply, err := s.sendRenewal(ctx, address, request)
		if err == nil && reply.Granted {
			s.recordLeaderReply(address)
			s.watchFrom(address)
			s.extendLease(sent, reply)
			return nil
		}
		if err != nil {
			lastErr = err
			s.leader.advanceIfSilent(address, sent)
			continue
		}
		lastErr = errors.Errorf("%s: %s", address, reply.Reason)
		s.leader.advance(address, reply.Leader)
		if s.leader.get() == address {
			s.watchFrom(address) // it is the leader, and may refuse because the table is old
		}
	}
	return errors.Annotate(lastErr, "no control replica renewed the session")
}

func (s *Session) renewRequest() wire.SessionRenew {
	request := wire.SessionRenew{
		Host:     s.cfg.Host,
		Instance: s.cfg.Instance,
		Applied:  s.Table().Revision(),
	}
	now := s.cfg.Clock.Now()
	if s.cfg.Loads != nil && now.Sub(s.lastLoadReport) >= loadReportInterval {
		request.Loads = s.cfg.Loads()
		s.lastLoadReport = now
	}
	return request
}

// loadReportInterval is longer than the renewal interval because placement
// decisions take seconds and reports contain a count for each active slice.
const loadReportInterval = time.Second

func (s *Session) sendRenewal(ctx context.Context, address string, request wire.SessionRenew) (wire.SessionReply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	var reply wire.SessionReply
	err := s.cfg.Caller.Call(ctx, address, wire.MethodSessionRenew, request, &reply)
	return reply, err
}

// extendLease counts the lease from the time that the renewal was sent. If the
// session lapsed before the reply arrived, the leader may have considered it
// expired and confirmed revisions without this host; so the table must first
// reach the leader's revision.
func (s *Session) extendLease(sent time.Time, reply wire.SessionReply) {
	old := s.lease.Load()
	next := &lease{until: sent.Add(time.Duration(reply.TTLMs) * time.Millisecond), minRevision: old.minRevision}
	if !s.cfg.Clock.Now().Before(old.until) {
		next.minRevision = max(next.minRevision, reply.Revision)
	}
	s.lease.Store(next)
	s.addControlHosts(reply.Replicas)
}

// SetSeeds replaces the replicas that are called when no other is known. The
// replica that is currently called stays.
func (s *Session) SetSeeds(seeds []Replica) {
	s.seeds.Store(&seeds)
	s.leader.setReplicas(seeds)
	s.watchLeader.setReplicas(seeds)
}

// ControlHosts returns the peer addresses of the control hosts that the leader named last.
func (s *Session) ControlHosts() []string {
	if known := s.controlHosts.Load(); known != nil {
		return *known
	}
	return nil
}

// addControlHosts sets the known replicas to the seeds and those that a leader
// named.
func (s *Session) addControlHosts(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	s.controlHosts.Store(&addresses)
	all := slices.Clone(*s.seeds.Load())
	for _, a := range addresses {
		if !slices.ContainsFunc(all, func(r Replica) bool { return r.Address == a }) {
			all = append(all, Replica{Host: a, Address: a})
		}
	}
	s.leader.setReplicas(all)
	s.watchLeader.setReplicas(all)
}

// recordLeaderReply records a reply that only the leader sends.
func (s *Session) recordLeaderReply(address string) {
	now := s.cfg.Clock.Now()
	s.leader.recordReply(address, now)
	s.watchLeader.recordReply(address, now)
}

// watchFrom moves the watch to the replica that replied to a renewal as the leader.
func (s *Session) watchFrom(address string) {
	if s.watchLeader.moveTo(address) && !s.cfg.WatchAnyReplica {
		s.interruptWatch()
	}
}

// Close ends the session: it gives up the lease first, so that this host routes
// nothing any more when the leader reassigns its roles. It returns an error if
// no control replica confirmed the end.
func (s *Session) Close(ctx context.Context) error {
	s.closing.Store(true)
	s.cancelOnClose()
	if err := s.acquireRenewal(ctx); err != nil {
		return errors.Annotate(err, "closing the session")
	}
	defer s.releaseRenewal()
	s.lease.Store(&lease{minRevision: s.lease.Load().minRevision})
	request := wire.SessionRenew{Host: s.cfg.Host, Instance: s.cfg.Instance, Closing: true}
	var lastErr error
	for range s.leader.maxAttempts() {
		address := s.leader.get()
		reply, err := s.sendRenewal(ctx, address, request)
		if err == nil && reply.Closed {
			return nil
		}
		if err == nil {
			err = errors.Errorf("%s: %s", address, reply.Reason)
		}
		lastErr = err
		s.leader.advance(address, reply.Leader)
	}
	return errors.Annotate(lastErr, "closing the session")
}
