package balance

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/agatestep/agatestep/internal/limit"
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
func (s *sim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(s).(event)
		s.now = e.at
		e.do()
	}
}

// setup is one run of a service through 10 entry hosts.
type setup struct {
	servers, slots     int
	stragglers, keyed  bool
	roundRobin, hedges bool
	unqueued           bool // every request starts at once: the bound of sole ownership
	load               float64
	maxWait            time.Duration // 0: prefer availability
	seed               uint64
}

const (
	hosts     = 10
	runTime   = 60 * time.Second
	warmUp    = 10 * time.Second
	meanWork  = 10 * time.Millisecond
	oneWay    = 100 * time.Microsecond
	zoneWay   = 500 * time.Microsecond // more between data centres
	zones     = 4
	deadline  = 2 * time.Second
	slowness  = 10
	slowFor   = 2 * time.Second
	slowShare = 0.1
)

// cluster is the state of a run: the hosts' pickers and the servers' admissions.
type cluster struct {
	setup
	sim
	random   *rand.Rand
	start    time.Time
	pickers  [hosts]*Picker
	hedge    [hosts]*Budget
	admit    []*limit.Admission
	asleep   map[uint64]*attempt
	nextID   uint64
	turn     [hosts]int
	requests int
	nearby   int
	hedged   int
	refused  int
	latency  []float64 // milliseconds
	names    [hosts][]Candidate
}

type request struct {
	host     int
	begun    time.Time
	done     bool
	tried    map[string]bool
	attempts []*attempt
}

type attempt struct {
	*request
	id      uint64
	server  int
	sent    time.Time
	running bool
	over    bool
}

func simulate(s setup) *cluster {
	c := &cluster{setup: s, random: rand.New(rand.NewPCG(s.seed, 7)), asleep: map[uint64]*attempt{}}
	c.now = time.Unix(0, 0)
	c.start = c.now
	for h := range c.pickers {
		c.pickers[h], c.hedge[h] = NewPicker(s.seed*100+uint64(h)), NewBudget(0.05, 3)
	}
	for i := range s.servers {
		for h := range c.names {
			c.names[h] = append(c.names[h], Candidate{Name: string(rune('A' + i)), Slots: s.slots, Local: c.local(h, i)})
		}
		c.admit = append(c.admit, limit.New(limit.Config{Slots: s.slots, ColdLimit: 1, Ramp: time.Second, QueueLen: 64, MaxWait: s.maxWait}, c.now))
	}
	c.after(0, c.arrive)
	c.run()
	sort.Float64s(c.latency)
	return c
}

// arrive begins a request at a random host and schedules the next one.
func (c *cluster) arrive() {
	rate := c.load * float64(c.servers*c.slots) / meanWork.Seconds()
	if c.now.Sub(c.start) < runTime {
		c.after(time.Duration(c.random.ExpFloat64()/rate*1e9), c.arrive)
	}
	r := &request{host: c.random.IntN(hosts), begun: c.now, tried: map[string]bool{}}
	c.requests++
	c.hedge[r.host].OnRequest()
	c.send(r, c.choose(r))
	if wait, ok := c.pickers[r.host].HedgeAfter(c.now); ok && c.hedges {
		c.after(wait, func() {
			if !r.done && c.hedge[r.host].TrySpend() {
				c.hedged++
				c.send(r, c.choose(r))
			}
		})
	}
}

func (c *cluster) choose(r *request) int {
	if c.keyed || c.roundRobin {
		c.turn[r.host]++
		if c.keyed {
			c.turn[r.host] = c.random.IntN(c.servers)
		}
		return c.turn[r.host] % c.servers
	}
	name, _ := c.pickers[r.host].Pick(c.now, c.names[r.host], r.tried)
	return int(name[0] - 'A')
}

func (c *cluster) local(host, server int) bool { return host%zones == server%zones }

// network is the one-way latency between a host and a server.
func (c *cluster) network(host, server int) time.Duration {
	if c.local(host, server) {
		return oneWay
	}
	return oneWay + zoneWay
}

func (c *cluster) send(r *request, server int) {
	c.nextID++
	a := &attempt{request: r, id: c.nextID, server: server, sent: c.now}
	if c.local(r.host, server) {
		c.nearby++
	}
	r.tried[c.names[0][server].Name] = true
	r.attempts = append(r.attempts, a)
	c.pickers[r.host].Sent(c.now, c.names[0][server].Name)
	c.after(c.network(r.host, server), func() {
		switch {
		case a.over:
		case c.unqueued:
			c.execute(a)
		default:
			switch c.admit[server].Offer(c.now, a.id, r.begun.Add(deadline)) {
			case limit.Run:
				c.execute(a)
			case limit.Wait:
				c.asleep[a.id] = a
			default:
				c.after(c.network(r.host, server), func() { c.end(a, false) })
			}
		}
	})
}

// execute runs a on its server and lets the next ones run when it is over.
func (c *cluster) execute(a *attempt) {
	a.running = true
	begun := c.now
	work := time.Duration(float64(meanWork) * (0.5 + 0.5*c.random.ExpFloat64()))
	c.after(c.duration(a.server, work), func() {
		if a.over {
			return
		}
		c.free(a, limit.Outcome{Latency: c.now.Sub(begun)})
		c.after(c.network(a.host, a.server), func() { c.end(a, true) })
	})
}

func (c *cluster) free(a *attempt, o limit.Outcome) {
	a.running = false
	if c.unqueued {
		return
	}
	c.admit[a.server].Finish(c.now, o)
	run, expired := c.admit[a.server].Ready(c.now)
	for _, id := range run {
		c.execute(c.asleep[id])
	}
	for _, id := range expired {
		c.end(c.asleep[id], false)
	}
}

// end takes the answer to an attempt; the first good one cancels the others.
func (c *cluster) end(a *attempt, ok bool) {
	if a.over {
		return
	}
	a.over = true
	c.pickers[a.host].Done(c.now, c.names[0][a.server].Name, c.now.Sub(a.sent), ok)
	if a.done {
		return
	}
	left := 0
	for _, other := range a.attempts {
		if !other.over && ok {
			c.cancel(other)
		} else if !other.over {
			left++
		}
	}
	a.done = ok || left == 0
	if measured := a.begun.Sub(c.start) > warmUp; ok && measured {
		c.latency = append(c.latency, c.now.Sub(a.begun).Seconds()*1e3)
	} else if a.done && !ok && measured {
		c.refused++
	}
}

// cancel ends the losing attempt of a hedged request; its server accepts that.
func (c *cluster) cancel(a *attempt) {
	a.over = true
	c.pickers[a.host].Done(c.now, c.names[0][a.server].Name, c.now.Sub(a.sent), true)
	if a.running {
		c.free(a, limit.Outcome{Cancelled: true})
	} else {
		c.admit[a.server].Cancel(a.id)
	}
}

// duration is the time that work takes from now on, with a tenth of the servers
// slowed down for slowFor at a time.
func (c *cluster) duration(server int, work time.Duration) time.Duration {
	at := c.now.Sub(c.start)
	for work > 0 {
		block := at / slowFor
		left := (block+1)*slowFor - at
		factor := time.Duration(1)
		n := int(math.Ceil(slowShare * float64(c.servers)))
		shift := int(uint64(block+1) * (c.seed*2 + 2654435761) >> 8 % uint64(c.servers))
		if c.stragglers && (server-shift+c.servers)%c.servers < n {
			factor = slowness
		}
		if work*factor <= left {
			return at + work*factor - c.now.Sub(c.start)
		}
		work -= left / factor
		at += left
	}
	return at - c.now.Sub(c.start)
}

func (c *cluster) percentile(p float64) float64 {
	return c.latency[min(int(p*float64(len(c.latency))), len(c.latency)-1)]
}
