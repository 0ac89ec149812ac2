package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/gateway"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/pipeline"
	"github.com/agatestep/agatestep/internal/session"
	"github.com/agatestep/agatestep/internal/settings"
	"github.com/agatestep/agatestep/internal/stop"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// Shares of the deployment-wide limits that the entry hosts use. The rest covers requests
// in transit and hosts that are not known yet.
const (
	retryRatioShare = 0.7
	retrySlackShare = 0.6
	coldRateShare   = 0.8
	coldSlackShare  = 0.6
	// drainTimeShare is the share of the drain time for which a leaving backend server
	// still gets requests. The rest covers the propagation of the change and requests in
	// transit.
	drainTimeShare    = 0.45
	evacuateTimeShare = 0.5
	// tableAgeShare is the share of the apply time, or of the drain time if that is
	// shorter, for which an entry host routes by a table after its last confirmation. The
	// rest covers the transit of a request that was sent at the last moment.
	tableAgeShare = 0.6
	// bodyLinkShare is the share of the link's bandwidth that request bodies may take.
	// Responses, permit requests and messages of the control group share the rest.
	bodyLinkShare = 0.6
	// heldMemoryShare is the share of the host's memory that bytes held for others may take.
	heldMemoryShare = 0.25
	bytesPerMbit    = 1e6 / 8
)

const (
	// callsPerSession is the number of renewal timeouts that fit into a session, so that
	// several replicas may be silent before it expires.
	callsPerSession = 4
	// confirmInterval is short enough that some confirmations of the table can be lost
	// before it is too old to route by.
	confirmInterval = 400 * time.Millisecond
	// peerDialTimeout is longer than the delay that uploads cause on a link of some
	// megabits a second.
	peerDialTimeout = 400 * time.Millisecond
	// minPeerSilence is longer than a permit request may take, because uploads delay the
	// replies of all hosts. Session renewals detect silent connections.
	minPeerSilence = 900 * time.Millisecond
)

// EntryHost is the process of a host that serves callers, in a deployment whose hosts
// have one role each.
type EntryHost struct {
	*process
	adapter     Adapter
	session     *session.Session
	gateway     *gateway.Gateway
	callerConns *callerListener

	permits    *permitIssuer
	allowances *allowanceClient // nil if allowances are not in force
}

// NewEntryHost creates an entry host and opens its listeners. It serves nothing before
// Run.
func NewEntryHost(cfg *settings.Settings, logger *zap.Logger, adapter Adapter) (*EntryHost, error) {
	p, err := newProcess(cfg, logger)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.client.DialTimeout, p.bulkClient.DialTimeout = peerDialTimeout, peerDialTimeout
	p.client.MinSilence = minPeerSilence
	h := &EntryHost{process: p, adapter: adapter, permits: newPermitIssuer(p.clock)}
	if cfg.Deployment.OrderedByCost() {
		h.permits.orderByCost()
	}
	l := cfg.Listen
	if err := h.openListeners(map[string]string{listenTraffic: l.Traffic, listenReadiness: l.Readiness, listenPeer: l.Peer, listenAdmin: l.Admin}); err != nil {
		h.closeListeners()
		return nil, errors.Trace(err)
	}
	h.session = session.New(session.Config{
		// Requests are not relayed; the relay address only has to belong to this host.
		Host: command.HostJoined{Host: cfg.Host, DataCentre: cfg.DataCentre, PeerAddress: cfg.Deployment.PeerAddress, RelayAddress: l.Traffic, AdminAddress: l.Admin},

		Instance: h.instance, Replicas: seedReplicas(cfg), Caller: h.client, WatchCaller: h.bulkClient, Clock: h.clock, Logger: logger,
		RenewInterval: cfg.Timing.RenewInterval, CallTimeout: cfg.Timing.SessionTTL / callsPerSession, WatchPoll: cfg.Timing.WatchTimeout,
		ConfirmInterval: confirmInterval, WatchAnyReplica: true, NearbyTables: cfg.Deployment.NearbyTables,
		Loads: func() []wire.SliceLoads { return h.gateway.TakeLoads() }, OnTable: h.tableChanged, OnConfirmed: h.tableConfirmed, OnWatchReply: processMetrics.recordWatch, RecordEvent: h.record,
	})
	asOf := h.session.TableCurrentAsOf
	processMetrics.tableAsOf.Store(&asOf)
	if allowanceTolerance(cfg.Deployment).Enabled() {
		h.allowances = newAllowanceClient(allowanceConfig{host: cfg.Host, caller: h.client, clock: clock.Boot{}, leader: h.session.Leader,
			controlHosts: h.session.ControlHosts, logger: logger})
	}
	h.gateway = gateway.New(h.gatewayConfig())
	return h, nil
}

// gatewayConfig returns the configuration of the gateway, with the parts that the settings ask for.
func (h *EntryHost) gatewayConfig() gateway.Config {
	cfg, d := h.settings, h.settings.Deployment
	config := gateway.Config{
		Host: cfg.Host, DataCentre: cfg.DataCentre, Dialect: h.adapter, Clock: h.clock, Logger: h.logger, Link: h.link,
		Tables: h.session.Table, TableComplete: h.session.InitialTableComplete, TableAsOf: h.session.TableCurrentAsOf,
		Permits: h, ServicePermits: h.servicePermits(),
		SpareRoundTrips: d.SpareRoundTrips, OrderedByCost: d.OrderedByCost(), PaceBodies: d.PaceBodies,
		Held: gateway.NewHeldBytes(int64(heldMemoryShare*float64(cfg.Memory.LimitMB)*(1<<20)), h.logger),
		Limits: gateway.Limits{RetryRatio: retryRatioShare * d.RetryRatio, RetryBurst: retrySlackShare * d.RetrySlack,
			LeaveGracePeriod:   time.Duration(drainTimeShare * float64(d.DrainTime)),
			DrainGracePeriod:   time.Duration(evacuateTimeShare * float64(d.EvacuateTime)),
			MaxTableAge:        maxTableAge(d),
			AddressReuseAfter:  d.AddressReuseAfter,
			BodyBytesPerSecond: bodyLinkShare * bytesPerMbit * cfg.Limits.LinkMbps},
	}
	if h.allowances != nil { // a nil client in the interface would not be nil
		config.Allowances = h.allowances
	}
	return config
}

// maxTableAge returns the age of a routing table up to which an entry host routes by it.
func maxTableAge(d settings.Deployment) time.Duration {
	return time.Duration(tableAgeShare * float64(min(d.ApplyTime, d.DrainTime)))
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
	processMetrics.revision.Set(int64(t.Revision()))
}

func (h *EntryHost) tableConfirmed() { h.gateway.TableConfirmed() }

// Run serves until ctx ends, then stops gracefully, or at once when forceStop ends.
func (h *EntryHost) Run(ctx, forceStop context.Context) error {
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	h.cancel = cancel
	token, err := h.adminToken()
	if err != nil {
		h.closeListeners()
		return errors.Trace(err)
	}
	h.peerServer.Register(wire.MethodTimelineRead, peer.Handle(h.handleTimeline))
	h.peerServer.Register(wire.MethodPermitRequest, peer.Handle(h.handlePermitRequest))
	h.peerServer.Register(wire.MethodPermitRelease, peer.Handle(h.handlePermitRelease))
	go func() { _ = h.peerServer.Serve(h.listeners[listenPeer], h.serverTLS) }() // ends with its listener
	callerServer := h.serveCallers()
	h.serveHTTP(listenReadiness, h.adapter.ReadinessHandler(h.ready), nil)
	h.serveCalls(listenAdmin, admin.NewHandler(h.adminDaemon(), token), h.serverTLS)
	h.background.Go(func() { h.session.Run(loopCtx) })
	h.background.Go(func() { h.cleanupLoop(loopCtx) })
	h.background.Go(func() { h.connectLoop(loopCtx) })
	if h.allowances != nil {
		h.background.Go(func() { h.allowances.run(loopCtx) })
	}
	h.logger.Info("started", zap.String("host", h.settings.Host), zap.String("data_centre", h.settings.DataCentre), zap.String("role", settings.RoleEntry))
	h.record("started", h.settings.Host, "")
	<-ctx.Done()
	return h.shutdown(forceStop, callerServer)
}

func (h *EntryHost) ready() bool { return h.gateway.Ready() }

func (h *EntryHost) cleanupLoop(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.gateway.CloseIdleConns()
			h.permits.removeUnused()
			h.reportLinkUsage()
		}
	}
}

// Bounds of a graceful stop.
const (
	// balancerNoticeTime is how long the host serves after it reports that it is not ready:
	// the load balancer checks once a second and reacts to the second failed check.
	balancerNoticeTime = 2500 * time.Millisecond
	// admissionShare is the share of the stop time in which new requests are admitted,
	// maxAdmissionTime the longest such time. The rest is for their work, and each response
	// asks its caller to close the connection.
	admissionShare   = 0.5
	maxAdmissionTime = 3 * time.Second
	// quietPeriod is the time without a new request after which a stop ends early.
	quietPeriod = 500 * time.Millisecond
	// stopMargin is the part of the stop time that is left for the exit of the process.
	stopMargin = 600 * time.Millisecond
	// serverCloseTimeout bounds the close of the servers at the end of a stop,
	// sessionCloseTimeout the call that tells the leader of it.
	serverCloseTimeout  = 50 * time.Millisecond
	sessionCloseTimeout = 150 * time.Millisecond
	// maxLinkQueueToCloseIdle is the queueing delay of the host's own link up to which idle
	// connections are closed: a request in transit then rarely races with the close of its
	// connection.
	maxLinkQueueToCloseIdle = 50 * time.Millisecond
)

// admissionTime returns how long new requests are admitted during a graceful stop that
// takes total.
func admissionTime(total time.Duration) time.Duration {
	return min(time.Duration(admissionShare*float64(total)), maxAdmissionTime)
}

// serveCallers starts the HTTP server for callers.
func (h *EntryHost) serveCallers() *http.Server {
	h.callerConns = newCallerListener(h.listeners[listenTraffic], h.settings.Limits.Connections, h.gateway.CallerTimeouts, h.link)
	return h.serveListener(listenTraffic, h.callerConns, h.callerHandler())
}

// callerHandler returns the handler of callers' requests: the gateway, behind a front if the
// settings let requests of a connection be served side by side.
func (h *EntryHost) callerHandler() http.Handler {
	l := h.settings.Limits
	if l.PipelinedRequests <= 1 {
		return h.gateway
	}
	front := pipeline.NewFront(pipeline.Config{Concurrent: l.PipelinedRequests, HeadBytes: l.HeaderBytes, Repeatable: h.gateway.Repeatable, Logger: h.logger}, h.gateway)
	h.callerConns.front = front
	return front
}

// shutdown reports that the host is not ready and goes on serving, because callers keep
// using their connections. It ends when they have closed them, when the stop time is over
// or when forceStop ends; callers that still wait then get the known outcome of their
// request.
func (h *EntryHost) shutdown(forceStop context.Context, callerServer *http.Server) error {
	h.logger.Info("stopping", zap.Int64("in_flight", h.gateway.InFlight()))
	h.record("stopping", h.settings.Host, "")
	began := h.clock.Now()
	deadline := began.Add(h.settings.Deployment.StopTime - stopMargin)
	h.gateway.StartShutdown(deadline)
	h.serveUntilQuiet(forceStop, began, deadline)
	h.callerConns.closeIdle()
	h.awaitCallers(forceStop, deadline)
	if left := h.gateway.InFlight(); left > 0 {
		h.logger.Warn("requests are ended with the stop", zap.Int64("in_flight", left), zap.Duration("after", h.clock.Now().Sub(began)),
			zap.Any("open", h.callerConns.describeOpen()))
	}
	h.gateway.EndRequests()
	h.awaitCallers(context.Background(), earlier(deadline, h.clock.Now()).Add(stop.AnswerTimeout))
	if open := h.callerConns.describeOpen(); len(open) > 0 {
		h.logger.Warn("connections are still open after the answers", zap.Int64("in_flight", h.gateway.InFlight()), zap.Duration("after", h.clock.Now().Sub(began)),
			zap.Any("open", open))
	}
	ctx, cancel := context.WithTimeout(forceStop, serverCloseTimeout)
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		h.logger.Warn("connections closed at the end of the stop", zap.Int64("in_flight", h.gateway.InFlight()), zap.Int("connections", h.callerConns.openConns()), logging.Error(err))
	}
	h.closeSession(forceStop)
	h.stopServers(ctx)
	h.logger.Info("stopped", zap.Duration("took", h.clock.Now().Sub(began)))
	return nil
}

// closeSession tells the leader that this host has stopped.
func (h *EntryHost) closeSession(forceStop context.Context) {
	ctx, cancel := context.WithTimeout(forceStop, sessionCloseTimeout)
	defer cancel()
	if err := h.session.Close(ctx); err != nil {
		h.logger.Warn("session not closed; it expires", logging.Error(err))
	}
}

// stopPollInterval is the time between two checks for remaining work during a stop.
const stopPollInterval = 20 * time.Millisecond

// serveUntilQuiet serves until no request has arrived for quietPeriod, and refuses new
// requests once they might not finish before the process exits. From then on it closes
// idle connections, which are of no use to their callers.
func (h *EntryHost) serveUntilQuiet(forceStop context.Context, began, deadline time.Time) {
	for forceStop.Err() == nil && h.clock.Now().Before(deadline) {
		now := h.clock.Now()
		if now.Sub(began) >= admissionTime(h.settings.Deployment.StopTime) {
			h.gateway.StopAdmitting()
			if !h.callerConns.isClosingIdle() && h.link.QueueDelay() < maxLinkQueueToCloseIdle {
				h.callerConns.closeIdle()
			}
		}
		if now.Sub(began) >= balancerNoticeTime && h.gateway.InFlight() == 0 && h.gateway.SinceLastRequest(now) >= quietPeriod {
			return
		}
		pause(forceStop, stopPollInterval)
	}
}

// awaitCallers waits until no caller has a connection, until deadline or until forceStop
// ends.
func (h *EntryHost) awaitCallers(forceStop context.Context, deadline time.Time) {
	for forceStop.Err() == nil && h.callerConns.openConns() > 0 && h.clock.Now().Before(deadline) {
		pause(forceStop, stopPollInterval)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
