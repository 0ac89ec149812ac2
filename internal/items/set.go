package items

import (
	"maps"
	"slices"
	"strings"
)

// Set is an immutable set of items. Removed items stay as a record of their
// version.
type Set struct {
	items map[Key]Item
	index map[string]*hostRoutes
}

// hostRoutes are the routes of one host name by path prefix.
type hostRoutes struct {
	byPrefix map[string]*Match
	// unslashed are the prefixes that do not end with a slash, the longest first.
	unslashed []string
}

// Match is a route with its name.
type Match struct {
	Name    string
	Version uint64
	*Route
}

// NewSet returns a set with the given items.
func NewSet(list ...Item) *Set {
	empty := &Set{items: map[Key]Item{}, index: map[string]*hostRoutes{}}
	next, _ := empty.Apply(list)
	return next
}

// Apply returns the set after a patch and the items that changed. An item whose
// version is not above the one that the set has changes nothing.
func (s *Set) Apply(patch []Item) (*Set, []Item) {
	var changed []Item
	var next map[Key]Item // cloned for the first item that changes: most patches are empty
	for _, item := range patch {
		have := s.items
		if next != nil {
			have = next
		}
		if old, ok := have[item.Key]; ok && item.Version <= old.Version {
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
	out := &Set{items: next, index: s.index}
	if slices.ContainsFunc(changed, func(i Item) bool { return i.Kind == KindRoute }) {
		out.index = buildIndex(next)
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

// Standing returns the items that are set, sorted by kind and name.
func (s *Set) Standing() []Item {
	return slices.DeleteFunc(s.All(), func(i Item) bool { return i.Removed })
}

func buildIndex(all map[Key]Item) map[string]*hostRoutes {
	index := map[string]*hostRoutes{}
	for key, item := range all {
		if item.Route == nil {
			continue
		}
		host := strings.ToLower(item.Route.Host)
		routes := index[host]
		if routes == nil {
			routes = &hostRoutes{byPrefix: map[string]*Match{}}
			index[host] = routes
		}
		prefix := item.Route.PathPrefix
		// Two routes at the same place: the one whose name sorts first serves.
		if old := routes.byPrefix[prefix]; old != nil && old.Name < key.Name {
			continue
		}
		routes.byPrefix[prefix] = &Match{Name: key.Name, Version: item.Version, Route: item.Route}
	}
	for _, routes := range index {
		for prefix := range routes.byPrefix {
			if !strings.HasSuffix(prefix, "/") {
				routes.unslashed = append(routes.unslashed, prefix)
			}
		}
		slices.SortFunc(routes.unslashed, func(a, b string) int { return len(b) - len(a) })
	}
	return index
}

// Match returns the route of a host whose prefix is the longest that begins the
// path. The host may carry a port.
func (s *Set) Match(host, path string) (*Match, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	routes := s.index[strings.ToLower(host)]
	if routes == nil {
		return nil, false
	}
	best := routes.slashed(path)
	for _, prefix := range routes.unslashed {
		if strings.HasPrefix(path, prefix) {
			if best == nil || len(prefix) > len(best.PathPrefix) {
				best = routes.byPrefix[prefix]
			}
			break
		}
	}
	return best, best != nil
}

func (r *hostRoutes) slashed(path string) *Match {
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
