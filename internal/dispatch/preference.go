package dispatch

import (
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/limit"
	"github.com/agatestep/agatestep/internal/service"
)

// maxWaitFactor is the longest wait in a queue, in usual latencies, for services
// that prefer tail latency: a request that would wait longer behind a straggler is
// refused at once as not run. docs/measurements.md compares both preferences.
const maxWaitFactor = 5

// limits returns the admission settings of the server; s.mu is held.
func (s *server) limits() limit.Config {
	return limit.Config{
		Slots: s.rec.Slots, ColdLimit: s.file.ColdStart.Limit, Ramp: s.file.ColdStart.Ramp,
		QueueLen: s.d.cfg.QueueLen, Typical: s.d.typical.of(s.key.service),
	}
}

// learn shares the usual latency of the server with others of its service, which
// then know a slow start when they see one; s.mu is held.
func (s *server) learn() {
	latency, known := s.admission.Typical()
	if !known {
		return
	}
	s.d.typical.set(s.key.service, latency)
	if s.file.Prefer == service.PreferTailLatency {
		s.admission.SetMaxWait(maxWaitFactor * latency)
	} else {
		s.admission.SetMaxWait(0)
	}
}

// latencies is the usual latency by service.
type latencies struct {
	mu        sync.Mutex
	byService map[string]time.Duration
}

func (l *latencies) of(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byService[service]
}

func (l *latencies) set(service string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byService[service] = latency
}
