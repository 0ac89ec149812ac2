package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/table"
)

const (
	// connectInterval is the time between two looks at the connections to dispatchers.
	connectInterval = 250 * time.Millisecond
	// connectsPerRound spreads the opening of connections after a start.
	connectsPerRound = 8
	// maxKeptPeers bounds the dispatchers to which connections are kept open. A
	// connection takes some 20 KB on both sides.
	maxKeptPeers = 128
)

// connectLoop keeps connections to the dispatchers of keyed servers open: the first
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
		due := dispatchersToConnect(h.session.Table(), h.settings.Host, h.client.Connected)
		for _, address := range due {
			if err := h.client.Connect(ctx, address); err != nil {
				h.logger.Debug("dispatcher not connected; an ask tries again", zap.String("address", address), logging.Error(err))
			}
		}
	}
}

// dispatchersToConnect returns the peer addresses of dispatchers without a
// connection, at most connectsPerRound of them.
func dispatchersToConnect(t *table.Table, own string, connected func(address string) bool) []string {
	seen := map[string]bool{own: true}
	var due []string
	for _, s := range t.Services() {
		if !s.File.Keyed() {
			continue
		}
		for _, b := range t.Backends(s.File.Service) {
			host := t.Host(b.Dispatcher)
			if b.Lost || host == nil || seen[host.Name] || len(seen) > maxKeptPeers {
				continue
			}
			seen[host.Name] = true
			if len(due) < connectsPerRound && !connected(host.PeerAddress) {
				due = append(due, host.PeerAddress)
			}
		}
	}
	return due
}
