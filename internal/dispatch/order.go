package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
	"github.com/juju/errors"
	"go.uber.org/zap"
)

// maxOrderBytes bounds the response to an order: a range takes about 60 bytes.
const maxOrderBytes = 8 << 20

// minRetryInterval is the minimum time between two equal orders or proposals.
const minRetryInterval = 50 * time.Millisecond

// orderState is the content of an order. The confirmed one is what the server holds.
type orderState struct {
	known       bool
	incarnation string
	epoch       uint64
	lease       uint64
	sliceStarts map[uint64]bool
}

func (o orderState) equal(other orderState) bool {
	return o.known == other.known && o.incarnation == other.incarnation && o.epoch == other.epoch &&
		o.lease == other.lease && equalSets(o.sliceStarts, other.sliceStarts)
}

func equalSets(a, b map[uint64]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for k := range a {
		if !b[k] {
			return false
		}
	}
	return true
}

// orderLoop sends orders until ctx ends.
func (s *server) orderLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
			s.syncOrder(ctx)
		}
	}
}

// syncOrder sends the next order when the confirmed one differs from the table. Once
// they agree, it proposes the release, loss or move of slices that follows from it.
func (s *server) syncOrder(ctx context.Context) {
	s.mu.Lock()
	now := s.dispatcher.cfg.Clock.Now()
	if s.settled || !s.active || s.record.Lost || !s.dispatcher.sessionValid(now) || now.Before(s.orderNotBefore) {
		s.mu.Unlock()
		return
	}
	if report := s.handOverReport(now); report != nil {
		s.mu.Unlock()
		s.propose("dispatcher-handed-over", &command.Command{HandedOver: report})
		return
	}
	want, order := s.planOrder()
	if want.equal(s.confirmed) {
		released := s.releasedSlices()
		emptied := s.leaving && len(want.sliceStarts) == 0 && s.totalInFlight == 0
		moves := s.movesOfLeaving()
		s.settled = !s.leaving && !s.hasReleasingSlice()
		s.mu.Unlock()
		switch {
		case len(released.Starts) > 0:
			s.propose("released", &command.Command{Released: released})
		case emptied:
			s.proposeLost()
		case len(moves) > 0:
			s.propose("moving", &command.Command{Move: &command.Move{Service: s.key.service, Moves: moves}})
		}
		return
	}
	rec, readBack, client := s.record, s.mustReadBack, s.control
	s.mu.Unlock()
	err := s.sendOrder(ctx, client, rec, order, readBack)
	s.recordOrderOutcome(want, rec, err)
}

// planOrder returns the order that the server should hold now; s.mu is held. A slice
// that is being released stays in the order while it has requests in flight.
func (s *server) planOrder() (orderState, wire.OwnershipOrder) {
	want := orderState{known: true, incarnation: s.record.Incarnation, epoch: s.record.Epoch,
		lease: s.lease.number, sliceStarts: map[uint64]bool{}}
	order := wire.OwnershipOrder{Service: s.key.service, Backend: s.key.name, Incarnation: s.record.Incarnation,
		Dispatcher: s.dispatcher.cfg.Host, Epoch: s.record.Epoch, Lease: s.lease.number, Keyed: s.file.Keyed(),
		Slices: []wire.Range{}}
	for _, sl := range s.slices {
		if sl.Owner != s.key.name || (s.mustRelease(sl) && !s.hasRequestsInFlight(sl)) {
			continue
		}
		want.sliceStarts[sl.Start] = true
		order.Slices = append(order.Slices, wire.Range{First: formatHex(sl.Start), Last: formatHex(sl.Last)})
	}
	return want, order
}

func (s *server) mustRelease(sl table.Slice) bool {
	return s.leaving || sl.State == table.SliceReleasing
}

// hasReleasingSlice reports whether any slice is in state releasing; s.mu is held.
func (s *server) hasReleasingSlice() bool {
	return slices.ContainsFunc(s.slices, func(sl table.Slice) bool { return sl.State == table.SliceReleasing })
}

// hasRequestsInFlight reports whether a slice has requests in flight; s.mu is held. A
// request that was sent before its slice was split names the start of the whole slice, and
// the server drops it when it releases the part that begins there.
func (s *server) hasRequestsInFlight(sl table.Slice) bool {
	for key := range s.inFlight {
		if key.hash >= sl.Start && key.hash <= sl.Last || key.slice == sl.Start {
			return true
		}
	}
	return false
}

// releasedSlices returns the slices in state releasing that the confirmed order no
// longer contains; s.mu is held.
func (s *server) releasedSlices() *command.Released {
	r := &command.Released{Service: s.key.service, Backend: s.key.name}
	for _, sl := range s.slices {
		if sl.Owner == s.key.name && sl.State == table.SliceReleasing && !s.confirmed.sliceStarts[sl.Start] {
			r.Starts = append(r.Starts, sl.Start)
			r.Epochs = append(r.Epochs, sl.Epoch)
		}
	}
	return r
}

// movesOfLeaving returns the moves of the slices that a leaving server has released
// while others still have requests in flight; s.mu is held. Without requests in
// flight, the loss of the server moves all slices in one commit.
func (s *server) movesOfLeaving() []command.SliceMove {
	var out []command.SliceMove
	for _, sl := range s.slices {
		if s.leaving && sl.State == table.SliceOwned && sl.Standby != "" && !s.confirmed.sliceStarts[sl.Start] {
			out = append(out, command.SliceMove{Start: sl.Start, Epoch: sl.Epoch, To: sl.Standby})
		}
	}
	return out
}

// sendOrder sends the order and checks its confirmation. If readBack is set, for a
// server that does not check orders, it first reads the order that the server holds.
func (s *server) sendOrder(ctx context.Context, client *http.Client, rec table.Backend, order wire.OwnershipOrder, readBack bool) error {
	ctx, cancel := context.WithTimeout(ctx, s.dispatcher.cfg.OrderTimeout)
	defer cancel()
	if readBack {
		held, err := exchangeOrder(ctx, client, http.MethodGet, rec.Address, nil)
		if err != nil {
			return errors.Annotate(err, "reading the order back")
		}
		if held.Epoch > order.Epoch {
			return fmt.Errorf("backend server holds epoch %d, which is newer than %d", held.Epoch, order.Epoch)
		}
		s.dispatcher.cfg.RecordEvent("order-read", s.key.String(), fmt.Sprintf("epoch %d, %d slices", held.Epoch, len(held.Slices)))
	}
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Annotate(err, "encoding order")
	}
	reply, err := exchangeOrder(ctx, client, http.MethodPost, rec.Address, body)
	if err != nil {
		return errors.Annotate(err, "sending order")
	}
	switch {
	case !reply.Accepted:
		return fmt.Errorf("order refused: %s", reply.Reason)
	case reply.Incarnation != order.Incarnation || reply.Epoch != order.Epoch:
		return fmt.Errorf("order confirmed for incarnation %q and epoch %d", reply.Incarnation, reply.Epoch)
	case !sameRanges(reply.Slices, order.Slices):
		return fmt.Errorf("order confirmed with %d slices, %d were sent", len(reply.Slices), len(order.Slices))
	}
	return nil
}

func exchangeOrder(ctx context.Context, client *http.Client, method, address string, body []byte) (*wire.OwnershipOrderReply, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+wire.OrderPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var reply wire.OwnershipOrderReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxOrderBytes)).Decode(&reply); err != nil {
		return nil, errors.Annotatef(err, "decoding answer with status %d", resp.StatusCode)
	}
	return &reply, nil
}

func sameRanges(a, b []wire.Range) bool {
	order := func(x, y wire.Range) int { return bytes.Compare([]byte(x.First), []byte(y.First)) }
	a, b = slices.SortedFunc(slices.Values(a), order), slices.SortedFunc(slices.Values(b), order)
	return slices.Equal(a, b)
}

// recordOrderOutcome records whether the order that holds want was confirmed.
func (s *server) recordOrderOutcome(want orderState, rec table.Backend, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		// The server may hold the order that failed, so nothing is confirmed.
		first := s.confirmed.known || s.orderNotBefore.IsZero()
		s.confirmed = orderState{}
		s.orderNotBefore = s.dispatcher.cfg.Clock.Now().Add(minRetryInterval)
		if first {
			s.dispatcher.cfg.Logger.Warn("order is not confirmed", zap.Stringer("backend", s.key), zap.Uint64("epoch", rec.Epoch), zap.Error(err))
		}
		return
	}
	s.orderNotBefore = time.Time{}
	if rec.Incarnation != s.record.Incarnation {
		return
	}
	s.mustReadBack = false
	s.confirmed = want
	s.dispatcher.cfg.RecordEvent("order-confirmed", s.key.String(), fmt.Sprintf("epoch %d, %d slices", want.epoch, len(want.sliceStarts)))
	s.wakeRequests()
	s.wakeOrderLoop()
}

// proposeLost proposes to mark the server lost.
func (s *server) proposeLost() {
	s.mu.Lock()
	incarnation := s.record.Incarnation
	s.mu.Unlock()
	s.propose("backend-lost", &command.Command{BackendLost: &command.BackendLost{
		Backend: s.key.name, Service: s.key.service, Incarnation: incarnation}})
}

// propose starts a proposal unless one is running or the last one was started less
// than minRetryInterval ago.
func (s *server) propose(kind string, c *command.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.dispatcher.cfg.Clock.Now()
	if s.proposing || now.Before(s.proposeNotBefore) {
		return
	}
	s.proposing = true
	s.proposeNotBefore = now.Add(minRetryInterval)
	go func() {
		ctx, cancel := context.WithTimeout(s.dispatcher.ctx, s.dispatcher.cfg.ProposeTimeout)
		defer cancel()
		_, err := s.dispatcher.cfg.Propose(ctx, c)
		s.mu.Lock()
		s.proposing = false
		s.mu.Unlock()
		if err == nil {
			s.dispatcher.cfg.RecordEvent(kind, s.key.String(), "")
		}
	}()
}

func formatHex(v uint64) string { return fmt.Sprintf("%016x", v) }
