package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/limit"
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

func (s *simulation) run() {
	for n := len(s.events); n > 0; n = len(s.events) {
		e := s.events[n-1]
		s.events, s.now = s.events[:n-1], e.at
		e.do()
	}
}

const (
	hosts          = 10 // entry hosts, each with a picker of its own, in 4 data centres
	warmUp         = 10 * time.Second
	meanWork       = 10 * time.Millisecond // half of it fixed, half exponential
	oneWayLatency  = 500 * time.Microsecond
	deadline       = 2 * time.Second
	slowFactor     = 10
	slowFor        = 2 * time.Second
	serversPerSlow = 10 // one in so many servers is slow, at least one
)

// cluster simulates one run of a service. Each server has the admission of package limit.
type cluster struct {
	simulation
	servers, slots                                             int
	slow, keyed, hedges, roundRobin, unqueued                  bool
	maxWait, runTime                                           time.Duration
	random                                                     *rand.Rand
	seed                                                       uint64
	start                                                      time.Time
	pickers                                                    [hosts]*Picker
	hedgeBudgets                                               [hosts]*Budget
	candidates                                                 [hosts][]Candidate
	admissions                                                 []*limit.Admission
	attempts                                                   []*attempt // by id
	sentCount, requests, localCount, hedgedCount, refusedCount int
	latency                                                    []float64 // milliseconds
}

type request struct {
	host      int
	startedAt time.Time
	done      bool
	tried     map[string]bool
	attempts  []*attempt
}

type attempt struct {
	*request
	id             uint64
	server         int
	sent           time.Time
	running, ended bool
}

func (c cluster) simulate(seed uint64) map[string]float64 {
	c.seed, c.random, c.now = seed, rand.New(rand.NewPCG(seed, 7)), time.Unix(0, 0)
	c.start = c.now
	for h := range hosts {
		c.pickers[h], c.hedgeBudgets[h] = NewPicker(seed*100+uint64(h)), NewBudget(0.05, 3)
		for i := range c.servers {
			c.candidates[h] = append(c.candidates[h], Candidate{string(rune('A' + i)), i%4 == h%4, c.slots})
		}
	}
	for range c.servers {
		c.admissions = append(c.admissions, limit.New(limit.Config{Slots: c.slots, Ramp: time.Second, QueueLen: 64, MaxWait: c.maxWait}, c.now))
	}
	c.after(0, c.arrive)
	c.run()
	slices.Sort(c.latency)
	at := func(p float64) float64 { return c.latency[int(p*float64(len(c.latency)))] }
	percent := func(n int) float64 { return 100 * float64(n) / float64(c.requests) }
	return map[string]float64{"p50-ms": at(0.5), "p99-ms": at(0.99), "p999-ms": at(0.999),
		"refused-%": 100 * float64(c.refusedCount) / float64(c.refusedCount+len(c.latency)), "extra-%": percent(c.hedgedCount), "local-%": percent(c.localCount)}
}

// arrive starts a request at a random host and schedules the next one, at 60% of
// the capacity.
func (c *cluster) arrive() {
	if c.now.Sub(c.start) < c.runTime {
		c.after(time.Duration(c.random.ExpFloat64()*float64(meanWork)/0.6/float64(c.servers*c.slots)), c.arrive)
	}
	r := &request{host: c.random.IntN(hosts), startedAt: c.now, tried: map[string]bool{}}
	c.requests++
	c.hedgeBudgets[r.host].OnRequest()
	c.send(r)
	if wait, ok := c.pickers[r.host].HedgeDelay(c.now); ok && c.hedges {
		c.after(wait, func() {
			if !r.done && c.hedgeBudgets[r.host].TrySpend() {
				c.hedgedCount++
				c.send(r)
			}
		})
	}
}

func (c *cluster) send(r *request) {
	t := &attempt{request: r, id: uint64(len(c.attempts)), sent: c.now}
	switch c.sentCount++; {
	case c.keyed:
		t.server = c.random.IntN(c.servers)
	case c.roundRobin:
		t.server = c.sentCount % c.servers
	default:
		name, _ := c.pickers[r.host].Pick(c.now, c.candidates[r.host], r.tried)
		t.server = int(name[0] - 'A')
	}
	candidate := c.candidates[r.host][t.server]
	if candidate.Local {
		c.localCount++
	}
	r.tried[candidate.Name] = true
	r.attempts, c.attempts = append(r.attempts, t), append(c.attempts, t)
	c.pickers[r.host].RecordSent(c.now, candidate.Name)
	c.after(oneWayLatency, func() {
		if t.ended {
			return
		} else if c.unqueued {
			c.execute(t)
			return
		}
		switch c.admissions[t.server].Offer(c.now, t.id, r.startedAt.Add(deadline)) {
		case limit.Run:
			c.execute(t)
		case limit.Refuse:
			c.after(oneWayLatency, func() { c.endAttempt(t, false) })
		}
	})
}

// execute runs t on its server and lets queued ones run when it has finished.
func (c *cluster) execute(t *attempt) {
	t.running = true
	begun, work := c.now, time.Duration(float64(meanWork)*(0.5+0.5*c.random.ExpFloat64()))
	c.after(c.duration(t.server, work), func() {
		if !t.ended {
			c.finishOnServer(t, limit.Outcome{Latency: c.now.Sub(begun)})
			c.after(oneWayLatency, func() { c.endAttempt(t, true) })
		}
	})
}

func (c *cluster) finishOnServer(t *attempt, o limit.Outcome) {
	t.running = false
	if c.unqueued {
		return
	}
	c.admissions[t.server].Finish(c.now, o)
	run, expired := c.admissions[t.server].Ready(c.now)
	for _, id := range run {
		c.execute(c.attempts[id])
	}
	for _, id := range expired {
		c.endAttempt(c.attempts[id], false)
	}
}

// endAttempt handles the response to an attempt. The first successful one cancels the
// other, on its server too.
func (c *cluster) endAttempt(t *attempt, ok bool) {
	if t.ended {
		return
	}
	t.ended = true
	c.pickers[t.host].RecordDone(c.now, c.candidates[t.host][t.server].Name, c.now.Sub(t.sent), ok)
	t.done = true
	for _, other := range t.attempts {
		switch {
		case other.ended:
		case !ok:
			t.done = false
		case other.running:
			c.finishOnServer(other, limit.Outcome{Cancelled: true})
			fallthrough
		default:
			c.admissions[other.server].Cancel(other.id)
			other.ended = true
			c.pickers[t.host].RecordDone(c.now, c.candidates[t.host][other.server].Name, c.now.Sub(other.sent), true)
		}
	}
	if !t.done || t.startedAt.Sub(c.start) < warmUp {
		return
	} else if ok {
		c.latency = append(c.latency, c.now.Sub(t.startedAt).Seconds()*1e3)
	} else {
		c.refusedCount++
	}
}

// duration is the time that work takes from now on. Every slowFor another set of
// servers is slow.
func (c *cluster) duration(server int, work time.Duration) time.Duration {
	begin := c.now.Sub(c.start)
	for at := begin; ; {
		block := at / slowFor
		left, factor := (block+1)*slowFor-at, time.Duration(1)
		first := int(uint64(block+1) * (c.seed*2 + 2654435761) >> 8 % uint64(c.servers))
		if c.slow && (server-first+c.servers)%c.servers < (c.servers+serversPerSlow-1)/serversPerSlow {
			factor = slowFactor
		}
		if work*factor <= left {
			return at + work*factor - begin
		}
		work, at = work-left/factor, at+left
	}
}

// measure runs c with three seeds and reports the mean and half the range of each metric.
func measure(b *testing.B, name string, c cluster) {
	b.Run(name, func(b *testing.B) {
		var x, y, z map[string]float64
		for b.Loop() {
			x, y, z = c.simulate(1), c.simulate(2), c.simulate(3)
		}
		b.ReportMetric(0, "ns/op")
		for k := range x {
			b.ReportMetric((x[k]+y[k]+z[k])/3, k)
			b.ReportMetric((max(x[k], y[k], z[k])-min(x[k], y[k], z[k]))/2, k+"±")
		}
	})
}

func BenchmarkStragglers(b *testing.B) {
	for _, c := range []cluster{{servers: 8, slots: 2, runTime: time.Minute}, {servers: 6, slots: 4, runTime: time.Minute}} {
		for _, mode := range []string{"round-robin", "picker", "hedged"} {
			for _, c.slow = range []bool{false, true} {
				c.roundRobin, c.hedges = mode == "round-robin", mode == "hedged"
				measure(b, fmt.Sprintf("%dx%d/%s/slow=%v", c.servers, c.slots, mode, c.slow), c)
			}
		}
	}
}

// Keyed: each request has one owner. The case "bound" runs every request at once at
// the owner's speed, which no admission or order of service can beat.
func BenchmarkKeyedStragglers(b *testing.B) {
	for _, c := range []cluster{{servers: 20, slots: 4, runTime: time.Minute}, {servers: 30, slots: 2, runTime: time.Minute}} {
		c.keyed = true
		measure(b, fmt.Sprintf("%dx%d/healthy", c.servers, c.slots), c)
		c.slow = true
		measure(b, fmt.Sprintf("%dx%d/availability", c.servers, c.slots), c)
		c.maxWait = 5 * meanWork
		measure(b, fmt.Sprintf("%dx%d/tail_latency", c.servers, c.slots), c)
		c.unqueued = true
		measure(b, fmt.Sprintf("%dx%d/bound", c.servers, c.slots), c)
	}
}
