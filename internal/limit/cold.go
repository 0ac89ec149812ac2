package limit

import "time"

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
	suspect   suspicion
}

// suspicion collects the signs of a server that turned cold without warning.
// While it is active the server gets no more than its cold limit, so that no
// request goes to a cold server between the first sign and the confirmation.
type suspicion struct {
	active   bool
	since    time.Time
	jump     bool // a latency far above the server's own history
	outcomes int
	losses   int // requests shed or failed
}

// TurnCold puts the limit back to the cold limit. Requests in flight stay.
func (a *Admission) TurnCold(now time.Time) {
	a.cold.cold = a.cfg.ColdLimit < a.cfg.Slots
	a.cold.since = now
	a.cold.limit = a.cfg.ColdLimit
	a.cold.successes = 0
	a.cold.fresh = estimate{}
	a.cold.suspect = suspicion{}
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
		c.successes -= successesPerStep * c.limit
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
	sent := now.Add(-o.Latency)
	slow := a.cold.normal.exceeded(o.Latency)
	bad := o.Shed || o.Failed
	switch {
	case a.cold.cold:
		a.observeCold(now, o, sent, slow)
	case slow || bad:
		a.suspect(now, o, slow, bad)
	default:
		a.cold.normal.add(o.Latency)
		a.clear(sent)
	}
}

// clear ends a suspicion after a normal answer. After a loss, only an answer to a
// request that was sent later counts: those sent before the server turned cold
// may still end well.
func (a *Admission) clear(sent time.Time) {
	s := &a.cold.suspect
	if s.losses == 0 || !sent.Before(s.since) {
		*s = suspicion{}
	}
}

// observeCold counts successes and restarts the ramp when the server sheds load
// that was sent to it since it turned cold.
func (a *Admission) observeCold(now time.Time, o Outcome, sent time.Time, slow bool) {
	switch {
	case sent.Before(a.cold.since):
		// Sent before the server turned cold: tells nothing about its ramp.
	case o.Shed, o.Failed && slow:
		a.TurnCold(now)
	case !o.Failed:
		a.cold.successes++
		a.cold.fresh.add(o.Latency)
		a.grow(now)
	}
}

// suspect weighs a bad sign. Slowness and loss together, or a run of losses, turn
// the server cold. A single failure without slowness is no sign, since server
// errors occur on warm servers. Slowness alone is a straggler: after as many
// outcomes as there are slots its latency becomes the new normal.
func (a *Admission) suspect(now time.Time, o Outcome, slow, bad bool) {
	s := &a.cold.suspect
	s.jump = s.jump || slow
	s.outcomes++
	if bad {
		s.losses++
	}
	if first := !s.active; first && (slow || o.Shed || s.losses > 1) {
		s.active, s.since = true, now
	}
	switch {
	case s.jump && s.losses > 0, s.losses >= max(lossRun, a.cfg.Slots):
		a.TurnCold(now)
	case s.outcomes >= a.cfg.Slots && s.losses == 0:
		a.cold.normal = estimate{}
		a.cold.normal.add(o.Latency)
		a.cold.suspect = suspicion{}
	}
}

// lossRun is the least number of losses without a success between them that
// turns a server cold when its latency shows nothing.
const lossRun = 3
