package control

import (
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// holderOfAddress returns a server whose lease may last and whose address a heartbeat claims
// for another server, or nil. A claim is no proof that the holder has ended: only the end of
// its lease is, after which it gets no further one.
func (l *Leader) holderOfAddress(hb *wire.Heartbeat, t *table.Table) *table.Backend {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	for _, s := range t.Services() {
		for _, b := range t.Backends(s.File.Service) {
			same := b.Service == hb.Service && b.Name == hb.Backend
			if !same && b.ByHeartbeat && !b.Lost && b.Address == hb.Address && b.Born < hb.Born && !l.leaseTracker.DecideLoss(now, b) {
				return b
			}
		}
	}
	return nil
}

// claimsAddress reports whether a heartbeat gives its server an address that the table does
// not have for it. A lost server that leaves does not get its address back.
func claimsAddress(b *table.Backend, hb *wire.Heartbeat) bool {
	if b != nil && b.Lost && b.Born == hb.Born && hb.Leaving {
		return false
	}
	return b == nil || b.Lost || b.Address != hb.Address
}

// answerClaim answers a heartbeat that claims the address of holder. Nothing is recorded: the
// server is used once it reports after the lease of the holder. The end of a server is
// acknowledged only with a record.
func (l *Leader) answerClaim(hb *wire.Heartbeat, holder *table.Backend) wire.HeartbeatReply {
	l.cfg.Logger.Info("heartbeat claims the address of another server", zap.String("backend", hb.Backend), zap.String("service", hb.Service),
		zap.Int64("born", hb.Born), zap.Uint64("sequence", hb.Sequence), zap.String("address", hb.Address),
		zap.String("holder", holder.Name), zap.Int64("holder_born", holder.Born))
	return wire.HeartbeatReply{Acked: !hb.Leaving, Reason: "the lease of the server at this address may last"}
}
