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
	room  map[string]map[string]float64    // by service and backend server
	// since is when a server was first to give slices up, by service and server. The
	// slices chosen vary from one decision to the next.
	since map[string]map[string]time.Time
}

type stagedMove struct {
	command.SliceMove
	load float64
}

func newStaged() *staged {
	return &staged{moves: map[string]map[uint64]stagedMove{}, room: map[string]map[string]float64{}, since: map[string]map[string]time.Time{}}
}

// replace puts the latest decisions for a service in place of earlier ones. room is
// the load that servers can take beyond these moves.
func (s *staged) replace(t *table.Table, service string, moves []command.SliceMove, loads map[uint64]float64, room map[string]float64, now time.Time) {
	next, since := map[uint64]stagedMove{}, map[string]time.Time{}
	for _, m := range moves {
		next[m.Start] = stagedMove{SliceMove: m, load: loads[m.Start]}
		slice, _ := t.Lookup(service, m.Start)
		since[slice.Owner] = now
		if old, ok := s.since[service][slice.Owner]; ok {
			since[slice.Owner] = old
		}
	}
	s.moves[service], s.room[service], s.since[service] = next, room, since
}

// due removes and returns the moves away from an owner that are to begin with the
// answer to its heartbeat. next tells when a backend server reports next. Heartbeats
// keep their distance in time, so a server that reports at a bad moment for this owner
// is replaced by another one that has room.
func (s *staged) due(t *table.Table, service, owner string, now time.Time, next func(backend string) (time.Time, bool)) []command.SliceMove {
	soon := func(backend string) bool {
		at, known := next(backend)
		wait := at.Sub(now)
		return known && wait >= releaseTime && wait <= releaseTime+moveWindow
	}
	var out []command.SliceMove
	for _, start := range slices.Sorted(maps.Keys(s.moves[service])) {
		m := s.moves[service][start]
		slice, ok := t.Lookup(service, start)
		if !ok || slice.Start != start || slice.Epoch != m.Epoch || slice.State != table.SliceOwned {
			delete(s.moves[service], start)
			continue
		}
		if slice.Owner != owner {
			continue
		}
		if !soon(m.To) {
			if other, ok := s.takeRoom(service, owner, &m, soon); ok {
				m.To = other
			} else if now.Sub(s.since[service][owner]) < maxStaged {
				continue
			}
		}
		if s.room[service] != nil {
			s.room[service][owner] += m.load
		}
		out = append(out, m.SliceMove)
		delete(s.moves[service], start)
	}
	return out
}

// takeRoom finds the server with the most room for a move among those that report
// soon, if it is then less loaded than the owner is.
func (s *staged) takeRoom(service, owner string, m *stagedMove, soon func(backend string) bool) (backend string, ok bool) {
	room := s.room[service]
	for _, name := range slices.Sorted(maps.Keys(room)) {
		if name != owner && room[name]-m.load > room[owner]+m.load && (!ok || room[name] > room[backend]) && soon(name) {
			backend, ok = name, true
		}
	}
	if ok {
		room[backend] -= m.load
		room[m.To] += m.load
	}
	return backend, ok
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
	cuts := DecideCuts(t, service, loads)
	// A slice of one hash would share its key with the next slice: servers that are
	// leased by heartbeat hold whole keys, and keys may span many hashes.
	loads.Keys = nil
	servers, list, _ := placementView(t, service, loads)
	loads.Noise = loads.noise(len(servers), l.observed())
	due := DecideBalance(t, service, loads, l.cfg.MaxMoving)
	var moves []command.SliceMove
	out := due[:0]
	for _, c := range due {
		if c.Move != nil {
			moves = append(moves, withoutCut(t, service, c.Move.Moves, cuts)...)
			continue
		}
		out = append(out, c)
	}
	if len(cuts) > 0 {
		out = append(out, command.Command{Split: &command.Split{Service: service, Cuts: cuts}})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.staged.replace(t, service, moves, loads.Slices, spareRoom(servers, list, moves, loads.Slices), l.cfg.Clock.Now())
	return out
}

// observed is how long this leader has measured loads.
func (l *Leader) observed() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loads.folded.Sub(l.loads.began)
}

// withoutCut returns the moves of slices that are not cut in the same round: the next
// one places their parts.
func withoutCut(t *table.Table, service string, moves []command.SliceMove, cuts []uint64) []command.SliceMove {
	cut := map[uint64]bool{}
	for _, at := range cuts {
		if s, ok := t.Lookup(service, at); ok {
			cut[s.Start] = true
		}
	}
	return slices.DeleteFunc(moves, func(m command.SliceMove) bool { return cut[m.Start] })
}

func leasedByHeartbeat(t *table.Table, service string) bool {
	s := t.Items().Service(service)
	return s != nil && s.LeaseByHeartbeat
}
