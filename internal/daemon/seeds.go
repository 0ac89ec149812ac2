package daemon

import (
	"net"
	"strconv"

	"github.com/agatestep/agatestep/internal/settings"
)

// seedAddresses returns the peer addresses of the seeds.
func seedAddresses(cfg *settings.Settings) []string {
	port := strconv.Itoa(cfg.Deployment.SeedPeerPort)
	if cfg.Deployment.SeedPeerPort == 0 {
		port = portOf(cfg.Deployment.PeerAddress)
	}
	var out []string
	for _, seed := range cfg.Deployment.Seeds {
		out = append(out, net.JoinHostPort(hostOf(seed), port))
	}
	return out
}

// hostOf returns the host of an address, or all of an address without a port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// portOf returns the port of an address, or "0" if it has none.
func portOf(address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return "0"
	}
	return port
}
