package limit

import "time"

// successesPerStep is the number of successes per request of the current limit
// that a cold server must give before its limit grows by one.
const successesPerStep = 2

// coldState says whether the server is cold or may have become so.
type coldState struct {
	cold      bool
	since     time.Time
	limit     int // current limit while cold
	successes int // since the limit grew last
	normal    estimate
	suspect   suspicion
}

// suspicion collects the signs of a server that turned cold without warning.
// While it is active the server gets no more than its cold limit, so that no
// request goes to a cold server between the first sign and the confirmation.
type suspicion struct {
	active   bool
	jump     bool // a latency far above the server's own history
	loss     bool // a request was shed or failed
	outcomes int
	losses   int
}

// TurnCold puts the limit back to the cold limit. Requests in flight stay.
func (a *Admission) TurnCold(now time.Time) {
	a.cold.cold = a.cfg.ColdLimit < a.cfg.Slots
	a.cold.since = now
	a.cold.limit = a.cfg.ColdLimit
	a.cold.successes = 0
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

// grow raises the limit by the steps that both time and successes allow.
func (a *Admission) grow(now time.Time) {
	c := &a.cold
	for c.cold && c.successes >= successesPerStep*c.limit && !now.Before(a.growsAt()) {
		c.successes -= successesPerStep * c.limit
		c.limit++
		c.cold = c.limit < a.cfg.Slots
	}
}

// growsAt is the time from which the ramp allows one more request in flight.
func (a *Admission) growsAt() time.Time {
	steps := a.cold.limit + 1 - a.cfg.ColdLimit
	return a.cold.since.Add(a.cfg.Ramp * time.Duration(steps) / time.Duration(a.cfg.Slots-a.cfg.ColdLimit))
}

// nextGrowth returns when the limit grows without a further success.
func (a *Admission) nextGrowth(now time.Time) (time.Time, bool) {
	a.grow(now)
	if !a.cold.cold || a.cold.successes < successesPerStep*a.cold.limit {
		return time.Time{}, false
	}
	return a.growsAt(), true
}

// observe learns from an outcome whether the server is cold, whatever it reports.
func (a *Admission) observe(now time.Time, o Outcome) {
	sent := now.Add(-o.Latency)
	if a.cold.cold {
		a.observeCold(now, o, sent)
		return
	}
	slow := a.cold.normal.exceeded(o.Latency)
	bad := o.Shed || o.Failed
	if !slow && !bad {
		a.cold.normal.add(o.Latency)
		a.cold.suspect = suspicion{}
		return
	}
	a.suspect(now, o, slow, bad)
}

// observeCold counts successes and restarts the ramp when the server sheds load
// that was sent to it since it turned cold.
func (a *Admission) observeCold(now time.Time, o Outcome, sent time.Time) {
	switch {
	case sent.Before(a.cold.since):
		// Sent before the server turned cold: tells nothing about its ramp.
	case o.Shed, o.Failed && a.cold.normal.exceeded(o.Latency):
		a.TurnCold(now)
	case !o.Failed:
		a.cold.successes++
		a.grow(now)
	}
}

// suspect weighs a bad sign. Slowness and loss together, or a run of losses,
// turn the server cold. Slowness alone is a straggler: after as many outcomes
// as there are slots its latency becomes the new normal.
func (a *Admission) suspect(now time.Time, o Outcome, slow, bad bool) {
	s := &a.cold.suspect
	s.active = true
	s.jump = s.jump || slow
	s.loss = s.loss || bad
	s.outcomes++
	if bad {
		s.losses++
	}
	switch {
	case s.jump && s.loss, s.losses >= max(lossRun, a.cfg.Slots):
		a.TurnCold(now)
	case s.outcomes >= a.cfg.Slots && !s.loss:
		a.cold.normal = estimate{}
		a.cold.normal.add(o.Latency)
		a.cold.suspect = suspicion{}
	}
}

// lossRun is the least number of losses without a success between them that
// turns a server cold when its latency shows nothing.
const lossRun = 3
