package session

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/pack"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// maxPatience bounds the wait for an answer to a watch beyond the poll. The wait
// doubles after each that ran out of time: the answer may be larger than the link
// carries in the usual time.
const maxPatience = 8 * time.Second

// watchRetryPause keeps a host from asking in a tight loop while no replica leads.
const watchRetryPause = 50 * time.Millisecond

func (s *Session) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.Watch(ctx); err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(watchRetryPause):
			}
		}
	}
}

// Watch asks once for changes after the current revision and applies them.
func (s *Session) Watch(ctx context.Context) error {
	turned := *s.turned.Load()
	address := s.source()
	ctx, cancel := context.WithTimeout(ctx, s.cfg.WatchPoll+s.patience)
	defer cancel()
	go func() {
		select {
		case <-turned:
			cancel()
		case <-ctx.Done():
		}
	}()
	request := wire.TableWatch{Host: s.cfg.Host.Host, Revision: s.Table().Revision(), Any: s.cfg.FollowAny}
	sent := s.cfg.Clock.Now()
	var reply wire.TableReply
	if err := s.cfg.WatchCaller.Call(ctx, address, wire.MethodTableWatch, request, &reply); err != nil {
		firstLate := errors.Is(ctx.Err(), context.DeadlineExceeded) && s.patience == s.cfg.CallTimeout
		if !firstLate {
			s.followed.silent(address, sent)
			s.leave(address)
		}
		if errors.Is(err, context.DeadlineExceeded) {
			s.patience = min(2*s.patience, maxPatience)
		}
		return s.watchFailed(address, sent, errors.Trace(err))
	}
	s.patience = s.cfg.CallTimeout
	if reply.Reason != "" {
		s.followed.advance(address, reply.Leader)
		s.leave(address)
		return s.watchFailed(address, sent, errors.Errorf("%s: %s", address, reply.Reason))
	}
	s.failure = ""
	if !s.cfg.FollowAny {
		s.confirm(address)
	}
	return s.apply(answer{TableReply: reply, from: address, sent: sent})
}

// leave turns from a control host that did not send tables, unless the watch has been
// turned already.
func (s *Session) leave(address string) {
	if s.cfg.FollowAny && s.source() == address {
		s.turns.Add(1)
	}
}

// watchFailed logs a failed watch, and repeated ones once.
func (s *Session) watchFailed(address string, sent time.Time, err error) error {
	if said := err.Error(); said != s.failure {
		s.failure = said
		now := s.cfg.Clock.Now()
		s.cfg.Logger.Info("watch of the routing table failed", zap.String("replica", address), zap.Duration("took", now.Sub(sent)),
			zap.Uint64("revision", s.Table().Revision()), zap.Duration("table_age", now.Sub(s.AsOf())), zap.Error(err))
	}
	return err
}

// answer is the answer to a watch.
type answer struct {
	wire.TableReply
	from string
	sent time.Time // when the watch was sent
}

// held is how long the replica waited for a change.
func (a *answer) held() time.Duration { return time.Duration(a.HeldMs) * time.Millisecond }

// size is the bytes of tables in the answer.
func (a *answer) size() int {
	size := len(a.Snapshot) + len(a.Delta)
	for _, more := range a.More {
		size += len(more)
	}
	return size
}

func (s *Session) apply(reply answer) error {
	current := s.Table()
	next, err := nextTable(current, reply.TableReply)
	if err != nil {
		s.cfg.Logger.Warn("routing table update refused", zap.Uint64("revision", current.Revision()), zap.Error(err))
		return errors.Trace(err)
	}
	way := s.cfg.Clock.Now().Sub(reply.sent) - reply.held()
	if s.cfg.OnAnswer != nil {
		s.cfg.OnAnswer(way)
	}
	since := s.AsOf()
	if next.Revision() <= current.Revision() {
		return nil
	}
	s.cfg.Logger.Info("routing table taken", zap.Uint64("revision", next.Revision()), zap.Uint64("from", current.Revision()),
		zap.Uint64("leader_revision", reply.Current), zap.String("replica", reply.from), zap.Bool("whole", len(reply.Snapshot) > 0),
		zap.Int("bytes", reply.size()), zap.Duration("held", reply.held()), zap.Duration("way", way))
	s.table.Store(next)
	s.reviewAge()
	s.noteComplete(next.Revision(), reply.Current)
	if s.cfg.OnTable != nil {
		s.cfg.OnTable(next, since)
	}
	if s.cfg.AckChanges {
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
	return nil
}

// Complete reports whether the first table of this process came in full. Before
// that, what the table lacks may be in a part that is still to come.
func (s *Session) Complete() bool { return s.complete.Load() }

func (s *Session) noteComplete(revision, current uint64) {
	if s.whole == 0 {
		s.whole = current
	}
	if revision >= s.whole {
		s.complete.Store(true)
	}
}

// nextTable never goes back: a revision lower than the current one is ignored.
func nextTable(current *table.Table, reply wire.TableReply) (*table.Table, error) {
	next, err := firstTable(current, reply)
	for _, more := range reply.More {
		if err != nil {
			break
		}
		next, err = applyDelta(next, more)
	}
	return next, err
}

// firstTable applies the snapshot or the first delta of an answer.
func firstTable(current *table.Table, reply wire.TableReply) (*table.Table, error) {
	switch {
	case len(reply.Snapshot) > 0:
		encoded, err := pack.Unpack(reply.Snapshot)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return table.DecodeSnapshot(encoded)
	case len(reply.Delta) > 0:
		return applyDelta(current, reply.Delta)
	default:
		return current, nil
	}
}

func applyDelta(t *table.Table, packed []byte) (*table.Table, error) {
	encoded, err := pack.Unpack(packed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	delta, err := table.DecodeDelta(encoded)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return t.Apply(delta)
}

// leaderHint remembers where the leader was last seen.
type leaderHint struct {
	mu       sync.Mutex
	replicas []Replica
	current  int
	// answered is when the current replica last answered as the leader.
	answered time.Time
}

func newLeaderHint(replicas []Replica) *leaderHint { return &leaderHint{replicas: replicas} }

func (h *leaderHint) get() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replicas[h.current].Address
}

// learn sets the replicas to ask: those given and the current one.
func (h *leaderHint) learn(replicas []Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.replicas[h.current]
	at := slices.Index(replicas, current)
	if at < 0 {
		at, replicas = 0, append([]Replica{current}, replicas...)
	}
	h.replicas, h.current = replicas, at
}

// attempts allows each replica once and one hint on top.
func (h *leaderHint) attempts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.replicas) + 1
}

// confirm takes note of an answer that only the leader gives.
func (h *leaderHint) confirm(from string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.replicas[h.current].Address == from {
		h.answered = now
	}
}

// set moves to a replica and reports whether it was another one.
func (h *leaderHint) set(address string) (moved bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := slices.IndexFunc(h.replicas, func(r Replica) bool { return r.Address == address })
	if at < 0 || at == h.current {
		return false
	}
	h.current, h.answered = at, time.Time{}
	return true
}

// silent moves on from a replica that did not answer a call sent at a time, unless it
// has answered another one as the leader since: on a crowded link one call may be late
// while others come through, and every other replica would only name it again.
func (h *leaderHint) silent(from string, sent time.Time) {
	h.mu.Lock()
	led := h.answered.After(sent)
	h.mu.Unlock()
	if !led {
		h.advance(from, "")
	}
}

// advance moves on from a replica that did not answer as leader, to the host
// that it named as leader or to the next one. A replica that refuses but names
// itself leads, and stays the current one.
func (h *leaderHint) advance(from, leaderHost string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.replicas[h.current].Address != from {
		return // another caller moved on already
	}
	at := slices.IndexFunc(h.replicas, func(r Replica) bool { return r.Host == leaderHost })
	if _, err := netip.ParseAddrPort(leaderHost); at < 0 && err == nil {
		// Replicas that are found through seeds are named by their addresses.
		h.replicas = append(slices.Clone(h.replicas), Replica{Host: leaderHost, Address: leaderHost})
		at = len(h.replicas) - 1
	}
	if at < 0 {
		at = (h.current + 1) % len(h.replicas)
	}
	h.current, h.answered = at, time.Time{}
}
