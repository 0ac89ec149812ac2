package settings

import (
	"fmt"
	"time"

	"github.com/agatestep/agatestep/internal/yamldoc"
)

// The roles of hosts.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// Deployment describes hosts with one role each.
type Deployment struct {
	// Role is entry for hosts that serve callers, or control for replicas of the
	// control group. Empty means that control.replicas tells.
	Role string `yaml:"role"`
	// Seeds are addresses of control hosts, as IP:port. They only need to lead to
	// the group once; its other members become known through it.
	Seeds []string `yaml:"seeds"`
	// SeedPeerPort replaces the port of seeds that are given with another listener
	// of the host than its peer listener. Default: the port of listen.peer.
	SeedPeerPort int `yaml:"seed_peer_port"`
	// PeerAddress is where other hosts reach this one if a forwarder stands in front
	// of its peer listener. Default: listen.peer.
	PeerAddress string `yaml:"peer_address"`
	// Form lets the control hosts among the seeds form a new group when no replica
	// has a log. It must be true only while a deployment starts for the first time.
	Form bool `yaml:"form"`
	// ToleratedLosses is the number of control hosts that may lose their disks at
	// the same time; the group has 2n+1 voters. 0 to 3, default 1.
	ToleratedLosses int `yaml:"tolerated_losses"`
	// Heartbeat is the interval at which backend servers report. Default 870ms.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// Hold is the lease on keys that an answer to a heartbeat grants. At least two
	// heartbeats and at most max_hold. Default: a heartbeat and 2.4s, in which a
	// backend server finds a new leader past two silent hosts.
	Hold time.Duration `yaml:"hold"`
	// MaxHold is the longest lease that backend servers accept. Default 10s.
	MaxHold time.Duration `yaml:"max_hold"`
	// RetryRatio, RetrySlack and RetryWindow bound the requests that all entry
	// hosts together send to a service once more: the ratio of the requests plus
	// the slack, within each window. Defaults 0.2, 50 and 10s.
	RetryRatio  float64       `yaml:"retry_ratio"`
	RetrySlack  float64       `yaml:"retry_slack"`
	RetryWindow time.Duration `yaml:"retry_window"`
	// ColdOvershoot and ColdSlack bound the requests that all entry hosts together
	// send to a cold backend server within a second: the overshoot times the rate
	// of its service plus the slack. Defaults 1.5 and 5.
	ColdOvershoot float64 `yaml:"cold_overshoot"`
	ColdSlack     float64 `yaml:"cold_slack"`
	// DrainTime is how long after the acknowledgement of its end a backend server
	// may get new requests, EvacuateTime the same for a data centre that is taken
	// out. Defaults 2s and 5s.
	DrainTime time.Duration `yaml:"drain_time"`
	// ApplyTime is how long after the acknowledgement of a change of the configuration
	// an entry host may still act by the one before. Default 2s.
	ApplyTime    time.Duration `yaml:"apply_time"`
	EvacuateTime time.Duration `yaml:"evacuate_time"`
	// StopTime is the time between SIGTERM and SIGKILL. Default 6s.
	StopTime time.Duration `yaml:"stop_time"`
}

func defaultDeployment() Deployment {
	return Deployment{ToleratedLosses: 1, Heartbeat: 870 * time.Millisecond, MaxHold: 10 * time.Second,
		RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, ColdOvershoot: 1.5, ColdSlack: 5,
		DrainTime: 2 * time.Second, ApplyTime: 2 * time.Second, EvacuateTime: 5 * time.Second, StopTime: 6 * time.Second}
}

// provision fills in what depends on other settings.
func (d *Deployment) provision(listen Listen) {
	if d.PeerAddress == "" {
		d.PeerAddress = listen.Peer
	}
	if d.Hold == 0 {
		d.Hold = min(d.Heartbeat+holdSlack, d.MaxHold)
	}
}

// Voters is the number of voters that the control group is to have.
func (d *Deployment) Voters() int { return 2*d.ToleratedLosses + 1 }

// heartbeatsPerHold lets a heartbeat be lost before a lease ends.
const heartbeatsPerHold = 2

// holdSlack is the time in which a backend server whose heartbeat failed tries two
// more hosts, a second each, and gets an answer.
const holdSlack = 2400 * time.Millisecond

// maxToleratedLosses keeps the group small enough for one leader.
const maxToleratedLosses = 3

func validateDeployment(s *Settings, d *yamldoc.Document) {
	v := s.Deployment
	requireOneOf(d, "deployment.role", v.Role, RoleEntry, RoleControl)
	requireName(d, "control.group", s.Control.Group)
	needed := []struct{ name, address string }{{"peer", s.Listen.Peer}, {"admin", s.Listen.Admin}}
	if v.Role == RoleControl {
		needed = append(needed, struct{ name, address string }{"control", s.Listen.Control})
		d.Require(s.DataFolder != "", "data_folder", "must be given for the role control")
	} else {
		needed = append(needed, struct{ name, address string }{"traffic", s.Listen.Traffic}, struct{ name, address string }{"readiness", s.Listen.Readiness})
	}
	for _, l := range needed {
		requireAddress(d, "listen."+l.name, l.address)
	}
	requireAddress(d, "deployment.peer_address", v.PeerAddress)
	d.Require(len(v.Seeds) > 0, "deployment.seeds", "must name at least one control host")
	for i, seed := range v.Seeds {
		requireAddress(d, fmt.Sprintf("deployment.seeds[%d]", i), seed)
	}
	yamldoc.RequireRange(d, "deployment.seed_peer_port", v.SeedPeerPort, 0, 65535)
	yamldoc.RequireRange(d, "deployment.tolerated_losses", v.ToleratedLosses, 0, maxToleratedLosses)
	yamldoc.RequireRange(d, "deployment.heartbeat", v.Heartbeat, 10*time.Millisecond, time.Minute)
	d.Require(v.Hold >= heartbeatsPerHold*v.Heartbeat && v.Hold <= v.MaxHold, "deployment.hold",
		"is %v; must be at least %d heartbeats of %v and at most deployment.max_hold, %v", v.Hold, heartbeatsPerHold, v.Heartbeat, v.MaxHold)
	d.Require(v.RetryRatio >= 0 && v.RetryRatio <= 1, "deployment.retry_ratio", "is %v; must be between 0 and 1", v.RetryRatio)
	d.Require(v.RetrySlack >= 0, "deployment.retry_slack", "is %g; must not be negative", v.RetrySlack)
	d.Require(v.RetryWindow > 0, "deployment.retry_window", "is %v; must be above 0", v.RetryWindow)
	d.Require(v.ColdOvershoot >= 1, "deployment.cold_overshoot", "is %v; must be at least 1", v.ColdOvershoot)
	d.Require(v.ColdSlack >= 0, "deployment.cold_slack", "is %g; must not be negative", v.ColdSlack)
	yamldoc.RequireRange(d, "deployment.drain_time", v.DrainTime, 0, time.Hour)
	yamldoc.RequireRange(d, "deployment.apply_time", v.ApplyTime, 100*time.Millisecond, time.Hour)
	yamldoc.RequireRange(d, "deployment.evacuate_time", v.EvacuateTime, 0, time.Hour)
	yamldoc.RequireRange(d, "deployment.stop_time", v.StopTime, time.Second, time.Hour)
}
