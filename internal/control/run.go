package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/fleet"
	"github.com/agatestep/agatestep/internal/table"
)

// maxConcurrentProposals bounds the proposals of one tick that are in flight at a time.
const maxConcurrentProposals = 64

// Run does the periodic duties until ctx ends. Load balancing has its own loop: it
// takes 0.4 s for 460,000 slices and must not delay the detection of losses.
func (l *Leader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, duty := range []func(context.Context) []command.Command{l.Tick, l.Balance} {
		wg.Go(func() { l.runPeriodically(ctx, duty) })
	}
}

func (l *Leader) runPeriodically(ctx context.Context, duty func(context.Context) []command.Command) {
	ticker := time.NewTicker(l.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			duty(ctx)
		}
	}
}

// Tick commits the loss of hosts and backend servers whose sessions and leases have
// expired, and due repairs, and returns the commands that it proposed. A command whose
// outcome is unknown is decided again by the next tick if it is still due.
func (l *Leader) Tick(ctx context.Context) []command.Command {
	ctx, cancel := context.WithTimeout(ctx, DefaultProposalDeadline)
	defer cancel()
	if err := l.establishTerm(ctx); err != nil {
		return nil // not the leader, or not able to commit yet
	}
	v, lostBackends, ok := l.sessionView()
	if !ok {
		return nil
	}
	due := append(DecideLostHosts(v), lostBackends...)
	due = append(due, l.dueRepairs(v.Table)...)
	l.commitAll(ctx, due)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifySessionsChanged()
	return due
}

// Balance repairs standbys, splits hot keys and moves slices, when a decision is
// due, and returns the commands that it proposed.
func (l *Leader) Balance(ctx context.Context) []command.Command {
	ctx, cancel := context.WithTimeout(ctx, DefaultProposalDeadline)
	defer cancel()
	if err := l.establishTerm(ctx); err != nil {
		return nil
	}
	t, loads, graceOver, ok := l.balanceInput()
	if !ok {
		return nil
	}
	started := l.cfg.Clock.Now()
	var due []command.Command
	for _, s := range t.Services() {
		// Sessions granted by earlier leaders bound the leases of dispatchers, not those
		// that backend servers get by heartbeat.
		if s.File.Keyed() && (graceOver || leasedByHeartbeat(t, s.File.Service)) {
			due = append(due, l.balanceService(t, s.File.Service, loads[s.File.Service])...)
		}
	}
	took := l.cfg.Clock.Now().Sub(started)
	l.recordBalanceCost(took)
	l.cfg.RecordWork("balance", took)
	if graceOver {
		for _, h := range fleet.PlanHandOvers(t) {
			due = append(due, command.Command{HandOver: &h})
		}
	}
	l.commitAll(ctx, due)
	return due
}

func (l *Leader) commitAll(ctx context.Context, due []command.Command) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentProposals)
	for _, c := range due {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			// A refused command was based on an outdated state.
			if res, err := l.commit(ctx, c); err == nil && res.Code == command.ResultOK {
				l.onCommitted(&c)
			}
		})
	}
	wg.Wait()
}

// sessionView returns the input of DecideLostHosts, and the losses of backend servers
// that are due, if this process leads. Table and sessions are read under one lock, so
// that a joining host is not taken for expired.
func (l *Leader) sessionView() (v SessionView, lostBackends []command.Command, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	proof, _, ok := l.verifyLease()
	if !ok {
		return SessionView{}, nil, false
	}
	v = SessionView{Table: l.cfg.State.Table(), Term: proof.term, GraceOver: !proof.inGrace(),
		LeasesOver: proof.now.Sub(l.lastOrderlyHandOver) > l.maxSessionDuration(), Live: map[string]bool{}}
	for host, s := range l.sessions {
		v.Live[host] = s.live(proof.now)
	}
	for host := range l.joining {
		v.Live[host] = true
	}
	l.dropExpiredSessions(v, proof)
	return v, l.decideLostBackends(proof.now, v.Table), true
}

// balanceInput returns the input of DecideBalance, if a decision is due. graceOver
// tells whether all sessions granted by earlier leaders have expired.
func (l *Leader) balanceInput() (t *table.Table, loads map[string]Loads, graceOver, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	proof, _, ok := l.verifyLease()
	passed := proof.now.Sub(l.lastBalance)
	due := l.balanceDue && passed >= balancePauseRatio*l.balanceCost || passed >= l.cfg.BalanceInterval
	if !ok || !due {
		return nil, nil, false, false
	}
	l.lastBalance, l.balanceDue = proof.now, false
	l.loads.update(proof.now, l.cfg.State.Table())
	out := map[string]Loads{}
	for name := range l.loads.services {
		out[name] = l.loads.current(name)
	}
	return l.cfg.State.Table(), out, !proof.inGrace(), true
}

// balancePauseRatio is the least pause after a decision relative to the time that it
// took, so that consecutive decisions leave the leader time for heartbeats and watches.
const balancePauseRatio = 20

// recordBalanceCost records how long the last balance decision took.
func (l *Leader) recordBalanceCost(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balanceCost = d
}

// onCommitted updates loads and the balance schedule after a committed split or move.
func (l *Leader) onCommitted(c *command.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.Split != nil:
		t := l.cfg.State.Table()
		l.loads.applySplit(c.Split, t)
		l.balanceDue = l.balanceDue || leasedByHeartbeat(t, c.Split.Service) // the new slices can be placed
	case c.Move != nil && l.loads.idle(c.Move.Service):
		// Without load, moves cannot overload a server, so the slices of a service that
		// is being set up are spread at once instead of once per interval.
		l.balanceDue = true
	}
}

// dropExpiredSessions deletes expired sessions of hosts that are not in the table.
func (l *Leader) dropExpiredSessions(v SessionView, proof leaseProof) {
	for host, s := range l.sessions {
		if !s.live(proof.now) && l.joining[host] == 0 && v.Table.Host(host) == nil {
			delete(l.sessions, host)
		}
	}
}

func sortedHashes(m map[uint64]float64) []uint64 { return slices.Sorted(maps.Keys(m)) }
