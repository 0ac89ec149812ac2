package items

import (
	"fmt"
	"strings"
	"time"
)

const (
	// maxTimeout bounds a route's timeout; a longer one is taken for a mistake in
	// the unit. The operators' API defines it.
	maxTimeout = 10 * time.Minute
	// maxTargetExcess is how far a target may be above the timeout of its route. The
	// operators' API defines it.
	maxTargetExcess = time.Minute
)

// Validate returns a line for each rule that a patch violates, or nil if the patch may
// be applied. Routes may name services of the set and of the patch itself.
func (s *Set) Validate(patch []Item) []string {
	var problems []string
	services := map[string]bool{}
	for key, item := range s.items {
		if key.Kind == KindService && !item.Removed {
			services[key.Name] = true
		}
	}
	for _, item := range patch {
		if item.Kind == KindService && !item.Removed {
			services[item.Name] = true
		}
	}
	for i := range patch {
		problems = append(problems, patch[i].validate(services)...)
	}
	return append(problems, s.sharedKeys(patch)...)
}

func (i *Item) validate(services map[string]bool) []string {
	problem := func(format string, args ...any) []string {
		return []string{i.label() + ": " + fmt.Sprintf(format, args...)}
	}
	switch {
	case i.Name == "":
		return problem("the name is missing")
	case i.Removed:
		return nil
	case i.Kind == KindRoute && i.Route != nil:
		return i.validateRoute(services)
	case i.Kind == KindService && i.Service != nil:
		if i.Service.ColdRate < 0 || i.Service.ColdFor < 0 || i.Service.MaxConnections < 0 {
			return problem("cold rate, cold time and connections must not be negative")
		}
		return nil
	case i.Kind == KindOrganisation && i.Organisation != nil:
		return i.validateOrganisation()
	case i.Kind == KindLimits && i.Limits != nil:
		l := i.Limits
		if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
			return problem("limits must not be negative")
		}
		return nil
	}
	return problem("the item has no content of its kind")
}

func (i *Item) validateRoute(services map[string]bool) []string {
	r := i.Route
	var problems []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, i.label()+": "+fmt.Sprintf(format, args...))
		}
	}
	require(strings.HasPrefix(r.PathPrefix, "/"), "path prefix %q does not begin with a slash", r.PathPrefix)
	require(r.Timeout > 0 && r.Timeout <= maxTimeout, "timeout %v is not above 0 and at most %v", r.Timeout, maxTimeout)
	require(r.Target < r.Timeout+maxTargetExcess, "target latency %v is %v or more above the timeout %v", r.Target, maxTargetExcess, r.Timeout)
	require(len(r.Shares) > 0, "no service is named")
	total := 0.0
	for _, share := range r.Shares {
		require(services[share.Service], "service %q is unknown", share.Service)
		require(share.Weight >= 0, "weight %v of service %q is below 0", share.Weight, share.Service)
		total += max(share.Weight, 0)
	}
	require(total > 0 || len(r.Shares) == 0, "all weights are 0")
	return problems
}

func (i *Item) label() string {
	kind := map[Kind]string{KindRoute: "route", KindService: "service", KindLimits: "limits", KindOrganisation: "organisation"}[i.Kind]
	return fmt.Sprintf("%s %q version %d", kind, i.Name, i.Version)
}
