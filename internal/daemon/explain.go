package daemon

import (
	"net/http"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/gateway"
)

var _ admin.RequestExplainer = (*roleAdmin)(nil)

// ExplainRequest implements admin.RequestExplainer.
func (a *roleAdmin) ExplainRequest(r *http.Request) *admin.ExplainReply {
	if a.gateway == nil {
		return nil
	}
	e := a.gateway.Explain(r)
	entry := &admin.EntryExplanation{TableAgeMs: e.TableAge.Milliseconds(), Route: e.Route, RouteVersion: e.RouteVersion,
		Organisation: e.Organisation, Priority: e.Rank}
	for _, s := range e.Services {
		entry.Services = append(entry.Services, serviceCandidates(s))
	}
	reply := &admin.ExplainReply{Revision: e.Revision, Idempotent: e.Idempotent, Entry: entry}
	if e.Refusal != nil {
		reply.Refusal, entry.Status = e.Refusal.Detail, e.Refusal.Status
	}
	return reply
}

func serviceCandidates(s gateway.ExplainedService) admin.ServiceCandidates {
	out := admin.ServiceCandidates{Service: s.Name, Weight: s.Weight, Keyed: s.Keyed, Epoch: s.Epoch, Refusal: s.Refusal}
	for _, b := range s.Servers {
		out.Servers = append(out.Servers, admin.ServerCandidate{Name: b.Name, DataCentre: b.DataCentre, WaitMs: b.Wait.Milliseconds(), WorkMs: b.Work.Milliseconds(),
			Slowdown: b.Slowdown, FailureRate: b.FailureRate, InFlight: b.InFlight, Unusable: b.Unusable, PermitHosts: b.PermitHosts})
	}
	return out
}
