package daemon

import (
	"context"
	"fmt"
	"hash/fnv"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/control"
	"github.com/agatestep/agatestep/internal/replication"
)

// startControl opens the control replica of this host and starts its duties.
// It ends with ctx; the log itself ends with stopControl.
func (d *Daemon) startControl(ctx context.Context) error {
	if !d.isReplica() {
		return nil
	}
	cfg := d.settings
	state := control.NewState(control.ServiceChecker())
	replica, err := openReplica(cfg.DataFolder, cfg.Control.Group, cfg.Host, replication.Config{
		Tick:             cfg.Timing.Tick,
		ElectionTicksMin: cfg.Timing.ElectionTicksMin,
		ElectionTicksMax: cfg.Timing.ElectionTicksMax,
		MaxClockDrift:    cfg.Timing.MaxClockDrift,
		Seed:             seedOf(cfg.Host, d.instance),
		Clock:            d.clock,
		Transport: newLogTransport(ctx, d.logClient, func(host string) (string, bool) {
			address, ok := d.byHost[host]
			return address, ok
		}),
		OnLeaderChange: d.leaderChanged,
	}, state)
	if err != nil {
		return errors.Trace(err)
	}
	d.replica = replica
	d.leader = control.NewLeader(control.LeaderConfig{
		State: state, Proposer: replica, Clock: d.clock,
		SessionTTL: cfg.Timing.SessionTTL, MaxClockDrift: cfg.Timing.MaxClockDrift,
		Poll: cfg.Timing.WatchPoll,
	})
	d.background.Go(func() { d.leader.Run(ctx) })
	return nil
}

// seedOf gives each process other election timeouts.
func seedOf(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // never fails, by its documentation
	}
	return h.Sum64()
}

func (p *process) leaderChanged(leader replication.ReplicaID, term uint64) {
	p.logger.Info("control leader changed", zap.String("leader", string(leader)), zap.Uint64("term", term))
	detail := fmt.Sprintf("term %d", term)
	if leader == "" {
		p.record("leader-unknown", p.settings.Control.Group, detail)
		return
	}
	p.record("leader-changed", leader.Host(), detail)
}
