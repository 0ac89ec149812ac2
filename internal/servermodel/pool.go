package servermodel

import (
	"slices"
	"time"

	"github.com/agatestep/agatestep/internal/permit"
)

// Member is one process of a backend server of the service.
type Member struct {
	Name       string
	Born       int64
	DataCentre string
	Slots      int
}

type memberKey struct {
	name string
	born int64
}

func (m Member) key() memberKey { return memberKey{m.Name, m.Born} }

// Request asks for a permit to send one request to some server of the service.
type Request struct {
	permit.Request
	Route      string
	DataCentre string // of the asking host
	// Remote is how much longer a server of the host's own data centre may take and still be
	// preferred.
	Remote time.Duration
	// Excluded are the servers that may not be chosen, Connected those to which the host has
	// an idle connection.
	Excluded, Connected []string
}

const (
	// connectCost is what opening a connection costs: a round trip and work of the server.
	connectCost = 5 * time.Millisecond
	// spreadCost spreads requests over servers that look alike.
	spreadCost = time.Millisecond
	// unreleasedGrace is how long after its deadline a request that was never reported as
	// ended counts as in progress.
	unreleasedGrace = 300 * time.Millisecond
	// sweepInterval is the time between two searches for such requests.
	sweepInterval = 100 * time.Millisecond
)

// Pool chooses servers for the requests of one service. Requests wait in one queue for all
// servers, so that none waits behind a slow server while another is free. It is not safe for
// concurrent use.
type Pool struct {
	queue    *permit.Queue
	routes   *routeMeans
	members  []Member
	servers  map[memberKey]*Server
	waiting  map[permit.ID]Request
	assigned map[permit.ID]assignment
	first    int // where the next search begins
	swept    time.Time
}

type assignment struct {
	member   Member
	route    string
	deadline time.Time
}

// NewPool returns a pool without servers.
func NewPool() *Pool {
	return &Pool{queue: permit.New(1), routes: newRouteMeans(), servers: map[memberKey]*Server{},
		waiting: map[permit.ID]Request{}, assigned: map[permit.ID]assignment{}}
}

// Idle reports whether no request waits or is in progress.
func (p *Pool) Idle() bool { return len(p.waiting) == 0 && len(p.assigned) == 0 }

// SetMembers sets the servers that may be chosen.
func (p *Pool) SetMembers(now time.Time, members []Member) {
	p.members = members
	present := make(map[memberKey]bool, len(members))
	total := 0
	for _, m := range members {
		present[m.key()] = true
		s := p.servers[m.key()]
		if s == nil {
			s = NewServer(m.Slots)
			p.servers[m.key()] = s
		}
		if !s.paused(now) {
			total += s.Slots(now)
		}
	}
	for key, s := range p.servers {
		if !present[key] && len(s.flights) == 0 {
			delete(p.servers, key)
		}
	}
	p.queue.SetSlots(total)
}

// Submit grants a request a permit, queues or refuses it. A refusal comes with the time after
// which the caller may retry.
func (p *Pool) Submit(now time.Time, r Request) (permit.State, time.Duration) {
	p.sweep(now)
	if !p.anyUsable(now, r) {
		return permit.Unknown, 0
	}
	r.Service = p.routes.of(r.Route, r.Service)
	state, wait := p.queue.Submit(now, r.Request)
	if state == permit.Waiting || state == permit.Granted {
		p.waiting[r.ID] = r
	}
	return state, wait
}

// Poll returns the state of a request, and the server once it has a permit.
func (p *Pool) Poll(now time.Time, id permit.ID) (permit.State, Member, time.Duration) {
	state, wait := p.queue.Poll(now, id)
	r, unassigned := p.waiting[id]
	switch {
	case state == permit.Granted && unassigned:
		delete(p.waiting, id)
		m, ok := p.assign(now, r)
		if !ok {
			p.queue.Done(now, id, 0)
			return permit.Unknown, Member{}, 0
		}
		return state, m, 0
	case state == permit.Granted:
		return state, p.assigned[id].member, 0
	case state != permit.Waiting:
		delete(p.waiting, id)
	}
	return state, Member{}, wait
}

// Advance grants permits to waiting requests and returns those whose state changed.
func (p *Pool) Advance(now time.Time) []permit.ID {
	p.sweep(now)
	return p.queue.Advance(now)
}

// Done records the end of a request, or withdraws it. It reports whether it was known.
func (p *Pool) Done(now time.Time, id permit.ID, o Outcome) (known bool) {
	delete(p.waiting, id)
	known = p.queue.Done(now, id, o.Work)
	a, ok := p.assigned[id]
	if !ok {
		return known
	}
	delete(p.assigned, id)
	if s := p.servers[a.member.key()]; s != nil {
		s.done(now, id, o, p.routes.of(a.route, 0))
		if o.Work > 0 && !o.Failed {
			p.routes.add(a.route, time.Duration(float64(o.Work)/s.reportedSlowdown(o.Load)))
		}
	}
	return true
}

// Server returns the model of a member, or nil.
func (p *Pool) Server(name string, born int64) *Server { return p.servers[memberKey{name, born}] }

func (p *Pool) usable(now time.Time, r Request, m Member) bool {
	return !slices.Contains(r.Excluded, m.Name) && !p.servers[m.key()].paused(now)
}

func (p *Pool) anyUsable(now time.Time, r Request) bool {
	return slices.ContainsFunc(p.members, func(m Member) bool { return p.usable(now, r, m) })
}

// assign chooses the server that is expected to answer first, of those with room if there are
// any.
func (p *Pool) assign(now time.Time, r Request) (Member, bool) {
	best, bestCost, bestRoom := -1, time.Duration(0), false
	p.first++
	for i := range p.members {
		i = (i + p.first) % len(p.members)
		m := p.members[i]
		if !p.usable(now, r, m) {
			continue
		}
		room, cost := p.servers[m.key()].hasRoom(now), p.cost(now, r, m)
		if best < 0 || room && !bestRoom || room == bestRoom && cost < bestCost {
			best, bestCost, bestRoom = i, cost, room
		}
	}
	if best < 0 {
		return Member{}, false
	}
	m := p.members[best]
	s := p.servers[m.key()]
	s.sent(now, r.ID, s.FinishTime(now, r.Service, p.routes.ofAll(r.Service)))
	p.assigned[r.ID] = assignment{member: m, route: r.Route, deadline: r.Deadline}
	return m, true
}

func (p *Pool) cost(now time.Time, r Request, m Member) time.Duration {
	s := p.servers[m.key()]
	cost := s.FinishTime(now, r.Service, p.routes.ofAll(r.Service)) + time.Duration(len(s.flights))*spreadCost
	if m.DataCentre != r.DataCentre {
		cost += r.Remote
	}
	if !slices.Contains(r.Connected, m.Name) {
		cost += connectCost
	}
	return cost
}

// sweep drops requests whose hosts never reported their end, after the queue dropped them.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepInterval {
		return
	}
	p.swept = now
	for id, a := range p.assigned {
		if now.Sub(a.deadline) > unreleasedGrace {
			p.Done(now, id, Outcome{})
		}
	}
	for id, r := range p.waiting {
		if now.Sub(r.Deadline) > unreleasedGrace {
			p.Done(now, id, Outcome{})
		}
	}
}
