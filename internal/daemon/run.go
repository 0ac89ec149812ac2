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

// Run serves until ctx ends, then stops gracefully: it takes no new work, hands
// its roles on and finishes the requests in flight. It returns when all is done
// or when hard ends, or after the settings' bound on a stop.
func (d *Daemon) Run(ctx, hard context.Context) error {
	loops, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.cancel = cancel
	if err := d.startControl(loops); err != nil {
		d.closeListeners()
		return errors.Trace(err)
	}
	d.registerMethods()
	if err := d.serve(); err != nil {
		d.closeListeners()
		return errors.Trace(err)
	}
	d.background.Go(func() { d.session.Run(loops) })
	d.background.Go(func() { d.dispatcher.Run(loops) })
	d.logger.Info("started", zap.String("host", d.settings.Host), zap.String("data_centre", d.settings.DataCentre))
	d.record("started", d.settings.Host, "")
	<-ctx.Done()
	return d.shutdown(hard)
}

func (d *Daemon) serve() error {
	token, err := d.adminToken()
	if err != nil {
		return errors.Trace(err)
	}
	go func() { _ = d.peers.Serve(d.listeners[listenPeer], d.serverTLS) }()
	backends := http.NewServeMux()
	backends.Handle(wire.AnnouncePath, d.dispatcher.AnnounceHandler())
	d.serveHTTP(listenTraffic, d.entry, nil)
	d.serveHTTP(listenBackends, backends, nil)
	d.serveHTTP(listenRelay, d.dispatcher.RelayHandler(), d.serverTLS)
	d.serveHTTP(listenAdmin, admin.NewHandler(d, token), d.serverTLS)
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

// shutdown stops in the order that loses nothing. First it takes no new callers
// and hands leadership on, while its session lasts: other hosts still relay to
// its dispatchers. Then it closes the session, so that the standby dispatchers
// take over, and finishes what is in flight. The control replica stops last.
func (d *Daemon) shutdown(hard context.Context) error {
	d.logger.Info("stopping")
	d.record("stopping", d.settings.Host, "")
	ctx, cancel := context.WithTimeout(hard, d.settings.Shutdown.Timeout)
	defer cancel()
	left, cancelDelay := context.WithTimeout(hard, d.settings.Shutdown.Delay)
	defer cancelDelay()
	d.entry.StartShutdown()
	d.handLeadershipOn(ctx, d.replica)
	d.finishCallers(ctx)
	d.handRolesOn(ctx)
	if err := d.session.Close(ctx); err != nil {
		d.logger.Warn("session not handed over; the standby dispatchers take over when it expires", logging.Error(err))
	}
	err := d.finishCalls(ctx)
	<-left.Done() // connections that arrive until here are answered
	if hard.Err() != nil {
		ctx, cancel = context.WithTimeout(context.WithoutCancel(hard), stop.AnswerTime)
		defer cancel()
		d.cutCalls(ctx)
	}
	d.stopServers(ctx)
	if d.replica != nil {
		d.replica.stop()
	}
	d.logger.Info("stopped", logging.Error(err))
	return err
}

// finishCallers waits for the requests of callers while this host can still
// route them. Half of the time to stop is left for the hand-over, after which
// only requests that reached a backend server go on.
func (d *Daemon) finishCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Shutdown.Timeout/2)
	defer cancel()
	_ = d.entry.Await(ctx) // waited for again after the hand-over
}

// finishCalls waits for the requests of callers and of other hosts. Those that have no answer
// near the end of the time are answered with what is known of them.
func (d *Daemon) finishCalls(ctx context.Context) error {
	callers := make(chan error, 1)
	go func() { callers <- d.entry.Shutdown(ctx) }()
	relayed := d.dispatcher.Shutdown(ctx)
	if err := <-callers; err != nil {
		return errors.Annotate(err, "requests of callers")
	}
	return errors.Annotate(relayed, "requests of other hosts")
}

// cutCalls answers the requests that are left when a stop is cut short.
func (d *Daemon) cutCalls(ctx context.Context) {
	d.entry.EndCalls()
	d.dispatcher.EndCalls()
	for _, err := range []error{d.entry.Await(ctx), d.dispatcher.Await(ctx)} {
		if err != nil {
			d.logger.Warn("requests cut off by the end of the stop", logging.Error(err))
		}
	}
}

// handRolesTimeout bounds the hand-over of dispatcher roles before the session
// is closed, which hands over the rest.
const handRolesTimeout = time.Second

func (d *Daemon) handRolesOn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handRolesTimeout)
	defer cancel()
	d.dispatcher.HandOver(ctx)
}

// leadershipTimeout bounds the hand-over of leadership. When it fails, the
// other replicas elect a leader after their election timeout.
const leadershipTimeout = 500 * time.Millisecond

// handLeadershipOn transfers leadership to the first voter that takes it.
func (p *process) handLeadershipOn(ctx context.Context, r *replica) {
	if r == nil {
		return
	}
	node := r.node.Load()
	status := node.Status()
	if !status.IsLeader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leadershipTimeout)
	defer cancel()
	for _, m := range status.Members {
		if m.Voter && m.ID != status.ID && node.TransferLeadership(ctx, m.ID) == nil {
			return
		}
	}
	p.logger.Warn("no replica took the leadership over")
}
