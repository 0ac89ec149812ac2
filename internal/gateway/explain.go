package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
)

// Explanation is where this host would send a request now and why, judged by its own state.
type Explanation struct {
	Revision uint64
	TableAge time.Duration
	// Route is empty if no route matches; Organisation if the request has none.
	Route        string
	RouteVersion uint64
	Idempotent   bool
	Organisation string
	Rank         int
	// Services are the services among which the route's requests are distributed.
	Services []ExplainedService
	// Refusal is why the request would be refused or held; nil if it would be sent.
	Refusal *verdict.Error
}

// ExplainedService is one service of a route.
type ExplainedService struct {
	Name   string
	Weight float64
	// Keyed tells that only the owner of the request's key serves it. Epoch is that of the
	// slice.
	Keyed bool
	Epoch uint64
	// Servers are the candidates, the one that is expected to answer first at the front.
	Servers []ExplainedServer
	// Refusal is why the request could not be sent to this service now.
	Refusal string
}

// ExplainedServer is a backend server that a request could be sent to.
type ExplainedServer struct {
	Name, DataCentre string
	// Wait is the expected time until the request begins, Work that until its response.
	Wait, Work time.Duration
	// Slowdown and FailureRate are the estimates of this host.
	Slowdown, FailureRate float64
	InFlight              int
	// Unusable is why the request would not be sent to the server now, or "".
	Unusable string
	// PermitHosts are the hosts that are asked for a permit, in this order.
	PermitHosts []string
}

// explainedID is the id of an explained request that has none.
const explainedID = "explained"

// Explain describes where a request would go, without sending it.
func (g *Gateway) Explain(r *http.Request) Explanation {
	t, now := g.cfg.Tables(), g.cfg.Clock.Now()
	e := Explanation{Revision: t.Revision(), TableAge: g.tableAge()}
	if id := g.cfg.Dialect.IDHeader(); r.Header.Get(id) == "" {
		r.Header.Set(id, explainedID)
	}
	c, refusal := g.matchCall(r, t, now)
	if c != nil && c.match != nil {
		e.Route, e.RouteVersion, e.Idempotent = c.match.Name, c.match.Version, c.match.Idempotent
		e.Organisation, e.Rank = c.organisation(), c.rank()
	}
	switch {
	case refusal != nil:
		e.Refusal = refusal
		return e
	case g.rejecting.Load():
		e.Refusal = verdict.Unavailable(verdict.ReasonShutdown, "this host is stopping")
	case g.cfg.Limits.MaxTableAge > 0 && e.TableAge > g.cfg.Limits.MaxTableAge:
		e.Refusal = verdict.Unavailable(verdict.ReasonOldTable, "the routing table has not been confirmed for "+e.TableAge.Round(time.Millisecond).String())
	}
	for _, share := range c.match.Shares {
		e.Services = append(e.Services, g.explainService(t, c, share.Service, share.Weight, now))
	}
	if e.Refusal == nil && !slices.ContainsFunc(e.Services, func(s ExplainedService) bool { return s.Refusal == "" }) {
		e.Refusal = noBackendError(e.Services[0].Refusal)
	}
	return e
}

// explainService explains the choice among the backend servers of one service.
func (g *Gateway) explainService(t *table.Table, c *call, service string, weight float64, now time.Time) ExplainedService {
	out := ExplainedService{Name: service, Weight: weight}
	if svc := t.Items().Service(service); svc != nil {
		out.Keyed = svc.Keyed
	}
	ofService := *c
	ofService.service, ofService.keyed = service, out.Keyed
	if !out.Keyed {
		for _, b := range t.AvailableBackends(service) {
			out.Servers = append(out.Servers, g.explainServer(&ofService, b, now))
		}
		slices.SortStableFunc(out.Servers, compareExplained)
	} else if slice, ok := t.Lookup(service, c.Hash); ok && slice.Owner != "" {
		out.Epoch = slice.Epoch
		if b := t.Backend(service, slice.Owner); b != nil {
			out.Servers = []ExplainedServer{g.explainServer(&ofService, b, now)}
		}
	}
	switch {
	case out.Keyed && !c.Keyed:
		out.Refusal = "the request has no key"
	case len(out.Servers) == 0 && out.Keyed:
		out.Refusal = "the key has no owner"
	case len(out.Servers) == 0:
		out.Refusal = "the service has no backend server"
	case out.Servers[0].Unusable != "":
		out.Refusal = fmt.Sprintf("%s: %s", out.Servers[0].Name, out.Servers[0].Unusable)
	}
	return out
}

// compareExplained orders usable servers first, then by the expected time of the response.
func compareExplained(a, b ExplainedServer) int {
	if usable := a.Unusable == ""; usable != (b.Unusable == "") {
		if usable {
			return -1
		}
		return 1
	}
	return int(a.Wait + a.Work - b.Wait - b.Work)
}

func (g *Gateway) explainServer(c *call, b *table.Backend, now time.Time) ExplainedServer {
	d, s := g.demand(c, now), g.server(b)
	out := ExplainedServer{Name: b.Name, DataCentre: b.DataCentre}
	s.mu.Lock()
	out.Wait, out.Slowdown = s.backlog.EstimateWait(now, d.ServiceTime), s.backlog.Slowdown(now)
	out.Work = time.Duration(out.Slowdown * float64(d.ServiceTime))
	out.FailureRate, out.InFlight = s.backlog.FailureRate(now), s.backlog.InFlight()
	s.mu.Unlock()
	if c.keyed || b.Cold {
		for _, host := range g.cfg.Permits.Issuers(b) {
			out.PermitHosts = append(out.PermitHosts, host.Host)
		}
	}
	left, down := s.downTimeLeft(now)
	switch {
	case b.Lost:
		out.Unusable = "it is lost"
	case !g.mayStillServe(b, now), !c.keyed && g.isLeaving(b):
		out.Unusable = "it is leaving or drained"
	case down:
		out.Unusable = "it cannot be reached; it is tried again in " + left.Round(time.Millisecond).String()
	case s.inDoubt():
		out.Unusable = "another process may be at its address"
	case s.pauseLeft(now) > 0:
		out.Unusable = "it asked for a pause of another " + s.pauseLeft(now).Round(time.Millisecond).String()
	case out.Wait+out.Work > d.TimeLeft:
		out.Unusable = "its expected response is later than the caller waits"
	}
	return out
}
