package replication

import (
	"errors"
	"fmt"
	"time"

	"github.com/agatestep/agatestep/internal/clock"
)

// Defaults of Config.
const (
	DefaultTick             = 25 * time.Millisecond
	DefaultElectionTicksMin = 12
	DefaultElectionTicksMax = 24
	DefaultHeartbeatTicks   = 2
	DefaultMaxClockDrift    = 0.01
	DefaultSnapshotEvery    = 10000
)

// leaseMarginTicks is subtracted from the time for which followers refuse
// votes: the first tick after a message may come immediately, and a late tick
// may be followed closely by the next.
const leaseMarginTicks = 2

// Config configures a Node. Zero values of the timing fields and of
// SnapshotEvery mean the defaults.
type Config struct {
	// ID must be the id of the store; empty means that id.
	ID ReplicaID
	// Host must be the host of the store; empty means that host.
	Host             string
	GroupID          string
	Tick             time.Duration
	ElectionTicksMin int
	ElectionTicksMax int
	HeartbeatTicks   int
	// MaxClockDrift bounds how far the rate of any replica's clock is from real time,
	// as a fraction.
	MaxClockDrift float64
	// Seed makes the election timeouts reproducible; replicas need different seeds.
	Seed         uint64
	Storage      Storage
	Transport    Transport
	StateMachine StateMachine
	Clock        clock.Clock
	// BarrierCovers reports whether a Barrier covers the command; nil means that
	// barriers cover all commands.
	BarrierCovers func(command []byte) bool
	// SnapshotEvery is the least number of applied entries between snapshots. The actual
	// distance is up to a quarter longer, and a replica that restarts applies up to that
	// many entries before it takes part.
	SnapshotEvery uint64
	// KeepEntries is the number of entries before a snapshot that stay in memory for
	// lagging followers; zero means half of SnapshotEvery.
	KeepEntries uint64
	// OnLeaderChange is called from the node's goroutine when the known leader
	// or the term changes. It must not block or call the node, except Status.
	OnLeaderChange func(leader ReplicaID, term uint64)
	// Ticks replaces the real-time ticker in tests.
	Ticks <-chan time.Time
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

func (c *Config) setDefaults() error {
	if c.Storage == nil || c.Transport == nil || c.StateMachine == nil {
		return errors.New("replication: storage, transport and state machine must be set")
	}
	identity := c.Storage.Identity()
	setDefault(&c.ID, identity.ID())
	setDefault(&c.Host, identity.Host)
	setDefault(&c.Tick, DefaultTick)
	setDefault(&c.ElectionTicksMin, DefaultElectionTicksMin)
	setDefault(&c.ElectionTicksMax, DefaultElectionTicksMax)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.MaxClockDrift, DefaultMaxClockDrift)
	setDefault(&c.SnapshotEvery, DefaultSnapshotEvery)
	setDefault(&c.KeepEntries, c.SnapshotEvery/2)
	setDefault(&c.Clock, clock.Clock(clock.Real{}))
	if c.ID != identity.ID() || c.Host != identity.Host || c.GroupID != identity.Group {
		return fmt.Errorf("replication: configured as %s on host %s of group %q, but the store belongs to %s of group %q",
			c.ID, c.Host, c.GroupID, identity.ID(), identity.Group)
	}
	if c.MaxClockDrift < 0 || c.MaxClockDrift >= 0.25 {
		return fmt.Errorf("replication: clock drift bound %v is not in [0, 0.25)", c.MaxClockDrift)
	}
	return nil
}

func (c *Config) coreConfig() CoreConfig {
	return CoreConfig{ID: c.ID, Group: c.GroupID, Seed: c.Seed, ElectionTicksMin: c.ElectionTicksMin,
		ElectionTicksMax: c.ElectionTicksMax, HeartbeatTicks: c.HeartbeatTicks, IsBarrierCommand: c.BarrierCovers}
}

// leaseWindow returns how long the lease lasts from the time that the leader
// sends a heartbeat. With both clocks off by the drift bound d, the time for
// which the follower refuses votes must be scaled by (1-d)/(1+d), which is at
// least 1-2d.
func (c *Config) leaseWindow() time.Duration {
	window := time.Duration(c.ElectionTicksMin-leaseMarginTicks) * c.Tick
	return time.Duration(float64(window) * (1 - 2*c.MaxClockDrift))
}

// MemberStatus describes a member of the group.
type MemberStatus struct {
	ID    ReplicaID
	Host  string
	Voter bool
	// Match is the index of the last entry known to be durable on the member;
	// it is set on the leader only.
	Match uint64
	// SilentFor is the time since the member's last message, in whole ticks; it is
	// set on the leader only.
	SilentFor time.Duration
}

// Status is a point-in-time description of a replica.
type Status struct {
	ID       ReplicaID
	Leader   ReplicaID
	Term     uint64
	IsLeader bool
	// LeaseUntil is the end of the leader's lease on its own clock. It is zero
	// unless this replica leads, has committed an entry of its own term and
	// holds recent acknowledgements from a majority.
	LeaseUntil time.Time
	// ElectedAt is when this replica became leader; zero on other replicas.
	ElectedAt time.Time
	Applied   uint64
	LastIndex uint64
	Members   []MemberStatus
	// Err is why the replica stopped taking part, such as a failed sync.
	Err error
}
