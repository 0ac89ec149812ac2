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

// permitReleaseTimeout bounds the release of a permit on another host.
const permitReleaseTimeout = 500 * time.Millisecond

// permitKey returns the key of the queue for a process of a backend server.
func permitKey(service, backend string, born int64) coldgate.Key {
	return coldgate.Key{Service: service, Backend: backend, Born: born}
}

var _ gateway.Permits = (*EntryHost)(nil)

// Desks implements gateway.Permits. The control hosts issue the permits: their links have
// much bandwidth and their number does not grow with that of the entry hosts. Permits of a
// cold server come only from its dispatcher, whose session proves that no other host
// issues any.
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
		return h.handlePermitRequest(ctx, r)
	}
	var reply wire.PermitReply
	err := h.client.Call(ctx, d.Address, wire.MethodPermitAsk, r, &reply)
	return reply, errors.Trace(err)
}

// Done implements gateway.Permits. If the release is lost, the permit expires.
func (h *EntryHost) Done(d gateway.Desk, r wire.PermitDone) {
	if d.Host == h.settings.Host {
		h.permits.releasePermit(permitKey(r.Service, r.Backend, r.Born), r)
		return
	}
	go h.sendPermitRelease(d, r) // the response does not wait for it
}

func (h *EntryHost) sendPermitRelease(d gateway.Desk, r wire.PermitDone) {
	ctx, cancel := context.WithTimeout(context.Background(), permitReleaseTimeout)
	defer cancel()
	if err := h.client.Notify(ctx, d.Address, wire.MethodPermitDone, r); err != nil {
		h.logger.Debug("permit release not sent", zap.String("to", d.Host), logging.Error(err))
	}
}

// handlePermitRequest issues permits for the backend servers whose dispatcher this host
// is, while its session proves that no other host is their dispatcher.
func (h *EntryHost) handlePermitRequest(ctx context.Context, r wire.PermitAsk) (wire.PermitReply, error) {
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
		rate = coldgate.Rate{PerSecond: coldRateShare * d.ColdOvershoot * s.ColdRate, Burst: coldSlackShare * d.ColdSlack}
	}
	return h.permits.requestPermit(ctx, permitKey(r.Service, r.Backend, r.Born), b.Slots, rate, r), nil
}

func (h *EntryHost) handlePermitRelease(_ context.Context, r wire.PermitDone) (struct{}, error) {
	h.permits.releasePermit(permitKey(r.Service, r.Backend, r.Born), r)
	return struct{}{}, nil
}

// handlePermitRequest issues permits for warm backend servers. Permits that are lost with
// this host, or issued twice while some entry hosts use another control host, cost a
// server at most a longer queue.
func (h *ControlHost) handlePermitRequest(ctx context.Context, r wire.PermitAsk) (wire.PermitReply, error) {
	b := h.state.Table().Backend(r.Service, r.Backend)
	switch {
	case b == nil || b.Lost || b.Born != r.Born:
		return wire.PermitReply{State: wire.PermitUnable, Reason: "this replica does not know the process of the backend server"}, nil
	case b.Cold:
		return wire.PermitReply{State: wire.PermitElsewhere, Reason: "the backend server is cold, and its dispatcher decides"}, nil
	}
	return h.permits.requestPermit(ctx, permitKey(r.Service, r.Backend, r.Born), b.Slots, coldgate.Rate{}, r), nil
}

func (h *ControlHost) handlePermitRelease(_ context.Context, r wire.PermitDone) (struct{}, error) {
	h.permits.releasePermit(permitKey(r.Service, r.Backend, r.Born), r)
	return struct{}{}, nil
}
