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

// OrderCost lets queues be ordered by what a delay costs callers.
const OrderCost = "cost"

// How entry hosts choose the backend server of a request without a key.
const (
	UnkeyedEstimate = "estimate"
	UnkeyedPermits  = "permits"
)

// Deployment configures a deployment in which each host has one role.
type Deployment struct {
	// Role is entry for hosts that serve callers, or control for replicas of the
	// control group. If it is empty, control.replicas lists the replicas.
	Role string `yaml:"role"`
	// Seeds are addresses of control hosts, as IP:port. One reachable seed is enough
	// to discover the other members of the group.
	Seeds []string `yaml:"seeds"`
	// SeedPeerPort replaces the port of the seeds, for seeds that give the port of a
	// listener other than the peer listener. Default: the port of listen.peer.
	SeedPeerPort int `yaml:"seed_peer_port"`
	// PeerAddress is the advertised address of the peer listener, for hosts behind a
	// port forwarder. Default: listen.peer.
	PeerAddress string `yaml:"peer_address"`
	// FormGroup lets the control hosts among the seeds bootstrap a new group when no
	// replica has a log. It must be true only for the first start of a deployment.
	FormGroup bool `yaml:"form"`
	// ToleratedLosses is the number of control hosts that may lose their disks at
	// the same time; the group has 2n+1 voters. 0 to 3, default 1.
	ToleratedLosses int `yaml:"tolerated_losses"`
	// Heartbeat is the interval between heartbeats of backend servers. Default 870ms.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// LeaseTTL is the length of the lease on keys that a heartbeat reply grants. At least
	// two heartbeats and at most max_hold. Default: one heartbeat plus 2.4s, in which
	// a backend server finds a new leader after two hosts did not respond.
	LeaseTTL time.Duration `yaml:"hold"`
	// MaxLeaseTTL is the longest lease that backend servers accept. Default 10s.
	MaxLeaseTTL time.Duration `yaml:"max_hold"`
	// RetryRatio, RetrySlack and RetryWindow set the retry budget of a service over
	// all entry hosts: within each window, the ratio of its requests plus the slack.
	// Defaults 0.2, 50 and 10s.
	RetryRatio  float64       `yaml:"retry_ratio"`
	RetrySlack  float64       `yaml:"retry_slack"`
	RetryWindow time.Duration `yaml:"retry_window"`
	// AddressReuseAfter is the shortest time between the end of a backend server and the start
	// of another process at its address. Until then, a server that has answered is known to be
	// at its address. Default 0s: that is never known.
	AddressReuseAfter time.Duration `yaml:"address_reuse_after"`
	// ColdOvershoot and ColdSlack limit the requests that all entry hosts together
	// send to a cold backend server within one second: the overshoot times the warm-up
	// rate of its service plus the slack. Defaults 1.5 and 5.
	ColdOvershoot float64 `yaml:"cold_overshoot"`
	ColdSlack     float64 `yaml:"cold_slack"`
	// DrainTime is how long a backend server may get new requests after its leaving
	// is acknowledged; EvacuateTime is the same for a data centre that is drained.
	// Defaults 2s and 5s.
	DrainTime time.Duration `yaml:"drain_time"`
	// ApplyTime is how long an entry host may still use the previous configuration
	// after a change is acknowledged. Default 2s.
	ApplyTime    time.Duration `yaml:"apply_time"`
	EvacuateTime time.Duration `yaml:"evacuate_time"`
	// Order sets how requests are ordered and refused when a backend server has too little room:
	// by priority, target and arrival by default, and with cost also by the work that each
	// request needs on that server and by what its caller loses. The value must be the same
	// on all hosts.
	Order string `yaml:"order"`
	// PaceBodies makes entry hosts whose limits.link_mbps is given read and send the bodies of
	// requests by priority and time left, while their link has room beside smaller messages.
	// Otherwise bodies have a fixed share of the link.
	PaceBodies bool `yaml:"pace_bodies"`
	// StopTime is the time between SIGTERM and SIGKILL. Default 6s.
	StopTime time.Duration `yaml:"stop_time"`
	// AllowanceWindow, AllowanceOvershoot and AllowanceSlack state by how much the requests
	// of an organisation may exceed its allowance over all hosts: within any window, the
	// allowance times one plus the overshoot, plus the slack. Without a window, allowances
	// are not in force.
	AllowanceWindow    time.Duration `yaml:"allowance_window"`
	AllowanceOvershoot float64       `yaml:"allowance_overshoot"`
	AllowanceSlack     float64       `yaml:"allowance_slack"`
	// NearbyTables makes entry hosts take the routing table from a control host in their own
	// data centre while one answers there, if it has at least two.
	NearbyTables bool `yaml:"nearby_tables"`
	// SpareRoundTrips makes entry hosts whose own link is slow wait for fewer replies: requests
	// for keys are sent ahead of their permits while the servers have room, and requests without
	// a key prefer servers with an idle connection.
	SpareRoundTrips bool `yaml:"spare_round_trips"`
	// Unkeyed is how entry hosts choose the backend server of a request without a key:
	// estimate, each host by what it knows itself, or permits, by a control host that
	// knows the requests of all hosts. Default estimate.
	Unkeyed string `yaml:"unkeyed"`
}

func defaultDeployment() Deployment {
	return Deployment{ToleratedLosses: 1, Heartbeat: 870 * time.Millisecond, MaxLeaseTTL: 10 * time.Second,
		RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, ColdOvershoot: 1.5, ColdSlack: 5,
		DrainTime: 2 * time.Second, ApplyTime: 2 * time.Second, EvacuateTime: 5 * time.Second, StopTime: 6 * time.Second, Unkeyed: UnkeyedEstimate}
}

// applyDerivedDefaults fills in the defaults that depend on other settings.
func (d *Deployment) applyDerivedDefaults(listen Listen) {
	if d.PeerAddress == "" {
		d.PeerAddress = listen.Peer
	}
	if d.LeaseTTL == 0 {
		d.LeaseTTL = min(d.Heartbeat+leaderSearchTime, d.MaxLeaseTTL)
	}
}

// VoterCount returns the number of voters that the control group should have.
func (d *Deployment) VoterCount() int { return 2*d.ToleratedLosses + 1 }

// OrderedByCost reports whether queues are ordered by cost.
func (d *Deployment) OrderedByCost() bool { return d.Order == OrderCost }

// minHeartbeatsPerLease allows one heartbeat to be lost before a lease expires.
const minHeartbeatsPerLease = 2

// leaderSearchTime is enough for a backend server whose heartbeat failed to try two
// more hosts, one second each, and to receive a reply.
const leaderSearchTime = 2400 * time.Millisecond

// maxToleratedLosses keeps the group small enough for one leader.
const maxToleratedLosses = 3

func validateDeployment(s *Settings, d *yamldoc.Document) {
	deployment := s.Deployment
	requireOneOf(d, "deployment.role", deployment.Role, RoleEntry, RoleControl)
	requireOneOf(d, "deployment.unkeyed", deployment.Unkeyed, UnkeyedEstimate, UnkeyedPermits)
	requireName(d, "control.group", s.Control.Group)
	required := []struct{ name, address string }{{"peer", s.Listen.Peer}, {"admin", s.Listen.Admin}}
	if deployment.Role == RoleControl {
		required = append(required, struct{ name, address string }{"control", s.Listen.Control})
		d.Require(s.DataFolder != "", "data_folder", "must be given for the role control")
	} else {
		required = append(required, struct{ name, address string }{"traffic", s.Listen.Traffic}, struct{ name, address string }{"readiness", s.Listen.Readiness})
	}
	for _, l := range required {
		requireAddress(d, "listen."+l.name, l.address)
	}
	requireAddress(d, "deployment.peer_address", deployment.PeerAddress)
	d.Require(len(deployment.Seeds) > 0, "deployment.seeds", "must name at least one control host")
	for i, seed := range deployment.Seeds {
		requireAddress(d, fmt.Sprintf("deployment.seeds[%d]", i), seed)
	}
	yamldoc.RequireRange(d, "deployment.seed_peer_port", deployment.SeedPeerPort, 0, 65535)
	yamldoc.RequireRange(d, "deployment.tolerated_losses", deployment.ToleratedLosses, 0, maxToleratedLosses)
	yamldoc.RequireRange(d, "deployment.heartbeat", deployment.Heartbeat, 10*time.Millisecond, time.Minute)
	d.Require(deployment.LeaseTTL >= minHeartbeatsPerLease*deployment.Heartbeat && deployment.LeaseTTL <= deployment.MaxLeaseTTL, "deployment.hold",
		"is %v; must be at least %d heartbeats of %v and at most deployment.max_hold, %v", deployment.LeaseTTL, minHeartbeatsPerLease, deployment.Heartbeat, deployment.MaxLeaseTTL)
	d.Require(deployment.RetryRatio >= 0 && deployment.RetryRatio <= 1, "deployment.retry_ratio", "is %v; must be between 0 and 1", deployment.RetryRatio)
	d.Require(deployment.RetrySlack >= 0, "deployment.retry_slack", "is %g; must not be negative", deployment.RetrySlack)
	d.Require(deployment.RetryWindow > 0, "deployment.retry_window", "is %v; must be above 0", deployment.RetryWindow)
	yamldoc.RequireRange(d, "deployment.address_reuse_after", deployment.AddressReuseAfter, 0, time.Hour)
	d.Require(deployment.ColdOvershoot >= 1, "deployment.cold_overshoot", "is %v; must be at least 1", deployment.ColdOvershoot)
	d.Require(deployment.ColdSlack >= 0, "deployment.cold_slack", "is %g; must not be negative", deployment.ColdSlack)
	yamldoc.RequireRange(d, "deployment.allowance_window", deployment.AllowanceWindow, 0, time.Hour)
	d.Require(deployment.AllowanceWindow == 0 || deployment.AllowanceOvershoot > 0, "deployment.allowance_overshoot", "is %g; must be above 0", deployment.AllowanceOvershoot)
	d.Require(deployment.AllowanceSlack >= 0, "deployment.allowance_slack", "is %g; must not be negative", deployment.AllowanceSlack)
	yamldoc.RequireRange(d, "deployment.drain_time", deployment.DrainTime, 0, time.Hour)
	yamldoc.RequireRange(d, "deployment.apply_time", deployment.ApplyTime, 100*time.Millisecond, time.Hour)
	yamldoc.RequireRange(d, "deployment.evacuate_time", deployment.EvacuateTime, 0, time.Hour)
	d.Require(deployment.Order == "" || deployment.OrderedByCost(), "deployment.order", "is %q; must be %s when it is given", deployment.Order, OrderCost)
	yamldoc.RequireRange(d, "deployment.stop_time", deployment.StopTime, time.Second, time.Hour)
}
