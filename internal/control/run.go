package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/command"
)

// maxConcurrent bounds the proposals of one tick that are on their way together.
const maxConcurrent = 64

// Run does the periodic duties until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	ticker := time.NewTicker(l.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.Tick(ctx)
		}
	}
}

// Tick takes the decisions that are due, carries them out and returns the
// commands that it proposed. A command whose outcome is not known is decided
// again by the next tick if it is still due.
func (l *Leader) Tick(ctx context.Context) []command.Command {
	ctx, cancel := context.WithTimeout(ctx, DefaultProposalDeadline)
	defer cancel()
	if err := l.establish(ctx); err != nil {
		return nil // not the leader, or not yet able to commit
	}
	v, ok := l.view()
	if !ok {
		return nil
	}
	due := Decide(v)
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
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notify()
	return due
}

// view collects what Decide needs, if this process leads. The table is read
// before the sessions, so that a host in it that is joining is seen as such.
func (l *Leader) view() (View, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, _, ok := l.lead()
	if !ok {
		return View{}, false
	}
	v := View{
		Table:     l.cfg.State.Table(),
		Term:      r.term,
		GraceOver: !r.inGrace(),
		Live:      map[string]bool{},
		MaxMoving: l.cfg.MaxMoving,
	}
	for host, s := range l.sessions {
		v.Live[host] = s.live(r.now)
	}
	for host := range l.joining {
		v.Live[host] = true
	}
	l.dropClosed(v, r)
	if l.again || r.now.Sub(l.balanced) >= l.cfg.BalanceInterval {
		l.again = false
		l.balanced = r.now
		l.loads.fold(r.now)
		v.Balance, v.Loads = !r.inGrace(), map[string]Loads{}
		for name := range l.loads.services {
			v.Loads[name] = l.loads.view(name)
		}
	}
	return v, true
}

// carriedOut takes note of a committed split or move.
func (l *Leader) carriedOut(c *command.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.Split != nil:
		l.loads.split(c.Split, l.cfg.State.Table())
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
