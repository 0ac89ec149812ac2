package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/forward"
	"github.com/agatestep/agatestep/internal/httpanswer"
	"github.com/agatestep/agatestep/internal/limit"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
)

type serverKey struct{ service, name string }

func (k serverKey) String() string { return k.service + "/" + k.name }

// leaseNumberBits is the number of low bits of a lease number that count lapses. Lease
// numbers of a dispatcher start from its epoch, shifted left by these bits, so that
// those of a later dispatcher are higher.
const leaseNumberBits = 20

// inFlightKey identifies requests by their key hash and the start of the slice that was
// stated when they were sent.
type inFlightKey struct{ hash, slice uint64 }

// server is the state of one backend server on its dispatcher.
type server struct {
	dispatcher *Dispatcher
	key        serverKey
	wakeup     chan struct{} // wakes the order loop

	mu          sync.Mutex
	active      bool          // false once another host is the dispatcher
	changed     chan struct{} // closed and replaced when waiting requests must check again
	file        *service.File
	record      table.Backend
	slices      []table.Slice
	lease       lease
	takenOverAt time.Time // when this host took over this incarnation
	leaving     bool
	// stopping is set when this process stops. handOverSince is the time from which
	// the server gets no new requests because its dispatcher changes.
	stopping      bool
	handOverSince time.Time

	confirmed        orderState
	settled          bool      // the order loop has nothing to do until the next change
	mustReadBack     bool      // a non-checking server is read back before the first order
	orderNotBefore   time.Time // no order is sent before
	proposing        bool
	proposeNotBefore time.Time // no proposal is made before

	inFlight             map[inFlightKey]int // requests sent and not ended
	totalInFlight        int
	admission            *limit.Admission
	waiters              map[uint64]chan waitResult
	awaitingConfirmation int
	load                 load

	traffic *httpanswer.Transport
	control *http.Client
	cancel  context.CancelFunc
}

// waitResult is the end of a wait in the queue.
type waitResult uint8

const (
	waitRun     waitResult = iota + 1 // the request may run
	waitExpired                       // it can no longer meet its deadline
	waitAgain                         // it must be offered again
)

func newServer(d *Dispatcher, key serverKey) *server {
	ctx, stop := context.WithCancel(d.ctx)
	s := &server{dispatcher: d, key: key, wakeup: make(chan struct{}, 1), changed: make(chan struct{}),
		inFlight: map[inFlightKey]int{}, waiters: map[uint64]chan waitResult{}, load: newLoad(), cancel: stop}
	go s.orderLoop(ctx)
	return s
}

// applyTable updates the server from the table.
func (s *server) applyTable(file *service.File, rec table.Backend, slices []table.Slice, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.record
	first := !s.active
	s.active, s.file, s.record, s.slices, s.settled = true, file, rec, slices, false
	if first {
		s.lease.number = max(s.lease.number, rec.Epoch<<leaseNumberBits)
	}
	if first || old.Incarnation != rec.Incarnation || (old.Lost && !rec.Lost) {
		s.restart(now)
	} else if old.Slots != rec.Slots || old.Address != rec.Address {
		s.resetConnectionsAndAdmission(now)
	}
	if first && rec.WarmLimit > 0 {
		s.admission.Resume(now, rec.WarmLimit)
	}
	s.beginHandOver(now)
	s.wakeRequests()
	s.wakeOrderLoop()
}

// restart resets the state that belongs to an earlier incarnation; s.mu is held.
func (s *server) restart(now time.Time) {
	s.lease.granted = false
	s.lease.number++
	s.takenOverAt = now
	s.leaving = false
	s.confirmed = orderState{}
	s.mustReadBack = !s.record.ChecksOrders
	s.resetConnectionsAndAdmission(now)
}

// resetConnectionsAndAdmission replaces the connections and the admission; queued requests queue again.
// s.mu is held.
func (s *server) resetConnectionsAndAdmission(now time.Time) {
	s.closeIdle()
	s.admission = limit.New(s.admissionConfig(), now)
	s.requeue()
	cost := s.file.Backend.ConnectionCost
	// One of the announced connections is kept for orders.
	s.traffic = forward.NewTransport(forward.TransportConfig{MaxConns: max(s.record.Connections-1, 1),
		OpenInterval: cost, DialTimeout: time.Second, IdleTimeout: time.Minute, MayRepeatRefusals: true})
	s.control = &http.Client{Transport: forward.NewTransport(forward.TransportConfig{MaxConns: 1,
		OpenInterval: cost, DialTimeout: s.dispatcher.cfg.OrderTimeout, IdleTimeout: time.Minute})}
}

// requeue makes all queued requests check again whether they may run; s.mu is held.
func (s *server) requeue() {
	for id, w := range s.waiters {
		s.admission.Cancel(id)
		w <- waitAgain
		delete(s.waiters, id)
	}
}

func (s *server) closeIdle() {
	if s.traffic != nil {
		s.traffic.CloseIdleConnections()
		s.control.CloseIdleConnections()
	}
}

// deactivate ends the dispatcher role for the server. Requests in flight continue.
func (s *server) deactivate() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = false
	s.wakeRequests()
	s.closeIdle()
}

// wakeRequests makes waiting requests check again; s.mu is held.
func (s *server) wakeRequests() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wakeOrderLoop makes the order loop run; it never blocks.
func (s *server) wakeOrderLoop() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// sweep proposes the loss of a silent server and resolves queued requests.
func (s *server) sweep(now, silenceFrom time.Time, sessionValid bool) {
	s.mu.Lock()
	s.resolveQueued(now)
	s.shareTypicalLatency()
	lost := sessionValid && s.isSilent(now, silenceFrom)
	s.mu.Unlock()
	if lost {
		s.proposeLost()
	}
	s.wakeOrderLoop()
}

// missedAnnouncements is the number of announcement intervals for which a backend
// server without a lease may stay silent after its dispatcher changed. It announces
// itself to any host once its dispatcher is gone, so a live one is heard within two.
const missedAnnouncements = 3

// takeoverWait returns how long a new dispatcher waits for the first announcement.
// A lease from the previous dispatcher may still be valid unless that one's session
// expired.
func (s *server) takeoverWait() time.Duration {
	if s.record.LeaseOver {
		return missedAnnouncements * s.dispatcher.cfg.AnnounceInterval
	}
	return scale(s.dispatcher.cfg.BackendLeaseTTL, 1+s.dispatcher.cfg.MaxClockDrift)
}

// isSilent reports whether the lease has expired on any clock and the server had a
// full lease period to announce itself to this host; s.mu is held.
func (s *server) isSilent(now, silenceFrom time.Time) bool {
	if !s.active || s.record.Lost {
		return false
	}
	drift := s.dispatcher.cfg.MaxClockDrift
	end := silenceFrom.Add(scale(s.dispatcher.cfg.BackendLeaseTTL, 1+drift))
	if s.lease.granted {
		if leaseEnd := s.lease.latestEnd(drift); leaseEnd.After(end) {
			end = leaseEnd
		}
	} else if takeoverEnd := s.takenOverAt.Add(s.takeoverWait()); takeoverEnd.After(end) {
		end = takeoverEnd
	}
	return now.After(end)
}
