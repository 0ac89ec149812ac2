package balance

import (
	"math/rand/v2"
	"time"
)

// Candidate is a backend server that may serve a request.
type Candidate struct {
	Name  string
	Local bool // in the chooser's data centre
	Slots int  // below 1 counts as 1
}

// Picker chooses the backend server of each request by the fewest outstanding
// requests, weighted by a latency estimate. It is not safe for concurrent use.
type Picker struct {
	random  *rand.Rand
	servers map[string]*server
	recent  recent
}

// NewPicker returns a picker whose choices depend only on seed and its inputs.
func NewPicker(seed uint64) *Picker {
	return &Picker{random: rand.New(rand.NewPCG(seed, seed)), servers: map[string]*server{}, recent: newRecent()}
}

// Pick returns the candidate that is expected to answer first, of those not in
// exclude. A local one is taken where that costs nothing: it has a free slot and
// is not slower than localSlack allows.
func (p *Picker) Pick(now time.Time, candidates []Candidate, exclude map[string]bool) (string, bool) {
	var best, local choice
	for _, c := range candidates {
		if exclude[c.Name] {
			continue
		}
		s := p.servers[c.Name]
		x := choice{name: c.Name, latency: s.expect(now, p.recent.mean)}
		x.free = s.load() < max(c.Slots, 1)
		x.score = x.latency * float64(s.load()+1) / float64(max(c.Slots, 1))
		best.keepBetter(x, p.random)
		if c.Local {
			local.keepBetter(x, p.random)
		}
	}
	if local.seen > 0 && local.free && local.latency <= localSlack*best.latency {
		return local.name, true
	}
	return best.name, best.seen > 0
}

// localSlack is the latency of a local candidate, relative to the best one, up
// to which the difference is taken for noise.
const localSlack = 1.25

// choice is the best candidate seen so far; equal ones are drawn at random.
type choice struct {
	name    string
	score   float64
	latency float64
	free    bool
	seen    int // candidates with this score
}

func (c *choice) keepBetter(x choice, random *rand.Rand) {
	switch {
	case c.seen == 0 || x.score < c.score:
		*c = x
		c.seen = 1
	case x.score == c.score:
		seen := c.seen + 1
		if random.IntN(seen) == 0 {
			*c = x
		}
		c.seen = seen
	}
}

// Sent records that a request went to the named server.
func (p *Picker) Sent(now time.Time, name string) {
	s := p.servers[name]
	if s == nil {
		s = &server{}
		p.servers[name] = s
	}
	s.sent = append(s.sent, now)
}

// Done records that a request that was sent to the named server ended. A
// refusal or failure, ok false, counts as a slow answer. A request that was
// cancelled because its hedge won is reported with its age and ok true.
func (p *Picker) Done(now time.Time, name string, latency time.Duration, ok bool) {
	s := p.servers[name]
	if s == nil {
		return
	}
	s.remove(now.Add(-latency))
	seconds := latency.Seconds()
	if !ok {
		seconds = max(seconds, failurePenalty*p.recent.mean)
	} else {
		p.recent.add(now, latency)
	}
	s.add(now, seconds, p.recent.mean)
}

// failurePenalty is the latency that a failure counts for, relative to the mean.
const failurePenalty = 4

// Forget drops what is known of the named server, for example when it left.
func (p *Picker) Forget(name string) { delete(p.servers, name) }

// HedgeAfter returns how long to wait for an answer before a second request is
// worth its cost. It is false until enough answers are known.
func (p *Picker) HedgeAfter(now time.Time) (time.Duration, bool) {
	return p.recent.quantile(now)
}
