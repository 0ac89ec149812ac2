package control

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/keylease"
)

// LeaderStatus is what the replicated log knows of its leader.
type LeaderStatus struct {
	IsLeader   bool
	LeaderHost string // "" when unknown
	Term       uint64
	// LeaseUntil is the end of the leader lease and ElectedAt the time of the
	// election, both on this process's clock; they count only while IsLeader.
	LeaseUntil time.Time
	ElectedAt  time.Time
}

// Proposer is the part of the replicated log that the leader's duties need.
// Propose returns after the command has been applied to the local State. Its
// error is ErrNotLeader or ErrDropped when the command is certainly not in the
// log; after any other error it may be applied.
type Proposer interface {
	Propose(ctx context.Context, command []byte) (index uint64, result []byte, err error)
	Status() LeaderStatus
}

// Errors of a Proposer that say that a command is certainly not in the log.
const (
	ErrNotLeader = errors.ConstError("not the leader")
	ErrDropped   = errors.ConstError("proposal dropped")
)

// Defaults of LeaderConfig.
const (
	DefaultSessionTTL    = time.Second
	DefaultMaxClockDrift = 0.01
	// DefaultBackendHold spans three heartbeats and a second for finding a new leader.
	DefaultBackendHold       = 3500 * time.Millisecond
	DefaultHeartbeatInterval = 870 * time.Millisecond
	DefaultPoll              = 500 * time.Millisecond
	DefaultTick              = 50 * time.Millisecond
	DefaultBalanceInterval   = time.Second
	DefaultMaxMoving         = 32
	DefaultProposalDeadline  = time.Second
	// DefaultLeaseWait is below the time that a host gives a renewal of its session.
	DefaultLeaseWait = 250 * time.Millisecond
)

// backendClockDrift is how much slower the clock of a backend server may measure
// its lease: 2 % by the interface of backend servers, and a margin for rounding.
const backendClockDrift = 0.03

// maxHeldRanges is the number of ranges that an answer to a heartbeat may list: 22
// bytes each, and 18 for the token of every fourth, within 4 KiB.
const maxHeldRanges = 145

// LeaderConfig is the environment of a Leader. Zero values mean the defaults.
type LeaderConfig struct {
	State    *State
	Proposer Proposer
	Clock    clock.Clock
	// SessionTTL is the length of a session, as a host counts it.
	SessionTTL time.Duration
	// MaxClockDrift is the largest difference in speed between two clocks.
	MaxClockDrift float64
	// Poll bounds one Watch, Tick is the interval of the leader's decisions.
	Poll time.Duration
	Tick time.Duration
	// BackendHold is the lease on keys that an answer to a heartbeat grants, and
	// HeartbeatInterval the time between two heartbeats of a backend server.
	BackendHold       time.Duration
	HeartbeatInterval time.Duration
	Logger            *zap.Logger
	// Replicas returns the peer addresses of the control replicas for hosts that
	// find them through seeds; it may be nil.
	Replicas func() []string
	// Gather is how long an answer to a watch waits for further changes, per entry
	// host; zero answers at once.
	Gather time.Duration
	// LeaseWait bounds how long calls wait for a lease that has run out, or until a leader is
	// known. Callers must wait longer for their answers, or they come again meanwhile.
	LeaseWait time.Duration
	// Worked is told the kind and the time of pieces of work, without waits; it may be nil.
	Worked func(kind string, took time.Duration)
	// BalanceInterval is the interval of decisions to split and move slices.
	BalanceInterval time.Duration
	// MaxMoving bounds the slices of one service that move at the same time.
	MaxMoving int
}

func (c LeaderConfig) withDefaults() LeaderConfig {
	setDefault(&c.Clock, clock.Clock(clock.Real{}))
	setDefault(&c.SessionTTL, DefaultSessionTTL)
	setDefault(&c.MaxClockDrift, DefaultMaxClockDrift)
	setDefault(&c.Poll, DefaultPoll)
	setDefault(&c.BackendHold, DefaultBackendHold)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Worked == nil {
		c.Worked = func(string, time.Duration) {}
	}
	setDefault(&c.Tick, DefaultTick)
	setDefault(&c.BalanceInterval, DefaultBalanceInterval)
	setDefault(&c.MaxMoving, DefaultMaxMoving)
	setDefault(&c.LeaseWait, DefaultLeaseWait)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Leader does the duties of the leader of the control group. Every daemon with a
// replica has one; it refuses while its replica is not the leader. It is safe for
// concurrent use.
type Leader struct {
	cfg LeaderConfig

	mu       sync.Mutex
	term     uint64 // of the sessions below; a new term begins without any
	fresh    bool   // LeaderElected of this term was applied, so State holds all earlier commands
	sessions map[string]*session
	joining  map[string]int // hosts whose HostJoined is on its way
	loads    *loads
	keeper   *keylease.Keeper
	staged   *staged
	arrivals map[string]arrivals // by service without owners
	// repaired is when a service was last looked through for slices to be given
	// away, and at which revision.
	repaired map[string]look
	balanced time.Time // last decision to split and move
	again    bool      // the next decision is due at once
	// balanceCost is the time that the last of these decisions took.
	balanceCost time.Duration
	wake        chan struct{}
	// leaseBack is closed when the wait for a lease that has run out is over; nil while
	// nobody waits.
	leaseBack chan struct{}
	election  singleflight.Group
	// proposals are the commands of operators that are on their way.
	proposals singleflight.Group
	// orderly is when a dispatcher last began to give its role up in an orderly
	// way; leases that it granted before may go on for a while.
	orderly time.Time
}

// NewLeader returns a Leader that does nothing before its first call.
func NewLeader(cfg LeaderConfig) *Leader {
	l := &Leader{cfg: cfg.withDefaults(), wake: make(chan struct{})}
	l.reset(0, time.Time{})
	return l
}

func (l *Leader) reset(term uint64, since time.Time) {
	l.term, l.fresh = term, false
	l.sessions, l.joining = map[string]*session{}, map[string]int{}
	l.loads = newLoads()
	l.keeper = keylease.NewKeeper(keylease.Config{Hold: l.cfg.BackendHold, MaxClockDrift: backendClockDrift, MaxRanges: maxHeldRanges,
		ReturnGap: l.cfg.HeartbeatInterval / 2}, since)
	l.staged, l.arrivals, l.repaired = newStaged(), map[string]arrivals{}, map[string]look{}
	l.balanced, l.again = time.Time{}, false
}

// leadership is proof that this process held the leader lease at a moment.
type leadership struct {
	now       time.Time // the lease was held at this time
	term      uint64
	electedAt time.Time
	// graceEnds is when sessions granted by earlier leaders are surely over.
	graceEnds time.Time
}

func (r leadership) inGrace() bool { return r.now.Before(r.graceEnds) }

// lead checks the leader lease. The clock is read before the status: if the
// process is paused in between, the lease counts at the earlier time, and all
// that is granted counts from there. The caller holds l.mu.
func (l *Leader) lead() (leadership, LeaderStatus, bool) {
	now := l.cfg.Clock.Now()
	st := l.cfg.Proposer.Status()
	if !st.IsLeader || !now.Before(st.LeaseUntil) {
		return leadership{}, st, false
	}
	if st.Term != l.term {
		l.reset(st.Term, st.ElectedAt)
	}
	return leadership{now: now, term: st.Term, electedAt: st.ElectedAt, graceEnds: st.ElectedAt.Add(l.sessionSpan())}, st, true
}

// sessionSpan is the time after which a session that was granted is over by the
// slowest clock allowed.
func (l *Leader) sessionSpan() time.Duration {
	return l.cfg.SessionTTL + time.Duration(float64(l.cfg.SessionTTL)*l.cfg.MaxClockDrift)
}

// establish commits LeaderElected once per term. Without it, State may lack
// commands of earlier terms, and a grant could contradict them.
func (l *Leader) establish(ctx context.Context) error {
	l.awaitLease(ctx)
	l.mu.Lock()
	r, st, ok := l.lead()
	fresh := l.fresh
	l.mu.Unlock()
	if !ok {
		return errors.New(notLeading(st))
	}
	if fresh {
		return nil
	}
	recorded := l.election.DoChan(strconv.FormatUint(r.term, 10), func() (any, error) { return nil, l.recordElection(ctx, r.term, st.LeaderHost) })
	select {
	case o := <-recorded:
		return errors.Annotate(o.Err, "recording the election")
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "waiting for the record of the election")
	}
}

// recordElection commits LeaderElected. It outlasts the call that began it, because all
// calls to a new leader wait for it.
func (l *Leader) recordElection(ctx context.Context, term uint64, host string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposalTime)
	defer cancel()
	res, err := l.commit(ctx, command.Command{LeaderElected: &command.LeaderElected{Term: term, Host: host}})
	if err != nil {
		return err
	}
	if res.Code != command.ResultOK {
		return errors.New(res.Detail)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == term {
		l.fresh = true
	}
	return nil
}

// notify wakes those who wait for a change of sessions. The caller holds l.mu.
func (l *Leader) notify() {
	close(l.wake)
	l.wake = make(chan struct{})
}

func notLeading(st LeaderStatus) string {
	if st.IsLeader {
		return "the leader lease has run out"
	}
	return "not the leader"
}
