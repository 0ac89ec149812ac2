package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/coldgate"
	"github.com/agatestep/agatestep/internal/gateway"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// doneTimeout bounds the report of the end of a request.
const doneTimeout = 500 * time.Millisecond

// permitKey names the queue that a request about a permit belongs to.
func permitKey(service, backend string, born int64) coldgate.Key {
	return coldgate.Key{Service: service, Backend: backend, Born: born}
}

var _ gateway.Permits = (*EntryHost)(nil)

// Desks implements gateway.Permits. The control hosts keep the queues: their links are
// wide and their number does not grow with that of the entry hosts. A cold server gets
// permits from its dispatcher only, whose session proves that no other host gives any.
func (h *EntryHost) Desks(b *table.Backend) []gateway.Desk {
	control := h.session.ControlHosts()
	if b.Cold || len(control) == 0 {
		host := h.session.Table().Host(b.Dispatcher)
		if host == nil {
			return nil
		}
		return []gateway.Desk{{Host: host.Name, Address: host.PeerAddress}}
	}
	var out []gateway.Desk
	for _, address := range permit.Order(control, b.Service+"/"+b.Name) {
		out = append(out, gateway.Desk{Host: address, Address: address})
	}
	return out
}

// Ask implements gateway.Permits.
func (h *EntryHost) Ask(ctx context.Context, d gateway.Desk, r wire.PermitAsk) (wire.PermitReply, error) {
	if d.Host == h.settings.Host {
		return h.handlePermitAsk(ctx, r)
	}
	var reply wire.PermitReply
	err := h.client.Call(ctx, d.Address, wire.MethodPermitAsk, r, &reply)
	return reply, errors.Trace(err)
}

// Done implements gateway.Permits. A report that is lost is made up for by the end
// of the permit's time.
func (h *EntryHost) Done(d gateway.Desk, r wire.PermitDone) {
	if d.Host == h.settings.Host {
		h.permits.done(permitKey(r.Service, r.Backend, r.Born), r)
		return
	}
	go h.reportDone(d, r) // the answer does not wait for it
}

func (h *EntryHost) reportDone(d gateway.Desk, r wire.PermitDone) {
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	if err := h.client.Notify(ctx, d.Address, wire.MethodPermitDone, r); err != nil {
		h.logger.Debug("end of a request not reported", zap.String("to", d.Host), logging.Error(err))
	}
}

// handlePermitAsk answers for the backend servers whose dispatcher this host is,
// while its session proves that no other host is.
func (h *EntryHost) handlePermitAsk(ctx context.Context, r wire.PermitAsk) (wire.PermitReply, error) {
	t := h.session.Table()
	b := t.Backend(r.Service, r.Backend)
	switch {
	case !h.session.Valid():
		return wire.PermitReply{State: wire.PermitUnable, Reason: "the dispatcher has no session"}, nil
	case b == nil || b.Born != r.Born || b.Dispatcher != h.settings.Host:
		return wire.PermitReply{State: wire.PermitUnable, Reason: "this host is not the dispatcher of the backend server"}, nil
	}
	rate := coldgate.Rate{}
	if s := t.Items().Service(r.Service); s != nil && b.Cold {
		d := h.settings.Deployment
		rate = coldgate.Rate{PerSecond: coldRateUsed * d.ColdOvershoot * s.ColdRate, Burst: coldSlackUsed * d.ColdSlack}
	}
	return h.permits.ask(ctx, permitKey(r.Service, r.Backend, r.Born), b.Slots, rate, r), nil
}

func (h *EntryHost) handlePermitDone(_ context.Context, r wire.PermitDone) (struct{}, error) {
	h.permits.done(permitKey(r.Service, r.Backend, r.Born), r)
	return struct{}{}, nil
}

// handlePermitAsk answers for warm backend servers. What is lost with this host, or held
// twice while some entry hosts ask another one, costs a server a longer queue at most.
func (h *ControlHost) handlePermitAsk(ctx context.Context, r wire.PermitAsk) (wire.PermitReply, error) {
	b := h.state.Table().Backend(r.Service, r.Backend)
	switch {
	case b == nil || b.Lost || b.Born != r.Born:
		return wire.PermitReply{State: wire.PermitUnable, Reason: "this replica does not know the process of the backend server"}, nil
	case b.Cold:
		return wire.PermitReply{State: wire.PermitElsewhere, Reason: "the backend server is cold, and its dispatcher decides"}, nil
	}
	return h.permits.ask(ctx, permitKey(r.Service, r.Backend, r.Born), b.Slots, coldgate.Rate{}, r), nil
}

func (h *ControlHost) handlePermitDone(_ context.Context, r wire.PermitDone) (struct{}, error) {
	h.permits.done(permitKey(r.Service, r.Backend, r.Born), r)
	return struct{}{}, nil
}
