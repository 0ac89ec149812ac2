package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/table"
)

const (
	// connectInterval is the time between two checks of the connections to permit issuers.
	connectInterval = 250 * time.Millisecond
	// maxConnectsPerRound spreads the opening of connections after a start.
	maxConnectsPerRound = 8
	// maxPermitConns bounds the hosts to which connections are kept open. A
	// connection takes some 20 KB on both sides.
	maxPermitConns = 128
)

// connectLoop keeps connections open to the permit issuers. Without one, the first permit
// request would wait for three trips between the hosts instead of one.
func (h *EntryHost) connectLoop(ctx context.Context) {
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		due := issuersToConnect(h.session.ControlHosts(), h.session.Table(), h.settings.Host, h.client.Connected)
		for _, address := range due {
			if err := h.client.Connect(ctx, address); err != nil {
				h.logger.Debug("permit issuer not connected; the next permit request tries again", zap.String("address", address), logging.Error(err))
			}
		}
	}
}

// issuersToConnect returns the peer addresses of the control hosts and of the dispatchers
// of cold backend servers that have no connection yet, at most maxConnectsPerRound of them.
func issuersToConnect(control []string, t *table.Table, own string, connected func(address string) bool) []string {
	var due []string
	seen := map[string]bool{}
	add := func(address string) {
		if !seen[address] && len(seen) < maxPermitConns {
			seen[address] = true
			if len(due) < maxConnectsPerRound && !connected(address) {
				due = append(due, address)
			}
		}
	}
	for _, address := range control {
		add(address)
	}
	for _, s := range t.Services() {
		for _, b := range t.Backends(s.File.Service) {
			if host := t.Host(b.Dispatcher); b.Cold && !b.Lost && host != nil && host.Name != own {
				add(host.PeerAddress)
			}
		}
	}
	return due
}
