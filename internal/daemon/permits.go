package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/coldlimit"
	"github.com/agatestep/agatestep/internal/gateway"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// permitReleaseTimeout bounds the release of a permit on another host.
const permitReleaseTimeout = 500 * time.Millisecond

// permitKey returns the key of the queue for a process of a backend server.
func permitKey(service, backend string, born int64) coldlimit.Key {
	return coldlimit.Key{Service: service, Backend: backend, StartedAt: born}
}

var _ gateway.PermitClient = (*EntryHost)(nil)

// Issuers implements gateway.PermitClient. The control hosts issue the permits: their links have
// much bandwidth and their number does not grow with that of the entry hosts. Permits of a
// cold server come only from its dispatcher, whose session proves that no other host
// issues any.
func (h *EntryHost) Issuers(b *table.Backend) []gateway.Issuer {
	control := h.session.ControlHosts()
	if b.Cold || len(control) == 0 {
		host := h.session.Table().Host(b.Dispatcher)
		if host == nil {
			return nil
		}
		return []gateway.Issuer{{Host: host.Name, Address: host.PeerAddress}}
	}
	var out []gateway.Issuer
	for _, address := range permit.RankIssuers(control, b.Service+"/"+b.Name) {
		out = append(out, gateway.Issuer{Host: address, Address: address})
	}
	return out
}

// RequestPermit implements gateway.PermitClient.
func (h *EntryHost) RequestPermit(ctx context.Context, issuer gateway.Issuer, r wire.PermitRequest) (wire.PermitReply, error) {
	if issuer.Host == h.settings.Host {
		return h.handlePermitRequest(ctx, r)
	}
	var reply wire.PermitReply
	err := h.client.Call(ctx, issuer.Address, wire.MethodPermitRequest, r, &reply)
	return reply, errors.Trace(err)
}

// ReleasePermit implements gateway.PermitClient. If the release is lost, the permit expires.
func (h *EntryHost) ReleasePermit(issuer gateway.Issuer, r wire.PermitRelease) {
	if issuer.Host == h.settings.Host {
		h.permits.releasePermit(permitKey(r.Service, r.Backend, r.Born), r)
		return
	}
	go h.sendPermitRelease(issuer, r) // the response does not wait for it
}

func (h *EntryHost) sendPermitRelease(issuer gateway.Issuer, r wire.PermitRelease) {
	ctx, cancel := context.WithTimeout(context.Background(), permitReleaseTimeout)
	defer cancel()
	if err := h.client.Notify(ctx, issuer.Address, wire.MethodPermitRelease, r); err != nil {
		h.logger.Debug("permit release not sent", zap.String("to", issuer.Host), logging.Error(err))
	}
}

// handlePermitRequest issues permits for the backend servers whose dispatcher this host
// is, while its session proves that no other host is their dispatcher.
func (h *EntryHost) handlePermitRequest(ctx context.Context, r wire.PermitRequest) (wire.PermitReply, error) {
	t := h.session.Table()
	b := t.Backend(r.Service, r.Backend)
	switch {
	case !h.session.Valid():
		return wire.PermitReply{State: wire.PermitUnavailable, Reason: "the dispatcher has no session"}, nil
	case b == nil || b.Born != r.Born || b.Dispatcher != h.settings.Host:
		return wire.PermitReply{State: wire.PermitUnavailable, Reason: "this host is not the dispatcher of the backend server"}, nil
	}
	rate := coldlimit.Rate{}
	if s := t.Items().Service(r.Service); s != nil && b.Cold {
		d := h.settings.Deployment
		rate = coldlimit.Rate{PerSecond: coldRateShare * d.ColdOvershoot * s.ColdRate, Burst: coldSlackShare * d.ColdSlack}
	}
	return h.permits.requestPermit(ctx, permitKey(r.Service, r.Backend, r.Born), b.Slots, rate, r), nil
}

func (h *EntryHost) handlePermitRelease(_ context.Context, r wire.PermitRelease) (struct{}, error) {
	h.permits.releasePermit(permitKey(r.Service, r.Backend, r.Born), r)
	return struct{}{}, nil
}

// handlePermitRequest issues permits for warm backend servers. Permits that are lost with
// this host, or issued twice while some entry hosts use another control host, cost a
// server at most a longer queue.
func (h *ControlHost) handlePermitRequest(ctx context.Context, r wire.PermitRequest) (wire.PermitReply, error) {
	b := h.state.Table().Backend(r.Service, r.Backend)
	switch {
	case b == nil || b.Lost || b.Born != r.Born:
		return wire.PermitReply{State: wire.PermitUnavailable, Reason: "this replica does not know the process of the backend server"}, nil
	case b.Cold:
		return wire.PermitReply{State: wire.PermitWrongIssuer, Reason: "the backend server is cold, and its dispatcher decides"}, nil
	}
	return h.permits.requestPermit(ctx, permitKey(r.Service, r.Backend, r.Born), b.Slots, coldlimit.Rate{}, r), nil
}

func (h *ControlHost) handlePermitRelease(_ context.Context, r wire.PermitRelease) (struct{}, error) {
	h.permits.releasePermit(permitKey(r.Service, r.Backend, r.Born), r)
	return struct{}{}, nil
}
