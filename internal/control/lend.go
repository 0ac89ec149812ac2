package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/allowance"
	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/wire"
)

const (
	// minLendInterval and maxLendInterval bound the time between two calls of a host, and
	// lendIntervalPerHost bounds the calls that the leader answers, 500 a second up to 250 hosts.
	minLendInterval     = 100 * time.Millisecond
	maxLendInterval     = 500 * time.Millisecond
	lendIntervalPerHost = 2 * time.Millisecond
)

// Lend records which loans of an entry host have ended and lends it requests of the
// organisations that it wants. Only a leader whose lease is valid lends: any other one may
// have been replaced by a leader that lends the same.
func (l *Leader) Lend(ctx context.Context, call wire.AllowanceCall) wire.AllowanceReply {
	if !l.cfg.Allowances.Enabled() {
		return wire.AllowanceReply{Reason: "this deployment has no allowances"}
	}
	// State must hold the limits that earlier leaders acknowledged.
	if err := l.establishTerm(ctx); err != nil {
		return l.lendRefusal(err.Error())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	proof, st, ok := l.verifyLease()
	if !ok {
		return l.lendRefusal(notLeaderReason(st))
	}
	if l.suspensions.recent(proof.now) {
		return l.lendRefusal("the machine was suspended, and the lease is not renewed yet")
	}
	return wire.AllowanceReply{Lends: true, Leader: st.LeaderHost, Loans: l.lend(proof.now, call), IntervalMs: l.lendInterval().Milliseconds()}
}

func (l *Leader) lendRefusal(reason string) wire.AllowanceReply {
	return wire.AllowanceReply{Leader: l.cfg.Proposer.Status().LeaderHost, Reason: reason}
}

// lend applies a call. The caller holds l.mu.
func (l *Leader) lend(now time.Time, call wire.AllowanceCall) []wire.AllowanceLoan {
	settled := make([]allowance.Settlement, 0, len(call.Settled))
	for _, s := range call.Settled {
		settled = append(settled, allowance.Settlement{Loan: allowance.LoanID(s.Loan), Unspent: s.Unspent})
	}
	l.lender.Settle(now, settled)
	loans := make([]wire.AllowanceLoan, 0, len(call.Wants))
	for _, w := range call.Wants {
		limit, known := l.cfg.LimitOf(w.Organisation)
		if !known {
			loans = append(loans, wire.AllowanceLoan{Unknown: true})
			continue
		}
		loan := l.lender.Lend(now, limit, allowance.Want{Organisation: w.Organisation, Need: w.Need, Ahead: w.Ahead})
		loans = append(loans, wire.AllowanceLoan{ID: uint64(loan.ID), Amount: loan.Amount, LifeMs: loan.Life.Milliseconds(),
			WaitMs: loan.Wait.Milliseconds(), SpacingMs: loan.Spacing.Milliseconds()})
		l.logLoan(call.Host, w, loan)
	}
	return loans
}

// logLoan logs a loan that is less than what a host needs.
func (l *Leader) logLoan(host string, w wire.AllowanceWant, loan allowance.Loan) {
	if loan.Amount >= w.Need {
		return
	}
	lent, available := l.lender.Usage(w.Organisation)
	l.cfg.Logger.Info("allowance used up", zap.String("organisation", w.Organisation), zap.String("host", host), zap.Int("need", w.Need),
		zap.Int("lent", loan.Amount), zap.Int("open", lent), zap.Float64("available", available), zap.Duration("wait", loan.Wait))
}

// AllowanceUse returns what all hosts together use of allowances, for at most limit
// organisations. Only the leader knows it.
func (l *Leader) AllowanceUse(limit int) []allowance.Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	proof, _, ok := l.verifyLease()
	if !ok {
		return nil
	}
	return l.lender.Uses(proof.now, limit)
}

// lendInterval returns the time that should pass between two calls of a host.
func (l *Leader) lendInterval() time.Duration {
	hosts := len(l.cfg.State.Table().Hosts())
	return min(max(time.Duration(hosts)*lendIntervalPerHost, minLendInterval), maxLendInterval)
}

const (
	// suspendThreshold is the least suspension of a machine that counts.
	suspendThreshold = 20 * time.Millisecond
	// suspendDoubt is how long after a suspension the leader does not lend: its lease counts
	// from a clock that stood still, until it is renewed. Leases are shorter.
	suspendDoubt = time.Second
	// clockReadings is how often both clocks are read before a suspension is believed: a delay
	// between two readings looks like one.
	clockReadings = 3
)

// suspensionWatch tells when the machine was suspended, during which the clock of the lease
// stands still.
type suspensionWatch struct {
	lease, boot           clock.Clock
	leaseStart, bootStart time.Time
	suspended             time.Duration // sum so far
	lastSeen              time.Time     // when the last suspension was noticed
}

func newSuspensionWatch(lease, boot clock.Clock) *suspensionWatch {
	w := &suspensionWatch{lease: lease, boot: boot, leaseStart: lease.Now(), bootStart: boot.Now()}
	w.suspended = w.least(func(time.Duration) bool { return false })
	return w
}

// least returns the least total of some readings, up to the first that is good enough.
func (w *suspensionWatch) least(enough func(time.Duration) bool) time.Duration {
	total := w.total()
	for range clockReadings - 1 {
		if enough(total) {
			break
		}
		total = min(total, w.total())
	}
	return total
}

// recent reports whether the machine was suspended within suspendDoubt.
func (w *suspensionWatch) recent(now time.Time) bool {
	known := func(total time.Duration) bool { return total <= w.suspended+suspendThreshold }
	if total := w.least(known); !known(total) {
		w.suspended, w.lastSeen = total, now
	}
	return !w.lastSeen.IsZero() && now.Sub(w.lastSeen) < suspendDoubt
}

// total returns how long the machine was suspended since the start, and the delay between two
// readings of its clocks.
func (w *suspensionWatch) total() time.Duration {
	awake := w.lease.Now().Sub(w.leaseStart)
	return w.boot.Now().Sub(w.bootStart) - awake
}
