package daemon

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/control"
	"github.com/agatestep/agatestep/internal/controlapi"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/logstore"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/replication"
	"github.com/agatestep/agatestep/internal/settings"
	"github.com/agatestep/agatestep/internal/wire"
)

// ControlHost is the process of a host that runs a replica of the control group, in a
// deployment whose hosts have one role each. It serves no callers.
type ControlHost struct {
	*process
	adapter     Adapter
	replica     *replica
	state       *control.State
	leader      *control.Leader
	permits     *permitIssuer
	knownLeader *leaderTracker

	seeds atomic.Pointer[[]string] // peer addresses

	// servicePermits issues the permits for services without keys.
	servicePermits *serviceIssuer

	mu             sync.Mutex
	joinCandidates map[replication.ReplicaID]time.Time // when replicas last asked to be admitted
}

var _ controlapi.API = (*ControlHost)(nil)

// NewControlHost creates a control host and opens its listeners. Run opens its
// replica.
func NewControlHost(cfg *settings.Settings, logger *zap.Logger, adapter Adapter) (*ControlHost, error) {
	p, err := newProcess(cfg, logger)
	if err != nil {
		return nil, errors.Trace(err)
	}
	h := &ControlHost{process: p, adapter: adapter, permits: newPermitIssuer(p.clock), servicePermits: newServiceIssuer(p.clock, logger), knownLeader: newLeaderTracker(), joinCandidates: map[replication.ReplicaID]time.Time{}}
	if cfg.Deployment.OrderedByCost() {
		h.permits.orderByCost()
	}
	seeds := seedAddresses(cfg)
	h.seeds.Store(&seeds)
	l := cfg.Listen
	if err := h.openListeners(map[string]string{listenControl: l.Control, listenPeer: l.Peer, listenAdmin: l.Admin}); err != nil {
		h.closeListeners()
		return nil, errors.Trace(err)
	}
	return h, nil
}

// Run serves until ctx ends, then stops gracefully, or at once when forceStop ends. It
// returns an error when the replica fails, such as after a failed write; the process must
// be restarted then.
func (h *ControlHost) Run(ctx, forceStop context.Context) error {
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	h.cancel = cancel
	if err := h.openControlReplica(loopCtx); err != nil {
		h.closeListeners()
		return errors.Trace(err)
	}
	token, err := h.adminToken()
	if err != nil {
		h.closeListeners()
		return errors.Trace(err)
	}
	h.registerMethods()
	go func() { _ = h.peerServer.Serve(h.listeners[listenPeer], h.serverTLS) }() // ends with its listener
	h.serveCalls(listenControl, h.adapter.ControlHandler(h, h.logger), nil)
	h.serveCalls(listenAdmin, admin.NewHandler(h.adminDaemon(), token), h.serverTLS)
	h.background.Go(func() { h.leader.Run(loopCtx) })
	h.background.Go(func() { h.joinLoop(loopCtx) })
	h.background.Go(func() { h.memberLoop(loopCtx) })
	h.background.Go(func() { h.permits.cleanupLoop(loopCtx) })
	h.background.Go(func() { h.servicePermits.cleanupLoop(loopCtx) })
	h.logger.Info("started", zap.String("host", h.settings.Host), zap.String("data_centre", h.settings.DataCentre),
		zap.String("role", settings.RoleControl), zap.String("replica", string(h.replica.store.Identity().ID())))
	h.record("started", h.settings.Host, "")
	replicaErr := h.awaitStopOrFailure(ctx)
	h.shutdown(forceStop)
	return replicaErr
}

// replicaCheckInterval is the time between two checks whether the replica has failed.
const replicaCheckInterval = 100 * time.Millisecond

func (h *ControlHost) awaitStopOrFailure(ctx context.Context) error {
	ticker := time.NewTicker(replicaCheckInterval)
	defer ticker.Stop()
	lastWakeUp := h.clock.Now()
	lastLogged := lastWakeUp
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			lastWakeUp = h.recordWakeUpDelay(lastWakeUp)
			h.logStalledReplication()
			if lastWakeUp.Sub(lastLogged) >= workLogInterval {
				lastLogged = lastWakeUp
				h.logWork()
			}
			if err := h.replica.failure(); err != nil {
				return errors.Annotate(err, "the control replica stopped")
			}
		}
	}
}

// lateWakeUpThreshold is the delay of a timer from which it is logged. The leader's lease
// is some three times as long.
const lateWakeUpThreshold = 100 * time.Millisecond

// workLogInterval is the time between two log lines with the work counters.
const workLogInterval = time.Second

// logWork logs the work counters since the start of the process.
func (h *ControlHost) logWork() {
	h.logger.Info("work so far", zap.Bool("leads", h.replica.Status().IsLeader), zap.Any("calls", json.RawMessage(workMetrics.calls.String())),
		zap.Any("count", json.RawMessage(workMetrics.count.String())), zap.Any("us", json.RawMessage(workMetrics.micros.String())),
		zap.Int64("woken_late_ms", workMetrics.wokenLateMs.Value()))
}

// recordWakeUpDelay records by how much a tick that was due replicaCheckInterval after
// lastWakeUp is late, and returns the current time.
func (h *ControlHost) recordWakeUpDelay(lastWakeUp time.Time) time.Time {
	now := h.clock.Now()
	late := now.Sub(lastWakeUp) - replicaCheckInterval
	if late > 0 {
		workMetrics.wokenLateMs.Add(late.Milliseconds())
	}
	if late >= lateWakeUpThreshold {
		h.logger.Info("process was woken late", zap.Duration("late", late))
	}
	return now
}

// stalledReplicationThreshold is how long the goroutine of the replicated log must be in one
// stage to count as stalled. Followers elect another leader after two to four times as long.
const stalledReplicationThreshold = 200 * time.Millisecond

// logStalledReplication logs when the goroutine of the replicated log is stalled, and in
// which stage.
func (h *ControlHost) logStalledReplication() {
	if stage, held := h.replica.node.Load().CurrentStage(); held >= stalledReplicationThreshold {
		h.logger.Info("replicated log is held up", zap.Stringer("stage", stage), zap.Duration("for", held), zap.Int("goroutines", runtime.NumGoroutine()))
	}
}

func (h *ControlHost) shutdown(forceStop context.Context) {
	h.logger.Info("stopping")
	h.record("stopping", h.settings.Host, "")
	ctx, cancel := context.WithTimeout(forceStop, h.settings.Deployment.StopTime-stopMargin)
	defer cancel()
	h.transferLeadership(ctx, h.replica)
	h.stopServers(ctx)
	h.replica.stop()
	h.logger.Info("stopped")
}

// openControlReplica opens the replica. Its host name is its peer address, so that
// replicas that find each other through seeds need no list of addresses.
func (h *ControlHost) openControlReplica(ctx context.Context) error {
	cfg := h.settings
	h.state = control.NewState(control.ServiceChecker())
	config := h.replicationConfig(ctx)
	var err error
	h.replica, err = openReplica(cfg.DataFolder, cfg.Control.Group, cfg.Deployment.PeerAddress, config, h.state)
	if errors.Is(err, logstore.ErrDamaged) {
		// The contents of a damaged folder cannot be trusted, so this is handled like a lost
		// disk: the group admits the replica again as a new one.
		h.logger.Error("data folder is damaged and is emptied", zap.String("folder", cfg.DataFolder), logging.Error(err))
		if err := emptyFolder(cfg.DataFolder); err != nil {
			return errors.Annotate(err, "emptying the damaged data folder")
		}
		h.state = control.NewState(control.ServiceChecker())
		h.replica, err = openReplica(cfg.DataFolder, cfg.Control.Group, cfg.Deployment.PeerAddress, config, h.state)
	}
	if err != nil {
		return errors.Trace(err)
	}
	h.leader = control.NewLeader(control.LeaderConfig{
		State: h.state, Proposer: h.replica, Clock: h.clock, Logger: h.logger,
		SessionTTL: cfg.Timing.SessionTTL, MaxClockDrift: cfg.Timing.MaxClockDrift, MaxWatchWait: cfg.Timing.WatchTimeout,
		BackendLeaseDuration: cfg.Deployment.LeaseTTL, HeartbeatInterval: cfg.Deployment.Heartbeat, Replicas: h.memberAddresses, BatchWaitPerHost: batchWaitPerHost, LeaseWait: leaseWaitTimeout, RecordWork: workMetrics.recordWork,
		Allowances: allowanceTolerance(cfg.Deployment), LimitOf: h.allowanceLimit, BootClock: clock.Boot{},
	})
	return nil
}

// replicationConfig returns the configuration of the replicated log.
func (h *ControlHost) replicationConfig(ctx context.Context) replication.Config {
	cfg := h.settings
	return replication.Config{
		Tick: cfg.Timing.Tick, ElectionTicksMin: cfg.Timing.ElectionTicksMin, ElectionTicksMax: cfg.Timing.ElectionTicksMax,
		MaxClockDrift: cfg.Timing.MaxClockDrift, Seed: electionSeed(cfg.Host, h.instance), Clock: h.clock,
		Transport:      newLogTransport(ctx, h.bulkClient, resolveAddress),
		OnLeaderChange: h.leaderChanged,
		SnapshotEvery:  snapshotEvery, KeepEntries: keepEntries,
	}
}

const (
	// snapshotEvery bounds the commands that a control host replays when it starts, some
	// 0.5 ms each on half a core. Operators and backend servers wait for the replay after a
	// power loss. A snapshot takes some 10 ms.
	snapshotEvery = 1000
	// keepEntries is how many entries a replica may lag behind and still get them as single
	// commands instead of a snapshot: those of some ten seconds in which many servers change.
	keepEntries = 5000
)

// batchWaitPerHost is how long the reply to a table watch waits for further changes, per
// entry host: each change sent on its own costs the leader a reply to every host.
const batchWaitPerHost = 1500 * time.Microsecond

// leaseWaitTimeout bounds how long calls wait for the leader's lease. It is below callTimeout,
// and below the timeout of a session renewal on entry hosts, which is a quarter of the
// session's four seconds.
const leaseWaitTimeout = 700 * time.Millisecond

// resolveAddress returns the peer address of a replica, which is its host name.
func resolveAddress(host string) (string, bool) {
	_, _, err := net.SplitHostPort(host)
	return host, err == nil
}

func emptyFolder(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(folder, e.Name())); err != nil {
			return err
		}
	}
	return nil
}

// memberAddresses returns the peer addresses of the members of the group.
func (h *ControlHost) memberAddresses() []string {
	var out []string
	for _, m := range h.replica.node.Load().Status().Members {
		out = append(out, m.ID.Host())
	}
	return out
}

func (h *ControlHost) leaderChanged(leader replication.ReplicaID, term uint64) {
	h.process.leaderChanged(leader, term)
	address := leader.Host()
	h.knownLeader.set(leaderLocation{address: address, isThisHost: address == h.settings.Deployment.PeerAddress, term: term})
}

func (h *ControlHost) registerMethods() {
	h.registerCounted(wire.MethodTimelineRead, peer.Handle(h.handleTimeline))
	h.peerServer.RegisterOrdered(wire.MethodReplicationStep, peer.Handle(h.handleReplicationMessage))
	h.registerCounted(wire.MethodSessionRenew, peer.Handle(h.handleRenew))
	h.registerCounted(wire.MethodTableWatch, peer.Handle(h.handleWatch))
	h.registerCounted(wire.MethodTableBarrier, peer.Handle(h.handleBarrier))
	h.registerCounted(wire.MethodOperatorCommand, peer.Handle(h.handleOperatorCommand))
	h.registerCounted(wire.MethodHeartbeat, peer.Handle(h.handleHeartbeat))
	h.registerCounted(wire.MethodDeregister, peer.Handle(h.handleDeregister))
	h.registerCounted(wire.MethodReadRevision, peer.Handle(h.handleReadRevision))
	h.registerCounted(wire.MethodPermitRequest, peer.Handle(h.handlePermitRequest))
	h.registerCounted(wire.MethodPermitRelease, peer.Handle(h.handlePermitRelease))
	h.registerCounted(wire.MethodAllowanceLend, peer.Handle(h.handleLend))
	h.registerCounted(wire.MethodServicePermitRequest, peer.Handle(h.handleServicePermitRequest))
	h.registerCounted(wire.MethodServicePermitRelease, peer.Handle(h.handleServicePermitRelease))
	h.registerCounted(wire.MethodReplicaHello, peer.Handle(h.handleHello))
}

// registerCounted registers a method and counts its calls.
func (h *ControlHost) registerCounted(method string, handler peer.Handler) {
	h.peerServer.Register(method, workMetrics.countCalls(method, handler))
}

func (h *ControlHost) handleReplicationMessage(_ context.Context, step wire.ReplicationStep) (struct{}, error) {
	m, err := replication.Decode(step.Message)
	if err != nil {
		return struct{}{}, errors.Trace(err)
	}
	h.replica.node.Load().Receive(m)
	return struct{}{}, nil
}

func (h *ControlHost) handleRenew(ctx context.Context, r wire.SessionRenew) (wire.SessionReply, error) {
	processMetrics.renewals.Add(1)
	return h.leader.Renew(ctx, r), nil
}

func (h *ControlHost) handleWatch(ctx context.Context, r wire.TableWatch) (wire.TableReply, error) {
	return h.leader.Watch(ctx, r), nil
}

func (h *ControlHost) handleHeartbeat(ctx context.Context, hb wire.Heartbeat) (wire.HeartbeatReply, error) {
	return h.leader.Heartbeat(ctx, hb), nil
}

func (h *ControlHost) handleDeregister(ctx context.Context, d wire.Deregister) (wire.HeartbeatReply, error) {
	return h.leader.Deregister(ctx, d), nil
}

func (h *ControlHost) handleReadRevision(ctx context.Context, _ wire.ReadRevision) (wire.ReadRevisionReply, error) {
	return h.leader.ReadRevision(ctx), nil
}

func (h *ControlHost) handleOperatorCommand(ctx context.Context, p wire.Proposal) (wire.ProposalReply, error) {
	processMetrics.proposals.Add(1)
	if reason := h.missingVotersReason(); reason != "" {
		return wire.ProposalReply{Status: wire.ProposalDropped, Reason: reason}, nil
	}
	return h.leader.Propose(ctx, p), nil
}
