package daemon

import (
	"context"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/gateway"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/settings"
	"github.com/agatestep/agatestep/internal/wire"
)

// servicePermitClient asks the control hosts for permits for services without keys.
type servicePermitClient struct{ *EntryHost }

var _ gateway.ServicePermitClient = servicePermitClient{}

// servicePermits returns the client of the permits for services without keys, or nil if the
// settings leave the choice of a server to each host.
func (h *EntryHost) servicePermits() gateway.ServicePermitClient {
	if h.settings.Deployment.Unkeyed != settings.UnkeyedPermits {
		return nil
	}
	return servicePermitClient{h}
}

// maxHostsPerIssuer is the number of entry hosts up to which one control host chooses for all of
// them. Above it, each data centre has its own: the processor of one would not do, and most
// requests stay in their data centre.
const maxHostsPerIssuer = 150

// serviceQueue returns the name of the queue in which the hosts of a data centre ask for permits
// of a service.
func serviceQueue(service, dataCentre string, hosts int) string {
	if hosts <= maxHostsPerIssuer {
		return service
	}
	return service + "/" + dataCentre
}

// ServiceIssuers implements gateway.ServicePermitClient.
func (c servicePermitClient) ServiceIssuers(service string) []gateway.Issuer {
	var out []gateway.Issuer
	queue := serviceQueue(service, c.settings.DataCentre, len(c.session.Table().Hosts()))
	for _, address := range permit.RankIssuers(c.session.ControlHosts(), queue) {
		out = append(out, gateway.Issuer{Host: address, Address: address})
	}
	return out
}

// RequestServicePermit implements gateway.ServicePermitClient.
func (c servicePermitClient) RequestServicePermit(ctx context.Context, issuer gateway.Issuer, r wire.ServicePermitRequest) (wire.ServicePermitReply, error) {
	var reply wire.ServicePermitReply
	err := c.client.Call(ctx, issuer.Address, wire.MethodServicePermitRequest, r, &reply)
	return reply, errors.Trace(err)
}

// ReleaseServicePermit implements gateway.ServicePermitClient. If the release is lost, the
// permit expires.
func (c servicePermitClient) ReleaseServicePermit(issuer gateway.Issuer, r wire.ServicePermitRelease) {
	go c.sendServiceRelease(issuer, r) // the response does not wait for it
}

func (c servicePermitClient) sendServiceRelease(issuer gateway.Issuer, r wire.ServicePermitRelease) {
	ctx, cancel := context.WithTimeout(context.Background(), permitReleaseTimeout)
	defer cancel()
	if err := c.client.Notify(ctx, issuer.Address, wire.MethodServicePermitRelease, r); err != nil {
		c.logger.Debug("service permit release not sent", zap.String("to", issuer.Host), logging.Error(err))
	}
}

// handleServicePermitRequest issues permits for the services without keys. Permits that are
// lost with this host, or issued twice while some entry hosts use another control host, cost
// a server at most a longer queue.
func (h *ControlHost) handleServicePermitRequest(ctx context.Context, r wire.ServicePermitRequest) (wire.ServicePermitReply, error) {
	return h.servicePermits.request(ctx, h.state.Table(), r), nil
}

func (h *ControlHost) handleServicePermitRelease(_ context.Context, r wire.ServicePermitRelease) (struct{}, error) {
	h.servicePermits.release(r)
	return struct{}{}, nil
}
