package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/table"
)

const (
	// connectInterval is the time between two looks at the connections to givers of permits.
	connectInterval = 250 * time.Millisecond
	// connectsPerRound spreads the opening of connections after a start.
	connectsPerRound = 8
	// maxKeptPeers bounds the hosts to which connections are kept open. A
	// connection takes some 20 KB on both sides.
	maxKeptPeers = 128
)

// connectLoop keeps connections open to the hosts that are asked for permits: the first
// ask of a request would wait for three ways instead of one.
func (h *EntryHost) connectLoop(ctx context.Context) {
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		due := desksToConnect(h.session.ControlHosts(), h.session.Table(), h.settings.Host, h.client.Connected)
		for _, address := range due {
			if err := h.client.Connect(ctx, address); err != nil {
				h.logger.Debug("giver of permits not connected; an ask tries again", zap.String("address", address), logging.Error(err))
			}
		}
	}
}

// desksToConnect returns the peer addresses without a connection of the control hosts and
// of the dispatchers of cold servers, at most connectsPerRound of them.
func desksToConnect(control []string, t *table.Table, own string, connected func(address string) bool) []string {
	var due []string
	seen := map[string]bool{}
	add := func(address string) {
		if !seen[address] && len(seen) < maxKeptPeers {
			seen[address] = true
			if len(due) < connectsPerRound && !connected(address) {
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
