package service

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/agatestep/agatestep/internal/yamldoc"
)

// SourceFile is a service file as its team wrote it.
type SourceFile struct {
	Name    string
	Content string
}

// Set is a checked set of service files, in the order given.
type Set struct {
	Files []*File
}

// CheckSet validates files one by one and together: service names and claims
// of hosts and prefixes must be unique, and every expectation must hold over
// the whole set. It reports every mistake; the set is nil when there are any.
func CheckSet(files []SourceFile) (*Set, []Problem) {
	parsed := make([]parsedFile, 0, len(files))
	readable := true
	for _, source := range files {
		p := parse(source.Name, []byte(source.Content))
		readable = readable && p.file != nil
		parsed = append(parsed, p)
	}
	checkNames(parsed)
	checkClaims(parsed)
	// Without the content of every file, expectations would fail for lack of
	// the service that they name.
	if readable {
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

// CheckAgainst validates files together with the published ones, of which it
// keeps those that the files do not replace. Problems with published files are
// reported too, because they are what publishing would break.
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
	checkClaims(all)
	checkExpectations(all)
	for _, p := range all {
		problems = append(problems, p.doc.Problems()...)
	}
	return problems
}

func checkNames(parsed []parsedFile) {
	first := map[string]parsedFile{}
	for _, p := range parsed {
		if p.file == nil || p.file.Service == "" {
			continue
		}
		if other, taken := first[p.file.Service]; taken {
			p.doc.Add("service", "service %q is already defined in %s by team %q", p.file.Service, other.name, other.file.Team)
			continue
		}
		first[p.file.Service] = p
	}
}

// checkClaims reports claims of the same host and prefix by two files. A
// prefix with and without its final slash is the same claim.
func checkClaims(parsed []parsedFile) {
	first := map[claim]parsedFile{}
	for _, p := range parsed {
		if p.file == nil || len(p.file.Match.Hosts)+len(p.file.Match.PathPrefixes) == 0 {
			continue
		}
		for _, c := range p.file.claims() {
			c.prefix = strings.TrimSuffix(c.prefix, "/")
			other, taken := first[c]
			if !taken {
				first[c] = p
			} else if other.file != p.file {
				p.doc.Add("match", "%s is already claimed by service %q of team %q in %s",
					c, other.file.Service, other.file.Team, other.name)
			}
		}
	}
}

// String describes the claim for a problem.
func (c claim) String() string {
	host := "any host"
	if c.host != "" {
		host = "host " + c.host
	}
	return fmt.Sprintf("path prefix %q on %s", c.prefix+"/", host)
}

func checkExpectations(parsed []parsedFile) {
	files := make([]*File, 0, len(parsed))
	for _, p := range parsed {
		files = append(files, p.file)
	}
	matcher := NewMatcher(files)
	for _, p := range parsed {
		for i, e := range p.file.Expect {
			if reason := e.check(matcher); reason != "" {
				p.doc.Add(itemField("expect", i), "%s", reason)
			}
		}
	}
}

// check returns how the routing differs from the expectation, or nothing.
func (e Expectation) check(m *Matcher) string {
	request, err := e.Request.httpRequest()
	if err != nil {
		return "" // reported by the validation of the file
	}
	f, prefix := m.Match(e.Request.Host, request.URL.Path)
	if f == nil && e.Service == "" {
		return ""
	}
	if f == nil || f.Service != e.Service {
		return fmt.Sprintf("expects %s, but the request routes to %s", serviceText(e.Service), routedText(f))
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

func serviceText(name string) string {
	if name == "" {
		return "no service"
	}
	return fmt.Sprintf("service %q", name)
}

func routedText(f *File) string {
	if f == nil {
		return "no service"
	}
	return fmt.Sprintf("service %q of team %q", f.Service, f.Team)
}

// httpRequest returns the request in the form in which entry hosts see it.
func (s RequestShape) httpRequest() (*http.Request, error) {
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
