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

// maxReplyTimeout bounds the wait for a reply to a watch beyond WatchPoll. The wait
// doubles after each timeout, because the reply may be larger than the link can carry
// in the usual time.
const maxReplyTimeout = 8 * time.Second

// watchRetryDelay prevents a tight retry loop while there is no leader.
const watchRetryDelay = 50 * time.Millisecond

func (s *Session) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.Watch(ctx); err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(watchRetryDelay):
			}
		}
	}
}

// Watch requests the changes after the current revision once and applies them.
func (s *Session) Watch(ctx context.Context) error {
	interrupt := *s.watchInterrupt.Load()
	address := s.tableSource()
	ctx, cancel := context.WithTimeout(ctx, s.cfg.WatchPoll+s.replyTimeout)
	defer cancel()
	go func() {
		select {
		case <-interrupt:
			cancel()
		case <-ctx.Done():
		}
	}()
	request := wire.TableWatch{Host: s.cfg.Host.Host, Revision: s.Table().Revision(), AnyReplica: s.cfg.WatchAnyReplica}
	sent := s.cfg.Clock.Now()
	var reply wire.TableReply
	if err := s.cfg.WatchCaller.Call(ctx, address, wire.MethodTableWatch, request, &reply); err != nil {
		firstTimeout := errors.Is(ctx.Err(), context.DeadlineExceeded) && s.replyTimeout == s.cfg.CallTimeout
		if !firstTimeout {
			s.watchLeader.advanceIfSilent(address, sent)
			s.switchTableSourceFrom(address)
		}
		if errors.Is(err, context.DeadlineExceeded) {
			s.replyTimeout = min(2*s.replyTimeout, maxReplyTimeout)
		}
		return s.logWatchFailure(address, sent, errors.Trace(err))
	}
	s.replyTimeout = s.cfg.CallTimeout
	if reply.Reason != "" {
		s.watchLeader.advance(address, reply.Leader)
		s.switchTableSourceFrom(address)
		return s.logWatchFailure(address, sent, errors.Errorf("%s: %s", address, reply.Reason))
	}
	s.lastWatchFailure = ""
	if !s.cfg.WatchAnyReplica {
		s.recordLeaderReply(address)
	}
	return s.applyReply(watchReply{TableReply: reply, from: address, sent: sent})
}

// switchTableSourceFrom moves the watch away from a control host that did not send
// tables, unless it has been moved already.
func (s *Session) switchTableSourceFrom(address string) {
	if s.cfg.WatchAnyReplica && s.tableSource() == address {
		s.sourceSwitches.Add(1)
	}
}

// logWatchFailure logs the error of a failed watch, unless it equals the previous one, and
// returns it.
func (s *Session) logWatchFailure(address string, sent time.Time, err error) error {
	if message := err.Error(); message != s.lastWatchFailure {
		s.lastWatchFailure = message
		now := s.cfg.Clock.Now()
		s.cfg.Logger.Info("watch of the routing table failed", zap.String("replica", address), zap.Duration("took", now.Sub(sent)),
			zap.Uint64("revision", s.Table().Revision()), zap.Duration("table_age", now.Sub(s.TableCurrentAsOf())), zap.Error(err))
	}
	return err
}

// watchReply is the reply to a watch, with the replica and the time of the request.
type watchReply struct {
	wire.TableReply
	from string    // address of the replica
	sent time.Time // when the watch was sent
}

// heldFor returns how long the replica held the watch open.
func (a *watchReply) heldFor() time.Duration { return time.Duration(a.HeldMs) * time.Millisecond }

// tableBytes returns the number of bytes of snapshots and deltas in the reply.
func (a *watchReply) tableBytes() int {
	size := len(a.Snapshot) + len(a.Delta)
	for _, more := range a.More {
		size += len(more)
	}
	return size
}

// applyReply replaces the table by the one that the reply leads to. A revision that is not
// higher than the current one is ignored, so that the table never goes back.
func (s *Session) applyReply(reply watchReply) error {
	current := s.Table()
	next, err := nextTable(current, reply.TableReply)
	if err != nil {
		s.cfg.Logger.Warn("routing table update refused", zap.Uint64("revision", current.Revision()), zap.Error(err))
		return errors.Trace(err)
	}
	transit := s.cfg.Clock.Now().Sub(reply.sent) - reply.heldFor()
	if s.cfg.OnWatchReply != nil {
		s.cfg.OnWatchReply(transit)
	}
	since := s.TableCurrentAsOf()
	if next.Revision() <= current.Revision() {
		return nil
	}
	s.cfg.Logger.Info("routing table taken", zap.Uint64("revision", next.Revision()), zap.Uint64("from", current.Revision()),
		zap.Uint64("leader_revision", reply.Current), zap.String("replica", reply.from), zap.Bool("whole", len(reply.Snapshot) > 0),
		zap.Int("bytes", reply.tableBytes()), zap.Duration("held", reply.heldFor()), zap.Duration("way", transit))
	s.table.Store(next)
	s.updateAsOf()
	s.updateInitialTable(next.Revision(), reply.Current)
	if s.cfg.OnTable != nil {
		s.cfg.OnTable(next, since)
	}
	if s.cfg.AckChanges {
		select {
		case s.renewNow <- struct{}{}:
		default:
		}
	}
	return nil
}

// InitialTableComplete reports whether this process has received its first table in full.
// Before that, an item that the table lacks may be in a part yet to arrive.
func (s *Session) InitialTableComplete() bool { return s.initialTableComplete.Load() }

func (s *Session) updateInitialTable(revision, current uint64) {
	if s.initialRevision == 0 {
		s.initialRevision = current
	}
	if revision >= s.initialRevision {
		s.initialTableComplete.Store(true)
	}
}

// nextTable returns the table after all changes of a reply, in their order.
func nextTable(current *table.Table, reply wire.TableReply) (*table.Table, error) {
	next, err := applyFirstPart(current, reply)
	for _, more := range reply.More {
		if err != nil {
			break
		}
		next, err = applyDelta(next, more)
	}
	return next, err
}

// applyFirstPart applies the snapshot or the first delta of a reply.
func applyFirstPart(current *table.Table, reply wire.TableReply) (*table.Table, error) {
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

// leaderHint tracks which replica is probably the leader.
type leaderHint struct {
	mu       sync.Mutex
	replicas []Replica
	current  int
	// lastReply is when the current replica last replied as the leader.
	lastReply time.Time
}

func newLeaderHint(replicas []Replica) *leaderHint { return &leaderHint{replicas: replicas} }

func (h *leaderHint) get() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replicas[h.current].Address
}

// setReplicas sets the replicas to call: those given and the current one.
func (h *leaderHint) setReplicas(replicas []Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.replicas[h.current]
	at := slices.Index(replicas, current)
	if at < 0 {
		at, replicas = 0, append([]Replica{current}, replicas...)
	}
	h.replicas, h.current = replicas, at
}

// maxAttempts allows one call to each replica and one more to a hinted leader.
func (h *leaderHint) maxAttempts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.replicas) + 1
}

// recordReply records a reply that only the leader sends.
func (h *leaderHint) recordReply(from string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.replicas[h.current].Address == from {
		h.lastReply = now
	}
}

// moveTo makes a replica the current one and reports whether it was another one
// before. Unknown addresses are ignored.
func (h *leaderHint) moveTo(address string) (moved bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := slices.IndexFunc(h.replicas, func(r Replica) bool { return r.Address == address })
	if at < 0 || at == h.current {
		return false
	}
	h.current, h.lastReply = at, time.Time{}
	return true
}

// advanceIfSilent moves on from a replica that did not reply to a call, unless it has
// replied as the leader since that call was sent: on a congested link one call may be
// late while others succeed, and every other replica would only name it again.
func (h *leaderHint) advanceIfSilent(from string, sent time.Time) {
	h.mu.Lock()
	repliedSince := h.lastReply.After(sent)
	h.mu.Unlock()
	if !repliedSince {
		h.advance(from, "")
	}
}

// advance moves on from a replica that did not reply as the leader, to the host
// that it named as the leader or else to the next one. A replica that refuses but
// names itself is the leader and stays the current one.
func (h *leaderHint) advance(from, leaderHost string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.replicas[h.current].Address != from {
		return // a concurrent call moved on already
	}
	at := slices.IndexFunc(h.replicas, func(r Replica) bool { return r.Host == leaderHost })
	if _, err := netip.ParseAddrPort(leaderHost); at < 0 && err == nil {
		// Replicas found through seeds are identified by their addresses.
		h.replicas = append(slices.Clone(h.replicas), Replica{Host: leaderHost, Address: leaderHost})
		at = len(h.replicas) - 1
	}
	if at < 0 {
		at = (h.current + 1) % len(h.replicas)
	}
	h.current, h.lastReply = at, time.Time{}
}
