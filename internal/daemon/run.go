package daemon

import (
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/stop"
	"github.com/agatestep/agatestep/internal/wire"
)

// Run serves until ctx ends, then stops gracefully: it accepts no new requests, hands
// over its roles and finishes the requests in flight. It returns when that is done, when
// forceStop ends or when the shutdown timeout of the settings is over.
func (d *Daemon) Run(ctx, forceStop context.Context) error {
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.cancel = cancel
	if err := d.startControl(loopCtx); err != nil {
		d.closeListeners()
		return errors.Trace(err)
	}
	d.registerMethods()
	if err := d.serve(); err != nil {
		d.closeListeners()
		return errors.Trace(err)
	}
	d.background.Go(func() { d.session.Run(loopCtx) })
	d.background.Go(func() { d.dispatcher.Run(loopCtx) })
	d.logger.Info("started", zap.String("host", d.settings.Host), zap.String("data_centre", d.settings.DataCentre))
	d.record("started", d.settings.Host, "")
	<-ctx.Done()
	return d.shutdown(forceStop)
}

func (d *Daemon) serve() error {
	token, err := d.adminToken()
	if err != nil {
		return errors.Trace(err)
	}
	go func() { _ = d.peerServer.Serve(d.listeners[listenPeer], d.serverTLS) }()
	backends := http.NewServeMux()
	backends.Handle(wire.AnnouncePath, d.dispatcher.AnnounceHandler())
	d.serveHTTP(listenTraffic, d.entry, nil)
	d.serveHTTP(listenBackends, backends, nil)
	d.serveHTTP(listenRelay, d.dispatcher.RelayHandler(), d.serverTLS)
	d.serveCalls(listenAdmin, admin.NewHandler(d, token), d.serverTLS)
	return nil
}

func (p *process) adminToken() (string, error) {
	if p.settings.Admin.TokenFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(p.settings.Admin.TokenFile)
	if err != nil {
		return "", errors.Annotate(err, "reading the administration token")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", errors.Errorf("administration token file %q is empty", p.settings.Admin.TokenFile)
	}
	return token, nil
}

// shutdown stops the parts in an order that loses no request. First it accepts no new
// callers and transfers leadership, while its session is valid: other hosts still relay
// requests to its dispatcher. Then it closes the session, so that the standby dispatchers
// take over, and finishes the requests in flight. The control replica stops last.
func (d *Daemon) shutdown(forceStop context.Context) error {
	d.logger.Info("stopping")
	d.record("stopping", d.settings.Host, "")
	ctx, cancel := context.WithTimeout(forceStop, d.settings.Shutdown.Timeout)
	defer cancel()
	delay, cancelDelay := context.WithTimeout(forceStop, d.settings.Shutdown.Delay)
	defer cancelDelay()
	d.entry.StartShutdown()
	d.transferLeadership(ctx, d.replica)
	d.awaitCallerRequests(ctx)
	d.handOverRoles(ctx)
	if err := d.session.Close(ctx); err != nil {
		d.logger.Warn("session not handed over; the standby dispatchers take over when it expires", logging.Error(err))
	}
	err := d.drainRequests(ctx)
	<-delay.Done() // connections that arrive until then are served
	if forceStop.Err() != nil {
		ctx, cancel = context.WithTimeout(context.WithoutCancel(forceStop), stop.AnswerTimeout)
		defer cancel()
		d.endRemainingRequests(ctx)
	}
	d.stopServers(ctx)
	if d.replica != nil {
		d.replica.stop()
	}
	d.logger.Info("stopped", logging.Error(err))
	return err
}

// awaitCallerRequests waits for the requests of callers while this host can still route
// them. Half of the shutdown timeout is left for the handover, after which only requests
// that have reached a backend server continue.
func (d *Daemon) awaitCallerRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Shutdown.Timeout/2)
	defer cancel()
	_ = d.entry.WaitIdle(ctx) // awaited again after the handover
}

// drainRequests waits for the requests of callers and of other hosts. Those without a
// response near the end of the timeout are answered with their known outcome.
func (d *Daemon) drainRequests(ctx context.Context) error {
	callers := make(chan error, 1)
	go func() { callers <- d.entry.Shutdown(ctx) }()
	relayed := d.dispatcher.Shutdown(ctx)
	if err := <-callers; err != nil {
		return errors.Annotate(err, "waiting for requests of callers")
	}
	return errors.Annotate(relayed, "waiting for requests of other hosts")
}

// endRemainingRequests answers the requests that are left at a forced stop with their known
// outcome.
func (d *Daemon) endRemainingRequests(ctx context.Context) {
	d.entry.EndRequests()
	d.dispatcher.EndRequests()
	for _, err := range []error{d.entry.WaitIdle(ctx), d.dispatcher.WaitIdle(ctx)} {
		if err != nil {
			d.logger.Warn("requests did not finish before the end of the stop", logging.Error(err))
		}
	}
}

// roleHandoverTimeout bounds the handover of dispatcher roles before the session is
// closed, which hands over the rest.
const roleHandoverTimeout = time.Second

func (d *Daemon) handOverRoles(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roleHandoverTimeout)
	defer cancel()
	d.dispatcher.HandOver(ctx)
}

// leadershipTransferTimeout bounds the transfer of leadership. If it fails, the other
// replicas elect a leader after their election timeout.
const leadershipTransferTimeout = 500 * time.Millisecond

// transferLeadership transfers leadership to the first voter that accepts it.
func (p *process) transferLeadership(ctx context.Context, r *replica) {
	if r == nil {
		return
	}
	node := r.node.Load()
	status := node.Status()
	if !status.IsLeader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	for _, m := range status.Members {
		if m.Voter && m.ID != status.ID && node.TransferLeadership(ctx, m.ID) == nil {
			return
		}
	}
	p.logger.Warn("no replica accepted the leadership")
}
