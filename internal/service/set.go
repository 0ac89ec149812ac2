package service

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/agatestep/agatestep/internal/yamldoc"
)

// SourceFile is a service file that has not been parsed.
type SourceFile struct {
	Name    string
	Content string
}

// Set is a valid set of service files, in the order given.
type Set struct {
	Files []*File
}

// CheckSet validates files one by one and together: service names and pairs of
// host and path prefix must be unique, and every expectation must hold over the
// whole set. It reports every problem; the set is nil when there are any.
func CheckSet(files []SourceFile) (*Set, []Problem) {
	parsed := make([]parsedFile, 0, len(files))
	allDecoded := true
	for _, source := range files {
		p := parse(source.Name, []byte(source.Content))
		allDecoded = allDecoded && p.file != nil
		parsed = append(parsed, p)
	}
	checkServiceNames(parsed)
	checkHostPrefixes(parsed)
	// If a file cannot be decoded, expectations would fail because the service
	// that they name is missing.
	if allDecoded {
		checkExpectations(parsed)
	}
	set := &Set{}
	var problems []Problem
	for _, p := range parsed {
		set.Files = append(set.Files, p.file)
		problems = append(problems, p.doc.Problems()...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return set, nil
}

// CheckAgainst validates files together with those published files that they do
// not replace. It also reports problems with published files, because publishing
// would cause them.
func CheckAgainst(files []SourceFile, published []*File) []Problem {
	set, problems := CheckSet(files)
	if len(problems) > 0 {
		return problems
	}
	replaced := map[string]bool{}
	for _, f := range set.Files {
		replaced[f.Service] = true
	}
	var all []parsedFile
	for _, f := range published {
		if !replaced[f.Service] {
			doc, _ := yamldoc.Decode("published "+f.Service, []byte("{}"), &File{})
			all = append(all, parsedFile{name: "published " + f.Service, file: f, doc: doc})
		}
	}
	for _, source := range files {
		all = append(all, parse(source.Name, []byte(source.Content)))
	}
	checkHostPrefixes(all)
	checkExpectations(all)
	for _, p := range all {
		problems = append(problems, p.doc.Problems()...)
	}
	return problems
}

func checkServiceNames(parsed []parsedFile) {
	definedBy := map[string]parsedFile{}
	for _, p := range parsed {
		if p.file == nil || p.file.Service == "" {
			continue
		}
		if other, defined := definedBy[p.file.Service]; defined {
			p.doc.AddProblem("service", "service %q is already defined in %s by team %q", p.file.Service, other.name, other.file.Team)
			continue
		}
		definedBy[p.file.Service] = p
	}
}

// checkHostPrefixes reports pairs of host and prefix that two files list. A
// prefix with and without its final slash is the same prefix.
func checkHostPrefixes(parsed []parsedFile) {
	claimedBy := map[hostPrefix]parsedFile{}
	for _, p := range parsed {
		if p.file == nil || len(p.file.Match.Hosts)+len(p.file.Match.PathPrefixes) == 0 {
			continue
		}
		for _, pair := range p.file.hostPrefixes() {
			pair.prefix = strings.TrimSuffix(pair.prefix, "/")
			other, claimed := claimedBy[pair]
			if !claimed {
				claimedBy[pair] = p
			} else if other.file != p.file {
				p.doc.AddProblem("match", "%s is already claimed by service %q of team %q in %s",
					pair, other.file.Service, other.file.Team, other.name)
			}
		}
	}
}

// String describes the pair for the reason of a problem.
func (p hostPrefix) String() string {
	host := "any host"
	if p.host != "" {
		host = "host " + p.host
	}
	return fmt.Sprintf("path prefix %q on %s", p.prefix+"/", host)
}

func checkExpectations(parsed []parsedFile) {
	files := make([]*File, 0, len(parsed))
	for _, p := range parsed {
		files = append(files, p.file)
	}
	matcher := NewMatcher(files)
	for _, p := range parsed {
		for i, e := range p.file.Expect {
			if reason := e.describeMismatch(matcher); reason != "" {
				p.doc.AddProblem(elementField("expect", i), "%s", reason)
			}
		}
	}
}

// describeMismatch describes how the routing differs from the expectation; it is empty
// when the expectation holds.
func (e Expectation) describeMismatch(m *Matcher) string {
	request, err := e.Request.toHTTPRequest()
	if err != nil {
		return "" // validate has already reported it
	}
	f, prefix := m.Match(e.Request.Host, request.URL.Path)
	if f == nil && e.Service == "" {
		return ""
	}
	if f == nil || f.Service != e.Service {
		return fmt.Sprintf("expects %s, but the request routes to %s", describeService(e.Service), describeRoute(f))
	}
	if e.Key != "" {
		key, err := f.KeyOf(request, prefix)
		if err != nil {
			return fmt.Sprintf("expects key %q, but the %v", e.Key, err)
		}
		if key != e.Key {
			return fmt.Sprintf("expects key %q, but the key is %q", e.Key, key)
		}
	}
	if got := f.IsIdempotent(request.Method, request.URL.Path); e.Idempotent != nil && got != *e.Idempotent {
		return fmt.Sprintf("expects idempotent %t, but service %q makes it %t", *e.Idempotent, f.Service, got)
	}
	return ""
}

func describeService(name string) string {
	if name == "" {
		return "no service"
	}
	return fmt.Sprintf("service %q", name)
}

func describeRoute(f *File) string {
	if f == nil {
		return "no service"
	}
	return fmt.Sprintf("service %q of team %q", f.Service, f.Team)
}

// toHTTPRequest returns the request as an entry host would receive it.
func (s RequestSpec) toHTTPRequest() (*http.Request, error) {
	u, err := url.ParseRequestURI(s.Path)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(s.Path, "/") {
		return nil, fmt.Errorf("path %q does not start with /", s.Path)
	}
	r := &http.Request{Method: s.Method, URL: u, Host: s.Host, Header: http.Header{}}
	for name, value := range s.Headers {
		r.Header.Set(name, value)
	}
	return r, nil
}
