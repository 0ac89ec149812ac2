package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/forward"
	"github.com/agatestep/agatestep/internal/limit"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
)

type serverKey struct{ service, name string }

func (k serverKey) String() string { return k.service + "/" + k.name }

// leaseNumberBits leaves room for lapses between two lease numbers that start
// from the epochs of two dispatchers, so that a later dispatcher's are higher.
const leaseNumberBits = 20

// sentAs is what the server was told of a request: its key hash, and the start of the slice
// that held it then.
type sentAs struct{ hash, slice uint64 }

// server is the state of one backend server on its dispatcher.
type server struct {
	d    *Dispatcher
	key  serverKey
	kick chan struct{} // wakes the order loop

	mu      sync.Mutex
	active  bool          // false once another host is the dispatcher
	changed chan struct{} // closed and replaced when waiting requests should check again
	file    *service.File
	rec     table.Backend
	slices  []table.Slice
	lease   lease
	takenAt time.Time // when this host took over this incarnation
	leaving bool
	// stopping is set when this process stops; handOverSince is when the server
	// stopped getting new requests because its dispatcher changes.
	stopping      bool
	handOverSince time.Time

	confirmed  orderState
	settled    bool      // the order loop has nothing to do until the next change
	mustRead   bool      // a non-checking server is read back before the first order
	orderGap   time.Time // no order is sent before
	proposing  bool
	proposeGap time.Time // no proposal is made before

	inFlight  map[sentAs]int // requests sent and not ended
	total     int
	admission *limit.Admission
	waiters   map[uint64]chan waitResult
	pending   int
	counts    counts

	traffic *http.Transport
	control *http.Client
	stop    context.CancelFunc
}

type waitResult uint8

const (
	waitRun waitResult = iota + 1
	waitExpired
	waitAgain
)

func newServer(d *Dispatcher, key serverKey) *server {
	ctx, stop := context.WithCancel(d.ctx)
	s := &server{d: d, key: key, kick: make(chan struct{}, 1), changed: make(chan struct{}),
		inFlight: map[sentAs]int{}, waiters: map[uint64]chan waitResult{}, counts: newCounts(), stop: stop}
	go s.loop(ctx)
	return s
}

// apply takes over what the table says of the server.
func (s *server) apply(file *service.File, rec table.Backend, slices []table.Slice, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.rec
	first := !s.active
	s.active, s.file, s.rec, s.slices, s.settled = true, file, rec, slices, false
	if first {
		s.lease.number = max(s.lease.number, rec.Epoch<<leaseNumberBits)
	}
	if first || old.Incarnation != rec.Incarnation || (old.Lost && !rec.Lost) {
		s.restart(now)
	} else if old.Slots != rec.Slots || old.Address != rec.Address {
		s.resize(now)
	}
	if first && rec.WarmLimit > 0 {
		s.admission.Resume(now, rec.WarmLimit)
	}
	s.beginHandOver(now)
	s.notify()
	s.wake()
}

// restart forgets what was known of an earlier incarnation.
func (s *server) restart(now time.Time) {
	s.lease.granted = false
	s.lease.number++
	s.takenAt = now
	s.leaving = false
	s.confirmed = orderState{}
	s.mustRead = !s.rec.ChecksOrders
	s.resize(now)
}

// resize replaces the connections and the admission; queued requests queue again.
func (s *server) resize(now time.Time) {
	s.closeIdle()
	s.admission = limit.New(s.limits(), now)
	s.requeue()
	cost := s.file.Backend.ConnectionCost
	// One of the announced connections is kept for orders.
	s.traffic = forward.NewTransport(forward.TransportConfig{MaxConns: max(s.rec.Connections-1, 1),
		OpenInterval: cost, DialTimeout: time.Second, IdleTimeout: time.Minute, RefusalsRepeat: true})
	s.control = &http.Client{Transport: forward.NewTransport(forward.TransportConfig{MaxConns: 1,
		OpenInterval: cost, DialTimeout: s.d.cfg.OrderTimeout, IdleTimeout: time.Minute})}
}

// requeue makes queued requests check again whether they may run; s.mu is held.
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

// deactivate ends the role. Requests in flight go on to their end.
func (s *server) deactivate() {
	s.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = false
	s.notify()
	s.closeIdle()
}

// notify lets waiting requests check again; s.mu is held.
func (s *server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wake makes the order loop run; it never blocks.
func (s *server) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// sweep looks for a lapsed lease and for queued requests whose time has come.
func (s *server) sweep(now, grace time.Time, sessionValid bool) {
	s.mu.Lock()
	s.pump(now)
	s.learn()
	silent := sessionValid && s.silent(now, grace)
	s.mu.Unlock()
	if silent {
		s.proposeLost()
	}
	s.wake()
}

// missedAnnouncements is how many intervals a backend server without a lease may
// stay silent after its dispatcher changed. It announces itself to any host once
// its dispatcher is gone, so a live one is heard within two.
const missedAnnouncements = 3

// takeoverPatience is how long a new dispatcher waits for the first announcement.
// A lease of the dispatcher before may go on unless that one's session expired.
func (s *server) takeoverPatience() time.Duration {
	if s.rec.LeaseOver {
		return missedAnnouncements * s.d.cfg.AnnounceInterval
	}
	return scale(s.d.cfg.BackendLeaseTTL, 1+s.d.cfg.MaxClockDrift)
}

// silent reports whether the lease is surely over and the server had a full
// lease period to announce itself to this host; s.mu is held.
func (s *server) silent(now, grace time.Time) bool {
	if !s.active || s.rec.Lost {
		return false
	}
	drift := s.d.cfg.MaxClockDrift
	end := grace.Add(scale(s.d.cfg.BackendLeaseTTL, 1+drift))
	if s.lease.granted {
		if over := s.lease.surelyOver(drift); over.After(end) {
			end = over
		}
	} else if since := s.takenAt.Add(s.takeoverPatience()); since.After(end) {
		end = since
	}
	return now.After(end)
}
