package items

import (
	"maps"
	"slices"
	"strings"
)

// Set is an immutable set of items. Removed items stay in it as a record of their
// version.
type Set struct {
	items        map[Key]Item
	routesByHost map[string]*hostRoutes
	// organisations is the number of organisations, callersByKey the index of their keys.
	organisations int
	callersByKey  map[KeyDigest]*Caller
}

// hostRoutes are the routes of one host name by path prefix.
type hostRoutes struct {
	byPrefix map[string]*Match
	// withoutSlash are the prefixes that do not end with a slash, the longest first.
	withoutSlash []string
}

// Match is a route with its name.
type Match struct {
	Name    string
	Version uint64
	*Route
}

// NewSet returns a set with the given items.
func NewSet(list ...Item) *Set {
	empty := &Set{items: map[Key]Item{}, routesByHost: map[string]*hostRoutes{}}
	next, _ := empty.Apply(list)
	return next
}

// Apply returns the set after a patch and the items that changed. An item whose
// version is not above that in the set is ignored; if all are, Apply returns s.
func (s *Set) Apply(patch []Item) (*Set, []Item) {
	var changed []Item
	var next map[Key]Item // cloned when the first item changes, because most patches are empty
	for _, item := range patch {
		current := s.items
		if next != nil {
			current = next
		}
		if old, ok := current[item.Key]; ok && item.Version <= old.Version {
			continue
		}
		if next == nil {
			next = maps.Clone(s.items)
		}
		next[item.Key] = item
		changed = append(changed, item)
	}
	if len(changed) == 0 {
		return s, nil
	}
	out := &Set{items: next, routesByHost: s.routesByHost, organisations: s.organisations, callersByKey: s.callersByKey}
	if slices.ContainsFunc(changed, func(i Item) bool { return i.Kind == KindRoute }) {
		out.routesByHost = buildRouteIndex(next)
	}
	if slices.ContainsFunc(changed, func(i Item) bool { return i.Kind == KindOrganisation }) {
		out.indexOrganisations()
	}
	return out, changed
}

// Empty reports whether no item was ever set.
func (s *Set) Empty() bool { return len(s.items) == 0 }

// Get returns the record of an item, which may be removed.
func (s *Set) Get(key Key) (Item, bool) {
	item, ok := s.items[key]
	return item, ok
}

// Service returns the configuration of a service, or nil.
func (s *Set) Service(name string) *Service { return s.items[Key{KindService, name}].Service }

// Limits returns the limits in force, or nil.
func (s *Set) Limits() *Limits { return s.items[Key{KindLimits, LimitsName}].Limits }

// All returns every record, the removed ones included, sorted by kind and name.
func (s *Set) All() []Item {
	keys := slices.SortedFunc(maps.Keys(s.items), CompareKeys)
	out := make([]Item, 0, len(keys))
	for _, key := range keys {
		out = append(out, s.items[key])
	}
	return out
}

// Active returns the items that are not removed, sorted by kind and name.
func (s *Set) Active() []Item {
	return slices.DeleteFunc(s.All(), func(item Item) bool { return item.Removed })
}

// buildRouteIndex returns the routes by host name, in lower case.
func buildRouteIndex(all map[Key]Item) map[string]*hostRoutes {
	routesByHost := map[string]*hostRoutes{}
	for key, item := range all {
		if item.Route == nil {
			continue
		}
		host := strings.ToLower(item.Route.Host)
		routes := routesByHost[host]
		if routes == nil {
			routes = &hostRoutes{byPrefix: map[string]*Match{}}
			routesByHost[host] = routes
		}
		prefix := item.Route.PathPrefix
		// Of two routes with the same host and prefix, the one whose name sorts first
		// wins.
		if old := routes.byPrefix[prefix]; old != nil && old.Name < key.Name {
			continue
		}
		routes.byPrefix[prefix] = &Match{Name: key.Name, Version: item.Version, Route: item.Route}
	}
	for _, routes := range routesByHost {
		for prefix := range routes.byPrefix {
			if !strings.HasSuffix(prefix, "/") {
				routes.withoutSlash = append(routes.withoutSlash, prefix)
			}
		}
		slices.SortFunc(routes.withoutSlash, func(a, b string) int { return len(b) - len(a) })
	}
	return routesByHost
}

// Match returns the route of a host with the longest prefix of the path. The host may
// include a port.
func (s *Set) Match(host, path string) (*Match, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	routes := s.routesByHost[strings.ToLower(host)]
	if routes == nil {
		return nil, false
	}
	best := routes.longestSlashPrefix(path)
	for _, prefix := range routes.withoutSlash {
		if strings.HasPrefix(path, prefix) {
			if best == nil || len(prefix) > len(best.PathPrefix) {
				best = routes.byPrefix[prefix]
			}
			break
		}
	}
	return best, best != nil
}

// longestSlashPrefix returns the route with the longest prefix of the path among those
// that end with a slash, or nil.
func (r *hostRoutes) longestSlashPrefix(path string) *Match {
	for at := len(path); at > 0; {
		at = strings.LastIndexByte(path[:at], '/')
		if at < 0 {
			return nil
		}
		if m := r.byPrefix[path[:at+1]]; m != nil {
			return m
		}
	}
	return nil
}
