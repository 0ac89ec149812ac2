package control

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// leaseLook is the time between two looks at the lease, and at who leads.
const leaseLook = 10 * time.Millisecond

// leaseLapsed reports whether this process leads without its lease: no election
// followed, but the last answers of a majority are too old.
func (l *Leader) leaseLapsed() bool {
	now := l.cfg.Clock.Now()
	st := l.cfg.Proposer.Status()
	return st.IsLeader && !now.Before(st.LeaseUntil)
}

// awaitLease waits for a lease that has run out. A refusal would be answered by
// another call at once, and calls from all hosts keep a leader that is short of
// processor time from getting its lease back.
func (l *Leader) awaitLease(ctx context.Context) {
	if !l.leaseLapsed() {
		return
	}
	select {
	case <-l.leaseReturn():
	case <-ctx.Done():
	}
}

// leaseReturn returns a channel that is closed when the wait for the lease is over.
// One goroutine looks for all who wait.
func (l *Leader) leaseReturn() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaseBack == nil {
		l.leaseBack = make(chan struct{})
		go l.watchLease(l.leaseBack)
	}
	return l.leaseBack
}

func (l *Leader) watchLease(back chan<- struct{}) {
	began := time.Now()
	for l.leaseLapsed() && time.Since(began) < l.cfg.LeaseWait {
		time.Sleep(leaseLook)
	}
	l.mu.Lock()
	l.leaseBack = nil
	l.mu.Unlock()
	close(back)
	l.cfg.Logger.Info("calls waited for the leader lease", zap.Duration("for", time.Since(began)), zap.Bool("regained", !l.leaseLapsed()))
}

// awaitLeader waits until a leader is known, so that a host that follows the table
// does not ask all replicas in turn during an election.
func (l *Leader) awaitLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.LeaseWait)
	defer cancel()
	ticker := time.NewTicker(leaseLook)
	defer ticker.Stop()
	for l.cfg.Proposer.Status().LeaderHost == "" {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
