package limit

import (
	"math"
	"math/bits"
	"time"
)

// successesPerStep is the number of successes per request of the current limit
// that a cold server must give before its limit grows by one.
const successesPerStep = 2

// warmFactor is the latency, relative to that of a warm server, up to which the limit
// of a cold server grows. After maxWarmUpRamps ramps it grows by time and successes
// alone, since the server may be slower than it was before.
const (
	warmFactor     = 2
	maxWarmUpRamps = 4
)

// coldState is the cold start of the server, and the detection of a warm server that
// turned cold.
type coldState struct {
	cold             bool
	since            time.Time
	limit            int             // current limit while cold
	successes        int             // since the limit grew last
	latencySinceCold latencyEstimate // latency since the server turned cold
	warmLatency      latencyEstimate // latency while warm
	recentSigns      coldSigns
	suspected        coldSuspicion
}

// coldSuspicion is the state after a sign that a warm server turned cold. While it is
// active the server gets no more than its cold limit, so that it is not overloaded
// between the first sign and the confirmation.
type coldSuspicion struct {
	active        bool
	since         time.Time
	loss          bool // a request was shed, or several failed in a row
	slowResponses int  // while it is active
}

// TurnCold resets the limit to the cold limit. Requests in flight are not affected.
func (a *Admission) TurnCold(now time.Time) {
	a.cold.cold = a.cfg.ColdLimit < a.cfg.Slots
	a.cold.since = now
	a.cold.limit = a.cfg.ColdLimit
	a.cold.successes = 0
	a.cold.latencySinceCold = latencyEstimate{}
	a.cold.recentSigns = coldSigns{}
	a.cold.suspected = coldSuspicion{}
}

// Resume resets the limit to the one that an earlier dispatcher had reached with the
// same server, instead of the cold limit.
func (a *Admission) Resume(now time.Time, limit int) {
	a.TurnCold(now)
	if !a.cold.cold || limit <= a.cfg.ColdLimit {
		return
	}
	steps, all := min(limit, a.cfg.Slots)-a.cfg.ColdLimit, a.cfg.Slots-a.cfg.ColdLimit
	a.cold.limit = a.cfg.ColdLimit + steps
	a.cold.since = now.Add(-a.cfg.Ramp * time.Duration(steps) / time.Duration(all))
	a.cold.cold = steps < all
}

// Cold reports whether the server is cold.
func (a *Admission) Cold(now time.Time) bool {
	a.grow(now)
	return a.cold.cold
}

// Limit returns the maximum number of requests in flight.
func (a *Admission) Limit(now time.Time) int {
	a.grow(now)
	switch {
	case a.cold.cold:
		return a.cold.limit
	case a.cold.suspected.active:
		return a.cfg.ColdLimit
	}
	return a.cfg.Slots
}

// TypicalLatency returns the mean latency of the server while warm, for the Config of
// other servers of the same service. It returns false while that is not known.
func (a *Admission) TypicalLatency() (time.Duration, bool) {
	return a.cold.warmLatency.mean, a.cold.warmLatency.samples >= minSamples
}

// grow raises the limit by the steps that time, successes and latency allow.
func (a *Admission) grow(now time.Time) {
	c := &a.cold
	for c.cold && a.growthEarned(now) && !now.Before(a.rampAllowsAt()) {
		c.successes = 0 // successes at a lower limit say nothing about this one
		c.limit++
		c.cold = c.limit < a.cfg.Slots
	}
}

// growthEarned reports whether successes and latency allow one more request in flight.
func (a *Admission) growthEarned(now time.Time) bool {
	c := &a.cold
	if c.successes < successesPerStep*c.limit {
		return false
	}
	return c.warmLatency.samples < minSamples || c.latencySinceCold.mean <= warmFactor*c.warmLatency.mean ||
		now.Sub(c.since) >= maxWarmUpRamps*a.cfg.Ramp
}

// rampAllowsAt returns the time from which the ramp allows one more request in flight.
func (a *Admission) rampAllowsAt() time.Time {
	steps := a.cold.limit + 1 - a.cfg.ColdLimit
	return a.cold.since.Add(a.cfg.Ramp * time.Duration(steps) / time.Duration(a.cfg.Slots-a.cfg.ColdLimit))
}

// nextGrowth returns when the limit grows without another success, and false when it
// does not.
func (a *Admission) nextGrowth(now time.Time) (time.Time, bool) {
	a.grow(now)
	if !a.cold.cold || !a.growthEarned(now) {
		return time.Time{}, false
	}
	return a.rampAllowsAt(), true
}

// observe updates the cold state from an outcome, independent of what the server reports.
func (a *Admission) observe(now time.Time, o Outcome) {
	c := &a.cold
	sent := now.Add(-o.Latency)
	if c.cold && sent.Before(c.since) {
		return // sent before the server turned cold: says nothing about its ramp
	}
	slow := c.warmLatency.isJump(o.Latency)
	bad := o.Shed || o.Failed
	c.recentSigns.add(slow, o.Shed, bad)
	switch {
	case c.recentSigns.indicateCold(), c.cold && o.Shed:
		a.TurnCold(now)
	case c.cold && !bad:
		c.successes++
		c.latencySinceCold.add(o.Latency)
		a.grow(now)
	case c.cold:
		// A failure alone neither grows nor restarts the ramp.
	case slow || bad:
		a.updateSuspicion(now, o, slow)
	default:
		c.warmLatency.add(o.Latency)
		a.clearSuspicion(sent)
	}
}

// clearSuspicion ends a suspicion after a normal response. After a loss, only a response
// to a request that was sent later counts: those sent before the server turned cold
// may still succeed.
func (a *Admission) clearSuspicion(sent time.Time) {
	c := &a.cold
	switch {
	case !c.suspected.loss:
		c.suspected = coldSuspicion{}
	case !sent.Before(c.suspected.since):
		c.suspected, c.recentSigns.shed = coldSuspicion{}, 0
	}
}

// updateSuspicion handles a slow or failed response of a warm server. A single failure
// without slowness is no sign, since server errors occur on warm servers. Slowness alone
// is a straggler: after as many slow responses as there are slots, its latency replaces
// the warm latency.
func (a *Admission) updateSuspicion(now time.Time, o Outcome, slow bool) {
	s := &a.cold.suspected
	loss := o.Shed || a.cold.recentSigns.lossesInARow() > 1
	if !s.active && (slow || loss) {
		s.active, s.since = true, now
	}
	s.loss = s.loss || loss
	if slow {
		s.slowResponses++
	}
	if s.slowResponses >= a.cfg.Slots && !s.loss {
		a.cold.warmLatency = latencyEstimate{}
		a.cold.warmLatency.add(o.Latency)
		a.cold.suspected = coldSuspicion{}
	}
}

// coldSigns holds the signs of a cold server among the last 8 outcomes, the latest in
// the lowest bit.
type coldSigns struct {
	slow uint8 // latency far above earlier samples of the server
	shed uint8
	loss uint8 // shed or failed
}

// Minimum counts of signs among the last 8 outcomes. With 4 losses, a warm server with 5%
// server errors and exponential latency was taken for cold 12 times in 500,000 outcomes;
// with 5, never.
const (
	minSheds  = 3
	minLosses = 5
	minSlow   = 2
)

func (s *coldSigns) add(slow, shed, loss bool) {
	s.slow, s.shed, s.loss = s.slow<<1, s.shed<<1, s.loss<<1
	if slow {
		s.slow |= 1
	}
	if shed {
		s.shed |= 1
	}
	if loss {
		s.loss |= 1
	}
}

// indicateCold reports whether the signs together mean a cold server: load shedding with
// a latency jump, minLosses losses with minSlow jumps, minSheds sheds, or only losses.
func (s *coldSigns) indicateCold() bool {
	return (s.shed != 0 && s.slow != 0) || bits.OnesCount8(s.shed) >= minSheds || s.loss == math.MaxUint8 ||
		(bits.OnesCount8(s.loss) >= minLosses && bits.OnesCount8(s.slow) >= minSlow)
}

func (s *coldSigns) lossesInARow() int { return bits.TrailingZeros8(^s.loss) }
