package limit

import (
	"math"
	"math/bits"
	"time"
)

// successesPerStep is the number of successes per request of the current limit
// that a cold server must give before its limit grows by one.
const successesPerStep = 2

// warmFactor is the latency, relative to that of a warm server, up to which a cold
// server counts as warming and its limit grows. After patience ramps it grows by
// time and successes alone, since the server may be slower than its history.
const (
	warmFactor = 2
	patience   = 4
)

// coldState says whether the server is cold or may have become so.
type coldState struct {
	cold      bool
	since     time.Time
	limit     int      // current limit while cold
	successes int      // since the limit grew last
	fresh     estimate // latency since the server turned cold
	normal    estimate // latency while warm
	signs     signs
	suspect   suspicion
}

// suspicion is the doubt after a sign that a warm server turned cold. While it is
// active the server gets no more than its cold limit, so that no request goes to a
// cold server between the first sign and the confirmation.
type suspicion struct {
	active bool
	since  time.Time
	loss   bool // a request was shed, or several failed in a row
	slow   int  // slow answers
}

// TurnCold puts the limit back to the cold limit. Requests in flight stay.
func (a *Admission) TurnCold(now time.Time) {
	a.cold.cold = a.cfg.ColdLimit < a.cfg.Slots
	a.cold.since = now
	a.cold.limit = a.cfg.ColdLimit
	a.cold.successes = 0
	a.cold.fresh = estimate{}
	a.cold.signs = signs{}
	a.cold.suspect = suspicion{}
}

// Resume starts at the limit that an earlier dispatcher had reached with the same
// server, instead of the cold limit.
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

// Limit returns the number of requests that may be in flight.
func (a *Admission) Limit(now time.Time) int {
	a.grow(now)
	switch {
	case a.cold.cold:
		return a.cold.limit
	case a.cold.suspect.active:
		return a.cfg.ColdLimit
	}
	return a.cfg.Slots
}

// Typical returns the mean latency of the server while warm, for the Config of
// other servers of the same service. It is false while that is not known.
func (a *Admission) Typical() (time.Duration, bool) {
	return a.cold.normal.mean, a.cold.normal.samples >= minSamples
}

// grow raises the limit by the steps that time, successes and latency allow.
func (a *Admission) grow(now time.Time) {
	c := &a.cold
	for c.cold && a.earned(now) && !now.Before(a.growsAt()) {
		c.successes = 0 // those of a lower limit say nothing about this one
		c.limit++
		c.cold = c.limit < a.cfg.Slots
	}
}

// earned reports whether the successes allow one more request in flight.
func (a *Admission) earned(now time.Time) bool {
	c := &a.cold
	if c.successes < successesPerStep*c.limit {
		return false
	}
	return c.normal.samples < minSamples || c.fresh.mean <= warmFactor*c.normal.mean ||
		now.Sub(c.since) >= patience*a.cfg.Ramp
}

// growsAt is the time from which the ramp allows one more request in flight.
func (a *Admission) growsAt() time.Time {
	steps := a.cold.limit + 1 - a.cfg.ColdLimit
	return a.cold.since.Add(a.cfg.Ramp * time.Duration(steps) / time.Duration(a.cfg.Slots-a.cfg.ColdLimit))
}

// nextGrowth returns when the limit grows without a further success.
func (a *Admission) nextGrowth(now time.Time) (time.Time, bool) {
	a.grow(now)
	if !a.cold.cold || !a.earned(now) {
		return time.Time{}, false
	}
	return a.growsAt(), true
}

// observe learns from an outcome whether the server is cold, whatever it reports.
func (a *Admission) observe(now time.Time, o Outcome) {
	c := &a.cold
	sent := now.Add(-o.Latency)
	if c.cold && sent.Before(c.since) {
		return // sent before the server turned cold: tells nothing about its ramp
	}
	slow := c.normal.exceeded(o.Latency)
	bad := o.Shed || o.Failed
	c.signs.add(slow, o.Shed, bad)
	switch {
	case c.signs.cold(), c.cold && o.Shed:
		a.TurnCold(now)
	case c.cold && !bad:
		c.successes++
		c.fresh.add(o.Latency)
		a.grow(now)
	case c.cold:
		// A failure alone neither grows nor restarts the ramp.
	case slow || bad:
		a.suspect(now, o, slow)
	default:
		c.normal.add(o.Latency)
		a.clear(sent)
	}
}

// clear ends a suspicion after a normal answer. After a loss, only an answer to a
// request that was sent later counts: those sent before the server turned cold
// may still end well.
func (a *Admission) clear(sent time.Time) {
	c := &a.cold
	switch {
	case !c.suspect.loss:
		c.suspect = suspicion{}
	case !sent.Before(c.suspect.since):
		c.suspect, c.signs.shed = suspicion{}, 0
	}
}

// suspect weighs a bad sign. A single failure without slowness is none, since
// server errors occur on warm servers. Slowness alone is a straggler: after as
// many slow answers as there are slots its latency becomes the new normal.
func (a *Admission) suspect(now time.Time, o Outcome, slow bool) {
	s := &a.cold.suspect
	loss := o.Shed || a.cold.signs.lossesInARow() > 1
	if !s.active && (slow || loss) {
		s.active, s.since = true, now
	}
	s.loss = s.loss || loss
	if slow {
		s.slow++
	}
	if s.slow >= a.cfg.Slots && !s.loss {
		a.cold.normal = estimate{}
		a.cold.normal.add(o.Latency)
		a.cold.suspect = suspicion{}
	}
}

// signs holds the bad signs of the last 8 outcomes, the latest in the lowest bit.
type signs struct {
	slow uint8 // far above the server's own history
	shed uint8
	loss uint8 // shed or failed
}

// Counts of bad signs among the last 8 outcomes. A warm server with 5% server
// errors and exponential latency was taken for cold 12 times in 500,000 outcomes
// with 4 losses, and never with 5.
const (
	coldSheds  = 3
	coldLosses = 5
	coldSlow   = 2
)

func (s *signs) add(slow, shed, loss bool) {
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

// cold reports whether the signs together mean a cold server: load shedding with
// a latency jump, failures with several, or losses that are many by themselves.
func (s *signs) cold() bool {
	return (s.shed != 0 && s.slow != 0) || bits.OnesCount8(s.shed) >= coldSheds || s.loss == math.MaxUint8 ||
		(bits.OnesCount8(s.loss) >= coldLosses && bits.OnesCount8(s.slow) >= coldSlow)
}

func (s *signs) lossesInARow() int { return bits.TrailingZeros8(^s.loss) }
