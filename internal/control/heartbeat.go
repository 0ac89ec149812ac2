package control

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// Heartbeat records the state that a backend server reports and grants it a lease on
// the keys that it owns. Only the leader acknowledges heartbeats.
func (l *Leader) Heartbeat(ctx context.Context, hb wire.Heartbeat) wire.HeartbeatReply {
	received := l.cfg.Clock.Now()
	if err := checkHeartbeat(&hb, received); err != nil {
		return wire.HeartbeatReply{Refused: true, Reason: err.Error()}
	}
	if err := l.establishTerm(ctx); err != nil {
		return wire.HeartbeatReply{Leader: l.cfg.Proposer.Status().LeaderHost, Reason: err.Error()}
	}
	t := l.cfg.State.Table()
	if t.Service(hb.Service) == nil {
		// Nothing is recorded, so nothing is acknowledged: the server retries.
		return wire.HeartbeatReply{Reason: fmt.Sprintf("no configuration names service %q", hb.Service)}
	}
	if svc := t.Items().Service(hb.Service); hb.NoKeyLists && svc != nil && svc.Keyed {
		return wire.HeartbeatReply{Refused: true, Reason: "the heartbeat lacks the lists of keys that a server of this service sends"}
	}
	newest, err := l.observeHeartbeat(received, &hb, t)
	if err != nil {
		return wire.HeartbeatReply{Reason: err.Error()}
	}
	if !newest {
		return l.answerStaleHeartbeat(ctx, &hb)
	}
	if reply, done := l.recordHeartbeat(ctx, &hb); done {
		return reply
	}
	l.grantReleased(ctx, &hb)
	l.startDueMoves(ctx, &hb)
	return l.grantLease(&hb)
}

// Limits of the values in a heartbeat. A heartbeat beyond them does not come from a
// backend server and must not take keys, addresses or processor time from the real ones.
const (
	maxReportedSlots  = 1 << 16
	maxReportedRanges = 1 << 12
	maxReportedCold   = time.Hour
	// maxBornAhead is far above the differences between clocks. It is bounded because the
	// process with the later start time counts as the newer one at an address.
	maxBornAhead = 24 * time.Hour
)

func checkHeartbeat(hb *wire.Heartbeat, now time.Time) error {
	address, err := netip.ParseAddrPort(hb.Address)
	switch {
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return errors.Errorf("address %q is not IP:port of a listener", hb.Address)
	case hb.Slots < 1 || hb.Slots > maxReportedSlots:
		return errors.Errorf("slots is %d, must be between 1 and %d", hb.Slots, maxReportedSlots)
	case hb.ColdMs > maxReportedCold.Milliseconds():
		return errors.Errorf("cold for %d ms, must be at most %v", hb.ColdMs, maxReportedCold)
	case len(hb.Held) > maxReportedRanges || len(hb.Released) > maxReportedRanges:
		return errors.Errorf("%d ranges are held and %d released, at most %d can be", len(hb.Held), len(hb.Released), maxReportedRanges)
	case hb.Born > now.Add(maxBornAhead).UnixMilli():
		return errors.Errorf("born at %d, more than %v from now", hb.Born, maxBornAhead)
	}
	return nil
}

// answerStaleHeartbeat answers a heartbeat that renews nothing. If the heartbeat
// announces that the server leaves, it is acknowledged only once this is recorded: the
// commit for an earlier receipt may have failed.
func (l *Leader) answerStaleHeartbeat(ctx context.Context, hb *wire.Heartbeat) wire.HeartbeatReply {
	l.cfg.Logger.Info("late heartbeat renews nothing", zap.String("backend", hb.Backend), zap.Int64("born", hb.Born),
		zap.Uint64("sequence", hb.Sequence), zap.Bool("leaving", hb.Leaving))
	b := l.cfg.State.Table().Backend(hb.Service, hb.Backend)
	switch {
	case !hb.Leaving:
	case b == nil || b.Born < hb.Born:
		return wire.HeartbeatReply{Reason: "the backend server is not known"}
	case b.Born == hb.Born:
		if err := l.recordLeaving(ctx, b); err != nil {
			return wire.HeartbeatReply{Reason: err.Error()}
		}
	}
	return wire.HeartbeatReply{Acked: true}
}

// recordLeaving commits that a backend server leaves, unless that is already recorded. The
// record of a loss is not enough: heartbeats may still show that a lost server is alive.
func (l *Leader) recordLeaving(ctx context.Context, b *table.Backend) error {
	if b.Leaving {
		return nil
	}
	res, err := l.commit(ctx, command.Command{BackendReported: &command.BackendReported{
		Service: b.Service, Backend: b.Name, Born: b.Born, DataCentre: b.DataCentre, Address: b.Address,
		Slots: b.Slots, Cold: b.Cold, Leaving: true}})
	switch {
	case err != nil:
		return errors.Annotate(err, "recording the end")
	case res.Code != command.ResultOK && res.Code != command.ResultStale: // stale: the process was replaced
		return errors.Errorf("recording the end: %s", res.Detail)
	}
	l.cfg.Logger.Info("backend server deregistered", zap.String("backend", b.Name), zap.String("service", b.Service),
		zap.Int64("born", b.Born), zap.Bool("lost", b.Lost), zap.String("result", string(res.Code)), zap.Uint64("revision", res.Revision))
	return nil
}

// observeHeartbeat passes a heartbeat to the lease tracker before anything is committed
// for it, and reports whether it may renew leases.
func (l *Leader) observeHeartbeat(now time.Time, hb *wire.Heartbeat, t *table.Table) (newest bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, st, ok := l.verifyLease(); !ok {
		return false, errors.New(notLeaderReason(st))
	}
	if b := t.Backend(hb.Service, hb.Backend); b != nil && b.Lost && b.Born == hb.Born && !l.leaseTracker.ConfirmRecovery(now, hb) {
		return false, nil
	}
	seen := l.leaseTracker.Observe(now, hb, t.SlicesOf(hb.Service, hb.Backend))
	if seen.Released > 0 {
		l.cfg.Logger.Info("slices released", zap.String("backend", hb.Backend), zap.Int64("born", hb.Born), zap.Uint64("sequence", hb.Sequence),
			zap.Int("slices", seen.Released), zap.Uint64("revision", t.Revision()),
			zap.Duration("grantable_in", max(0, l.leaseTracker.EarlierLeasesEnd().Sub(now))))
	}
	return seen.Newest, nil
}

// recordHeartbeat commits the changes that a heartbeat reports. done is set with the
// final reply when no lease is to be granted.
func (l *Leader) recordHeartbeat(ctx context.Context, hb *wire.Heartbeat) (reply wire.HeartbeatReply, done bool) {
	t := l.cfg.State.Table()
	b := t.Backend(hb.Service, hb.Backend)
	if claimsAddress(b, hb) {
		if holder := l.holderOfAddress(hb, t); holder != nil {
			return l.answerClaim(hb, holder), true
		}
	}
	r := &command.BackendReported{Service: hb.Service, Backend: hb.Backend, Born: hb.Born, DataCentre: hb.DataCentre,
		Address: hb.Address, Slots: hb.Slots, Cold: hb.ColdMs > 0, Leaving: hb.Leaving}
	if b != nil && !reportChanges(b, r) {
		return reply, false
	}
	res, err := l.commit(ctx, command.Command{BackendReported: r})
	switch {
	case err != nil:
		return wire.HeartbeatReply{Reason: fmt.Sprintf("recording the heartbeat: %v", err)}, true
	case res.Code == command.ResultStale:
		l.cfg.Logger.Info("heartbeat of an earlier process ignored", zap.String("backend", hb.Backend), zap.String("reason", res.Detail))
		return wire.HeartbeatReply{Acked: true, Reason: res.Detail}, true
	case res.Code != command.ResultOK:
		return wire.HeartbeatReply{Refused: true, Reason: res.Detail}, true
	}
	l.cfg.Logger.Info("backend server recorded", zap.String("backend", hb.Backend), zap.String("service", hb.Service),
		zap.Int64("born", hb.Born), zap.Uint64("sequence", hb.Sequence), zap.Bool("leaving", hb.Leaving),
		zap.Int64("cold_ms", hb.ColdMs), zap.Uint64("revision", res.Revision))
	return reply, false
}

func reportChanges(b *table.Backend, r *command.BackendReported) bool {
	return b.Lost || b.Born != r.Born || b.Address != r.Address || b.DataCentre != r.DataCentre ||
		b.Slots != r.Slots || b.Cold != r.Cold || (r.Leaving && !b.Leaving)
}

// grantReleased completes the moves to a backend server whose old owners have
// released their slices. It runs on the heartbeat of the next owner, so that requests
// are routed there only when the reply can grant it the slices at once.
func (l *Leader) grantReleased(ctx context.Context, hb *wire.Heartbeat) {
	t := l.cfg.State.Table()
	l.mu.Lock()
	starts, epochs := l.leaseTracker.ReleasedTo(l.cfg.Clock.Now(), hb.Service, hb.Backend, t.AllSlices(hb.Service))
	l.mu.Unlock()
	if len(starts) == 0 {
		return
	}
	res, err := l.commit(ctx, command.Command{Granted: &command.Granted{
		Service: hb.Service, Backend: hb.Backend, Starts: starts, Epochs: epochs}})
	if err != nil || res.Code != command.ResultOK {
		l.cfg.Logger.Warn("grant not committed; retrying with the next heartbeat", zap.String("backend", hb.Backend),
			zap.Int("slices", len(starts)), logging.Error(err))
		return
	}
	l.mu.Lock()
	l.leaseTracker.RecordGrant(hb.Service, starts, res.Revision)
	l.mu.Unlock()
	l.cfg.Logger.Info("slices granted", zap.String("backend", hb.Backend), zap.Int("slices", len(starts)), zap.Uint64("epoch", res.Revision))
}

// grantLease returns the reply that grants everything that the backend server owns, if
// this process still holds the leader lease.
func (l *Leader) grantLease(hb *wire.Heartbeat) wire.HeartbeatReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	proof, st, ok := l.verifyLease()
	if !ok {
		return wire.HeartbeatReply{Reason: notLeaderReason(st)}
	}
	t := l.cfg.State.Table()
	b := t.Backend(hb.Service, hb.Backend)
	if b == nil || b.Lost || b.Born != hb.Born {
		return wire.HeartbeatReply{Acked: true, Reason: "the process was replaced meanwhile"}
	}
	reply := wire.HeartbeatReply{Acked: true, Leader: st.LeaderHost}
	if s := t.Service(hb.Service); s == nil || !s.File.Keyed() {
		return reply
	}
	if reply.Granted, reply.Grant = l.leaseTracker.Grant(proof.now, hb, t.SlicesOf(hb.Service, hb.Backend)); reply.Grant {
		reply.LeaseMs = l.cfg.BackendLeaseDuration.Milliseconds()
	}
	return reply
}

// Deregister records that a backend server leaves, in every service that has it.
func (l *Leader) Deregister(ctx context.Context, d wire.Deregister) wire.HeartbeatReply {
	if err := l.establishTerm(ctx); err != nil {
		return wire.HeartbeatReply{Leader: l.cfg.Proposer.Status().LeaderHost, Reason: err.Error()}
	}
	t := l.cfg.State.Table()
	known := false
	for _, s := range t.Services() {
		b := t.Backend(s.File.Service, d.Backend)
		if b == nil || !b.ByHeartbeat {
			continue
		}
		known = true
		if err := l.recordLeaving(ctx, b); err != nil {
			return wire.HeartbeatReply{Reason: err.Error()}
		}
	}
	if !known {
		// Its first heartbeat may still be in flight. Nothing can be recorded, so nothing
		// is acknowledged: the server retries or ends without an acknowledgement.
		l.cfg.Logger.Info("unknown backend server deregisters", zap.String("backend", d.Backend))
		return wire.HeartbeatReply{Leader: l.cfg.Proposer.Status().LeaderHost, Reason: "the backend server is not known"}
	}
	return wire.HeartbeatReply{Acked: true}
}

// decideLostBackends returns the losses of backend servers whose leases by heartbeat
// have expired. The caller holds l.mu.
func (l *Leader) decideLostBackends(now time.Time, t *table.Table) []command.Command {
	var out []command.Command
	for _, s := range t.Services() {
		for _, b := range t.Backends(s.File.Service) {
			if b.ByHeartbeat && !b.Lost && l.leaseTracker.DecideLoss(now, b) {
				out = append(out, command.Command{BackendLost: &command.BackendLost{
					Service: b.Service, Backend: b.Name, Incarnation: strconv.FormatInt(b.Born, 10)}})
			}
		}
	}
	l.leaseTracker.Prune(t)
	return out
}

// Operate commits an operator's command and returns its result. It fails with
// ErrNotLeader, without proposing, if this process is not an established leader.
func (l *Leader) Operate(ctx context.Context, c command.Command) (*command.Result, error) {
	if err := l.establishTerm(ctx); err != nil {
		return nil, errors.WithType(err, ErrNotLeader)
	}
	return l.commit(ctx, c)
}

// ReadRevision returns the lowest revision at which the state of a replica has everything
// that was acknowledged before the call. Only a leader that has applied all commands of
// earlier terms answers with one.
func (l *Leader) ReadRevision(ctx context.Context) wire.ReadRevisionReply {
	if err := l.establishTerm(ctx); err != nil {
		return wire.ReadRevisionReply{Leader: l.cfg.Proposer.Status().LeaderHost, Reason: err.Error()}
	}
	revision := l.cfg.State.Table().Revision()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, st, ok := l.verifyLease(); !ok {
		return wire.ReadRevisionReply{Leader: st.LeaderHost, Reason: notLeaderReason(st)}
	}
	return wire.ReadRevisionReply{OK: true, Revision: revision}
}
