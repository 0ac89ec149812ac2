package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// A key is not served from the answer that takes it from its old owner until the
// heartbeat of the next owner. Both report at their own times, so a move begins
// when the next owner's heartbeat is due soon after the old one has released.
const (
	// releaseTime is the time that an old owner needs to release: it reports every
	// 100 ms while it does, and finishes what it works on.
	releaseTime = 200 * time.Millisecond
	// moveWindow is how long after releaseTime the next owner may report.
	moveWindow = 350 * time.Millisecond
	// maxStaged is how long a move waits for a good moment, about three heartbeats.
	maxStaged = 2500 * time.Millisecond
)

// staged are moves that were decided and wait for a good moment to begin.
type staged struct {
	moves map[string]map[uint64]stagedMove // by service and start
}

type stagedMove struct {
	command.SliceMove
	at time.Time
}

func newStaged() *staged { return &staged{moves: map[string]map[uint64]stagedMove{}} }

// replace puts the latest decisions for a service in place of earlier ones. A
// move that is decided again keeps its age.
func (s *staged) replace(service string, moves []command.SliceMove, now time.Time) {
	next := map[uint64]stagedMove{}
	for _, m := range moves {
		at := now
		if old, ok := s.moves[service][m.Start]; ok && old.Epoch == m.Epoch {
			at = old.at
		}
		next[m.Start] = stagedMove{SliceMove: m, at: at}
	}
	s.moves[service] = next
}

// due removes and returns the moves away from an owner that are to begin with the
// answer to its heartbeat. next tells when a backend server reports next.
func (s *staged) due(t *table.Table, service, owner string, now time.Time, next func(backend string) (time.Time, bool)) []command.SliceMove {
	var out []command.SliceMove
	for start, m := range s.moves[service] {
		slice, ok := t.Lookup(service, start)
		if !ok || slice.Start != start || slice.Epoch != m.Epoch || slice.State != table.SliceOwned {
			delete(s.moves[service], start)
			continue
		}
		if slice.Owner != owner {
			continue
		}
		at, known := next(m.To)
		wait := at.Sub(now)
		if now.Sub(m.at) < maxStaged && (!known || wait < releaseTime || wait > releaseTime+moveWindow) {
			continue
		}
		out = append(out, m.SliceMove)
		delete(s.moves[service], start)
	}
	return out
}

// beginMoves commits the moves that the answer to this heartbeat begins.
func (l *Leader) beginMoves(ctx context.Context, hb *wire.Heartbeat) {
	t := l.cfg.State.Table()
	l.mu.Lock()
	now := l.cfg.Clock.Now()
	moves := l.staged.due(t, hb.Service, hb.Backend, now, func(backend string) (time.Time, bool) {
		b := t.Backend(hb.Service, backend)
		if b == nil {
			return time.Time{}, false
		}
		heard, ok := l.keeper.Heard(b)
		return nextHeartbeat(heard, now, l.cfg.HeartbeatInterval), ok
	})
	l.mu.Unlock()
	if len(moves) == 0 {
		return
	}
	res, err := l.commit(ctx, command.Command{Move: &command.Move{Service: hb.Service, Moves: moves}})
	if err != nil {
		l.cfg.Logger.Warn("move not committed; it is decided again", zap.String("backend", hb.Backend), logging.Error(err))
		return
	}
	l.cfg.Logger.Info("slices move away", zap.String("backend", hb.Backend), zap.String("to", moves[0].To), zap.Int("slices", len(moves)),
		zap.String("result", string(res.Code)), zap.Uint64("revision", res.Revision))
}

// nextHeartbeat returns when a heartbeat is expected that is sent at an interval.
func nextHeartbeat(heard, now time.Time, interval time.Duration) time.Time {
	if !heard.Before(now) {
		return heard
	}
	missed := now.Sub(heard) / interval
	return heard.Add((missed + 1) * interval)
}

// balanceService returns the commands that are due for one service.
func (l *Leader) balanceService(t *table.Table, service string, loads Loads) []command.Command {
	if !leasedByHeartbeat(t, service) {
		loads.Pace = nil
		return DecideBalance(t, service, loads, l.cfg.MaxMoving)
	}
	if !l.settled(t, service) {
		return nil
	}
	if cuts := DecideFirstCuts(t, service, t.Items().Service(service).KeySpan); len(cuts) > 0 {
		return []command.Command{{Split: &command.Split{Service: service, Cuts: cuts}}}
	}
	loads.Slow = nil // their pace says it
	if cuts := DecideCuts(t, service, loads); len(cuts) > 0 {
		return []command.Command{{Split: &command.Split{Service: service, Cuts: cuts}}}
	}
	// A slice of one hash would share its key with the next slice: servers that are
	// leased by heartbeat hold whole keys, and keys may span many hashes.
	loads.Keys = nil
	due := DecideBalance(t, service, loads, l.cfg.MaxMoving)
	var moves []command.SliceMove
	out := due[:0]
	for _, c := range due {
		if c.Move != nil {
			moves = append(moves, c.Move.Moves...)
			continue
		}
		out = append(out, c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.staged.replace(service, moves, l.cfg.Clock.Now())
	return out
}

func leasedByHeartbeat(t *table.Table, service string) bool {
	s := t.Items().Service(service)
	return s != nil && s.LeaseByHeartbeat
}
