package dispatch

import (
	"time"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
)

// permission is the answer to whether a request may be sent now.
type permission uint8

const (
	permitted permission = iota + 1
	refused
	later // the order or the lease is not there yet
)

func moved(detail string) *verdict.Error { return verdict.Unavailable(verdict.ReasonMoved, detail) }

// permit says whether r may be sent to the server now; s.mu is held. It reads
// the current table and not only the one that the order loop works on.
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
		c.lease != s.lease.number || !s.lease.usable(now, s.d.cfg.MaxClockDrift) || (r.Keyed && !c.starts[slice.Start]) {
		return later, slice, nil
	}
	return permitted, slice, nil
}

// permitSlice checks that the slice of r belongs to the server in t, with the
// epoch that the sender knows.
func (s *server) permitSlice(t *table.Table, r *Request) (permission, table.Slice, *verdict.Error) {
	slice, ok := t.Lookup(r.Service, r.Hash)
	switch {
	case !ok:
		return refused, slice, moved("the service is not divided by key")
	case r.Epoch > slice.Epoch:
		return later, slice, nil // the sender's table is newer
	case slice.Owner != s.key.name || slice.Epoch != r.Epoch:
		return refused, slice, moved("the slice has another owner or epoch")
	case slice.State != table.SliceOwned:
		return refused, slice, moved("the slice is being moved")
	}
	return permitted, slice, nil
}
