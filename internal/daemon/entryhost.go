package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/gateway"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/session"
	"github.com/agatestep/agatestep/internal/settings"
	"github.com/agatestep/agatestep/internal/stop"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// Parts of the limits for all hosts together that this version uses. The rest
// covers requests that are on their way, and hosts that were not known yet.
const (
	retryRatioUsed = 0.7
	retrySlackUsed = 0.6
	coldRateUsed   = 0.8
	coldSlackUsed  = 0.6
	// drainTimeUsed is the part of the time to drain for which a leaving backend
	// server is used. The rest is for the way of the news and of the requests.
	drainTimeUsed    = 0.45
	evacuateTimeUsed = 0.5
	// tableTimeUsed is the part of the time to apply a change, or to drain if that is
	// shorter, up to which an entry host acts by a table that nobody has confirmed since.
	// The rest is for the way of a request that was sent at the last moment.
	tableTimeUsed = 0.6
	// bodyShare is the part of the link that request bodies may take. Answers, asks for
	// permits and news of the control group share the rest.
	bodyShare    = 0.6
	bytesPerMbit = 1e6 / 8
)

const (
	// callsPerSession lets several replicas be silent before a session ends.
	callsPerSession = 4
	// confirmInterval lets some rounds of confirmations be lost before a table is too old
	// to act by.
	confirmInterval = 400 * time.Millisecond
	// peerDialTimeout is longer than the delay that uploads cause on a link of some
	// megabits a second.
	peerDialTimeout = 400 * time.Millisecond
	// peerPatience is longer than an ask for a permit may take, because uploads delay the
	// answers of all hosts. Renewals of the session find silent connections.
	peerPatience = 900 * time.Millisecond
)

// EntryHost serves callers in a deployment whose hosts have one role each.
type EntryHost struct {
	*process
	adapter Adapter
	session *session.Session
	gateway *gateway.Gateway
	callers *callerListener

	permits *permitDesk
}

// NewEntryHost puts an entry host together and opens its listeners.
func NewEntryHost(cfg *settings.Settings, logger *zap.Logger, adapter Adapter) (*EntryHost, error) {
	p, err := newProcess(cfg, logger)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.client.DialTimeout, p.logClient.DialTimeout = peerDialTimeout, peerDialTimeout
	p.client.Patience = peerPatience
	h := &EntryHost{process: p, adapter: adapter, permits: newPermitDesk(p.clock)}
	l := cfg.Listen
	if err := h.listen(map[string]string{listenTraffic: l.Traffic, listenReadiness: l.Readiness, listenPeer: l.Peer, listenAdmin: l.Admin}); err != nil {
		h.closeListeners()
		return nil, errors.Trace(err)
	}
	h.session = session.New(session.Config{
		// Requests are not relayed; the relay address only has to be one of this host.
		Host: command.HostJoined{Host: cfg.Host, DataCentre: cfg.DataCentre, PeerAddress: cfg.Deployment.PeerAddress, RelayAddress: l.Traffic, AdminAddress: l.Admin},

		Instance: h.instance, Replicas: seedReplicas(cfg), Caller: h.client, WatchCaller: h.logClient, Clock: h.clock, Logger: logger,
		RenewInterval: cfg.Timing.RenewInterval, CallTimeout: cfg.Timing.SessionTTL / callsPerSession, WatchPoll: cfg.Timing.WatchPoll,
		ConfirmInterval: confirmInterval, FollowAny: true,
		Loads: func() []wire.SliceLoads { return h.gateway.Loads() }, OnTable: h.tableChanged, OnConfirmed: h.tableConfirmed, OnAnswer: counters.watchAnswered, Record: h.record,
	})
	asOf := h.session.AsOf
	counters.tableAsOf.Store(&asOf)
	d := cfg.Deployment
	h.gateway = gateway.New(gateway.Config{
		Host: cfg.Host, DataCentre: cfg.DataCentre, Tables: h.session.Table, Complete: h.session.Complete, TableAsOf: h.session.AsOf, Permits: h,
		Dialect: adapter, Clock: h.clock, Logger: logger, Link: h.link,
		Limits: gateway.Limits{RetryRatio: retryRatioUsed * d.RetryRatio, RetryBurst: retrySlackUsed * d.RetrySlack,
			LeaveFor:           time.Duration(drainTimeUsed * float64(d.DrainTime)),
			EvacuateFor:        time.Duration(evacuateTimeUsed * float64(d.EvacuateTime)),
			TableFor:           tableFor(d),
			BodyBytesPerSecond: bodyShare * bytesPerMbit * cfg.Limits.LinkMbps},
	})
	return h, nil
}

// tableFor is the longest age of a routing table by which an entry host acts.
func tableFor(d settings.Deployment) time.Duration {
	return time.Duration(tableTimeUsed * float64(min(d.ApplyTime, d.DrainTime)))
}

// seedReplicas returns the seeds as replicas, which are named by their addresses.
func seedReplicas(cfg *settings.Settings) []session.Replica {
	var out []session.Replica
	for _, address := range seedAddresses(cfg) {
		out = append(out, session.Replica{Host: address, Address: address})
	}
	return out
}

func (h *EntryHost) tableChanged(t *table.Table, since time.Time) {
	h.gateway.TableChanged(t, since)
	counters.revision.Set(int64(t.Revision()))
}

func (h *EntryHost) tableConfirmed() { h.gateway.TableConfirmed() }

// Run serves until ctx ends, then stops gracefully.
func (h *EntryHost) Run(ctx, hard context.Context) error {
	loops, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	h.cancel = cancel
	token, err := h.adminToken()
	if err != nil {
		h.closeListeners()
		return errors.Trace(err)
	}
	h.peers.Register(wire.MethodTimelineRead, peer.Handle(h.handleTimeline))
	h.peers.Register(wire.MethodPermitAsk, peer.Handle(h.handlePermitAsk))
	h.peers.Register(wire.MethodPermitDone, peer.Handle(h.handlePermitDone))
	go func() { _ = h.peers.Serve(h.listeners[listenPeer], h.serverTLS) }() // ends with its listener
	traffic := h.serveCallers()
	h.serveHTTP(listenReadiness, h.adapter.ReadinessHandler(h.ready), nil)
	h.serveHTTP(listenAdmin, admin.NewHandler(h.adminDaemon(), token), h.serverTLS)
	h.background.Go(func() { h.session.Run(loops) })
	h.background.Go(func() { h.cleanLoop(loops) })
	h.background.Go(func() { h.connectLoop(loops) })
	h.logger.Info("started", zap.String("host", h.settings.Host), zap.String("data_centre", h.settings.DataCentre), zap.String("role", settings.RoleEntry))
	h.record("started", h.settings.Host, "")
	<-ctx.Done()
	return h.shutdown(hard, traffic)
}

func (h *EntryHost) ready() bool { return h.gateway.Ready() }

func (h *EntryHost) cleanLoop(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.gateway.Clean()
			h.permits.clean()
			h.reportLink()
		}
	}
}

// Bounds of a planned stop.
const (
	// unreadyFor is how long the host serves after it reports that it is not ready:
	// the load balancer asks once a second and believes the second miss.
	unreadyFor = 2500 * time.Millisecond
	// takeShare is the part of the time to stop in which new requests are taken, maxTaking
	// the longest such time. The rest is for their work, and callers are asked to leave
	// with each answer.
	takeShare = 0.5
	maxTaking = 3 * time.Second
	// quietFor ends a stop early when no request came for as long.
	quietFor = 500 * time.Millisecond
	// stopMargin is left for the end of the process.
	stopMargin = 600 * time.Millisecond
	// closeFor is how long the servers may take to close at the end of a stop, leaveFor how
	// long the leader may take to hear of it.
	closeFor = 50 * time.Millisecond
	leaveFor = 150 * time.Millisecond
	// calmLink is the wait on the host's own link up to which its connections are ended: a
	// request on its way then hardly crosses the end of its connection.
	calmLink = 50 * time.Millisecond
)

// takingFor is how long new requests are taken during a planned stop.
func takingFor(whole time.Duration) time.Duration {
	return min(time.Duration(takeShare*float64(whole)), maxTaking)
}

// serveCallers starts to serve callers.
func (h *EntryHost) serveCallers() *http.Server {
	h.callers = newCallerListener(h.listeners[listenTraffic], h.settings.Limits.Connections, h.gateway.CallerTimeouts, h.link)
	return h.serveOn(listenTraffic, h.callers, h.gateway)
}

// shutdown reports that the host is not ready and serves on, because callers go on
// using their connections. It ends when they have left, the time is over or hard ends; whoever
// still waits then is told what is known of the request.
func (h *EntryHost) shutdown(hard context.Context, traffic *http.Server) error {
	h.logger.Info("stopping", zap.Int64("in_flight", h.gateway.InFlight()))
	h.record("stopping", h.settings.Host, "")
	began := h.clock.Now()
	h.gateway.StartShutdown()
	end := began.Add(h.settings.Deployment.StopTime - stopMargin)
	h.serveUntilQuiet(hard, began, end)
	h.callers.endIdle()
	h.awaitCallers(hard, end)
	if left := h.gateway.InFlight(); left > 0 {
		h.logger.Warn("requests are ended with the stop", zap.Int64("in_flight", left))
	}
	h.gateway.EndCalls()
	h.awaitCallers(context.Background(), earlier(end, h.clock.Now()).Add(stop.AnswerTime))
	ctx, cancel := context.WithTimeout(hard, closeFor)
	defer cancel()
	if err := traffic.Shutdown(ctx); err != nil {
		h.logger.Warn("connections cut off by the end of the stop", zap.Int64("in_flight", h.gateway.InFlight()), zap.Int("connections", h.callers.open()), logging.Error(err))
	}
	h.leave(hard)
	h.stopServers(ctx)
	h.logger.Info("stopped", zap.Duration("took", h.clock.Now().Sub(began)))
	return nil
}

// leave tells the leader that this host has stopped.
func (h *EntryHost) leave(hard context.Context) {
	ctx, cancel := context.WithTimeout(hard, leaveFor)
	defer cancel()
	if err := h.session.Close(ctx); err != nil {
		h.logger.Warn("session not closed; it expires", logging.Error(err))
	}
}

// stopPoll is how often a stop looks at what is left.
const stopPoll = 20 * time.Millisecond

// serveUntilQuiet serves until no request has come for a while, and refuses new ones once
// they might not end before the process does. Idle connections are of no use to their
// callers from then on.
func (h *EntryHost) serveUntilQuiet(hard context.Context, began, end time.Time) {
	for hard.Err() == nil && h.clock.Now().Before(end) {
		now := h.clock.Now()
		if now.Sub(began) >= takingFor(h.settings.Deployment.StopTime) {
			h.gateway.StopTaking()
			if !h.callers.isEnding() && h.link.Queue() < calmLink {
				h.callers.endIdle()
			}
		}
		if now.Sub(began) >= unreadyFor && h.gateway.InFlight() == 0 && h.gateway.Quiet(now) >= quietFor {
			return
		}
		pause(hard, stopPoll)
	}
}

// awaitCallers waits until no caller has a connection, or until end.
func (h *EntryHost) awaitCallers(hard context.Context, end time.Time) {
	for hard.Err() == nil && h.callers.open() > 0 && h.clock.Now().Before(end) {
		pause(hard, stopPoll)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
