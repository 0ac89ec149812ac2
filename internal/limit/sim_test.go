package limit

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// sim is a queue of events in simulated time.
type sim struct {
	now    time.Time
	events []event
}

type event struct {
	at time.Time
	do func()
}

func (s *sim) Len() int           { return len(s.events) }
func (s *sim) Less(i, j int) bool { return s.events[i].at.Before(s.events[j].at) }
func (s *sim) Swap(i, j int)      { s.events[i], s.events[j] = s.events[j], s.events[i] }
func (s *sim) Push(x any)         { s.events = append(s.events, x.(event)) }
func (s *sim) Pop() any {
	last := s.events[len(s.events)-1]
	s.events = s.events[:len(s.events)-1]
	return last
}
func (s *sim) after(d time.Duration, do func()) { heap.Push(s, event{s.now.Add(d), do}) }
func (s *sim) run(until time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		e := heap.Pop(s).(event)
		s.now = e.at
		e.do()
	}
}

// backend is a fake server with an entry in front of it: one admission, or one
// per host. A cold backend sheds what exceeds its cold limit and is coldWorks
// times slower; it warms by the work it answers.
type backend struct {
	sim
	cfg      Config
	random   *rand.Rand
	gates    []gate
	warmth   int // answers until warm; 0 when warm
	running  int
	sentOver int // sent to a cold backend that had its cold limit in flight
	peakCold int // most in flight at a cold backend
	already  int // in flight when it turned cold
	turned   time.Time
	goodput, offered, attempts,
	refused, expired int
	deadlines func() time.Duration
	retries   func() bool
	failures  float64 // share of answers that are server errors
	steady    float64 // share of the work that does not vary
}

// gate is what the baselines and Admission have in common.
type gate interface {
	Offer(now time.Time, id uint64, deadline time.Time) Decision
	Finish(now time.Time, o Outcome)
	Ready(now time.Time) (run, expired []uint64)
}

const (
	meanWork  = 10 * time.Millisecond
	coldWorks = 5  // times slower while cold
	coldWork  = 40 // answers that warm a cold backend
	shedAfter = time.Millisecond
	hosts     = 11
)

func newBackend(seed uint64, cfg Config, gates ...gate) *backend {
	b := &backend{cfg: cfg, random: rand.New(rand.NewPCG(seed, 3)), gates: gates, steady: 0.5}
	b.now = time.Unix(0, 0)
	b.deadlines = func() time.Duration { return 20*time.Millisecond + time.Duration(b.random.IntN(380))*time.Millisecond }
	b.retries = func() bool { return false }
	return b
}

// offerLoad sends requests for d at load times the capacity of the backend.
func (b *backend) offerLoad(load float64, d time.Duration) {
	end := b.now.Add(d)
	var arrive func()
	arrive = func() {
		rate := load * float64(b.cfg.Slots) / meanWork.Seconds()
		if next := time.Duration(b.random.ExpFloat64() / rate * 1e9); b.now.Add(next).Before(end) {
			b.after(next, arrive)
		}
		b.offered++
		b.attempt(b.gates[b.random.IntN(len(b.gates))], b.now.Add(b.deadlines()), 3)
	}
	b.after(0, arrive)
	b.run(end)
	b.now = end
}

func (b *backend) attempt(g gate, deadline time.Time, retries int) {
	b.attempts++
	id := uint64(deadline.UnixNano())
	switch g.Offer(b.now, id, deadline) {
	case Run:
		b.execute(g, id)
	case Refuse:
		b.refused++
		if retries > 0 && b.retries() {
			b.after(time.Millisecond, func() { b.attempt(g, deadline, retries-1) })
		}
	}
}

// execute runs request id, whose deadline is its id in Unix nanoseconds.
func (b *backend) execute(g gate, id uint64) {
	begun, d, shed := b.now, time.Duration(float64(meanWork)*(b.steady+(1-b.steady)*b.random.ExpFloat64())), false
	if b.warmth > 0 {
		d *= coldWorks
		if b.running >= b.cfg.ColdLimit {
			b.sentOver, d, shed = b.sentOver+1, shedAfter, true
		}
	}
	b.running++
	if b.warmth > 0 {
		b.peakCold = max(b.peakCold, b.running)
	}
	failed := b.random.Float64() < b.failures
	b.after(d, func() {
		b.running--
		if !shed && b.warmth > 0 {
			b.warmth--
		}
		if !shed && b.now.UnixNano() <= int64(id) {
			b.goodput++
		}
		g.Finish(b.now, Outcome{Latency: b.now.Sub(begun), Shed: shed, Failed: failed})
		b.ready(g)
	})
}

func (b *backend) ready(g gate) {
	run, expired := g.Ready(b.now)
	b.expired += len(expired)
	for _, id := range run {
		b.execute(g, id)
	}
}

// turnCold makes the backend cold without telling anyone.
func (b *backend) turnCold() {
	b.warmth, b.already, b.peakCold, b.sentOver, b.turned = coldWork, b.running, b.running, 0, b.now
}

// fifo is a naive gate: a fixed limit and a queue in arrival order that looks at
// no deadline.
type fifo struct {
	limit, running, length int
	queue                  []uint64
}

func (f *fifo) Offer(_ time.Time, id uint64, _ time.Time) Decision {
	switch {
	case f.running < f.limit:
		f.running++
		return Run
	case len(f.queue) >= f.length:
		return Refuse
	}
	f.queue = append(f.queue, id)
	return Wait
}
func (f *fifo) Finish(time.Time, Outcome) { f.running-- }
func (f *fifo) Ready(time.Time) (run, expired []uint64) {
	for f.running < f.limit && len(f.queue) > 0 {
		f.running++
		run, f.queue = append(run, f.queue[0]), f.queue[1:]
	}
	return run, nil
}
