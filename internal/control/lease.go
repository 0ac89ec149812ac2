package control

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// leasePollInterval is the interval at which the leader lease and the current leader
// are checked.
const leasePollInterval = 10 * time.Millisecond

// leaseLapsed reports whether this process is the leader but its lease has expired:
// there was no election, but the last answers of a majority are too old.
func (l *Leader) leaseLapsed() bool {
	now := l.cfg.Clock.Now()
	st := l.cfg.Proposer.Status()
	return st.IsLeader && !now.Before(st.LeaseUntil)
}

// awaitLease waits until a lapsed lease is renewed. Callers retry a refused call at
// once, and the retries of all hosts keep a leader that is short of processor time
// from renewing its lease.
func (l *Leader) awaitLease(ctx context.Context) {
	if !l.leaseLapsed() {
		return
	}
	select {
	case <-l.sharedLeaseWait():
	case <-ctx.Done():
	}
}

// sharedLeaseWait returns a channel that is closed when the wait for the lease is
// over. One goroutine polls the lease for all waiting calls.
func (l *Leader) sharedLeaseWait() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaseWaitDone == nil {
		l.leaseWaitDone = make(chan struct{})
		go l.pollLease(l.leaseWaitDone)
	}
	return l.leaseWaitDone
}

func (l *Leader) pollLease(done chan<- struct{}) {
	started := time.Now()
	for l.leaseLapsed() && time.Since(started) < l.cfg.LeaseWait {
		time.Sleep(leasePollInterval)
	}
	l.mu.Lock()
	l.leaseWaitDone = nil
	l.mu.Unlock()
	close(done)
	l.cfg.Logger.Info("calls waited for the leader lease", zap.Duration("for", time.Since(started)), zap.Bool("regained", !l.leaseLapsed()))
}

// awaitLeader waits until a leader is known, so that a host that watches the table
// does not ask all replicas in turn during an election.
func (l *Leader) awaitLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.LeaseWait)
	defer cancel()
	ticker := time.NewTicker(leasePollInterval)
	defer ticker.Stop()
	for l.cfg.Proposer.Status().LeaderHost == "" {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
