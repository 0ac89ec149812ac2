package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/balance"
)

// sim is a queue of events in simulated time, the latest first.
type sim struct {
	now    time.Time
	events []event
}

type event struct {
	at time.Time
	do func()
}

func (s *sim) after(d time.Duration, do func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, t time.Time) int { return t.Compare(e.at) })
	s.events = slices.Insert(s.events, i, event{at, do})
}

func (s *sim) run(until time.Time) {
	for n := len(s.events); n > 0 && !s.events[n-1].at.After(until); n = len(s.events) {
		e := s.events[n-1]
		s.events, s.now = s.events[:n-1], e.at
		e.do()
	}
	s.now = until
}

// gate is what Admission and the baseline have in common.
type gate interface {
	Offer(now time.Time, id uint64, deadline time.Time) Decision
	Finish(now time.Time, o Outcome)
	Ready(now time.Time) (run, expired []uint64)
}

// fifo is the baseline: a fixed limit and a queue by arrival that ignores deadlines.
type fifo struct {
	limit, running, length int
	queue                  []uint64
}

func (f *fifo) Offer(_ time.Time, id uint64, _ time.Time) Decision {
	if f.running >= f.limit && len(f.queue) >= f.length {
		return Refuse
	} else if f.running >= f.limit {
		f.queue = append(f.queue, id)
		return Wait
	}
	f.running++
	return Run
}
func (f *fifo) Finish(time.Time, Outcome) { f.running-- }
func (f *fifo) Ready(time.Time) (run, expired []uint64) {
	n := min(f.limit-f.running, len(f.queue))
	run, f.queue, f.running = f.queue[:n], f.queue[n:], f.running+n
	return run, nil
}

// backend is a fake server behind one gate, or one per entry host. While cold it
// sheds what exceeds its cold limit, and answers slowly until it has warmed up.
type backend struct {
	sim
	Config
	random                                       *rand.Rand
	gates                                        []gate
	warmth                                       int // answers until it is warm
	running, sentOver, peakCold, atTurn          int
	turned                                       time.Time
	goodput, offered, attempts, refused, expired int
	failures, steady                             float64 // shares of errors and of work that does not vary
	retry                                        func() bool
}

const (
	meanWork  = 10 * time.Millisecond
	coldWork  = 5 // times meanWork while cold
	coldFor   = 40
	shedAfter = time.Millisecond
	hosts     = 11
)

var lathe = Config{Slots: 4, Ramp: 5 * time.Second, QueueLen: 64}
var stock = Config{Slots: 2, Ramp: 5 * time.Second, QueueLen: 64}

func newBackend(seed uint64, cfg Config, gates ...gate) *backend {
	b := &backend{Config: cfg, random: rand.New(rand.NewPCG(seed, 3)), gates: gates, steady: 0.5}
	b.now, b.retry = time.Unix(0, 0), func() bool { return false }
	return b
}

// offer sends requests with deadlines of 20 to 400 ms at load times the capacity.
func (b *backend) offer(load float64, d time.Duration) {
	end := b.now.Add(d)
	var arrive func()
	arrive = func() {
		next := time.Duration(b.random.ExpFloat64() * float64(meanWork) / load / float64(b.Slots))
		if b.now.Add(next).Before(end) {
			b.after(next, arrive)
		}
		b.offered++
		b.attempt(b.gates[b.random.IntN(len(b.gates))], b.now.Add(time.Duration(20+b.random.IntN(380))*time.Millisecond), 3)
	}
	b.after(0, arrive)
	b.run(end)
}

// attempt offers a request whose id is its deadline.
func (b *backend) attempt(g gate, deadline time.Time, retries int) {
	b.attempts++
	switch g.Offer(b.now, uint64(deadline.UnixNano()), deadline) {
	case Run:
		b.execute(g, deadline)
	case Refuse:
		if b.refused++; retries > 0 && b.retry() {
			b.after(time.Millisecond, func() { b.attempt(g, deadline, retries-1) })
		}
	}
}

func (b *backend) execute(g gate, deadline time.Time) {
	work := time.Duration(float64(meanWork) * (b.steady + (1-b.steady)*b.random.ExpFloat64()))
	o := Outcome{Latency: work, Failed: b.random.Float64() < b.failures}
	if b.running++; b.warmth > 0 {
		o.Latency, b.peakCold = coldWork*work, max(b.peakCold, b.running)
		if b.running > 1 {
			b.sentOver, o = b.sentOver+1, Outcome{Latency: shedAfter, Shed: true}
		}
	}
	b.after(o.Latency, func() {
		b.running--
		if !o.Shed {
			b.warmth = max(b.warmth-1, 0)
		}
		if !o.Shed && !b.now.After(deadline) {
			b.goodput++
		}
		g.Finish(b.now, o)
		run, expired := g.Ready(b.now)
		b.expired += len(expired)
		for _, id := range run {
			b.execute(g, time.Unix(0, int64(id)))
		}
	})
}

// turnCold makes the backend cold and tells no one.
func (b *backend) turnCold() {
	b.warmth, b.atTurn, b.peakCold, b.sentOver, b.turned = coldFor, b.running, b.running, 0, b.now
}

// admissions returns one admission, or one per entry host.
func admissions(cfg Config, n int, now time.Time) (out []gate) {
	for range n {
		out = append(out, New(cfg, now))
	}
	return out
}

// measure runs do with three seeds and reports the mean and half the range of each metric.
func measure(b *testing.B, name string, do func(seed uint64) map[string]float64) {
	b.Run(name, func(b *testing.B) {
		var x, y, z map[string]float64
		for b.Loop() {
			x, y, z = do(1), do(2), do(3)
		}
		b.ReportMetric(0, "ns/op")
		for k := range x {
			b.ReportMetric((x[k]+y[k]+z[k])/3, k)
			b.ReportMetric((max(x[k], y[k], z[k])-min(x[k], y[k], z[k]))/2, k+"±")
		}
	})
}

// Cold start at full load, with one dispatcher and with a limit per host. The
// baseline of the lying report is a dispatcher that believes a report of free
// slots. The latency of warm servers is known but in the case "unknown".
func BenchmarkColdStart(b *testing.B) {
	for _, cfg := range []Config{lathe, stock} {
		for _, n := range []int{1, hosts} {
			for _, how := range []string{"new", "unknown", "without-warning", "failover", "lying-report"} {
				measure(b, fmt.Sprintf("slots=%d/limits=%d/%s", cfg.Slots, n, how), func(seed uint64) map[string]float64 {
					return coldStart(seed, cfg, n, how)
				})
			}
		}
	}
}

func coldStart(seed uint64, cfg Config, n int, how string) map[string]float64 {
	if how != "unknown" {
		cfg.Typical = meanWork
	}
	s := newBackend(seed, cfg, admissions(cfg, n, time.Unix(0, 0))...)
	s.turnCold()
	switch {
	case how == "without-warning":
		s.offer(1, 20*time.Second)
		s.turnCold()
		s.offer(1, time.Second)
	case how == "failover":
		s.offer(1, 200*time.Millisecond)
		s.run(s.now.Add(time.Second)) // expiry of the old dispatcher's session
		s.gates, s.turned = admissions(cfg, n, s.now), s.now
	case how == "lying-report" && n > 1:
		cfg.ColdLimit = cfg.Slots
		s.gates = admissions(cfg, 1, s.now)
	}
	for s.now.Before(s.turned.Add(20*time.Second)) && (s.warmth > 0 || s.gates[0].(*Admission).Cold(s.now)) {
		s.offer(1, 50*time.Millisecond)
	}
	return map[string]float64{"peak-cold": float64(s.peakCold), "at-turn": float64(s.atTurn),
		"sent-over": float64(s.sentOver), "full-s": s.now.Sub(s.turned).Seconds()}
}

// Overload at twice the capacity.
func BenchmarkOverload(b *testing.B) {
	for _, mode := range []string{"fifo=1000", "fifo=64", "ours"} {
		for _, retry := range []string{"none", "always", "budget"} {
			measure(b, mode+"/retry="+retry, func(seed uint64) map[string]float64 { return overload(seed, mode, retry) })
		}
	}
}

func overload(seed uint64, mode, retry string) map[string]float64 {
	g := map[string]gate{"fifo=1000": &fifo{limit: 4, length: 1000}, "fifo=64": &fifo{limit: 4, length: 64}, "ours": New(lathe, time.Unix(0, 0))}[mode]
	s, budget, paid := newBackend(seed, lathe, g), balance.NewBudget(0.1, 10), 0
	s.offer(0.9, 10*time.Second)
	s.goodput, s.offered, s.attempts, s.refused, s.expired = 0, 0, 0, 0, 0
	s.retry = func() bool {
		for ; paid < s.offered; paid++ {
			budget.OnRequest()
		}
		return retry == "always" || retry == "budget" && budget.TrySpend()
	}
	s.offer(2, 30*time.Second)
	return map[string]float64{"goodput-%": 100 * float64(s.goodput) * meanWork.Seconds() / 30 / 4,
		"retries-%": 100 * float64(s.attempts-s.offered) / float64(s.offered),
		"late-%":    100 * float64(s.expired) / float64(s.refused+s.expired)}
}

// False alarms: server errors and variable work on a warm server at 1.2 times its
// capacity must not cost capacity.
func BenchmarkFalseAlarm(b *testing.B) {
	for _, failures := range []float64{0, 0.01, 0.05} {
		for _, steady := range []float64{0.5, 0} {
			for _, mode := range []string{"fixed", "ours"} {
				measure(b, fmt.Sprintf("failures=%v/steady=%v/%s", failures, steady, mode), func(seed uint64) map[string]float64 {
					g := map[string]gate{"fixed": &fifo{limit: 4, length: 10}, "ours": New(lathe, time.Unix(0, 0))}[mode]
					s := newBackend(seed, lathe, g)
					s.steady = steady
					s.offer(1, 10*time.Second)
					s.failures, s.goodput = failures, 0
					s.offer(1.2, 30*time.Second)
					return map[string]float64{"goodput-%": 100 * float64(s.goodput) * meanWork.Seconds() / 30 / 4}
				})
			}
		}
	}
}
