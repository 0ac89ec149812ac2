package daemon

import (
	"github.com/juju/errors"
	"go.uber.org/zap"
	"time"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/control"
	"github.com/agatestep/agatestep/internal/dispatch"
	"github.com/agatestep/agatestep/internal/entry"
	"github.com/agatestep/agatestep/internal/session"
	"github.com/agatestep/agatestep/internal/settings"
)

// Daemon is the process of a host in a deployment whose hosts all have the same roles.
type Daemon struct {
	*process

	replicaAddresses     []string          // peer addresses of the control replicas
	replicaAddressByHost map[string]string // peer address by host of a control replica

	session    *session.Session
	dispatcher *dispatch.Dispatcher
	entry      *entry.Handler
	replica    *replica        // nil on hosts without a control replica
	leader     *control.Leader // nil on hosts without a control replica
}

// New creates a daemon and opens its listeners. It serves nothing before Run, which
// also opens the data folder.
func New(cfg *settings.Settings, logger *zap.Logger) (*Daemon, error) {
	p, err := newProcess(cfg, logger)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d := &Daemon{process: p, replicaAddressByHost: map[string]string{}}
	for _, r := range cfg.Control.Replicas {
		d.replicaAddresses = append(d.replicaAddresses, r.Peer)
		d.replicaAddressByHost[r.Host] = r.Peer
	}
	l := cfg.Listen
	if err := d.openListeners(map[string]string{
		listenTraffic: l.Traffic, listenBackends: l.Backends, listenPeer: l.Peer,
		listenRelay: l.Relay, listenAdmin: l.Admin,
	}); err != nil {
		d.closeListeners()
		return nil, errors.Trace(err)
	}
	d.createComponents()
	return d, nil
}

func (d *Daemon) createComponents() {
	cfg := d.settings
	d.session = session.New(session.Config{
		Host: command.HostJoined{
			Host: cfg.Host, DataCentre: cfg.DataCentre,
			PeerAddress: cfg.Listen.Peer, RelayAddress: cfg.Listen.Relay,
			BackendsAddress: cfg.Listen.Backends, AdminAddress: cfg.Listen.Admin,
		},
		Instance:      d.instance,
		Replicas:      d.sessionReplicas(),
		Caller:        d.client,
		Clock:         d.clock,
		Logger:        d.logger,
		RenewInterval: cfg.Timing.RenewInterval,
		CallTimeout:   cfg.Timing.RenewInterval + cfg.Timing.RenewInterval/2,
		WatchPoll:     cfg.Timing.WatchTimeout,

		ConfirmInterval: cfg.Timing.RenewInterval,
		AckChanges:      true,
		Loads:           func() []sliceLoads { return d.dispatcher.TakeLoads() },
		OnTable:         d.tableChanged,
		RecordEvent:     d.record,
	})
	d.dispatcher = dispatch.New(d.dispatchConfig())
	d.entry = entry.New(entry.Config{
		Host: cfg.Host, DataCentre: cfg.DataCentre,
		Tables: d.session.Table, SessionValidUntil: d.session.ValidUntil,
		Dispatcher: d.dispatcher, Clock: d.clock, Logger: d.logger,
		Limits: entry.Limits{
			HeaderBytes: cfg.Limits.HeaderBytes, BodyBytes: cfg.Limits.BodyBytes,
			InFlight: cfg.Limits.InFlight,
		},
		Counters: processMetrics.entry,
		RelayTLS: d.clientTLS,
	})
}

func (d *Daemon) sessionReplicas() []session.Replica {
	var out []session.Replica
	for _, r := range d.settings.Control.Replicas {
		out = append(out, session.Replica{Host: r.Host, Address: r.Peer})
	}
	return out
}

func (d *Daemon) dispatchConfig() dispatch.Config {
	cfg := d.settings
	return dispatch.Config{
		Host: cfg.Host, Tables: d.session.Table, SessionValidUntil: d.session.ValidUntil,
		Propose: d.propose, RelayAnnounce: d.relayAnnounce,
		Clock: d.clock, Logger: d.logger, RecordEvent: d.record,
		BackendLeaseTTL: cfg.Timing.BackendLeaseTTL, AnnounceInterval: cfg.Timing.AnnounceInterval,
		MaxClockDrift: cfg.Timing.MaxClockDrift,
		QueueLen:      cfg.Limits.QueuePerBackend, MaxBodyBytes: cfg.Limits.BodyBytes,
	}
}

func (d *Daemon) tableChanged(t *routingTable, _ time.Time) {
	d.dispatcher.TableChanged(t)
	processMetrics.revision.Set(int64(t.Revision()))
}

// hasReplica reports whether the settings list this host as the host of a control replica.
func (d *Daemon) hasReplica() bool {
	_, ok := d.replicaAddressByHost[d.settings.Host]
	return ok
}
