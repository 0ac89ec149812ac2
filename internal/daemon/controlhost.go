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
	"github.com/agatestep/agatestep/internal/control"
	"github.com/agatestep/agatestep/internal/controlapi"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/logstore"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/replication"
	"github.com/agatestep/agatestep/internal/settings"
	"github.com/agatestep/agatestep/internal/wire"
)

// ControlHost runs a replica of the control group in a deployment whose hosts
// have one role each. It serves no callers.
type ControlHost struct {
	*process
	adapter Adapter
	replica *replica
	state   *control.State
	leader  *control.Leader
	permits *permitDesk
	leaders *leaderBelief

	seeds atomic.Pointer[[]string] // peer addresses

	mu         sync.Mutex
	candidates map[replication.ReplicaID]time.Time // replicas that asked to be admitted
}

var _ controlapi.API = (*ControlHost)(nil)

// NewControlHost puts a control host together and opens its listeners. Its
// replica is opened by Run.
func NewControlHost(cfg *settings.Settings, logger *zap.Logger, adapter Adapter) (*ControlHost, error) {
	p, err := newProcess(cfg, logger)
	if err != nil {
		return nil, errors.Trace(err)
	}
	h := &ControlHost{process: p, adapter: adapter, permits: newPermitDesk(p.clock), leaders: newLeaderBelief(), candidates: map[replication.ReplicaID]time.Time{}}
	seeds := seedAddresses(cfg)
	h.seeds.Store(&seeds)
	l := cfg.Listen
	if err := h.listen(map[string]string{listenControl: l.Control, listenPeer: l.Peer, listenAdmin: l.Admin}); err != nil {
		h.closeListeners()
		return nil, errors.Trace(err)
	}
	return h, nil
}

// Run serves until ctx ends. It returns an error when the replica cannot go on,
// such as after a failed write; the process is to be started again then.
func (h *ControlHost) Run(ctx, hard context.Context) error {
	loops, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	h.cancel = cancel
	if err := h.open(loops); err != nil {
		h.closeListeners()
		return errors.Trace(err)
	}
	token, err := h.adminToken()
	if err != nil {
		h.closeListeners()
		return errors.Trace(err)
	}
	h.registerMethods()
	go func() { _ = h.peers.Serve(h.listeners[listenPeer], h.serverTLS) }() // ends with its listener
	h.serveHTTP(listenControl, h.adapter.ControlHandler(h, h.logger), nil)
	h.serveHTTP(listenAdmin, admin.NewHandler(h.adminDaemon(), token), h.serverTLS)
	h.background.Go(func() { h.leader.Run(loops) })
	h.background.Go(func() { h.joinLoop(loops) })
	h.background.Go(func() { h.memberLoop(loops) })
	h.background.Go(func() { h.permits.cleanLoop(loops) })
	h.logger.Info("started", zap.String("host", h.settings.Host), zap.String("data_centre", h.settings.DataCentre),
		zap.String("role", settings.RoleControl), zap.String("replica", string(h.replica.store.Identity().ID())))
	h.record("started", h.settings.Host, "")
	failed := h.awaitEnd(ctx)
	h.shutdown(hard)
	return failed
}

// endCheck is how often a host looks whether its replica still takes part.
const endCheck = 100 * time.Millisecond

func (h *ControlHost) awaitEnd(ctx context.Context) error {
	ticker := time.NewTicker(endCheck)
	defer ticker.Stop()
	last := h.clock.Now()
	logged := last
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			last = h.noteWakeUp(last)
			h.noteTurn()
			if last.Sub(logged) >= workLogInterval {
				logged = last
				h.logWork()
			}
			if err := h.replica.failure(); err != nil {
				return errors.Annotate(err, "the control replica stopped")
			}
		}
	}
}

// lateWakeUp is the delay of a timer that is logged. The leader's lease is some three
// times as long.
const lateWakeUp = 100 * time.Millisecond

// workLogInterval is the time between two lines about the work of a control host.
const workLogInterval = time.Second

// logWork logs the totals of the work since the start.
func (h *ControlHost) logWork() {
	h.logger.Info("work so far", zap.Bool("leads", h.replica.Status().IsLeader), zap.Any("calls", json.RawMessage(work.calls.String())),
		zap.Any("count", json.RawMessage(work.count.String())), zap.Any("us", json.RawMessage(work.micros.String())),
		zap.Int64("woken_late_ms", work.wokenLateMs.Value()))
}

// noteWakeUp notes by how much a tick that was due after endCheck is late.
func (h *ControlHost) noteWakeUp(last time.Time) time.Time {
	now := h.clock.Now()
	late := now.Sub(last) - endCheck
	if late > 0 {
		work.wokenLateMs.Add(late.Milliseconds())
	}
	if late >= lateWakeUp {
		h.logger.Info("process was woken late", zap.Duration("late", late))
	}
	return now
}

// lateTurn is the time without a turn of the replicated log that is logged. Followers
// elect another leader after two to four times as long.
const lateTurn = 200 * time.Millisecond

// noteTurn logs that the goroutine of the replicated log is held up, and where.
func (h *ControlHost) noteTurn() {
	if stage, held := h.replica.node.Load().Turn(); held >= lateTurn {
		h.logger.Info("replicated log is held up", zap.Stringer("stage", stage), zap.Duration("for", held), zap.Int("goroutines", runtime.NumGoroutine()))
	}
}

func (h *ControlHost) shutdown(hard context.Context) {
	h.logger.Info("stopping")
	h.record("stopping", h.settings.Host, "")
	ctx, cancel := context.WithTimeout(hard, h.settings.Deployment.StopTime-stopMargin)
	defer cancel()
	h.handLeadershipOn(ctx, h.replica)
	h.stopServers(ctx)
	h.replica.stop()
	h.logger.Info("stopped")
}

// open opens the replica. Its host name is its peer address, so that replicas
// that find each other through seeds need no list of addresses.
func (h *ControlHost) open(ctx context.Context) error {
	cfg := h.settings
	h.state = control.NewState(control.ServiceChecker())
	config := h.logConfig(ctx)
	var err error
	h.replica, err = openReplica(cfg.DataFolder, cfg.Control.Group, cfg.Deployment.PeerAddress, config, h.state)
	if errors.Is(err, logstore.ErrDamaged) {
		// What a damaged folder holds cannot be trusted, as if the disk were lost: the
		// group admits the replica again as a new one.
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
		SessionTTL: cfg.Timing.SessionTTL, MaxClockDrift: cfg.Timing.MaxClockDrift, Poll: cfg.Timing.WatchPoll,
		BackendHold: cfg.Deployment.Hold, HeartbeatInterval: cfg.Deployment.Heartbeat, Replicas: h.memberAddresses, Gather: gatherPerHost, LeaseWait: leaseWait, Worked: work.done,
	})
	return nil
}

// logConfig returns the configuration of the replicated log.
func (h *ControlHost) logConfig(ctx context.Context) replication.Config {
	cfg := h.settings
	return replication.Config{
		Tick: cfg.Timing.Tick, ElectionTicksMin: cfg.Timing.ElectionTicksMin, ElectionTicksMax: cfg.Timing.ElectionTicksMax,
		MaxClockDrift: cfg.Timing.MaxClockDrift, Seed: seedOf(cfg.Host, h.instance), Clock: h.clock,
		Transport:      newLogTransport(ctx, h.logClient, resolveAddress),
		OnLeaderChange: h.leaderChanged,
		SnapshotEvery:  snapshotEvery, KeepEntries: keepEntries,
	}
}

const (
	// snapshotEvery bounds the commands that a control host applies again when it starts, some
	// 0.5 ms each on half a core. Operators and backend servers wait for them after a
	// power loss. A snapshot takes some 10 ms.
	snapshotEvery = 1000
	// keepEntries is what a replica may lack and still get as single commands: those of some ten
	// seconds in which many servers change.
	keepEntries = 5000
)

// gatherPerHost is how long the leader gathers changes of the table, per entry
// host: each change costs it an answer to every host.
const gatherPerHost = 1500 * time.Microsecond

// leaseWait is below callTime, and below the time that entry hosts give a renewal: a quarter
// of the session's four seconds.
const leaseWait = 700 * time.Millisecond

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
	h.leaders.set(leaderAt{address: address, own: address == h.settings.Deployment.PeerAddress, term: term})
}

func (h *ControlHost) registerMethods() {
	h.serveCalls(wire.MethodTimelineRead, peer.Handle(h.handleTimeline))
	h.peers.RegisterOrdered(wire.MethodReplicationStep, peer.Handle(h.handleStep))
	h.serveCalls(wire.MethodSessionRenew, peer.Handle(h.handleRenew))
	h.serveCalls(wire.MethodTableWatch, peer.Handle(h.handleWatch))
	h.serveCalls(wire.MethodTableBarrier, peer.Handle(h.replica.handleBarrier))
	h.serveCalls(wire.MethodOperate, peer.Handle(h.handleOperate))
	h.serveCalls(wire.MethodHeartbeat, peer.Handle(h.handleHeartbeat))
	h.serveCalls(wire.MethodDeregister, peer.Handle(h.handleDeregister))
	h.serveCalls(wire.MethodReadRevision, peer.Handle(h.handleReadRevision))
	h.serveCalls(wire.MethodPermitAsk, peer.Handle(h.handlePermitAsk))
	h.serveCalls(wire.MethodPermitDone, peer.Handle(h.handlePermitDone))
	h.serveCalls(wire.MethodReplicaHello, peer.Handle(h.handleHello))
}

// serveCalls registers a method and counts its calls.
func (h *ControlHost) serveCalls(method string, handler peer.Handler) {
	h.peers.Register(method, work.counted(method, handler))
}

func (h *ControlHost) handleStep(_ context.Context, step wire.ReplicationStep) (struct{}, error) {
	m, err := replication.Decode(step.Message)
	if err != nil {
		return struct{}{}, errors.Trace(err)
	}
	h.replica.node.Load().Receive(m)
	return struct{}{}, nil
}

func (h *ControlHost) handleRenew(ctx context.Context, r wire.SessionRenew) (wire.SessionReply, error) {
	counters.renewals.Add(1)
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

func (h *ControlHost) handleOperate(ctx context.Context, p wire.Proposal) (wire.ProposalReply, error) {
	counters.proposals.Add(1)
	if reason := h.notComplete(); reason != "" {
		return wire.ProposalReply{Status: wire.ProposalDropped, Reason: reason}, nil
	}
	return h.leader.Propose(ctx, p), nil
}
