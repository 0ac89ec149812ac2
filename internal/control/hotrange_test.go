package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/wire"
)

// hotRangeLoad is a service leased by heartbeat with a random load that an entry host
// reports.
type hotRangeLoad struct {
	*heartbeatFleet
	random            *rand.Rand
	keys              int
	perSecond         float64 // of all keys
	hot               map[uint64]float64
	heartbeatInterval time.Duration
	moved             int // number of changes of a slice's owner
}

const (
	// requestTime is the service time of a request, the same on all servers.
	requestTime = 160 * time.Millisecond
	tickStep    = 50 * time.Millisecond
)

func (c *hotRangeLoad) key(i int) uint64 { return uint64(i) * (1 << 16) / uint64(c.keys) * keySpan }

// drawKey returns the key of the next request.
func (c *hotRangeLoad) drawKey() uint64 {
	at := c.random.Float64()
	for _, key := range slices.Sorted(maps.Keys(c.hot)) {
		if at -= c.hot[key]; at < 0 {
			return key
		}
	}
	return c.key(c.random.IntN(c.keys))
}

// advance advances the clock while load is reported, slices move and servers send
// heartbeats.
func (c *hotRangeLoad) advance(d time.Duration) {
	names := sortedNames(c.heartbeats)
	requests := 0.0
	for passed := time.Duration(0); passed < d; passed += tickStep {
		c.clock.Advance(tickStep)
		requests += c.perSecond * tickStep.Seconds()
		reports := map[string]*wire.SliceLoads{}
		for ; requests >= 1; requests-- {
			key := c.drawKey()
			s, _ := c.state.Table().Lookup("desk", key)
			r := reports[s.Owner]
			if r == nil {
				r = &wire.SliceLoads{Service: "desk", Backend: s.Owner}
				reports[s.Owner] = r
			}
			r.BusyMs += requestTime.Milliseconds()
			r.Slices = append(r.Slices, wire.SliceCount{Start: s.Start, Count: 1})
			r.Keys = append(r.Keys, wire.KeyCount{Hash: key, Count: 1})
		}
		c.renew(1, func(req *wire.SessionRenew) {
			for _, r := range reports {
				req.Loads = append(req.Loads, *r)
			}
		})
		before := c.owners()
		c.Balance(ctx)
		c.Tick(ctx)
		for i, name := range names {
			// Each server has its own offset, and sends heartbeats more often while it
			// releases.
			due := time.Duration(i) * c.heartbeatInterval / time.Duration(len(names)) / tickStep * tickStep
			if c.elapsed()%c.heartbeatInterval == due || len(c.heartbeats[name].Released) > 0 {
				c.sendHeartbeat(name)
			}
		}
		for key, owner := range c.owners() {
			if before[key] != owner {
				c.moved++
			}
		}
	}
}

func (c *hotRangeLoad) elapsed() time.Duration { return c.clock.Now().Sub(start) }

func (c *hotRangeLoad) owners() map[uint64]string {
	out := map[uint64]string{}
	for s := range c.state.Table().AllSlices("desk") {
		out[s.Start] = s.Owner
	}
	return out
}

// peakLoadRatio returns the load of the busiest server relative to the mean.
func (c *hotRangeLoad) peakLoadRatio() float64 {
	loads, coldShare := map[string]float64{}, 1.0
	owner := func(key uint64) string {
		s, _ := c.state.Table().Lookup("desk", key)
		return s.Owner
	}
	for key, share := range c.hot {
		loads[owner(key)] += share
		coldShare -= share
	}
	for i := range c.keys {
		loads[owner(c.key(i))] += coldShare / float64(c.keys)
	}
	peak := 0.0
	for _, load := range loads {
		peak = max(peak, load)
	}
	return peak * float64(len(c.heartbeats))
}

func newHotRangeLoad(t *testing.T) *hotRangeLoad {
	c := &hotRangeLoad{heartbeatFleet: newHeartbeatFleet(t, 60), random: rand.New(rand.NewPCG(1, 2)), keys: 6000, perSecond: 60 * 7, heartbeatInterval: 1500 * time.Millisecond}
	c.renew(1)
	c.advance(20 * time.Second)
	return c
}

// Many servers get few requests a second each. Guards against keys that move because of
// the noise of their measured loads: each move makes callers wait.
func TestLoadNoiseMovesFewSlices(t *testing.T) {
	is, c := is.New(t), newHotRangeLoad(t)
	before := c.state.Table().SliceCount("desk")
	c.moved = 0
	c.advance(20 * time.Second)
	t.Logf("%d slices, %d moved in 20 s, busiest server %.2f", before, c.moved, c.peakLoadRatio())
	is.True(c.moved < before/10)
	is.True(c.peakLoadRatio() < 1.6)
}

// Guards against a hot range that stays on its servers for the length of a session after
// an election.
func TestNewLeaderSpreadsHotRangeBeforeGraceEnds(t *testing.T) {
	is, c := is.New(t), newHotRangeLoad(t)
	c.hot = map[uint64]float64{}
	for i := range uint64(40) {
		c.hot[(20_000+i)*keySpan] = 0.4 / 40
	}
	c.Leader.cfg.SessionTTL = time.Minute
	c.setStatus(func(st *LeaderStatus) { st.Term, st.ElectedAt = 2, c.clock.Now() })
	c.advance(100 * time.Millisecond)
	moved := c.moved
	c.advance(DefaultBackendLeaseDuration)
	is.True(c.moved > moved+10) // before the sessions granted by the old leader expire
	t.Logf("busiest server %.2f, %d moved", c.peakLoadRatio(), c.moved-moved)
}

// A hot range: two fifths of the load go to forty adjacent keys within a few slices.
// Guards against a range that is split for seconds before its parts move.
func TestHotRangeIsSpreadWithinSeconds(t *testing.T) {
	is, c := is.New(t), newHotRangeLoad(t)
	c.hot = map[uint64]float64{}
	for i := range uint64(40) {
		c.hot[(20_000+i)*keySpan] = 0.4 / 40
	}
	is.True(c.peakLoadRatio() > 8) // on one or two servers
	for range 5 {
		c.advance(time.Second)
		t.Logf("busiest server %.2f, %d slices, %d moved", c.peakLoadRatio(), c.state.Table().SliceCount("desk"), c.moved)
	}
	is.True(c.peakLoadRatio() < 2.5)
}
