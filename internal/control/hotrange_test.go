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

// crowdedService is a service leased by heartbeat with a load that entry
// hosts report in turn.
type crowdedService struct {
	*reporters
	random    *rand.Rand
	keys      int
	perSecond float64 // of all keys
	hot       map[uint64]float64
	beat      time.Duration
	moved     int // slices that changed their owner
}

const (
	// busyWork is the service time of a request, the same on all servers.
	busyWork = 160 * time.Millisecond
	tickStep = 50 * time.Millisecond
)

func (c *crowdedService) key(i int) uint64 { return uint64(i) * (1 << 16) / uint64(c.keys) * keySpan }

// draw returns the key of the next request.
func (c *crowdedService) draw() uint64 {
	at := c.random.Float64()
	for _, key := range slices.Sorted(maps.Keys(c.hot)) {
		if at -= c.hot[key]; at < 0 {
			return key
		}
	}
	return c.key(c.random.IntN(c.keys))
}

// run lets time pass.
func (c *crowdedService) run(d time.Duration) {
	names := sortedNames(c.beats)
	requests := 0.0
	for passed := time.Duration(0); passed < d; passed += tickStep {
		c.clock.Advance(tickStep)
		requests += c.perSecond * tickStep.Seconds()
		reports := map[string]*wire.SliceLoads{}
		for ; requests >= 1; requests-- {
			key := c.draw()
			s, _ := c.state.Table().Lookup("desk", key)
			r := reports[s.Owner]
			if r == nil {
				r = &wire.SliceLoads{Service: "desk", Backend: s.Owner}
				reports[s.Owner] = r
			}
			r.BusyMs += busyWork.Milliseconds()
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
			// Servers report at their own times, and again soon while they release.
			due := time.Duration(i) * c.beat / time.Duration(len(names)) / tickStep * tickStep
			if c.now()%c.beat == due || len(c.beats[name].Released) > 0 {
				c.report(name)
			}
		}
		for key, owner := range c.owners() {
			if before[key] != owner {
				c.moved++
			}
		}
	}
}

func (c *crowdedService) now() time.Duration { return c.clock.Now().Sub(start) }

func (c *crowdedService) owners() map[uint64]string {
	out := map[uint64]string{}
	for s := range c.state.Table().AllSlices("desk") {
		out[s.Start] = s.Owner
	}
	return out
}

// busiest is the load of the busiest server relative to the mean.
func (c *crowdedService) busiest() float64 {
	loads, even := map[string]float64{}, 1.0
	owner := func(key uint64) string {
		s, _ := c.state.Table().Lookup("desk", key)
		return s.Owner
	}
	for key, share := range c.hot {
		loads[owner(key)] += share
		even -= share
	}
	for i := range c.keys {
		loads[owner(c.key(i))] += even / float64(c.keys)
	}
	most := 0.0
	for _, load := range loads {
		most = max(most, load)
	}
	return most * float64(len(c.beats))
}

func crowded(t *testing.T) *crowdedService {
	c := &crowdedService{reporters: newReporters(t, 60), random: rand.New(rand.NewPCG(1, 2)), keys: 6000, perSecond: 60 * 7, beat: 1500 * time.Millisecond}
	c.renew(1)
	c.run(20 * time.Second)
	return c
}

// Many servers with few requests a second each. Guards against keys that move because
// of the noise of their measured loads: each move makes callers wait.
func TestNoiseMovesFewKeys(t *testing.T) {
	is, c := is.New(t), crowded(t)
	before := c.state.Table().SliceCount("desk")
	c.moved = 0
	c.run(20 * time.Second)
	t.Logf("%d slices, %d moved in 20 s, busiest server %.2f", before, c.moved, c.busiest())
	is.True(c.moved < before/10)
	is.True(c.busiest() < 1.6)
}

// Guards against a hot range that stays where it is for the time of a session after an
// election.
func TestNewLeaderSpreadsAHotRange(t *testing.T) {
	is, c := is.New(t), crowded(t)
	c.hot = map[uint64]float64{}
	for i := range uint64(40) {
		c.hot[(20_000+i)*keySpan] = 0.4 / 40
	}
	c.Leader.cfg.SessionTTL = time.Minute
	c.set(func(st *LeaderStatus) { st.Term, st.ElectedAt = 2, c.clock.Now() })
	c.run(100 * time.Millisecond)
	moved := c.moved
	c.run(DefaultBackendHold)
	is.True(c.moved > moved+10) // before the sessions of the old leader are over
	t.Logf("busiest server %.2f, %d moved", c.busiest(), c.moved-moved)
}

// A hot range: two fifths of the load go to forty adjacent keys within a few slices.
// Guards against a range that is cut for seconds before its parts move.
func TestHotRangeIsSpreadWithinSeconds(t *testing.T) {
	is, c := is.New(t), crowded(t)
	c.hot = map[uint64]float64{}
	for i := range uint64(40) {
		c.hot[(20_000+i)*keySpan] = 0.4 / 40
	}
	is.True(c.busiest() > 8) // on one or two servers
	for range 5 {
		c.run(time.Second)
		t.Logf("busiest server %.2f, %d slices, %d moved", c.busiest(), c.state.Table().SliceCount("desk"), c.moved)
	}
	is.True(c.busiest() < 2.5)
}
