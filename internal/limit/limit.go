package limit

import "time"

// Config describes one backend server and its queue.
type Config struct {
	Slots     int           // below 1 counts as 1
	ColdLimit int           // below 1 counts as 1, above Slots as Slots
	Ramp      time.Duration // time from the cold limit to all slots
	QueueLen  int           // maximum number of queued requests
	// MaxWait refuses a request that is expected to wait longer, although it would
	// meet its deadline. Zero means that deadlines alone decide. Services that
	// prefer tail latency over availability set it.
	MaxWait time.Duration
	// TypicalLatency is the latency of warm servers of the same service, zero when not
	// known. The limit of a new server does not grow while it is much slower.
	TypicalLatency time.Duration
}

// Decision is what to do with an offered request.
type Decision uint8

// The decisions.
const (
	Run    Decision = iota + 1 // send it now
	Wait                       // queued; Ready returns its id when it may run or has expired
	Refuse                     // it cannot meet its deadline or the queue is full: not run
)

// Outcome is the result of a finished request.
type Outcome struct {
	Latency time.Duration
	// Shed means that the backend server refused the request because of overload.
	Shed bool
	// Failed means a connection error, a timeout or a server error.
	Failed bool
	// Cancelled means that the outcome says nothing about the server, for example
	// because the caller disconnected first.
	Cancelled bool
}

// Admission is the admission control of one backend server. It is not safe for
// concurrent use.
type Admission struct {
	cfg         Config
	inFlight    int
	queue       []queuedRequest // by deadline, then by arrival
	holdUntil   time.Time       // no request runs before
	serviceTime latencyEstimate // latency of recent responses
	cold        coldState
}

type queuedRequest struct {
	id       uint64
	deadline time.Time // zero means none
}

// New returns the admission of a backend server that is cold from now on.
func New(cfg Config, now time.Time) *Admission {
	cfg.Slots = max(cfg.Slots, 1)
	cfg.ColdLimit = min(max(cfg.ColdLimit, 1), cfg.Slots)
	a := &Admission{cfg: cfg}
	if cfg.TypicalLatency > 0 {
		a.cold.warmLatency = latencyEstimate{cfg.TypicalLatency, cfg.TypicalLatency / 2, minSamples}
	}
	a.TurnCold(now)
	return a
}

// SetMaxWait changes Config.MaxWait; queued requests are not affected.
func (a *Admission) SetMaxWait(d time.Duration) { a.cfg.MaxWait = d }

// Offer decides on a new request. A request that has to wait is queued only when
// it and all queued ones can meet their deadlines at the observed service time, so
// that a request is refused at once and not after a wait.
func (a *Admission) Offer(now time.Time, id uint64, deadline time.Time) Decision {
	w := queuedRequest{id, deadline}
	if w.deadlinePassed(now) {
		return Refuse
	}
	if len(a.queue) == 0 && a.canRun(now) {
		if a.inFlight > 0 && !a.meetsDeadline(now, deadline) {
			return Refuse
		}
		a.inFlight++
		return Run
	}
	if len(a.queue) >= a.cfg.QueueLen {
		return Refuse
	}
	position := len(a.queue)
	for position > 0 && w.before(a.queue[position-1]) {
		position--
	}
	if !a.meetsAllDeadlines(now, w, position) {
		return Refuse
	}
	a.queue = append(a.queue, queuedRequest{})
	copy(a.queue[position+1:], a.queue[position:])
	a.queue[position] = w
	return Wait
}

// before reports whether w is served before other: the earlier deadline first,
// requests without a deadline last.
func (w queuedRequest) before(other queuedRequest) bool {
	if w.deadline.IsZero() || other.deadline.IsZero() {
		return !w.deadline.IsZero()
	}
	return w.deadline.Before(other.deadline)
}

func (w queuedRequest) deadlinePassed(now time.Time) bool {
	return !w.deadline.IsZero() && !now.Before(w.deadline)
}

func (a *Admission) canRun(now time.Time) bool {
	return a.inFlight < a.Limit(now) && !now.Before(a.holdUntil)
}

// meetsDeadline reports whether a request that starts at start is expected to be
// answered by deadline.
func (a *Admission) meetsDeadline(start, deadline time.Time) bool {
	return deadline.IsZero() || !start.Add(a.serviceTime.mean).After(deadline)
}

// meetsAllDeadlines reports whether request, queued at position, and all requests behind it
// are expected to meet their deadlines, and request also MaxWait.
func (a *Admission) meetsAllDeadlines(now time.Time, request queuedRequest, position int) bool {
	if a.inFlight == 0 && len(a.queue) == 0 {
		return true // the request runs next and renews an outdated estimate
	}
	step := a.serviceTime.mean / time.Duration(a.Limit(now))
	start := now
	if a.holdUntil.After(start) {
		start = a.holdUntil
	}
	start = start.Add(time.Duration(position+1) * step)
	if !a.meetsDeadline(start.Add(a.serviceTime.deviation), request.deadline) || (a.cfg.MaxWait > 0 && start.Sub(now) > a.cfg.MaxWait) {
		return false
	}
	for _, later := range a.queue[position:] {
		start = start.Add(step)
		if !a.meetsDeadline(start, later.deadline) {
			return false
		}
	}
	return true
}

// Finish records that a request in flight ended. Ready then returns the requests that
// may run.
func (a *Admission) Finish(now time.Time, o Outcome) {
	if a.inFlight > 0 {
		a.inFlight--
	}
	if o.Cancelled {
		return
	}
	a.observe(now, o)
	if !o.Shed && !o.Failed {
		a.serviceTime.add(o.Latency)
	}
}

// Ready removes from the queue the requests that may run now, earliest deadline
// first, and those that can no longer meet their deadline. The former count as
// in flight from now on.
func (a *Admission) Ready(now time.Time) (run, expired []uint64) {
	for len(a.queue) > 0 {
		w := a.queue[0]
		late := w.deadlinePassed(now) || (a.inFlight > 0 && !a.meetsDeadline(now, w.deadline))
		if !late && !a.canRun(now) {
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

// NextChange returns the next time at which Ready may return requests without a
// preceding Finish, and false when there is none.
func (a *Admission) NextChange(now time.Time) (time.Time, bool) {
	if len(a.queue) == 0 {
		return time.Time{}, false
	}
	next, ok := a.nextGrowth(now)
	if a.holdUntil.After(now) && (!ok || a.holdUntil.Before(next)) {
		next, ok = a.holdUntil, true
	}
	if d := a.queue[0].deadline; !d.IsZero() {
		if d = d.Add(-a.serviceTime.mean); d.Before(now) {
			d = a.queue[0].deadline
		}
		if !ok || d.Before(next) {
			next, ok = d, true
		}
	}
	return next, ok
}

// Cancel removes a queued request and reports whether it was queued. For a request
// in flight, call Finish instead.
func (a *Admission) Cancel(id uint64) bool {
	for i, w := range a.queue {
		if w.id == id {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return true
		}
	}
	return false
}

// HoldUntil lets no request run before until: a new dispatcher waits for requests
// that the old one may have left in flight.
func (a *Admission) HoldUntil(until time.Time) { a.holdUntil = until }

// InFlight returns the number of requests in flight.
func (a *Admission) InFlight() int { return a.inFlight }

// Queued returns the number of queued requests.
func (a *Admission) Queued() int { return len(a.queue) }
