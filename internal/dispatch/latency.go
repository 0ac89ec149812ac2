package dispatch

import (
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/limit"
	"github.com/agatestep/agatestep/internal/service"
)

// maxWaitFactor is the maximum wait in a queue, as a multiple of the typical latency,
// for services that prefer tail latency: a request that would wait longer behind a
// straggler is refused at once as not run. docs/measurements.md compares both
// preferences.
const maxWaitFactor = 5

// admissionConfig returns the admission settings of the server; s.mu is held.
func (s *server) admissionConfig() limit.Config {
	return limit.Config{
		Slots: s.record.Slots, ColdLimit: s.file.ColdStart.Limit, Ramp: s.file.ColdStart.Ramp,
		QueueLen: s.dispatcher.cfg.QueueLen, TypicalLatency: s.dispatcher.typicalLatencies.get(s.key.service),
	}
}

// shareTypicalLatency makes the typical latency of the server known to others of its
// service, which then can tell a cold start by it, and updates the maximum wait;
// s.mu is held.
func (s *server) shareTypicalLatency() {
	latency, known := s.admission.TypicalLatency()
	if !known {
		return
	}
	s.dispatcher.typicalLatencies.set(s.key.service, latency)
	if s.file.Prefer == service.PreferTailLatency {
		s.admission.SetMaxWait(maxWaitFactor * latency)
	} else {
		s.admission.SetMaxWait(0)
	}
}

// latencies holds the typical latency of each service.
type latencies struct {
	mu        sync.Mutex
	byService map[string]time.Duration
}

func (l *latencies) get(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byService[service]
}

func (l *latencies) set(service string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byService[service] = latency
}
