package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"time"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/wire"
)

const (
	maxAnnouncementBytes = 64 << 10
	// shortAnnounceInterval is the announcement interval that a backend server is
	// told while a change of its state is in progress.
	shortAnnounceInterval = 20 * time.Millisecond
	// takeoverHold bounds the time for which a new dispatcher holds requests back
	// while those of the old one are in flight: a cold server could not handle both.
	// Most of them end within it, and it keeps the recovery below 3 s.
	takeoverHold = 300 * time.Millisecond
)

// Announce handles an announcement of a backend server whose dispatcher is this
// host, and grants or renews its lease. A reply without a lease states the reason.
func (d *Dispatcher) Announce(_ context.Context, a wire.Announcement) wire.AnnounceReply {
	now := d.cfg.Clock.Now()
	s := d.server(serverKey{a.Service, a.Backend})
	if s == nil {
		return d.noLease(shortAnnounceInterval, fmt.Sprintf("host %s is not the dispatcher of %s/%s", d.cfg.Host, a.Service, a.Backend))
	}
	left := d.cfg.SessionValidUntil().Sub(now)
	ttl := min(d.cfg.BackendLeaseTTL, scale(left, 1-d.cfg.MaxClockDrift)).Truncate(time.Millisecond)
	if ttl <= 0 {
		return d.noLease(shortAnnounceInterval, "the session of the dispatcher is not valid")
	}
	reply := s.handleAnnouncement(a, now, ttl)
	if host := d.cfg.Tables().Host(d.cfg.Host); host != nil {
		reply.AnnounceTo = host.BackendsAddress
	}
	return reply
}

// noLease returns a reply that grants no lease and asks for the next announcement
// after interval.
func (d *Dispatcher) noLease(interval time.Duration, reason string) wire.AnnounceReply {
	return wire.AnnounceReply{IntervalMs: interval.Milliseconds(), Reason: reason}
}

func (s *server) handleAnnouncement(a wire.Announcement, now time.Time, ttl time.Duration) wire.AnnounceReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.active || s.handingOver():
		// No lease is granted during a handover: the next dispatcher assumes that
		// leases granted by this one are no later than its own takeover.
		return s.dispatcher.noLease(shortAnnounceInterval, "the dispatcher is changing")
	case a.Incarnation != s.record.Incarnation:
		return s.dispatcher.noLease(shortAnnounceInterval, "the lease of another incarnation is not over")
	case s.record.Lost:
		return s.dispatcher.noLease(s.dispatcher.cfg.AnnounceInterval, "the backend server is marked lost")
	case s.lease.granted && a.ClockMs < s.lease.serverMs:
		return s.dispatcher.noLease(s.dispatcher.cfg.AnnounceInterval, "a later announcement was received before this one")
	}
	s.applyAnnouncement(a, now, ttl)
	return wire.AnnounceReply{LeaseMs: ttl.Milliseconds(), Lease: s.lease.number,
		IntervalMs: s.dispatcher.cfg.AnnounceInterval.Milliseconds()}
}

// applyAnnouncement renews the lease and applies what the announcement says of the
// server; s.mu is held.
func (s *server) applyAnnouncement(a wire.Announcement, now time.Time, ttl time.Duration) {
	lapsed := s.lease.renew(now, a.ClockMs, ttl, s.dispatcher.cfg.MaxClockDrift)
	if lapsed {
		s.admission.TurnCold(now)
		s.dispatcher.cfg.RecordEvent("lease-lapsed", s.key.String(), fmt.Sprintf("lease number is now %d", s.lease.number))
	}
	if a.Load != nil && a.Load.InFlight > s.admission.InFlight() && now.Before(s.takenOverAt.Add(takeoverHold)) {
		s.admission.HoldUntil(now.Add(s.dispatcher.cfg.AnnounceInterval / 2))
	}
	if a.Leaving && !s.leaving {
		s.leaving = true
		s.dispatcher.cfg.RecordEvent("backend-leaving", s.key.String(), "")
		s.wakeRequests()
	}
	if lapsed || s.leaving {
		s.settled = false
		s.wakeOrderLoop()
	}
	s.wakeUnconfirmedRequests()
}

// wakeUnconfirmedRequests makes requests that wait for a lease or a confirmed order check
// again; s.mu is held.
func (s *server) wakeUnconfirmedRequests() {
	if s.awaitingConfirmation > 0 {
		s.wakeRequests()
	}
}

// AnnounceHandler serves announcements on any host. It registers unknown backend
// servers and relays announcements of known ones to their dispatcher. It answers
// 405 to methods other than POST and 400 to invalid announcements.
func (d *Dispatcher) AnnounceHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			http.Error(w, "announcements are sent with POST", http.StatusMethodNotAllowed)
			return
		}
		a, err := readAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the backend server has disconnected.
		_ = json.NewEncoder(w).Encode(d.routeAnnouncement(r.Context(), a))
	})
}

func readAnnouncement(r io.Reader) (wire.Announcement, error) {
	var a wire.Announcement
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		return a, fmt.Errorf("announcement is not valid JSON: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return a, fmt.Errorf("announcement is followed by other data")
	}
	return a, validateAnnouncement(a)
}

// namePattern matches valid names of backend servers, services and data centres.
// Names become parts of headers and of operator commands.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)

// Maximum slots and connections that one backend server may announce.
const (
	maxSlots       = 1 << 16
	maxConnections = 1 << 16
)

func validateAnnouncement(a wire.Announcement) error {
	for _, f := range []struct{ field, value string }{{"backend", a.Backend}, {"service", a.Service},
		{"incarnation", a.Incarnation}, {"data_centre", a.DataCentre}} {
		if !namePattern.MatchString(f.value) {
			return fmt.Errorf("field %q: %q is not a name of 1 to 128 letters, digits, '.', '_' or '-'", f.field, f.value)
		}
	}
	if addr, err := netip.ParseAddrPort(a.Address); err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		return fmt.Errorf("field \"address\": %q is not IP:port of a listener", a.Address)
	}
	switch {
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Errorf("field \"slots\": %d is not between 1 and %d", a.Slots, maxSlots)
	case a.Connections < 2 || a.Connections > maxConnections:
		return fmt.Errorf("field \"connections\": %d is not between 2 and %d; one is kept for orders", a.Connections, maxConnections)
	case a.ClockMs < 0:
		return fmt.Errorf("field \"clock_ms\": %d is negative", a.ClockMs)
	}
	return nil
}

// routeAnnouncement registers the sender of an announcement, handles it on this host
// or relays it to the dispatcher.
func (d *Dispatcher) routeAnnouncement(ctx context.Context, a wire.Announcement) wire.AnnounceReply {
	t := d.cfg.Tables()
	if t.Service(a.Service) == nil {
		return d.noLease(d.cfg.AnnounceInterval, fmt.Sprintf("service %q is not published", a.Service))
	}
	b := t.Backend(a.Service, a.Backend)
	switch {
	case b == nil, b.Lost, b.Incarnation != a.Incarnation && b.Address == a.Address:
		return d.register(ctx, a)
	case b.Dispatcher == d.cfg.Host:
		return d.Announce(ctx, a)
	case b.Dispatcher == "":
		return d.noLease(shortAnnounceInterval, "the backend server has no dispatcher yet")
	}
	reply, err := d.cfg.RelayAnnounce(ctx, b.Dispatcher, a)
	if err != nil {
		return d.noLease(shortAnnounceInterval, fmt.Sprintf("dispatcher %s cannot be reached", b.Dispatcher))
	}
	return reply
}

// register proposes to record a backend server that is unknown or marked lost, or
// a new incarnation at the address of the earlier one, which must have ended. A new
// incarnation at another address is not registered until the earlier one is marked
// lost, because that one may hold its slices until its lease expires.
func (d *Dispatcher) register(ctx context.Context, a wire.Announcement) wire.AnnounceReply {
	if a.Leaving {
		return d.noLease(d.cfg.AnnounceInterval, "the backend server is leaving")
	}
	key := serverKey{a.Service, a.Backend}
	d.mu.Lock()
	busy := d.registering[key]
	d.registering[key] = true
	d.mu.Unlock()
	if busy {
		return d.noLease(shortAnnounceInterval, "registration is in progress")
	}
	defer func() {
		d.mu.Lock()
		delete(d.registering, key)
		d.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, d.cfg.ProposeTimeout)
	defer cancel()
	result, err := d.cfg.Propose(ctx, &command.Command{BackendAnnounced: registrationOf(a)})
	switch {
	case err != nil:
		return d.noLease(d.cfg.AnnounceInterval, "registration failed: "+err.Error())
	case result.Code != command.ResultOK:
		return d.noLease(d.cfg.AnnounceInterval, "registration refused: "+result.Detail)
	}
	return d.noLease(shortAnnounceInterval, "registered; announce again for a lease")
}

func registrationOf(a wire.Announcement) *command.BackendAnnounced {
	return &command.BackendAnnounced{Backend: a.Backend, Service: a.Service, Incarnation: a.Incarnation,
		DataCentre: a.DataCentre, Address: a.Address, Slots: a.Slots, Connections: a.Connections, ChecksOrders: a.ChecksOrders}
}
