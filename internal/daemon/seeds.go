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

// hostOf and portOf split addresses that the settings have checked.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func portOf(address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return "0"
	}
	return port
}
