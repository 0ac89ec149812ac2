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

// maxConcurrent bounds the proposals of one tick that are on their way together.
const maxConcurrent = 64

// Run does the periodic duties until ctx ends. Decisions about load have a loop of
// their own: they take 0.4 s for 460,000 slices and must not delay losses.
func (l *Leader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, duty := range []func(context.Context) []command.Command{l.Tick, l.Balance} {
		wg.Go(func() { l.every(ctx, duty) })
	}
}

func (l *Leader) every(ctx context.Context, duty func(context.Context) []command.Command) {
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

// Tick commits the loss of hosts whose sessions are over and returns the commands
// that it proposed. A command whose outcome is not known is decided again by the
// next tick if it is still due.
func (l *Leader) Tick(ctx context.Context) []command.Command {
	ctx, cancel := context.WithTimeout(ctx, DefaultProposalDeadline)
	defer cancel()
	if err := l.establish(ctx); err != nil {
		return nil // not the leader, or not yet able to commit
	}
	v, held, ok := l.view()
	if !ok {
		return nil
	}
	due := append(Decide(v), held...)
	due = append(due, l.repairs(v.Table)...)
	l.carryOut(ctx, due)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notify()
	return due
}

// Balance repairs standbys, splits hot keys and moves slices, when a decision is
// due, and returns the commands that it proposed.
func (l *Leader) Balance(ctx context.Context) []command.Command {
	ctx, cancel := context.WithTimeout(ctx, DefaultProposalDeadline)
	defer cancel()
	if err := l.establish(ctx); err != nil {
		return nil
	}
	t, loads, graceOver, ok := l.balanceView()
	if !ok {
		return nil
	}
	began := l.cfg.Clock.Now()
	var due []command.Command
	for _, s := range t.Services() {
		// Sessions of earlier leaders bound the leases of dispatchers, not those of
		// backend servers that are leased by heartbeat.
		if s.File.Keyed() && (graceOver || leasedByHeartbeat(t, s.File.Service)) {
			due = append(due, l.balanceService(t, s.File.Service, loads[s.File.Service])...)
		}
	}
	cost := l.cfg.Clock.Now().Sub(began)
	l.noteCost(cost)
	l.cfg.Worked("balance", cost)
	if graceOver {
		for _, h := range fleet.PlanHandOvers(t) {
			due = append(due, command.Command{HandOver: &h})
		}
	}
	l.carryOut(ctx, due)
	return due
}

func (l *Leader) carryOut(ctx context.Context, due []command.Command) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrent)
	for _, c := range due {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			// A refused command was based on a state that is gone.
			if res, err := l.commit(ctx, c); err == nil && res.Code == command.ResultOK {
				l.carriedOut(&c)
			}
		})
	}
	wg.Wait()
}

// view collects what Decide needs, if this process leads. Table and sessions are
// read under the lock, so that a host in the table that is joining is seen as such.
func (l *Leader) view() (v View, held []command.Command, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, _, ok := l.lead()
	if !ok {
		return View{}, nil, false
	}
	v = View{Table: l.cfg.State.Table(), Term: r.term, GraceOver: !r.inGrace(),
		LeasesOver: r.now.Sub(l.orderly) > l.sessionSpan(), Live: map[string]bool{}}
	for host, s := range l.sessions {
		v.Live[host] = s.live(r.now)
	}
	for host := range l.joining {
		v.Live[host] = true
	}
	l.dropClosed(v, r)
	return v, l.decideHeld(r.now, v.Table), true
}

// balanceView returns what DecideBalance needs, if a decision is due. graceOver tells
// whether all sessions of earlier leaders are surely over.
func (l *Leader) balanceView() (t *table.Table, loads map[string]Loads, graceOver, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, _, ok := l.lead()
	passed := r.now.Sub(l.balanced)
	due := l.again && passed >= pausePerCost*l.balanceCost || passed >= l.cfg.BalanceInterval
	if !ok || !due {
		return nil, nil, false, false
	}
	l.balanced, l.again = r.now, false
	l.loads.fold(r.now, l.cfg.State.Table())
	out := map[string]Loads{}
	for name := range l.loads.services {
		out[name] = l.loads.view(name)
	}
	return l.cfg.State.Table(), out, !r.inGrace(), true
}

// pausePerCost is the pause after a decision relative to the time that it took, so that
// decisions in a row leave the leader time for heartbeats and watches.
const pausePerCost = 20

// noteCost records how long the last decision about loads took.
func (l *Leader) noteCost(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balanceCost = d
}

// carriedOut takes note of a committed split or move.
func (l *Leader) carriedOut(c *command.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.Split != nil:
		t := l.cfg.State.Table()
		l.loads.split(c.Split, t)
		l.again = l.again || leasedByHeartbeat(t, c.Split.Service) // the parts can be placed
	case c.Move != nil && l.loads.idle(c.Move.Service):
		// Without load nothing can be overloaded by moves, so a service that is being
		// set up is spread at once instead of once per interval.
		l.again = true
	}
}

// dropClosed forgets sessions that are over and whose hosts are out of the table.
func (l *Leader) dropClosed(v View, r leadership) {
	for host, s := range l.sessions {
		if !s.live(r.now) && l.joining[host] == 0 && v.Table.Host(host) == nil {
			delete(l.sessions, host)
		}
	}
}

func sortedHashes(m map[uint64]float64) []uint64 { return slices.Sorted(maps.Keys(m)) }
