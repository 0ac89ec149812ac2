package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/balance"
)

// simulation is a queue of events in simulated time, the latest first.
type simulation struct {
	now    time.Time
	events []event
}

type event struct {
	at time.Time
	do func()
}

func (s *simulation) after(d time.Duration, do func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, t time.Time) int { return t.Compare(e.at) })
	s.events = slices.Insert(s.events, i, event{at, do})
}

func (s *simulation) run(until time.Time) {
	for n := len(s.events); n > 0 && !s.events[n-1].at.After(until); n = len(s.events) {
		e := s.events[n-1]
		s.events, s.now = s.events[:n-1], e.at
		e.do()
	}
	s.now = until
}

// admission is implemented by Admission and the baseline.
type admission interface {
	Offer(now time.Time, id uint64, deadline time.Time) Decision
	Finish(now time.Time, o Outcome)
	Ready(now time.Time) (run, expired []uint64)
}

// fifoAdmission is the baseline: a fixed limit and a queue by arrival that ignores deadlines.
type fifoAdmission struct {
	limit, inFlight, queueLen int
	queue                     []uint64
}

func (f *fifoAdmission) Offer(_ time.Time, id uint64, _ time.Time) Decision {
	if f.inFlight >= f.limit && len(f.queue) >= f.queueLen {
		return Refuse
	} else if f.inFlight >= f.limit {
		f.queue = append(f.queue, id)
		return Wait
	}
	f.inFlight++
	return Run
}
func (f *fifoAdmission) Finish(time.Time, Outcome) { f.inFlight-- }
func (f *fifoAdmission) Ready(time.Time) (run, expired []uint64) {
	n := min(f.limit-f.inFlight, len(f.queue))
	run, f.queue, f.inFlight = f.queue[:n], f.queue[n:], f.inFlight+n
	return run, nil
}

// backend simulates a server behind one admission, or one per entry host. While cold it
// sheds requests beyond its cold limit, and answers slowly until it has warmed up.
type backend struct {
	simulation
	Config
	random                                          *rand.Rand
	admissions                                      []admission
	responsesToWarm                                 int // responses until it is warm
	running, sentOverLimit, peakCold, runningAtTurn int
	turnedColdAt                                    time.Time
	goodput, offered, attempts, refused, expired    int
	failureShare, steadyShare                       float64 // shares of errors and of work that does not vary
	mayRetry                                        func() bool
}

const (
	meanWork           = 10 * time.Millisecond
	coldSlowdown       = 5 // times meanWork while cold
	responsesUntilWarm = 40
	shedAfter          = time.Millisecond
	hosts              = 11
)

var fourSlots = Config{Slots: 4, Ramp: 5 * time.Second, QueueLen: 64}
var twoSlots = Config{Slots: 2, Ramp: 5 * time.Second, QueueLen: 64}

func newBackend(seed uint64, cfg Config, admissions ...admission) *backend {
	b := &backend{Config: cfg, random: rand.New(rand.NewPCG(seed, 3)), admissions: admissions, steadyShare: 0.5}
	b.now, b.mayRetry = time.Unix(0, 0), func() bool { return false }
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
		b.attempt(b.admissions[b.random.IntN(len(b.admissions))], b.now.Add(time.Duration(20+b.random.IntN(380))*time.Millisecond), 3)
	}
	b.after(0, arrive)
	b.run(end)
}

// attempt offers a request whose id is its deadline.
func (b *backend) attempt(a admission, deadline time.Time, retries int) {
	b.attempts++
	switch a.Offer(b.now, uint64(deadline.UnixNano()), deadline) {
	case Run:
		b.execute(a, deadline)
	case Refuse:
		if b.refused++; retries > 0 && b.mayRetry() {
			b.after(time.Millisecond, func() { b.attempt(a, deadline, retries-1) })
		}
	}
}

func (b *backend) execute(a admission, deadline time.Time) {
	work := time.Duration(float64(meanWork) * (b.steadyShare + (1-b.steadyShare)*b.random.ExpFloat64()))
	o := Outcome{Latency: work, Failed: b.random.Float64() < b.failureShare}
	if b.running++; b.responsesToWarm > 0 {
		o.Latency, b.peakCold = coldSlowdown*work, max(b.peakCold, b.running)
		if b.running > 1 {
			b.sentOverLimit, o = b.sentOverLimit+1, Outcome{Latency: shedAfter, Shed: true}
		}
	}
	b.after(o.Latency, func() {
		b.running--
		if !o.Shed {
			b.responsesToWarm = max(b.responsesToWarm-1, 0)
		}
		if !o.Shed && !b.now.After(deadline) {
			b.goodput++
		}
		a.Finish(b.now, o)
		run, expired := a.Ready(b.now)
		b.expired += len(expired)
		for _, id := range run {
			b.execute(a, time.Unix(0, int64(id)))
		}
	})
}

// turnCold makes the backend cold without notice to the admissions.
func (b *backend) turnCold() {
	b.responsesToWarm, b.runningAtTurn, b.peakCold, b.sentOverLimit, b.turnedColdAt = responsesUntilWarm, b.running, b.running, 0, b.now
}

// newAdmissions returns n admissions.
func newAdmissions(cfg Config, n int, now time.Time) (out []admission) {
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

// Cold start at full load, with one dispatcher and with a limit per host. The baseline
// of the case "lying-report" is a dispatcher that relies on a false report of free slots.
// The latency of warm servers is known except in the case "unknown".
func BenchmarkColdStart(b *testing.B) {
	for _, cfg := range []Config{fourSlots, twoSlots} {
		for _, n := range []int{1, hosts} {
			for _, scenario := range []string{"new", "unknown", "without-warning", "failover", "lying-report"} {
				measure(b, fmt.Sprintf("slots=%d/limits=%d/%s", cfg.Slots, n, scenario), func(seed uint64) map[string]float64 {
					return simulateColdStart(seed, cfg, n, scenario)
				})
			}
		}
	}
}

func simulateColdStart(seed uint64, cfg Config, n int, scenario string) map[string]float64 {
	if scenario != "unknown" {
		cfg.TypicalLatency = meanWork
	}
	s := newBackend(seed, cfg, newAdmissions(cfg, n, time.Unix(0, 0))...)
	s.turnCold()
	switch {
	case scenario == "without-warning":
		s.offer(1, 20*time.Second)
		s.turnCold()
		s.offer(1, time.Second)
	case scenario == "failover":
		s.offer(1, 200*time.Millisecond)
		s.run(s.now.Add(time.Second)) // expiry of the old dispatcher's session
		s.admissions, s.turnedColdAt = newAdmissions(cfg, n, s.now), s.now
	case scenario == "lying-report" && n > 1:
		cfg.ColdLimit = cfg.Slots
		s.admissions = newAdmissions(cfg, 1, s.now)
	}
	for s.now.Before(s.turnedColdAt.Add(20*time.Second)) && (s.responsesToWarm > 0 || s.admissions[0].(*Admission).Cold(s.now)) {
		s.offer(1, 50*time.Millisecond)
	}
	return map[string]float64{"peak-cold": float64(s.peakCold), "at-turn": float64(s.runningAtTurn),
		"sent-over": float64(s.sentOverLimit), "full-s": s.now.Sub(s.turnedColdAt).Seconds()}
}

// Overload at twice the capacity.
func BenchmarkOverload(b *testing.B) {
	for _, mode := range []string{"fifo=1000", "fifo=64", "ours"} {
		for _, retry := range []string{"none", "always", "budget"} {
			measure(b, mode+"/retry="+retry, func(seed uint64) map[string]float64 { return simulateOverload(seed, mode, retry) })
		}
	}
}

func simulateOverload(seed uint64, mode, retry string) map[string]float64 {
	a := map[string]admission{"fifo=1000": &fifoAdmission{limit: 4, queueLen: 1000}, "fifo=64": &fifoAdmission{limit: 4, queueLen: 64}, "ours": New(fourSlots, time.Unix(0, 0))}[mode]
	s, budget, credited := newBackend(seed, fourSlots, a), balance.NewBudget(0.1, 10), 0
	s.offer(0.9, 10*time.Second)
	s.goodput, s.offered, s.attempts, s.refused, s.expired = 0, 0, 0, 0, 0
	s.mayRetry = func() bool {
		for ; credited < s.offered; credited++ {
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
					a := map[string]admission{"fixed": &fifoAdmission{limit: 4, queueLen: 10}, "ours": New(fourSlots, time.Unix(0, 0))}[mode]
					s := newBackend(seed, fourSlots, a)
					s.steadyShare = steady
					s.offer(1, 10*time.Second)
					s.failureShare, s.goodput = failures, 0
					s.offer(1.2, 30*time.Second)
					return map[string]float64{"goodput-%": 100 * float64(s.goodput) * meanWork.Seconds() / 30 / 4}
				})
			}
		}
	}
}
