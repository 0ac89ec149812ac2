package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// Reasons for refusals, sent in verdict.ReasonHeader and in OrderReply.Reason.
const (
	ReasonHeaders       verdict.Reason = "bad-headers"
	ReasonService       verdict.Reason = "wrong-service"
	ReasonBackend       verdict.Reason = "wrong-backend"
	ReasonIncarnation   verdict.Reason = "wrong-incarnation"
	ReasonStaleEpoch    verdict.Reason = "stale-epoch"
	ReasonStaleLease    verdict.Reason = "stale-lease"
	ReasonLeaseLapsed   verdict.Reason = "lease-lapsed"
	ReasonNotHeld       verdict.Reason = "slice-not-held"
	ReasonStartByPassed verdict.Reason = "start-by-passed"
	ReasonShed          verdict.Reason = "shed"
	ReasonCold          verdict.Reason = "cold"
	ReasonCancelled     verdict.Reason = "cancelled"
	ReasonDeadline      verdict.Reason = "deadline"
	ReasonWorkFailed    verdict.Reason = "work-failed"
)

// hashRange is a range of key hashes, both ends included.
type hashRange struct{ first, last uint64 }

// fence is what a checking server holds requests and orders against: its lease
// and the last accepted order. Times are readings of the server's own clock.
type fence struct {
	incarnation string
	lease       uint64
	leaseUntil  time.Duration
	order       wire.Order
	ordered     bool
	ranges      []hashRange
	// lapses counts the gaps between leases.
	lapses int
	// running are the requests that began and neither committed nor ended.
	running map[*ticket]struct{}
}

// renew takes over a granted lease, counted from when the announcement was
// sent. A reply with a lower lease number than the current one is late.
func (f *fence) renew(sent, now time.Duration, reply wire.AnnounceReply) {
	if reply.LeaseMs <= 0 || reply.Lease < f.lease {
		return
	}
	if now >= f.leaseUntil {
		f.lapses++
	}
	f.lease = reply.Lease
	f.leaseUntil = sent + time.Duration(reply.LeaseMs)*time.Millisecond
}

// accept takes over an order, or returns why it is refused. A server that does
// not check accepts every order that can be read.
func (f *fence) accept(order wire.Order, config *Config) (verdict.Reason, error) {
	ranges, err := parseRanges(order.Slices)
	if err != nil {
		return ReasonHeaders, err
	}
	if config.ChecksOrders {
		if reason := f.refusesOrder(order, config); reason != "" {
			return reason, nil
		}
	}
	f.order, f.ranges, f.ordered = order, ranges, true
	for t := range f.running {
		t.revoked = t.revoked || !f.covers(t)
	}
	return "", nil
}

// covers reports whether the last order has the slice of a request.
func (f *fence) covers(t *ticket) bool {
	return !f.order.Keyed || t.sliceText != "" && f.holds(t.slice) && (!t.hasKey || f.holds(t.hash))
}

// begin notes a request that starts to run.
func (f *fence) begin(t *ticket) {
	t.lapses = f.lapses
	f.running[t] = struct{}{}
}

// end forgets a request and returns why its work must not be committed. A later
// order does not matter as long as every order since the start had the slice,
// and neither does a new lease number as long as no lease lapsed.
func (f *fence) end(t *ticket, now time.Duration) (verdict.Reason, string) {
	delete(f.running, t)
	switch {
	case now >= f.leaseUntil || t.lapses != f.lapses:
		return ReasonLeaseLapsed, "the lease lapsed during the work"
	case t.revoked:
		return ReasonNotHeld, fmt.Sprintf("slice %q was revoked during the work", t.sliceText)
	}
	return "", ""
}

func (f *fence) refusesOrder(order wire.Order, config *Config) verdict.Reason {
	switch {
	case order.Service != config.Service:
		return ReasonService
	case order.Backend != config.Backend:
		return ReasonBackend
	case order.Incarnation != f.incarnation:
		return ReasonIncarnation
	case order.Epoch < f.order.Epoch:
		return ReasonStaleEpoch
	case order.Lease < max(f.lease, f.order.Lease):
		return ReasonStaleLease
	}
	return ""
}

func parseRanges(slices []wire.Range) ([]hashRange, error) {
	ranges := make([]hashRange, 0, len(slices))
	for _, s := range slices {
		first, firstErr := strconv.ParseUint(s.First, 16, 64)
		last, lastErr := strconv.ParseUint(s.Last, 16, 64)
		if firstErr != nil || lastErr != nil || first > last {
			return nil, errors.NotValidf("slice range %q to %q", s.First, s.Last)
		}
		ranges = append(ranges, hashRange{first, last})
	}
	return ranges, nil
}

func (f *fence) holds(hash uint64) bool {
	for _, r := range f.ranges {
		if r.first <= hash && hash <= r.last {
			return true
		}
	}
	return false
}

// ticket is what a request says of the grant that it runs under.
type ticket struct {
	requestID string
	service   string
	epoch     uint64
	lease     uint64
	sliceText string
	slice     uint64
	startBy   time.Duration // zero when not given
	deadline  time.Duration // zero when not given
	key       string
	hash      uint64
	hasKey    bool
	malformed string // what is wrong with the headers, if anything
	lapses    int    // lapses of the lease before the start
	revoked   bool   // an order since the start lacked the slice
}

// readTicket reads the headers of a forwarded request.
func readTicket(header http.Header) *ticket {
	t := &ticket{
		requestID: header.Get(wire.HeaderRequestID),
		service:   header.Get(wire.HeaderService),
		sliceText: header.Get(wire.HeaderSlice),
	}
	t.epoch = t.number(header, wire.HeaderEpoch, 10, true)
	t.lease = t.number(header, wire.HeaderLease, 10, true)
	t.slice = t.number(header, wire.HeaderSlice, 16, false)
	t.startBy = t.millis(header, wire.HeaderStartBy, true)
	t.deadline = t.millis(header, wire.HeaderDeadline, false)
	if t.requestID == "" {
		t.malformed = "header " + wire.HeaderRequestID + " is missing"
	}
	return t
}

func (t *ticket) number(header http.Header, name string, base int, required bool) uint64 {
	text := header.Get(name)
	if text == "" && !required {
		return 0
	}
	value, err := strconv.ParseUint(text, base, 64)
	if err != nil && t.malformed == "" {
		t.malformed = fmt.Sprintf("header %s is %q, which is no number in base %d", name, text, base)
	}
	return value
}

func (t *ticket) millis(header http.Header, name string, required bool) time.Duration {
	return time.Duration(min(t.number(header, name, 10, required), 1<<40)) * time.Millisecond
}

// admits returns why a checking server refuses to start a request now.
func (f *fence) admits(t *ticket, config *Config, now time.Duration) (verdict.Reason, string) {
	switch {
	case t.malformed != "":
		return ReasonHeaders, t.malformed
	case t.service != config.Service:
		return ReasonService, fmt.Sprintf("the request is for service %q, this server serves %q", t.service, config.Service)
	case now >= t.startBy:
		return ReasonStartByPassed, fmt.Sprintf("start-by %v has passed, the clock reads %v", t.startBy, now)
	}
	return f.authorises(t, now)
}

// authorises returns why the lease and the last order do not cover a request.
func (f *fence) authorises(t *ticket, now time.Duration) (verdict.Reason, string) {
	switch {
	case now >= f.leaseUntil:
		return ReasonLeaseLapsed, fmt.Sprintf("lease %d ended at %v, the clock reads %v", f.lease, f.leaseUntil, now)
	case t.lease != f.lease:
		return ReasonStaleLease, fmt.Sprintf("the request has lease %d, the current one is %d", t.lease, f.lease)
	case !f.ordered:
		return ReasonNotHeld, "no order has been accepted"
	case t.epoch < f.order.Epoch:
		return ReasonStaleEpoch, fmt.Sprintf("the request has epoch %d, the current one is %d", t.epoch, f.order.Epoch)
	case !f.covers(t):
		return ReasonNotHeld, fmt.Sprintf("slice %q or key %q is not in the last order", t.sliceText, t.key)
	}
	return "", ""
}
