package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/command"
)

// handOverWait bounds the wait for requests in flight before the dispatcher role is
// handed over. Longer ones continue: the backend server still holds their slices.
const handOverWait = 300 * time.Millisecond

// handingOver reports whether this host is handing the dispatcher role over; s.mu is held.
func (s *server) handingOver() bool { return s.active && (s.record.NextDispatcher != "" || s.stopping) }

// beginHandOver records the time from which no new request is sent, and makes queued
// requests check again, so that they return to their entry hosts; s.mu is held.
func (s *server) beginHandOver(now time.Time) {
	if !s.handingOver() {
		s.handOverSince = time.Time{}
		return
	}
	if s.handOverSince.IsZero() {
		s.handOverSince = now
		s.requeue()
	}
}

// handOverReport returns the report that this host no longer sends requests to the
// server, or nil while it still may; s.mu is held.
func (s *server) handOverReport(now time.Time) *command.HandedOver {
	if !s.handingOver() || (s.totalInFlight > 0 && now.Sub(s.handOverSince) < handOverWait) {
		return nil
	}
	return &command.HandedOver{Service: s.key.service, Backend: s.key.name, From: s.dispatcher.cfg.Host, Limit: s.admission.Limit(now)}
}

// HandOver hands over all dispatcher roles for which the end of the session need not
// be awaited: those for backend servers that check orders. It returns when
// the control group has recorded the handovers, or when ctx ends.
func (d *Dispatcher) HandOver(ctx context.Context) {
	d.mu.Lock()
	servers := make([]*server, 0, len(d.servers))
	for _, s := range d.servers {
		servers = append(servers, s)
	}
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() { s.stopAndHandOver(ctx) })
	}
	wg.Wait()
}

func (s *server) stopAndHandOver(ctx context.Context) {
	s.mu.Lock()
	now := s.dispatcher.cfg.Clock.Now()
	if !s.active || s.record.Lost || !s.record.ChecksOrders {
		s.mu.Unlock()
		return
	}
	s.stopping = true
	s.beginHandOver(now)
	s.wakeRequests()
	report := &command.HandedOver{Service: s.key.service, Backend: s.key.name, From: s.dispatcher.cfg.Host, Limit: s.admission.Limit(now)}
	s.mu.Unlock()
	// On failure, the standby takes over when the session ends.
	_, _ = s.dispatcher.cfg.Propose(ctx, &command.Command{HandedOver: report})
}
