package dispatch

import (
	"time"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
)

// permission says whether a request may be sent now.
type permission uint8

const (
	permitted permission = iota + 1
	refused
	notYet // the order or the lease is not yet in place
)

// moved returns a refusal after which the entry host looks for another route.
func moved(detail string) *verdict.Error { return verdict.Unavailable(verdict.ReasonMoved, detail) }

// permit checks whether r may be sent to the server now; s.mu is held. It checks
// against the current table, which may be newer than the one of the order loop.
func (s *server) permit(r *Request, now time.Time) (permission, table.Slice, *verdict.Error) {
	if !s.d.sessionValid(now) {
		return refused, table.Slice{}, verdict.Unavailable(verdict.ReasonSession, "the session of the dispatcher is not valid")
	}
	t := s.d.cfg.Tables()
	b := t.Backend(s.key.service, s.key.name)
	switch {
	case !s.active || b == nil || b.Dispatcher != s.d.cfg.Host:
		return refused, table.Slice{}, moved("this host is not the dispatcher of the backend server")
	case b.NextDispatcher != "" || s.stopping:
		return refused, table.Slice{}, moved("the dispatcher is being changed")
	case b.Lost:
		return refused, table.Slice{}, moved("the backend server is lost")
	case s.leaving, !r.Keyed && b.Draining:
		return refused, table.Slice{}, moved("the backend server is leaving")
	}
	var slice table.Slice
	if r.Keyed {
		var p permission
		var err *verdict.Error
		if p, slice, err = s.permitSlice(t, r); p != permitted {
			return p, slice, err
		}
	}
	c := &s.confirmed
	if s.rec.Epoch != b.Epoch || !c.known || c.incarnation != b.Incarnation || c.epoch != b.Epoch ||
		c.lease != s.lease.number || !s.lease.usable(now, s.d.cfg.MaxClockDrift) || (r.Keyed && !c.sliceStarts[slice.Start]) {
		return notYet, slice, nil
	}
	return permitted, slice, nil
}

// permitSlice checks that the server owns the slice of r in t, with the epoch that
// the sender knows.
func (s *server) permitSlice(t *table.Table, r *Request) (permission, table.Slice, *verdict.Error) {
	slice, ok := t.Lookup(r.Service, r.Hash)
	switch {
	case !ok:
		return refused, slice, moved("the service is not divided by key")
	case r.Epoch > slice.Epoch:
		return notYet, slice, nil // the sender's table is newer
	case slice.Owner != s.key.name || slice.Epoch != r.Epoch:
		return refused, slice, moved("the slice has another owner or epoch")
	case slice.State != table.SliceOwned:
		return refused, slice, moved("the slice is being moved")
	}
	return permitted, slice, nil
}
