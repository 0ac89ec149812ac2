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

// Reasons for refusals and failures, sent in verdict.ReasonHeader and in
// OwnershipOrderReply.Reason.
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

// fence holds what a server that checks orders validates requests and orders
// against: its lease and the last accepted order. Times are readings of the
// server's own clock.
type fence struct {
	incarnation string
	lease       uint64
	leaseUntil  time.Duration
	order       wire.OwnershipOrder
	ordered     bool
	ranges      []hashRange
	// lapses counts the leases that were granted after the previous one expired.
	lapses int
	// running are the requests in execution.
	running map[*requestGrant]struct{}
}

// renew applies a granted lease, whose time counts from when the announcement was
// sent. A reply with a lower lease number than the current one is late and ignored.
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

// acceptOrder applies an order, or returns the reason for its refusal. A server
// that does not check orders accepts every well-formed one.
func (f *fence) acceptOrder(order wire.OwnershipOrder, config *Config) (verdict.Reason, error) {
	ranges, err := parseRanges(order.Slices)
	if err != nil {
		return ReasonHeaders, err
	}
	if config.ChecksOrders {
		if reason := f.checkOrder(order, config); reason != "" {
			return reason, nil
		}
	}
	f.order, f.ranges, f.ordered = order, ranges, true
	for g := range f.running {
		g.revoked = g.revoked || !f.covers(g)
	}
	return "", nil
}

// covers reports whether the last order contains the slice of a request.
func (f *fence) covers(g *requestGrant) bool {
	return !f.order.Keyed || g.sliceText != "" && f.holdsHash(g.slice) && (!g.hasKey || f.holdsHash(g.hash))
}

// beginRequest registers a request that starts to run.
func (f *fence) beginRequest(g *requestGrant) {
	g.lapses = f.lapses
	f.running[g] = struct{}{}
}

// endRequest removes a request and returns why its work must not be committed, if
// so. A later order does not matter as long as every order since the start had the
// slice, and neither does a new lease number as long as no lease lapsed.
func (f *fence) endRequest(g *requestGrant, now time.Duration) (verdict.Reason, string) {
	delete(f.running, g)
	switch {
	case now >= f.leaseUntil || g.lapses != f.lapses:
		return ReasonLeaseLapsed, "the lease lapsed during the work"
	case g.revoked:
		return ReasonNotHeld, fmt.Sprintf("slice %q was revoked during the work", g.sliceText)
	}
	return "", ""
}

func (f *fence) checkOrder(order wire.OwnershipOrder, config *Config) verdict.Reason {
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

func (f *fence) holdsHash(hash uint64) bool {
	for _, r := range f.ranges {
		if r.first <= hash && hash <= r.last {
			return true
		}
	}
	return false
}

// requestGrant holds what the headers of a request say of the grant that it runs
// under.
type requestGrant struct {
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
	lapses    int    // value of fence.lapses at the start
	revoked   bool   // an order accepted since the start lacked the slice
}

// parseGrantHeaders parses the headers of a forwarded request.
func parseGrantHeaders(header http.Header) *requestGrant {
	g := &requestGrant{
		requestID: header.Get(wire.HeaderRequestID),
		service:   header.Get(wire.HeaderService),
		sliceText: header.Get(wire.HeaderSlice),
	}
	g.epoch = g.parseUint(header, wire.HeaderEpoch, 10, true)
	g.lease = g.parseUint(header, wire.HeaderLease, 10, true)
	g.slice = g.parseUint(header, wire.HeaderSlice, 16, false)
	g.startBy = g.parseMillis(header, wire.HeaderStartBy, true)
	g.deadline = g.parseMillis(header, wire.HeaderDeadline, false)
	if g.requestID == "" {
		g.malformed = "header " + wire.HeaderRequestID + " is missing"
	}
	return g
}

func (g *requestGrant) parseUint(header http.Header, name string, base int, required bool) uint64 {
	text := header.Get(name)
	if text == "" && !required {
		return 0
	}
	value, err := strconv.ParseUint(text, base, 64)
	if err != nil && g.malformed == "" {
		g.malformed = fmt.Sprintf("header %s is %q, which is no number in base %d", name, text, base)
	}
	return value
}

func (g *requestGrant) parseMillis(header http.Header, name string, required bool) time.Duration {
	return time.Duration(min(g.parseUint(header, name, 10, required), 1<<40)) * time.Millisecond
}

// checkRequest returns why a server that checks orders must not start a request
// now, if so.
func (f *fence) checkRequest(g *requestGrant, config *Config, now time.Duration) (verdict.Reason, string) {
	switch {
	case g.malformed != "":
		return ReasonHeaders, g.malformed
	case g.service != config.Service:
		return ReasonService, fmt.Sprintf("the request is for service %q, this server serves %q", g.service, config.Service)
	case now >= g.startBy:
		return ReasonStartByPassed, fmt.Sprintf("start-by %v has passed, the clock reads %v", g.startBy, now)
	}
	return f.checkGrant(g, now)
}

// checkGrant returns why the lease and the last order do not cover a request, if so.
func (f *fence) checkGrant(g *requestGrant, now time.Duration) (verdict.Reason, string) {
	switch {
	case now >= f.leaseUntil:
		return ReasonLeaseLapsed, fmt.Sprintf("lease %d ended at %v, the clock reads %v", f.lease, f.leaseUntil, now)
	case g.lease != f.lease:
		return ReasonStaleLease, fmt.Sprintf("the request has lease %d, the current one is %d", g.lease, f.lease)
	case !f.ordered:
		return ReasonNotHeld, "no order has been accepted"
	case g.epoch < f.order.Epoch:
		return ReasonStaleEpoch, fmt.Sprintf("the request has epoch %d, the current one is %d", g.epoch, f.order.Epoch)
	case !f.covers(g):
		return ReasonNotHeld, fmt.Sprintf("slice %q or key %q is not in the last order", g.sliceText, g.key)
	}
	return "", ""
}
