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

// startControl opens this host's control replica, if it has one, and starts the leader's
// work, which ends with ctx. The replicated log itself ends with replica.stop.
func (d *Daemon) startControl(ctx context.Context) error {
	if !d.hasReplica() {
		return nil
	}
	cfg := d.settings
	state := control.NewState(control.ServiceChecker())
	replica, err := openReplica(cfg.DataFolder, cfg.Control.Group, cfg.Host, replication.Config{
		Tick:             cfg.Timing.Tick,
		ElectionTicksMin: cfg.Timing.ElectionTicksMin,
		ElectionTicksMax: cfg.Timing.ElectionTicksMax,
		MaxClockDrift:    cfg.Timing.MaxClockDrift,
		Seed:             electionSeed(cfg.Host, d.instance),
		Clock:            d.clock,
		Transport: newLogTransport(ctx, d.bulkClient, func(host string) (string, bool) {
			address, ok := d.replicaAddressByHost[host]
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
		MaxWatchWait: cfg.Timing.WatchTimeout,
	})
	d.background.Go(func() { d.leader.Run(ctx) })
	return nil
}

// electionSeed returns the seed of the random election timeouts. It differs between
// processes.
func electionSeed(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // documented to never fail
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
