package servermodel

import (
	"math"
	"slices"
	"time"

	"github.com/agatestep/agatestep/internal/permit"
)

// Load is the load that a backend server reports with an answer.
type Load struct {
	Running, Waiting int
	// Slots is zero if it is not reported.
	Slots int
	// Slowdown is the current service time relative to the usual one of that machine; zero
	// if it is not reported.
	Slowdown float64
	// Age is the time since the report.
	Age time.Duration
}

// Outcome is what a host learnt from one request that it sent to a backend server.
type Outcome struct {
	Route string
	// Work is the time that the server worked on the request; zero if it did not run it to
	// the end.
	Work time.Duration
	// Failed means a fault of the server, Refused that it turned the request away unread.
	Failed, Refused bool
	// Pause is how long the server asked to be left alone.
	Pause time.Duration
	Load  *Load
}

// hasFreeSlot reports whether a server says that it could run another request: one that refuses
// nevertheless does so regardless of its load.
func (l *Load) hasFreeSlot() bool { return l != nil && l.Waiting == 0 && l.Running < l.Slots }

const (
	// lastingWeight is the weight of a sample in the lasting speed and in the usual slowdown:
	// the work of single requests varies by more than the speeds of servers.
	lastingWeight = 0.1
	// lastingHalfLife is the age at which a lasting speed counts half: a server that gets no
	// requests because it was slow is tried again.
	lastingHalfLife = 20 * time.Second
	// slowdownHalfLife is the age at which a reported slowdown counts half. It is the length
	// of a slow spell.
	slowdownHalfLife = 400 * time.Millisecond
	// othersHalfLife is the age at which the requests of hosts that ask elsewhere count half.
	othersHalfLife = 300 * time.Millisecond
	// Bounds of a single sample, relative to the expected work.
	minSpeedSample, maxSpeedSample = 0.1, 10.0
	minSlowdown, maxSlowdown       = 0.1, 20.0
	failureWeight                  = 0.2
	failureHalfLife                = 3 * time.Second
	// failureCost is the cost of a server all of whose requests fail.
	failureCost = 400 * time.Millisecond
	// overdueShare is how many times its expected time a request may take before its server
	// counts as slower by what exceeds it: the work of single requests varies.
	overdueShare = 2.5
	// maxPause bounds the pause that one answer can bring about.
	maxPause = 5 * time.Second
)

// Server is the model of one process of a backend server. It is not safe for concurrent use.
type Server struct {
	slots int
	// factor is the lasting service time relative to the mean of its service, without
	// momentary slowdowns.
	factor   float64
	factorAt time.Time
	// usual is the mean of the reported slowdowns, slowdown the last one.
	usual, slowdown float64
	slowdownAt      time.Time
	// others are the requests at the server that were not sent by way of this model.
	others     float64
	othersAt   time.Time
	failures   float64
	failuresAt time.Time
	pausedTill time.Time
	refusals   refusalLimit
	// flights are the requests in progress.
	flights []flight
}

// flight is a request in progress.
type flight struct {
	id       permit.ID
	sent     time.Time
	expected time.Duration
}

// NewServer returns the model of an idle server of mean speed. Less than one slot counts as one.
func NewServer(slots int) *Server {
	return &Server{slots: max(slots, 1), factor: 1, usual: 1, slowdown: 1}
}

// weightAt returns the weight of a value of the given age, from 1 down to 0.
func weightAt(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// Lasting returns the service time of the server relative to the mean of its service, without
// momentary slowdowns.
func (s *Server) Lasting(now time.Time) float64 {
	return 1 + (s.factor-1)*weightAt(now.Sub(s.factorAt), lastingHalfLife)
}

// Slowdown returns the momentary slowdown that is to be expected now.
func (s *Server) Slowdown(now time.Time) float64 {
	return s.usual + (s.slowdown-s.usual)*weightAt(now.Sub(s.slowdownAt), slowdownHalfLife)
}

// Work returns the expected work of a request whose mean over all servers is mean.
func (s *Server) Work(now time.Time, mean time.Duration) time.Duration {
	return time.Duration(s.overdue(now) * s.Lasting(now) * s.Slowdown(now) * float64(mean))
}

// overdue returns by how much the requests in progress show that the server is slower than
// expected: a server that stalls gives no answers that could tell.
func (s *Server) overdue(now time.Time) float64 {
	most := 1.0
	for _, f := range s.flights {
		most = math.Max(most, float64(now.Sub(f.sent))/(overdueShare*float64(max(f.expected, time.Millisecond))))
	}
	return math.Min(most, maxSlowdown)
}

// FailureRate returns the recent share of failed requests.
func (s *Server) FailureRate(now time.Time) float64 {
	return s.failures * weightAt(now.Sub(s.failuresAt), failureHalfLife)
}

// InProgress returns the expected number of requests at the server.
func (s *Server) InProgress(now time.Time) float64 {
	return float64(len(s.flights)) + s.others*weightAt(now.Sub(s.othersAt), othersHalfLife)
}

// Slots returns how many requests the server is assumed to run at once: fewer than it has
// slots after it refused some.
func (s *Server) Slots(now time.Time) int { return s.refusals.slots(now, s.slots) }

// hasRoom reports whether the server may be sent another request.
func (s *Server) hasRoom(now time.Time) bool {
	n := s.Slots(now)
	return s.InProgress(now) < float64(n+max(1, n/2)) && !s.paused(now)
}

func (s *Server) paused(now time.Time) bool { return now.Before(s.pausedTill) }

// FinishTime returns the expected time until the server has answered a request that is sent
// now. mean is the mean work of such requests over all servers, queued that of the requests
// ahead of it.
func (s *Server) FinishTime(now time.Time, mean, queued time.Duration) time.Duration {
	ahead := s.InProgress(now) + 1 - float64(s.Slots(now))
	wait := time.Duration(math.Max(ahead, 0) / float64(s.Slots(now)) * float64(s.Work(now, queued)))
	return wait + s.Work(now, mean) + time.Duration(s.FailureRate(now)*float64(failureCost))
}

func (s *Server) sent(now time.Time, id permit.ID, expected time.Duration) {
	s.flights = append(s.flights, flight{id, now, expected})
}

// done records the end of a request; mean is the mean work of such requests at usual speed.
func (s *Server) done(now time.Time, id permit.ID, o Outcome, mean time.Duration) {
	s.flights = slices.DeleteFunc(s.flights, func(f flight) bool { return f.id == id })
	if o.Load != nil {
		s.recordLoad(now, *o.Load)
	}
	if o.Refused && !o.Load.hasFreeSlot() {
		s.refusals.record(now, len(s.flights))
	}
	if o.Pause > 0 {
		s.pausedTill = now.Add(min(o.Pause, maxPause))
	}
	if o.Work > 0 || o.Failed || o.Refused {
		s.recordFailure(now, o.Failed || o.Refused)
	}
	if o.Work > 0 && mean > 0 {
		sample := float64(o.Work) / float64(mean) / s.reportedSlowdown(o.Load)
		s.factor = s.Lasting(now) + lastingWeight*(clamp(sample, minSpeedSample, maxSpeedSample)-s.Lasting(now))
		s.factorAt = now
	}
}

// reportedSlowdown returns the slowdown during a request whose answer reported l.
func (s *Server) reportedSlowdown(l *Load) float64 {
	if l == nil || l.Slowdown <= 0 {
		return 1
	}
	return clamp(l.Slowdown, minSlowdown, maxSlowdown)
}

func (s *Server) recordLoad(now time.Time, l Load) {
	if l.Slots > 0 {
		s.slots = l.Slots
	}
	at := now.Add(-max(l.Age, 0))
	if at.Before(s.othersAt) {
		return // a later report arrived first
	}
	s.others, s.othersAt = math.Max(0, float64(l.Running+l.Waiting-len(s.flights))), at
	if l.Slowdown > 0 {
		s.slowdown, s.slowdownAt = clamp(l.Slowdown, minSlowdown, maxSlowdown), at
		s.usual += lastingWeight * (s.slowdown - s.usual)
	}
}

func (s *Server) recordFailure(now time.Time, failed bool) {
	rate, sample := s.FailureRate(now), 0.0
	if failed {
		sample = 1
	}
	s.failures, s.failuresAt = rate+failureWeight*(sample-rate), now
}

func clamp(x, low, high float64) float64 { return math.Min(math.Max(x, low), high) }
