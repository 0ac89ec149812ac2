package table

import (
	"slices"
	"strings"
)

// matcher finds the service of a request by host and longest path prefix.
type matcher struct {
	byHost map[string]*prefixes // by lower-case host; "" holds services of any host
}

// prefixes finds the longest of a set of prefixes that a path begins with.
type prefixes struct {
	services map[string]*Service
	lengths  []int // distinct lengths, longest first
}

func newMatcher(services []*Service) *matcher {
	m := &matcher{byHost: map[string]*prefixes{}}
	for _, s := range services {
		hosts, paths := s.File.Match.Hosts, s.File.Match.PathPrefixes
		if len(hosts) == 0 && len(paths) == 0 {
			continue
		}
		if len(hosts) == 0 {
			hosts = []string{""}
		}
		if len(paths) == 0 {
			paths = []string{""}
		}
		for _, h := range hosts {
			m.add(strings.ToLower(h), paths, s)
		}
	}
	return m
}

func (m *matcher) add(host string, paths []string, s *Service) {
	p := m.byHost[host]
	if p == nil {
		p = &prefixes{services: map[string]*Service{}}
		m.byHost[host] = p
	}
	for _, path := range paths {
		p.services[path] = s
		if !slices.Contains(p.lengths, len(path)) {
			p.lengths = append(p.lengths, len(path))
		}
	}
	slices.SortFunc(p.lengths, func(a, b int) int { return b - a })
}

func (p *prefixes) find(path string) (*Service, string, bool) {
	if p == nil {
		return nil, "", false
	}
	for _, n := range p.lengths {
		if n > len(path) {
			continue
		}
		if s, ok := p.services[path[:n]]; ok {
			return s, path[:n], true
		}
	}
	return nil, "", false
}

// Match returns the service that a request belongs to and the path prefix that
// matched, which is empty when only the host did. The longest prefix wins; with
// equal prefixes, a service that names the host wins.
func (t *Table) Match(host, path string) (service *Service, prefix string, ok bool) {
	named, namedPrefix, isNamed := t.matcher.byHost[strings.ToLower(host)].find(path)
	anyHost, anyPrefix, isAny := t.matcher.byHost[""].find(path)
	if isNamed && (!isAny || len(namedPrefix) >= len(anyPrefix)) {
		return named, namedPrefix, true
	}
	return anyHost, anyPrefix, isAny
}
