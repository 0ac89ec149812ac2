package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/wire"
)

const (
	maxReplyBytes = 64 << 10
	// maxInterval bounds the interval that a reply may ask for.
	maxInterval = 10 * time.Second
)

// announcer chooses the targets of announcements. Only announceLoop uses it.
type announcer struct {
	entries    []string
	nextEntry  int
	dispatcher string // AnnounceTo of the last reply
}

// targets returns the addresses to try, in order: the dispatcher named by the last
// reply, then every entry host, starting with the one that answered last.
func (a *announcer) targets() []string {
	var targets []string
	if a.dispatcher != "" {
		targets = append(targets, a.dispatcher)
	}
	for i := range a.entries {
		entry := a.entries[(a.nextEntry+i)%len(a.entries)]
		if entry != a.dispatcher {
			targets = append(targets, entry)
		}
	}
	return targets
}

// recordReply records which target answered and the dispatcher that it named.
func (a *announcer) recordReply(target, dispatcher string) {
	a.dispatcher = dispatcher
	if i := slices.Index(a.entries, target); i >= 0 {
		a.nextEntry = i
	}
}

func (s *Server) announceLoop() {
	a := &announcer{entries: s.config.Entries}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.stopped.Done():
			return
		case <-s.announceNow:
		case <-timer.C:
		}
		began := time.Now()
		interval := s.announceOnce(a)
		timer.Reset(max(interval-time.Since(began), 0))
	}
}

// announceOnce tries the targets until one answers, and returns the time until
// the next announcement.
func (s *Server) announceOnce(a *announcer) time.Duration {
	for _, target := range a.targets() {
		s.gate.waitOpen(s.stopped.Done())
		if s.stopped.Err() != nil || s.currentFaults().MuteAnnouncements {
			return s.config.Interval
		}
		announcement, sent := s.newAnnouncement()
		reply, err := s.sendAnnouncement(target, announcement)
		// A frozen process reads the reply only after it resumes.
		s.gate.waitOpen(s.stopped.Done())
		if err != nil {
			continue
		}
		a.recordReply(target, reply.AnnounceTo)
		s.applyReply(announcement.Leaving, sent, reply)
		if reply.IntervalMs > 0 {
			return min(time.Duration(reply.IntervalMs)*time.Millisecond, maxInterval)
		}
		return s.config.Interval
	}
	a.dispatcher = ""
	return s.config.Interval
}

// newAnnouncement returns an announcement and the clock reading that its lease
// counts from.
func (s *Server) newAnnouncement() (wire.Announcement, time.Duration) {
	load := s.reportedLoad()
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.now()
	return wire.Announcement{
		Backend: s.config.Backend, Service: s.config.Service, Incarnation: s.fence.incarnation,
		DataCentre: s.config.DataCentre, Address: s.Addr(), Slots: s.config.Slots, Connections: s.config.Connections,
		ChecksOrders: s.config.ChecksOrders, ClockMs: sent.Milliseconds(), Epoch: s.fence.order.Epoch,
		Leaving: s.leaving, Load: &load,
	}, sent
}

func (s *Server) sendAnnouncement(target string, announcement wire.Announcement) (wire.AnnounceReply, error) {
	var reply wire.AnnounceReply
	body, err := json.Marshal(announcement)
	if err != nil {
		return reply, errors.Annotate(err, "encoding an announcement")
	}
	ctx, cancel := context.WithTimeout(s.stopped, s.config.AnnounceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+wire.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return reply, errors.Annotate(err, "building an announcement")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return reply, errors.Annotate(err, "announcing")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return reply, errors.Errorf("announcing to %s: status %d", target, response.StatusCode)
	}
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxReplyBytes)).Decode(&reply)
	return reply, errors.Annotate(err, "reading the reply to an announcement")
}

func (s *Server) applyReply(leaving bool, sent time.Duration, reply wire.AnnounceReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence.renew(sent, s.now(), reply)
	if !leaving {
		return
	}
	if !s.leavingAcked {
		s.leavingAcked, s.leavingAckedAt = true, s.now()
	}
	s.released = reply.LeaseMs == 0
}

// loadSample is the load at a reading of the server's clock.
type loadSample struct {
	at   time.Duration
	load wire.LoadReport
}

// reportedLoad returns the load report: the newest sample that is at least
// ReportLag old, or that of an idle server while LieLoad is on.
func (s *Server) reportedLoad() wire.LoadReport {
	running, queued := s.slotPool.load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LieLoad {
		return wire.LoadReport{}
	}
	now := s.now()
	s.loadSamples = append(s.loadSamples, loadSample{now, wire.LoadReport{InFlight: running, Queued: queued}})
	oldest := now - s.config.ReportLag
	for len(s.loadSamples) > 1 && s.loadSamples[1].at <= oldest {
		s.loadSamples = s.loadSamples[1:]
	}
	report := s.loadSamples[0].load
	report.AgeMs = (now - s.loadSamples[0].at).Milliseconds()
	return report
}

// Drain announces that the server is leaving and goes on serving until its
// dispatcher has released it and no request is in flight. It returns an error if
// ctx is done earlier. The caller closes the server afterwards.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	select {
	case s.announceNow <- struct{}{}:
	default:
	}
	poll := time.NewTicker(max(s.config.Interval/4, time.Millisecond))
	defer poll.Stop()
	for !s.drained() {
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "draining")
		case <-poll.C:
		}
	}
	return nil
}

// drained reports whether no request is in flight and none is expected: the
// dispatcher granted no further lease, revoked every slice, or sent no request
// for DrainQuiet; or the lease has expired.
func (s *Server) drained() bool {
	running, queued := s.slotPool.load()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if running+queued+s.executing > 0 {
		return false
	}
	if now >= s.fence.leaseUntil {
		return true
	}
	if !s.leavingAcked {
		return false
	}
	emptied := s.fence.order.Keyed && len(s.fence.ranges) == 0
	quiet := !s.fence.order.Keyed && now-max(s.leavingAckedAt, s.lastRequestStart) >= s.config.DrainQuiet
	return s.released || emptied || quiet
}
