package gateway

import (
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/backlog"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/table"
)

// server is what this host knows of one process of a backend server.
type server struct {
	mu      sync.Mutex
	backlog *backlog.Server
	// outlook is what the host that keeps the server's queue refused.
	outlook permit.Outlook
	// down is until when the server is not tried, after connections failed.
	down time.Time
	// pausedUntil is until when the server wants no requests from this host.
	pausedUntil time.Time
	// lateOpenings counts the connections in a row that took too long to open.
	lateOpenings int
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

// downFor is how long a server that cannot be reached is left alone. Its keys
// move when its lease ends; it is tried again in between, because the path to it
// may have been broken for a moment only.
const downFor = 400 * time.Millisecond

func (s *server) unreachable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = now.Add(downFor)
}

// maxLateOpenings is the number of late connections in a row after which a server counts
// as unreachable. One alone may be late by chance, and all callers of the server's keys
// are refused while it counts so.
const maxLateOpenings = 2

// late notes that a connection took too long to open.
func (s *server) late(now time.Time) {
	s.mu.Lock()
	s.lateOpenings++
	lost := s.lateOpenings >= maxLateOpenings
	s.mu.Unlock()
	if lost {
		s.unreachable(now)
	}
}

// isDown returns how long the server is still left alone.
func (s *server) isDown(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down.Sub(now), now.Before(s.down)
}

// pause notes that the server asked for a pause. A later answer to an earlier request does
// not shorten it.
func (s *server) pause(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// paused returns how long the server still wants no requests, or zero.
func (s *server) paused(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.pausedUntil.Sub(now), 0)
}

// serviceTimes are the usual times of the requests of one service, by route.
type serviceTimes struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

const (
	// initialService is assumed before the first answer of a route.
	initialService = 80 * time.Millisecond
	serviceWeight  = 0.05
)

func (g *Gateway) times(service string) *serviceTimes {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.services[service]
	if t == nil {
		t = &serviceTimes{means: map[string]time.Duration{}}
		g.services[service] = t
	}
	return t
}

func (t *serviceTimes) mean(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.means[route]; ok {
		return m
	}
	return initialService
}

func (t *serviceTimes) add(route string, sample time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.means[route]
	if !ok {
		m = initialService
	}
	t.means[route] = m + time.Duration(serviceWeight*float64(sample-m))
}
