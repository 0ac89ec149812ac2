package service

import (
	pathpkg "path"
	"strings"
)

// Matcher finds the service that a request belongs to. It is immutable and
// safe for concurrent use.
//
// A file matches when one of its hosts is the request's host, or it lists no
// hosts, and one of its path prefixes covers the path, or it lists none.
// Prefixes cover whole segments: /a covers /a and /a/b but not /ab, and /a/
// covers /a/ and /a/b. Files that list the host come before files that list no
// hosts; among them the longest prefix wins.
type Matcher struct {
	byHost        map[string]map[string]*File // by host, "" for any, then by prefix
	longestPrefix int
}

// NewMatcher returns a matcher over files. When two files list the same host
// and prefix, the earlier one wins; CheckSet rejects such sets.
func NewMatcher(files []*File) *Matcher {
	m := &Matcher{byHost: map[string]map[string]*File{}}
	for _, f := range files {
		for _, pair := range f.hostPrefixes() {
			prefixes := m.byHost[pair.host]
			if prefixes == nil {
				prefixes = map[string]*File{}
				m.byHost[pair.host] = prefixes
			}
			if prefixes[pair.prefix] == nil {
				prefixes[pair.prefix] = f
			}
			m.longestPrefix = max(m.longestPrefix, len(pair.prefix))
		}
	}
	return m
}

// MatchRequest returns the file that a request to host and path belongs to and
// the path prefix that matched, or nil. Use a Matcher to match many requests.
func MatchRequest(files []*File, host, path string) (*File, string) {
	return NewMatcher(files).Match(host, path)
}

// Match returns the file that a request to host and path belongs to and the
// path prefix that matched, or nil. The path is the decoded path.
func (m *Matcher) Match(host, path string) (*File, string) {
	if f, prefix := m.matchPath(m.byHost[CanonicalHost(host)], path); f != nil {
		return f, prefix
	}
	return m.matchPath(m.byHost[""], path)
}

// matchPath tries the prefixes of path from the longest to the shortest.
func (m *Matcher) matchPath(prefixes map[string]*File, path string) (*File, string) {
	if len(prefixes) == 0 {
		return nil, ""
	}
	if len(path) <= m.longestPrefix {
		if f := prefixes[path]; f != nil {
			return f, path
		}
	}
	for end := len(path); end > 0; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			break
		}
		if end >= m.longestPrefix+1 {
			continue
		}
		if f := prefixes[path[:end+1]]; f != nil {
			return f, path[:end+1]
		}
		if f := prefixes[path[:end]]; f != nil && end > 0 {
			return f, path[:end]
		}
	}
	return nil, ""
}

// hostPrefix is a pair of host and path prefix that a file matches. An empty host
// matches any host.
type hostPrefix struct{ host, prefix string }

func (f *File) hostPrefixes() []hostPrefix {
	hosts, prefixes := f.Match.Hosts, f.Match.PathPrefixes
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	if len(prefixes) == 0 {
		prefixes = []string{"/"}
	}
	pairs := make([]hostPrefix, 0, len(hosts)*len(prefixes))
	for _, host := range hosts {
		for _, prefix := range prefixes {
			pairs = append(pairs, hostPrefix{host, prefix})
		}
	}
	return pairs
}

// CanonicalHost returns the host of a Host header in lower case, without port
// and trailing dot. It does not allocate when the host is in lower case.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		if strings.IndexByte(host, ':') == i || strings.HasPrefix(host, "[") {
			host = host[:i]
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// IsIdempotent reports whether the service file allows a request to run more
// than once. The path is the decoded path. A path with empty, . or .. segments
// matches no rule that lists paths, because the backend server may resolve it to
// a path outside the rule.
func (f *File) IsIdempotent(method, path string) bool {
	for _, rule := range f.Idempotent {
		if rule.matches(method, path) {
			return true
		}
	}
	return false
}

func (r IdempotentRule) matches(method, path string) bool {
	listed := false
	for _, m := range r.Methods {
		listed = listed || m == method
	}
	if !listed || len(r.Paths) == 0 {
		return listed
	}
	if strings.TrimSuffix(pathpkg.Clean(path), "/") != strings.TrimSuffix(path, "/") {
		return false
	}
	for _, prefix := range r.Paths {
		if prefixCovers(prefix, path) {
			return true
		}
	}
	return false
}

// prefixCovers reports whether path starts with prefix and prefix ends at a
// segment boundary of path.
func prefixCovers(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}
