package dispatch

import (
	"time"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
)

// sendDecision says whether a request may be sent now.
type sendDecision uint8

const (
	maySend sendDecision = iota + 1
	mustRefuse
	mustWait // the order or the lease is not yet in place
)

// moved returns a refusal after which the entry host looks for another route.
func moved(detail string) *verdict.Error { return verdict.Unavailable(verdict.ReasonMoved, detail) }

// checkSend checks whether r may be sent to the server now; s.mu is held. It checks
// against the current table, which may be newer than the one of the order loop.
func (s *server) checkSend(r *Request, now time.Time) (sendDecision, table.Slice, *verdict.Error) {
	if !s.dispatcher.sessionValid(now) {
		return mustRefuse, table.Slice{}, verdict.Unavailable(verdict.ReasonSession, "the session of the dispatcher is not valid")
	}
	t := s.dispatcher.cfg.Tables()
	b := t.Backend(s.key.service, s.key.name)
	switch {
	case !s.active || b == nil || b.Dispatcher != s.dispatcher.cfg.Host:
		return mustRefuse, table.Slice{}, moved("this host is not the dispatcher of the backend server")
	case b.NextDispatcher != "" || s.stopping:
		return mustRefuse, table.Slice{}, moved("the dispatcher is being changed")
	case b.Lost:
		return mustRefuse, table.Slice{}, moved("the backend server is lost")
	case s.leaving, !r.Keyed && b.Draining:
		return mustRefuse, table.Slice{}, moved("the backend server is leaving")
	}
	var slice table.Slice
	if r.Keyed {
		var decision sendDecision
		var err *verdict.Error
		if decision, slice, err = s.checkSlice(t, r); decision != maySend {
			return decision, slice, err
		}
	}
	c := &s.confirmed
	if s.record.Epoch != b.Epoch || !c.known || c.incarnation != b.Incarnation || c.epoch != b.Epoch ||
		c.lease != s.lease.number || !s.lease.usable(now, s.dispatcher.cfg.MaxClockDrift) || (r.Keyed && !c.sliceStarts[slice.Start]) {
		return mustWait, slice, nil
	}
	return maySend, slice, nil
}

// checkSlice checks that the server owns the slice of r in t, with the epoch that
// the sender knows.
func (s *server) checkSlice(t *table.Table, r *Request) (sendDecision, table.Slice, *verdict.Error) {
	slice, ok := t.Lookup(r.Service, r.Hash)
	switch {
	case !ok:
		return mustRefuse, slice, moved("the service is not divided by key")
	case r.Epoch > slice.Epoch:
		return mustWait, slice, nil // the sender's table is newer
	case slice.Owner != s.key.name || slice.Epoch != r.Epoch:
		return mustRefuse, slice, moved("the slice has another owner or epoch")
	case slice.State != table.SliceOwned:
		return mustRefuse, slice, moved("the slice is being moved")
	}
	return maySend, slice, nil
}
