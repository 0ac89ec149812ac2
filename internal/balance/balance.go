package balance

import (
	"math/rand/v2"
	"time"
)

// Candidate is a backend server that may serve a request.
type Candidate struct {
	Name  string
	Local bool // in the same data centre as the picker
	Slots int  // below 1 counts as 1
}

// Picker chooses the backend server of each request by the fewest outstanding
// requests, weighted by a latency estimate. It is not safe for concurrent use.
type Picker struct {
	random    *rand.Rand
	servers   map[string]*serverEstimate
	latencies latencyWindows
}

// NewPicker returns a picker whose choices depend only on seed and its inputs.
func NewPicker(seed uint64) *Picker {
	return &Picker{random: rand.New(rand.NewPCG(seed, seed)), servers: map[string]*serverEstimate{}, latencies: newLatencyWindows()}
}

// Pick returns the candidate that is expected to answer first, of those not in
// exclude. It prefers a local one that has a free slot and is not slower than
// localTolerance allows. It returns false when no candidate is left.
func (p *Picker) Pick(now time.Time, candidates []Candidate, exclude map[string]bool) (string, bool) {
	var best, local choice
	for _, c := range candidates {
		if exclude[c.Name] {
			continue
		}
		s := p.servers[c.Name]
		considered := choice{name: c.Name, latency: s.expectedLatency(now, p.latencies.mean)}
		considered.free = s.load() < max(c.Slots, 1)
		considered.score = considered.latency * float64(s.load()+1) / float64(max(c.Slots, 1))
		best.keepBetter(considered, p.random)
		if c.Local {
			local.keepBetter(considered, p.random)
		}
	}
	if local.equal > 0 && local.free && local.latency <= localTolerance*best.latency {
		return local.name, true
	}
	return best.name, best.equal > 0
}

// localTolerance is the latency of a local candidate, relative to the best one, up
// to which the difference is treated as noise.
const localTolerance = 1.25

// choice is the best candidate seen so far; equal ones are drawn at random.
type choice struct {
	name    string
	score   float64
	latency float64
	free    bool
	equal   int // candidates with this score
}

func (c *choice) keepBetter(other choice, random *rand.Rand) {
	switch {
	case c.equal == 0 || other.score < c.score:
		*c = other
		c.equal = 1
	case other.score == c.score:
		equal := c.equal + 1
		if random.IntN(equal) == 0 {
			*c = other
		}
		c.equal = equal
	}
}

// RecordSent records that a request was sent to the named server.
func (p *Picker) RecordSent(now time.Time, name string) {
	s := p.servers[name]
	if s == nil {
		s = &serverEstimate{}
		p.servers[name] = s
	}
	s.outstanding = append(s.outstanding, now)
}

// RecordDone records that a request that was sent to the named server ended. A
// refusal or failure, ok false, counts as a slow response. A request that was
// cancelled because its hedge won is reported with its age and ok true.
func (p *Picker) RecordDone(now time.Time, name string, latency time.Duration, ok bool) {
	s := p.servers[name]
	if s == nil {
		return
	}
	s.removeOutstanding(now.Add(-latency))
	seconds := latency.Seconds()
	if !ok {
		seconds = max(seconds, failurePenalty*p.latencies.mean)
	} else {
		p.latencies.addSample(now, latency)
	}
	s.addSample(now, seconds, p.latencies.mean)
}

// failurePenalty is the minimum latency counted for a failure, relative to the mean.
const failurePenalty = 4

// Forget drops the estimate of the named server, for example when it has left the table.
func (p *Picker) Forget(name string) { delete(p.servers, name) }

// HedgeDelay returns how long to wait for a response before a second request is
// worth its cost. It returns false until enough recent responses are known.
func (p *Picker) HedgeDelay(now time.Time) (time.Duration, bool) {
	return p.latencies.quantile(now)
}
