package gateway

import (
	"net/http"

	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/verdict"
)

// headerAuthorization carries the key of an organisation in agatestep's own headers.
const headerAuthorization = "Authorization"

// identifyCaller finds the organisation of a call by its key. The table is recent enough to
// tell that a key is unknown: an older one has refused the request before.
func (g *Gateway) identifyCaller(c *call, set *items.Set) *verdict.Error {
	if !set.HasOrganisations() {
		return nil
	}
	if key, ok := g.cfg.Dialect.CallerKey(c.request.Header); ok {
		c.caller, _ = set.CallerOfKey(key)
	}
	switch {
	case c.caller != nil || c.match.KeyExempt:
		return nil
	case g.cfg.TableComplete != nil && !g.cfg.TableComplete():
		return verdict.Unavailable(verdict.ReasonSession, "this host has not got its whole configuration yet")
	}
	return verdict.Refuse(http.StatusUnauthorized, verdict.ReasonUnknownCaller, "the request has no key of an organisation")
}

// organisation returns the name of the call's organisation, or "".
func (c *call) organisation() string {
	if c.caller == nil {
		return ""
	}
	return c.caller.Name
}

// rank returns the priority of a call, 0 first: that of its organisation if it has one, else
// that of its route.
func (c *call) rank() int {
	if c.caller != nil && c.caller.HasPriority {
		return c.caller.Priority
	}
	return c.match.Priority
}
