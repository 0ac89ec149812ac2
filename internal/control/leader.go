package control

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/agatestep/agatestep/internal/allowance"
	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/keylease"
)

// LeaderStatus is what the replicated log knows about its leader.
type LeaderStatus struct {
	IsLeader   bool
	LeaderHost string // "" when unknown
	Term       uint64
	// LeaseUntil is the end of the leader lease and ElectedAt the time of the
	// election, both on this process's clock; they count only while IsLeader.
	LeaseUntil time.Time
	ElectedAt  time.Time
}

// Proposer is the part of the replicated log that a Leader uses. Propose returns
// after the command has been applied to the local State. Its error is ErrNotLeader
// or ErrDropped when the command is certainly not in the log; after any other error
// the command may be applied.
type Proposer interface {
	Propose(ctx context.Context, command []byte) (index uint64, result []byte, err error)
	Status() LeaderStatus
}

// Errors of a Proposer after which a command is certainly not in the log.
const (
	ErrNotLeader   = errors.ConstError("not the leader")
	ErrNotAppended = errors.ConstError("proposal dropped")
)

// Defaults of LeaderConfig.
const (
	DefaultSessionTTL    = time.Second
	DefaultMaxClockDrift = 0.01
	// DefaultBackendLeaseDuration covers three heartbeats and a second for finding a new
	// leader.
	DefaultBackendLeaseDuration = 3500 * time.Millisecond
	DefaultHeartbeatInterval    = 870 * time.Millisecond
	DefaultMaxWatchWait         = 500 * time.Millisecond
	DefaultTick                 = 50 * time.Millisecond
	DefaultBalanceInterval      = time.Second
	DefaultMaxMovingSlices      = 32
	DefaultProposalDeadline     = time.Second
	// DefaultLeaseWait is below the time for which a host waits for a session renewal.
	DefaultLeaseWait = 250 * time.Millisecond
)

// backendClockDrift is how much slower the clock of a backend server may run: 2 % by
// the protocol of backend servers, and a margin for rounding.
const backendClockDrift = 0.03

// maxHeldRanges is the number of ranges that a heartbeat reply may list. Within 4 KiB,
// each takes 22 bytes, and the token of every fourth another 18.
const maxHeldRanges = 145

// LeaderConfig configures a Leader. Zero values mean the defaults.
type LeaderConfig struct {
	State    *State
	Proposer Proposer
	Clock    clock.Clock
	// SessionTTL is the length of a session on the clock of the host.
	SessionTTL time.Duration
	// MaxClockDrift is the largest relative difference in speed between two clocks.
	MaxClockDrift float64
	// MaxWatchWait bounds how long a Watch waits for a change. Tick is the interval of
	// the leader's decisions.
	MaxWatchWait time.Duration
	Tick         time.Duration
	// BackendLeaseDuration is the length of the lease on keys that a heartbeat reply
	// grants, and HeartbeatInterval the time between two heartbeats of a backend server.
	BackendLeaseDuration time.Duration
	HeartbeatInterval    time.Duration
	Logger               *zap.Logger
	// Replicas returns the peer addresses of the control replicas, for hosts that
	// find them through seeds; it may be nil.
	Replicas func() []string
	// BatchWaitPerHost is how long a watch reply waits for further changes, for each
	// entry host in the table; zero sends it at once.
	BatchWaitPerHost time.Duration
	// LeaseWait bounds how long calls wait for a lapsed leader lease, or until a leader is
	// known. The timeouts of the calls must be longer, or they are retried meanwhile.
	LeaseWait time.Duration
	// RecordWork is called with the kind and the duration of each piece of work, waits
	// excluded; it may be nil.
	RecordWork func(kind string, took time.Duration)
	// BalanceInterval is the interval of decisions to split and move slices.
	BalanceInterval time.Duration
	// MaxMovingSlices bounds the slices of one service that move at the same time.
	MaxMovingSlices int
	// Allowances is what may run beyond the limits of organisations; without a window, the
	// leader lends nothing. LimitOf returns the limit of an organisation in State.
	Allowances allowance.Tolerance
	LimitOf    func(organisation string) (limit allowance.Limit, known bool)
	// BootClock goes on while the machine is suspended; nil means that Clock does.
	BootClock clock.Clock
}

func (c LeaderConfig) withDefaults() LeaderConfig {
	setDefault(&c.Clock, clock.Clock(clock.Real{}))
	setDefault(&c.BootClock, c.Clock)
	setDefault(&c.SessionTTL, DefaultSessionTTL)
	setDefault(&c.MaxClockDrift, DefaultMaxClockDrift)
	setDefault(&c.MaxWatchWait, DefaultMaxWatchWait)
	setDefault(&c.BackendLeaseDuration, DefaultBackendLeaseDuration)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.RecordWork == nil {
		c.RecordWork = func(string, time.Duration) {}
	}
	setDefault(&c.Tick, DefaultTick)
	setDefault(&c.BalanceInterval, DefaultBalanceInterval)
	setDefault(&c.MaxMovingSlices, DefaultMaxMovingSlices)
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
// replica has one; it refuses calls while its replica is not the leader. It is safe
// for concurrent use.
type Leader struct {
	cfg LeaderConfig

	mu              sync.Mutex
	term            uint64 // the term that the state below belongs to
	termEstablished bool   // LeaderElected of this term was applied, so State holds all earlier commands
	sessions        map[string]*session
	joining         map[string]int // hosts whose HostJoined is in flight
	loads           *loadTracker
	leaseTracker    *keylease.Tracker
	pendingMoves    *pendingMoves
	arrivals        map[string]serverArrivals // by service without owners
	// repairChecks holds the last repair check of each service.
	repairChecks map[string]repairCheck
	lastBalance  time.Time // time of the last balance decision
	balanceDue   bool      // the next balance decision does not wait for BalanceInterval
	// balanceCost is how long the last balance decision took.
	balanceCost     time.Duration
	sessionsChanged chan struct{}
	lender          *allowance.Lender
	suspensions     *suspensionWatch
	// leaseWaitDone is closed when the wait for a lapsed lease is over; nil while no call
	// waits.
	leaseWaitDone chan struct{}
	election      singleflight.Group
	// proposals shares proposals in flight between calls with the same command.
	proposals singleflight.Group
	// lastOrderlyHandOver is when a dispatcher last began to hand its role over in an
	// orderly way; leases that it granted before may outlast the handover.
	lastOrderlyHandOver time.Time
}

// NewLeader returns a Leader. It starts no goroutine.
func NewLeader(cfg LeaderConfig) *Leader {
	l := &Leader{cfg: cfg.withDefaults(), sessionsChanged: make(chan struct{})}
	l.suspensions = newSuspensionWatch(l.cfg.Clock, l.cfg.BootClock)
	l.reset(0, time.Time{})
	return l
}

// reset discards everything that belongs to an earlier term.
func (l *Leader) reset(term uint64, electedAt time.Time) {
	l.term, l.termEstablished = term, false
	l.sessions, l.joining = map[string]*session{}, map[string]int{}
	l.loads = newLoadTracker()
	l.leaseTracker = keylease.NewTracker(keylease.Config{LeaseDuration: l.cfg.BackendLeaseDuration, MaxClockDrift: backendClockDrift, MaxRanges: maxHeldRanges,
		MinRecoveryGap: l.cfg.HeartbeatInterval / 2}, electedAt)
	l.pendingMoves, l.arrivals, l.repairChecks = newPendingMoves(), map[string]serverArrivals{}, map[string]repairCheck{}
	l.lastBalance, l.balanceDue = time.Time{}, false
	l.lender = allowance.NewLender(l.cfg.Allowances, term, electedAt)
}

// leaseProof proves that this process held the leader lease at a point in time.
type leaseProof struct {
	now       time.Time // the lease was held at this time
	term      uint64
	electedAt time.Time
	// graceEnds is when all sessions granted by earlier leaders have expired.
	graceEnds time.Time
}

func (p leaseProof) inGrace() bool { return p.now.Before(p.graceEnds) }

// verifyLease checks that this process holds the leader lease, and resets the
// per-term state in a new term. The clock is read before the status: if the process
// is paused in between, the lease is checked at the earlier time, and everything that
// is granted counts from there. The caller holds l.mu.
func (l *Leader) verifyLease() (leaseProof, LeaderStatus, bool) {
	now := l.cfg.Clock.Now()
	st := l.cfg.Proposer.Status()
	if !st.IsLeader || !now.Before(st.LeaseUntil) {
		return leaseProof{}, st, false
	}
	if st.Term != l.term {
		l.reset(st.Term, st.ElectedAt)
	}
	return leaseProof{now: now, term: st.Term, electedAt: st.ElectedAt, graceEnds: st.ElectedAt.Add(l.maxSessionDuration())}, st, true
}

// maxSessionDuration is the time after which a granted session has expired even on
// the slowest clock allowed.
func (l *Leader) maxSessionDuration() time.Duration {
	return l.cfg.SessionTTL + time.Duration(float64(l.cfg.SessionTTL)*l.cfg.MaxClockDrift)
}

// establishTerm waits for the leader lease and commits LeaderElected once per term.
// Without it, State may lack commands of earlier terms, and a grant could contradict
// them.
func (l *Leader) establishTerm(ctx context.Context) error {
	l.awaitLease(ctx)
	l.mu.Lock()
	proof, st, ok := l.verifyLease()
	established := l.termEstablished
	l.mu.Unlock()
	if !ok {
		return errors.New(notLeaderReason(st))
	}
	if established {
		return nil
	}
	recorded := l.election.DoChan(strconv.FormatUint(proof.term, 10), func() (any, error) { return nil, l.recordElection(ctx, proof.term, st.LeaderHost) })
	select {
	case o := <-recorded:
		return errors.Annotate(o.Err, "recording the election")
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "waiting for the record of the election")
	}
}

// recordElection commits LeaderElected. It is not cancelled with the call that started
// it, because all calls to a new leader wait for it.
func (l *Leader) recordElection(ctx context.Context, term uint64, host string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sharedProposalTimeout)
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
		l.termEstablished = true
	}
	return nil
}

// notifySessionsChanged wakes the goroutines that wait for a change of sessions. The
// caller holds l.mu.
func (l *Leader) notifySessionsChanged() {
	close(l.sessionsChanged)
	l.sessionsChanged = make(chan struct{})
}

func notLeaderReason(st LeaderStatus) string {
	if st.IsLeader {
		return "the leader lease has run out"
	}
	return "not the leader"
}
