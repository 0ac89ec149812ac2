package table

import "github.com/agatestep/agatestep/internal/service"

// matcher finds the service of a request.
type matcher struct {
	files    *service.Matcher
	services map[*service.File]*Service
}

func newMatcher(services []*Service) *matcher {
	m := &matcher{services: make(map[*service.File]*Service, len(services))}
	files := make([]*service.File, 0, len(services))
	for _, s := range services {
		if len(s.File.Match.Hosts)+len(s.File.Match.PathPrefixes) == 0 {
			continue // only reachable through route items
		}
		files = append(files, s.File)
		m.services[s.File] = s
	}
	m.files = service.NewMatcher(files)
	return m
}

// Match returns the service that a request belongs to and the path prefix that
// matched. The rules are those of service.Matcher.
func (t *Table) Match(host, path string) (s *Service, prefix string, ok bool) {
	f, prefix := t.matcher.files.Match(host, path)
	if f == nil {
		return nil, "", false
	}
	return t.matcher.services[f], prefix, true
}
