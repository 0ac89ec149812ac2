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

// Config is what a session needs.
type Config struct {
	Host     command.HostJoined
	Instance string
	// Replicas are the control replicas.
	Replicas []Replica
	Caller   Caller
	// WatchCaller follows the table, over connections of its own where it is set, so
	// that large changes do not delay renewals.
	WatchCaller   Caller
	Clock         clock.Clock
	Logger        *zap.Logger
	RenewInterval time.Duration
	// CallTimeout bounds one renewal, so that a silent replica does not use up the session.
	CallTimeout time.Duration
	WatchPoll   time.Duration
	// ConfirmInterval is the time between two rounds of questions to all control hosts
	// about the age of the table; zero asks none, and the age is never known.
	ConfirmInterval time.Duration
	// FollowAny lets any control host send tables, not only the leader.
	FollowAny bool
	// Loads returns the load to report with a renewal; it may be nil.
	Loads func() []wire.SliceLoads
	// AckChanges renews the session as soon as a new revision was applied, so that
	// operators who wait for it to be in force learn at once.
	AckChanges bool
	// OnTable is called after each change of the routing table, with the time until
	// which the table before is known to have been current; it may be nil.
	OnTable func(t *table.Table, since time.Time)
	// OnConfirmed is called when the table was confirmed as of a later time; it may be nil.
	OnConfirmed func()
	// OnAnswer is called after each answer to a watch with the time that watch and
	// answer were on their way; it may be nil.
	OnAnswer func(way time.Duration)
	Record   func(kind, subject, detail string)
}

// Session is the lease of one entry host. Its readers never block.
type Session struct {
	cfg Config
	// leader is where renewals go, and followed where the watch goes. The watch is not
	// turned from the leader by calls that are late; a granted renewal turns it.
	leader, followed *leaderHint
	// turned is closed when the watch is to go elsewhere.
	turned atomic.Pointer[chan struct{}]

	seeds atomic.Pointer[[]Replica]
	table atomic.Pointer[table.Table]
	lease atomic.Pointer[lease]
	// renewing keeps renewals in sequence: it has room for one.
	renewing chan struct{}
	// ended ends with Close, and with it a renewal that waits for its answer.
	ended    context.Context
	end      context.CancelFunc
	lastLoad time.Time
	closing  atomic.Bool
	patience time.Duration // of the watch loop only
	// control are the control hosts that the leader named last.
	control atomic.Pointer[[]string]
	// asOf is when the table was last known to lack nothing that was acknowledged.
	asOf          atomic.Pointer[time.Time]
	confirmations confirmations
	group         atomic.Uint64 // names the voters that were told last
	turns         atomic.Int64  // how often the watch turned to another control host
	failure       string        // last failed watch, of the watch loop only
	changed       chan struct{}
	// whole is the revision that the leader had when it sent this process its first
	// table; complete is set once the table has it.
	whole    uint64 // used by the watch only
	complete atomic.Bool
}

// lease is one state of the session, replaced as a whole.
type lease struct {
	until time.Time
	// floor is the lowest table revision that may be routed by: the revision of
	// the leader when the session was opened or opened again after a lapse.
	floor uint64
}

// New returns a session that holds no lease yet.
func New(cfg Config) *Session {
	if cfg.WatchCaller == nil {
		cfg.WatchCaller = cfg.Caller
	}
	s := &Session{cfg: cfg, patience: cfg.CallTimeout,
		leader: newLeaderHint(cfg.Replicas), followed: newLeaderHint(cfg.Replicas), changed: make(chan struct{}, 1)}
	s.renewing = make(chan struct{}, 1)
	s.ended, s.end = context.WithCancel(context.Background())
	s.seeds.Store(&cfg.Replicas)
	s.table.Store(table.Empty())
	s.lease.Store(&lease{})
	s.asOf.Store(&time.Time{})
	s.confirmations.voters, s.confirmations.answered = map[uint64][]string{}, map[string]time.Time{}
	s.confirmations.barriers = map[string]uint64{}
	turned := make(chan struct{})
	s.turned.Store(&turned)
	return s
}

// Table returns the current routing table. It may be used only until ValidUntil.
func (s *Session) Table() *table.Table { return s.table.Load() }

// AsOf returns a time before which no change was acknowledged that the table lacks, by
// the answers of a majority of the control replicas. It is the zero time before the first
// such answers.
func (s *Session) AsOf() time.Time { return *s.asOf.Load() }

// ValidUntil returns the end of the session on the local clock. It is the zero
// time while the table is older than the session.
func (s *Session) ValidUntil() time.Time {
	l := s.lease.Load()
	if s.table.Load().Revision() < l.floor {
		return time.Time{}
	}
	return l.until
}

// Valid reports whether the table may be used now.
func (s *Session) Valid() bool { return s.cfg.Clock.Now().Before(s.ValidUntil()) }

// Leader returns the peer address at which the leader was last seen.
func (s *Session) Leader() string { return s.leader.get() }

// Run renews the session and follows the table until ctx ends.
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
			s.reportChange(valid)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.changed: // acknowledge a new revision at once
		}
	}
}

func (s *Session) reportChange(valid bool) {
	kind := "session-lost"
	if valid {
		kind = "session-valid"
	}
	s.cfg.Logger.Info("session changed", zap.Bool("valid", valid), zap.Uint64("revision", s.Table().Revision()))
	s.cfg.Record(kind, s.cfg.Host.Host, "")
}

// startRenewal waits until no renewal is under way.
func (s *Session) startRenewal(ctx context.Context) error {
	select {
	case s.renewing <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

func (s *Session) endRenewal() { <-s.renewing }

// Renew renews the session once, asking each replica in turn until one grants it.
func (s *Session) Renew(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ended, cancel)()
	if err := s.startRenewal(ctx); err != nil {
		return errors.Annotate(err, "session is closing")
	}
	defer s.endRenewal()
	if s.closing.Load() {
		return errors.New("session is closing")
	}
	request := s.request()
	var last error
	for range s.leader.attempts() {
		address := s.leader.get()
		sent := s.cfg.Clock.Now()
		reply, err := s.call(ctx, address, request)
		if err == nil && reply.Granted {
			s.confirm(address)
			s.follow(address)
			s.extend(sent, reply)
			return nil
		}
		if err != nil {
			last = err
			s.leader.silent(address, sent)
			continue
		}
		last = errors.Errorf("%s: %s", address, reply.Reason)
		s.leader.advance(address, reply.Leader)
		if s.leader.get() == address {
			s.follow(address) // it leads, and may refuse because the table is old
		}
	}
	return errors.Annotate(last, "no control replica renewed the session")
}

func (s *Session) request() wire.SessionRenew {
	request := wire.SessionRenew{
		Host:     s.cfg.Host,
		Instance: s.cfg.Instance,
		Applied:  s.Table().Revision(),
	}
	now := s.cfg.Clock.Now()
	if s.cfg.Loads != nil && now.Sub(s.lastLoad) >= loadReportInterval {
		request.Loads = s.cfg.Loads()
		s.lastLoad = now
	}
	return request
}

// loadReportInterval is longer than the renewal interval because placement
// decides over seconds and reports carry a count for each active slice.
const loadReportInterval = time.Second

func (s *Session) call(ctx context.Context, address string, request wire.SessionRenew) (wire.SessionReply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	var reply wire.SessionReply
	err := s.cfg.Caller.Call(ctx, address, wire.MethodSessionRenew, request, &reply)
	return reply, err
}

// extend counts the lease from when the renewal was sent. A session that
// lapsed before the answer came may have been counted as expired by the leader,
// which then confirms revisions without this host; so the table must first
// reach the leader's revision.
func (s *Session) extend(sent time.Time, reply wire.SessionReply) {
	old := s.lease.Load()
	next := &lease{until: sent.Add(time.Duration(reply.TTLMs) * time.Millisecond), floor: old.floor}
	if !s.cfg.Clock.Now().Before(old.until) {
		next.floor = max(next.floor, reply.Revision)
	}
	s.lease.Store(next)
	s.learn(reply.Replicas)
}

// SetSeeds changes the replicas that are asked when no other is known.
func (s *Session) SetSeeds(seeds []Replica) {
	s.seeds.Store(&seeds)
	s.leader.learn(seeds)
	s.followed.learn(seeds)
}

// ControlHosts returns the peer addresses of the control hosts that the leader named last.
func (s *Session) ControlHosts() []string {
	if known := s.control.Load(); known != nil {
		return *known
	}
	return nil
}

// learn adds the replicas that a leader named to the seeds.
func (s *Session) learn(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	s.control.Store(&addresses)
	all := slices.Clone(*s.seeds.Load())
	for _, a := range addresses {
		if !slices.ContainsFunc(all, func(r Replica) bool { return r.Address == a }) {
			all = append(all, Replica{Host: a, Address: a})
		}
	}
	s.leader.learn(all)
	s.followed.learn(all)
}

// confirm takes note of an answer that only the leader gives.
func (s *Session) confirm(address string) {
	now := s.cfg.Clock.Now()
	s.leader.confirm(address, now)
	s.followed.confirm(address, now)
}

// follow turns the watch to the replica that answered a renewal as the leader.
func (s *Session) follow(address string) {
	if s.followed.set(address) && !s.cfg.FollowAny {
		s.interruptWatch()
	}
}

// Close ends the session in an orderly way: the lease is given up first, so
// that this host routes nothing more when the leader hands its roles on.
func (s *Session) Close(ctx context.Context) error {
	s.closing.Store(true)
	s.end()
	if err := s.startRenewal(ctx); err != nil {
		return errors.Annotate(err, "closing the session")
	}
	defer s.endRenewal()
	s.lease.Store(&lease{floor: s.lease.Load().floor})
	request := wire.SessionRenew{Host: s.cfg.Host, Instance: s.cfg.Instance, Closing: true}
	var last error
	for range s.leader.attempts() {
		address := s.leader.get()
		reply, err := s.call(ctx, address, request)
		if err == nil && reply.Closed {
			return nil
		}
		if err == nil {
			err = errors.Errorf("%s: %s", address, reply.Reason)
		}
		last = err
		s.leader.advance(address, reply.Leader)
	}
	return errors.Annotate(last, "closing the session")
}
