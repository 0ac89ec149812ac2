package gateway

import (
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/backlog"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/table"
)

// server is what this host knows about one process of a backend server.
type server struct {
	mu      sync.Mutex
	backlog *backlog.Server
	// refusals remembers what the server's permit host refused.
	refusals permit.RefusalCache
	// downUntil is when the server may be tried again after connections failed.
	downUntil time.Time
	// pausedUntil is the end of the pause that the server asked this host for.
	pausedUntil time.Time
	// slowDials counts the consecutive connections that took too long to open.
	slowDials int
	presence  presence
}

func (g *Gateway) server(b *table.Backend) *server {
	key := keyOf(b)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[key]
	if s == nil {
		s = &server{backlog: backlog.New(b.Slots)}
		g.servers[key] = s
	}
	return s
}

func (s *server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backlog.InFlight() == 0
}

// downDuration is how long no requests are sent to a server that cannot be reached. Its
// keys move when its lease ends; it is tried again before that, because the path to it may
// have been broken only briefly.
const downDuration = 400 * time.Millisecond

func (s *server) markDown(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = now.Add(downDuration)
}

// maxSlowDials is the number of consecutive slow dials after which a server counts as
// unreachable. A single one may be slow by chance, and all callers of the server's keys are
// refused while it is marked down.
const maxSlowDials = 2

// recordSlowDial records that a connection took too long to open.
func (s *server) recordSlowDial(now time.Time) {
	s.mu.Lock()
	s.slowDials++
	tooMany := s.slowDials >= maxSlowDials
	s.mu.Unlock()
	if tooMany {
		s.markDown(now)
	}
}

// downTimeLeft returns how long the server stays marked down, and whether it is.
func (s *server) downTimeLeft(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.downUntil.Sub(now), now.Before(s.downUntil)
}

// pauseUntil records that the server asked for a pause. A later response to an earlier
// request does not shorten it.
func (s *server) pauseUntil(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// pauseLeft returns how long the pause that the server asked for still lasts, or zero.
func (s *server) pauseLeft(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.pausedUntil.Sub(now), 0)
}

// serviceTimes holds the mean service times of the requests of one service, by route.
type serviceTimes struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

const (
	// initialServiceTime is assumed before the first response of a route.
	initialServiceTime = 80 * time.Millisecond
	serviceTimeWeight  = 0.05
)

func (g *Gateway) serviceTimesOf(service string) *serviceTimes {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.timesByService[service]
	if t == nil {
		t = &serviceTimes{means: map[string]time.Duration{}}
		g.timesByService[service] = t
	}
	return t
}

func (t *serviceTimes) mean(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.means[route]; ok {
		return m
	}
	return initialServiceTime
}

func (t *serviceTimes) add(route string, sample time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.means[route]
	if !ok {
		m = initialServiceTime
	}
	t.means[route] = m + time.Duration(serviceTimeWeight*float64(sample-m))
}
