package limit

import "time"

// Config is the shape of one backend server and its queue.
type Config struct {
	Slots     int           // below 1 counts as 1
	ColdLimit int           // below 1 counts as 1, above Slots as Slots
	Ramp      time.Duration // time from the cold limit to all slots
	QueueLen  int           // most requests that wait
	// MaxWait refuses a request that is expected to wait longer, although it would
	// meet its deadline. Zero means that deadlines alone decide. Services that
	// prefer tail latency over availability set it.
	MaxWait time.Duration
	// Typical is the latency of warm servers of the same service, zero when not
	// known. A new server that is much slower does not grow its limit yet.
	Typical time.Duration
}

// Decision is what to do with an offered request.
type Decision uint8

// The decisions.
const (
	Run    Decision = iota + 1 // send it now
	Wait                       // queued; Ready returns its id when it may run or has expired
	Refuse                     // it cannot meet its deadline or the queue is full: not run
)

// Outcome is what a finished request tells of its backend server.
type Outcome struct {
	Latency time.Duration
	// Shed means that the backend server refused the request for load.
	Shed bool
	// Failed means a connection error, a timeout or a server error.
	Failed bool
	// Cancelled means that the caller went away first: nothing is learned.
	Cancelled bool
}

// Admission is the state of one backend server. It is not safe for concurrent use.
type Admission struct {
	cfg      Config
	inFlight int
	queue    []waiting // by deadline, then by arrival
	hold     time.Time // nothing runs before
	service  estimate  // latency of recent answers
	cold     coldState
}

// waiting is a queued request.
type waiting struct {
	id       uint64
	deadline time.Time // zero means none
}

// New returns the admission of a backend server that is cold since now.
func New(cfg Config, now time.Time) *Admission {
	cfg.Slots = max(cfg.Slots, 1)
	cfg.ColdLimit = min(max(cfg.ColdLimit, 1), cfg.Slots)
	a := &Admission{cfg: cfg}
	if cfg.Typical > 0 {
		a.cold.normal = estimate{cfg.Typical, cfg.Typical / 2, minSamples}
	}
	a.TurnCold(now)
	return a
}

// SetMaxWait changes Config.MaxWait; queued requests are not affected.
func (a *Admission) SetMaxWait(d time.Duration) { a.cfg.MaxWait = d }

// Offer decides on a new request. A request that has to wait is queued only when
// it and all queued ones meet their deadlines by the observed service time, so
// that a refusal comes at once and not after a wait.
func (a *Admission) Offer(now time.Time, id uint64, deadline time.Time) Decision {
	w := waiting{id, deadline}
	if w.expired(now) {
		return Refuse
	}
	if len(a.queue) == 0 && a.mayRun(now) {
		if a.inFlight > 0 && !a.meets(now, deadline) {
			return Refuse
		}
		a.inFlight++
		return Run
	}
	if len(a.queue) >= a.cfg.QueueLen {
		return Refuse
	}
	at := len(a.queue)
	for at > 0 && w.before(a.queue[at-1]) {
		at--
	}
	if !a.feasible(now, w, at) {
		return Refuse
	}
	a.queue = append(a.queue, waiting{})
	copy(a.queue[at+1:], a.queue[at:])
	a.queue[at] = w
	return Wait
}

// before orders by deadline. A request without a deadline comes last.
func (w waiting) before(other waiting) bool {
	if w.deadline.IsZero() || other.deadline.IsZero() {
		return !w.deadline.IsZero()
	}
	return w.deadline.Before(other.deadline)
}

func (w waiting) expired(now time.Time) bool {
	return !w.deadline.IsZero() && !now.Before(w.deadline)
}

func (a *Admission) mayRun(now time.Time) bool {
	return a.inFlight < a.Limit(now) && !now.Before(a.hold)
}

// meets reports whether a request that starts at start is expected to be
// answered by deadline.
func (a *Admission) meets(start, deadline time.Time) bool {
	return deadline.IsZero() || !start.Add(a.service.mean).After(deadline)
}

// feasible reports whether w, queued at position at, and all requests behind it
// are expected to meet their deadlines.
func (a *Admission) feasible(now time.Time, w waiting, at int) bool {
	if a.inFlight == 0 && len(a.queue) == 0 {
		return true // the next one to run renews a stale estimate
	}
	step := a.service.mean / time.Duration(a.Limit(now))
	start := now
	if a.hold.After(start) {
		start = a.hold
	}
	start = start.Add(time.Duration(at+1) * step)
	if !a.meets(start.Add(a.service.dev), w.deadline) || (a.cfg.MaxWait > 0 && start.Sub(now) > a.cfg.MaxWait) {
		return false
	}
	for _, behind := range a.queue[at:] {
		start = start.Add(step)
		if !a.meets(start, behind.deadline) {
			return false
		}
	}
	return true
}

// Finish records that a request in flight ended. Ready then tells what may run.
func (a *Admission) Finish(now time.Time, o Outcome) {
	if a.inFlight > 0 {
		a.inFlight--
	}
	if o.Cancelled {
		return
	}
	a.observe(now, o)
	if !o.Shed && !o.Failed {
		a.service.add(o.Latency)
	}
}

// Ready takes from the queue the requests that may run now, earliest deadline
// first, and those that can no longer meet their deadline. The former count as
// in flight from now on.
func (a *Admission) Ready(now time.Time) (run, expired []uint64) {
	for len(a.queue) > 0 {
		w := a.queue[0]
		late := w.expired(now) || (a.inFlight > 0 && !a.meets(now, w.deadline))
		if !late && !a.mayRun(now) {
			break
		}
		a.queue = a.queue[1:]
		if late {
			expired = append(expired, w.id)
			continue
		}
		a.inFlight++
		run = append(run, w.id)
	}
	return run, expired
}

// Next returns the time at which Ready may give more without a Finish before it.
func (a *Admission) Next(now time.Time) (time.Time, bool) {
	if len(a.queue) == 0 {
		return time.Time{}, false
	}
	next, ok := a.nextGrowth(now)
	if a.hold.After(now) && (!ok || a.hold.Before(next)) {
		next, ok = a.hold, true
	}
	if d := a.queue[0].deadline; !d.IsZero() {
		if d = d.Add(-a.service.mean); d.Before(now) {
			d = a.queue[0].deadline
		}
		if !ok || d.Before(next) {
			next, ok = d, true
		}
	}
	return next, ok
}

// Cancel removes a queued request and reports whether it was queued. A request
// in flight ends with Finish.
func (a *Admission) Cancel(id uint64) bool {
	for i, w := range a.queue {
		if w.id == id {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Hold lets no request run before until: a new dispatcher waits for what the
// old one may have left in flight.
func (a *Admission) Hold(until time.Time) { a.hold = until }

// InFlight returns the number of requests that run.
func (a *Admission) InFlight() int { return a.inFlight }

// Queued returns the number of requests that wait.
func (a *Admission) Queued() int { return len(a.queue) }
