package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// A moving key is not served from the heartbeat reply that takes it from its old owner
// until the heartbeat of the next owner. Both send heartbeats on their own schedules, so
// a move starts when the next owner's heartbeat is due soon after the release.
const (
	// releaseTime is the time that an old owner needs to release: it finishes its
	// running requests and sends a heartbeat every 100 ms meanwhile.
	releaseTime = 200 * time.Millisecond
	// moveWindow is how long after releaseTime the next owner's heartbeat may be due.
	moveWindow = 350 * time.Millisecond
	// maxPendingMoveAge is how long a move waits for such a heartbeat, about three
	// heartbeat intervals.
	maxPendingMoveAge = 2500 * time.Millisecond
)

// pendingMoves holds moves that were decided and wait for a suitable heartbeat of their
// next owner.
type pendingMoves struct {
	moves    map[string]map[uint64]pendingMove // by service and start
	headroom map[string]map[string]float64     // by service and backend server
	// firstDecided is when moves away from a server were first decided, by service and
	// server. It is not kept per slice, because the slices chosen vary from one decision
	// to the next.
	firstDecided map[string]map[string]time.Time
}

type pendingMove struct {
	command.SliceMove
	load float64
}

func newPendingMoves() *pendingMoves {
	return &pendingMoves{moves: map[string]map[uint64]pendingMove{}, headroom: map[string]map[string]float64{}, firstDecided: map[string]map[string]time.Time{}}
}

// replace replaces the pending moves of a service with those of the latest decision.
// headroom is the load that servers can take on beyond these moves.
func (p *pendingMoves) replace(t *table.Table, service string, moves []command.SliceMove, loads map[uint64]float64, headroom map[string]float64, now time.Time) {
	next, firstDecided := map[uint64]pendingMove{}, map[string]time.Time{}
	for _, m := range moves {
		next[m.Start] = pendingMove{SliceMove: m, load: loads[m.Start]}
		slice, _ := t.Lookup(service, m.Start)
		firstDecided[slice.Owner] = now
		if old, ok := p.firstDecided[service][slice.Owner]; ok {
			firstDecided[slice.Owner] = old
		}
	}
	p.moves[service], p.headroom[service], p.firstDecided[service] = next, headroom, firstDecided
}

// takeDue removes and returns the moves away from an owner that start with the reply to
// its heartbeat. nextReport returns when the next heartbeat of a backend server is due.
// The heartbeats of two servers keep their offset, so a target whose heartbeat comes at
// an unsuitable time for this owner is replaced by another server with headroom.
func (p *pendingMoves) takeDue(t *table.Table, service, owner string, now time.Time, nextReport func(backend string) (time.Time, bool)) []command.SliceMove {
	reportsSoon := func(backend string) bool {
		at, known := nextReport(backend)
		wait := at.Sub(now)
		return known && wait >= releaseTime && wait <= releaseTime+moveWindow
	}
	var out []command.SliceMove
	for _, start := range slices.Sorted(maps.Keys(p.moves[service])) {
		m := p.moves[service][start]
		slice, ok := t.Lookup(service, start)
		if !ok || slice.Start != start || slice.Epoch != m.Epoch || slice.State != table.SliceOwned {
			delete(p.moves[service], start)
			continue
		}
		if slice.Owner != owner {
			continue
		}
		if !reportsSoon(m.To) {
			if other, ok := p.substituteTarget(service, owner, &m, reportsSoon); ok {
				m.To = other
			} else if now.Sub(p.firstDecided[service][owner]) < maxPendingMoveAge {
				continue
			}
		}
		if p.headroom[service] != nil {
			p.headroom[service][owner] += m.load
		}
		out = append(out, m.SliceMove)
		delete(p.moves[service], start)
	}
	return out
}

// substituteTarget returns the server with the most headroom for a move among those that
// report soon, if it keeps more headroom than the owner has after the move.
func (p *pendingMoves) substituteTarget(service, owner string, move *pendingMove, reportsSoon func(backend string) bool) (backend string, ok bool) {
	headroom := p.headroom[service]
	for _, name := range slices.Sorted(maps.Keys(headroom)) {
		if name != owner && headroom[name]-move.load > headroom[owner]+move.load && (!ok || headroom[name] > headroom[backend]) && reportsSoon(name) {
			backend, ok = name, true
		}
	}
	if ok {
		headroom[backend] -= move.load
		headroom[move.To] += move.load
	}
	return backend, ok
}

// startDueMoves commits the moves that start with the reply to this heartbeat. A new leader
// starts none before it can confirm releases, because the keys would not be served until
// then.
func (l *Leader) startDueMoves(ctx context.Context, hb *wire.Heartbeat) {
	t := l.cfg.State.Table()
	l.mu.Lock()
	now := l.cfg.Clock.Now()
	if now.Before(l.leaseTracker.EarlierLeasesEnd()) {
		l.mu.Unlock()
		return
	}
	moves := l.pendingMoves.takeDue(t, hb.Service, hb.Backend, now, func(backend string) (time.Time, bool) {
		b := t.Backend(hb.Service, backend)
		if b == nil {
			return time.Time{}, false
		}
		last, ok := l.leaseTracker.LastHeartbeat(b)
		return nextHeartbeat(last, now, l.cfg.HeartbeatInterval), ok
	})
	l.mu.Unlock()
	if len(moves) == 0 {
		return
	}
	res, err := l.commit(ctx, command.Command{Move: &command.Move{Service: hb.Service, Moves: moves}})
	if err != nil {
		l.cfg.Logger.Warn("move not committed; it will be decided again", zap.String("backend", hb.Backend), logging.Error(err))
		return
	}
	l.cfg.Logger.Info("slices move away", zap.String("backend", hb.Backend), zap.String("to", moves[0].To), zap.Int("slices", len(moves)),
		zap.String("result", string(res.Code)), zap.Uint64("revision", res.Revision))
}

// nextHeartbeat returns when the next heartbeat is due, given the last one and the
// interval.
func nextHeartbeat(last, now time.Time, interval time.Duration) time.Time {
	if !last.Before(now) {
		return last
	}
	intervals := now.Sub(last) / interval
	return last.Add((intervals + 1) * interval)
}

// balanceService returns the commands that are due for one service.
func (l *Leader) balanceService(t *table.Table, service string, loads Loads) []command.Command {
	if !leasedByHeartbeat(t, service) {
		loads.Speed = nil
		return DecideBalance(t, service, loads, l.cfg.MaxMovingSlices)
	}
	if !l.assignmentReady(t, service) {
		return nil
	}
	if splitPoints := DecideInitialSplits(t, service, t.Items().Service(service).KeySpan); len(splitPoints) > 0 {
		return []command.Command{{Split: &command.Split{Service: service, Cuts: splitPoints}}}
	}
	loads.StragglerFactors = nil // Speed covers it
	splitPoints := DecideSplitPoints(t, service, loads)
	// A slice of one hash would share its key with the next slice: servers that are
	// leased by heartbeat hold whole keys, and a key may span many hashes.
	loads.Keys = nil
	servers, list, _ := placementInput(t, service, loads)
	loads.RelativeStdDev = loads.estimateRelativeStdDev(len(servers), l.measuredFor())
	due := DecideBalance(t, service, loads, l.cfg.MaxMovingSlices)
	var moves []command.SliceMove
	out := due[:0]
	for _, c := range due {
		if c.Move != nil {
			moves = append(moves, excludeSplitSlices(t, service, c.Move.Moves, splitPoints)...)
			continue
		}
		out = append(out, c)
	}
	if len(splitPoints) > 0 {
		out = append(out, command.Command{Split: &command.Split{Service: service, Cuts: splitPoints}})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingMoves.replace(t, service, moves, loads.Slices, headroomByServer(servers, list, moves, loads.Slices), l.cfg.Clock.Now())
	return out
}

// measuredFor returns for how long this leader has measured loads.
func (l *Leader) measuredFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loads.lastUpdate.Sub(l.loads.measuredSince)
}

// excludeSplitSlices returns the moves of slices that are not split in the same round:
// the next round places their parts.
func excludeSplitSlices(t *table.Table, service string, moves []command.SliceMove, splitPoints []uint64) []command.SliceMove {
	split := map[uint64]bool{}
	for _, at := range splitPoints {
		if s, ok := t.Lookup(service, at); ok {
			split[s.Start] = true
		}
	}
	return slices.DeleteFunc(moves, func(m command.SliceMove) bool { return split[m.Start] })
}

// leasedByHeartbeat reports whether the backend servers of a service get their leases in
// heartbeat replies.
func leasedByHeartbeat(t *table.Table, service string) bool {
	s := t.Items().Service(service)
	return s != nil && s.LeaseByHeartbeat
}
