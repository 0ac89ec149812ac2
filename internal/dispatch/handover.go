package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/command"
)

// handOverWait bounds the wait for requests in flight before the role is handed
// over. Longer ones go on: the backend server still holds their slices.
const handOverWait = 300 * time.Millisecond

// handingOver reports whether this host is to give the role up; s.mu is held.
func (s *server) handingOver() bool { return s.active && (s.rec.NextDispatcher != "" || s.stopping) }

// beginHandOver notes since when nothing is sent, and lets queued requests go
// back to their entry hosts; s.mu is held.
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

// handedOver returns the report that this host sends nothing more to the server,
// or nil while that is not so; s.mu is held.
func (s *server) handedOver(now time.Time) *command.HandedOver {
	if !s.handingOver() || (s.total > 0 && now.Sub(s.handOverSince) < handOverWait) {
		return nil
	}
	return &command.HandedOver{Service: s.key.service, Backend: s.key.name, From: s.d.cfg.Host, Limit: s.admission.Limit(now)}
}

// HandOver gives all roles up that can be handed over without waiting for the end
// of the session: those for backend servers that check orders. It returns when
// the control group has recorded that, or when ctx ends.
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
	now := s.d.cfg.Clock.Now()
	if !s.active || s.rec.Lost || !s.rec.ChecksOrders {
		s.mu.Unlock()
		return
	}
	s.stopping = true
	s.beginHandOver(now)
	s.notify()
	report := &command.HandedOver{Service: s.key.service, Backend: s.key.name, From: s.d.cfg.Host, Limit: s.admission.Limit(now)}
	s.mu.Unlock()
	// A failure is no loss: the standby takes over when the session ends.
	_, _ = s.d.cfg.Propose(ctx, &command.Command{HandedOver: report})
}
