package service

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/tools/txtar"
)

// runCheckArchive runs CheckSet on the files of a txtar archive and returns the
// reported problems and those that the archive expects.
func runCheckArchive(t testing.TB, path string) (got, want string) {
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var files []SourceFile
	for _, f := range archive.Files {
		if f.Name == "want" {
			want = string(f.Data)
			continue
		}
		files = append(files, SourceFile{Name: f.Name, Content: string(f.Data)})
	}
	set, problems := CheckSet(files)
	if (set == nil) != (len(problems) > 0) {
		t.Errorf("set %v with %d problems", set, len(problems))
	}
	for _, p := range problems {
		got += p.String() + "\n"
	}
	return got, want
}

// Guards against mistakes that are accepted, or reported without their line,
// field or rule.
func TestCheckSet(t *testing.T) {
	paths, _ := filepath.Glob("testdata/check/*.txtar")
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			if got, want := runCheckArchive(t, path); got != want {
				t.Errorf("problems:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// Guards against requests that run on the owner of another key: a missing or
// ambiguous key must be rejected, and an escaped slash must not split a key.
func TestKeyOf(t *testing.T) {
	header, query := KeySource{Header: "X-Key", PathSegment: -1}, KeySource{Query: "k", PathSegment: -1}
	for _, tc := range []struct {
		source            KeySource
		url, header, want string
	}{
		{header, "/", "a", "a"},
		{header, "/", "", "key in header X-Key is missing"},
		{header, "/", "a\nb", "key in header X-Key is given 2 times; it must be given once"},
		{header, "/", strings.Repeat("a", MaxKeyBytes+1), "key in header X-Key has 513 bytes; at most 512 are allowed"},
		{query, "/?k=a%20b", "", "a b"},
		{query, "/?k=", "", "key in query parameter k is empty"},
		{query, "/?k=a&k=a", "", "key in query parameter k is given 2 times; it must be given once"},
		{query, "/?k=a;b", "", "key in query parameter k cannot be read: the query is malformed"},
		{KeySource{PathSegment: 1}, "/p/x/a%2Fb/c", "", "a/b"},
		{KeySource{PathSegment: 1}, "/p/x", "", "key in path segment 1 after /p/ is missing"},
	} {
		r := httptest.NewRequest("GET", tc.url, nil)
		for _, value := range strings.Split(tc.header, "\n") {
			if value != "" {
				r.Header.Add("X-Key", value)
			}
		}
		got, err := (&File{Key: &tc.source}).KeyOf(r, "/p/")
		var keyError *KeyError
		if errors.As(err, &keyError) {
			got = err.Error()
		}
		if got != tc.want {
			t.Errorf("%+v %s: got %q, want %q", tc.source, tc.url, got, tc.want)
		}
	}
}

// Guards against a hash that changes between versions, which would move all keys
// to other slices.
func TestHashKeyIsStable(t *testing.T) {
	is := is.New(t)
	is.Equal(HashKey(""), uint64(0xef46db3751d8e999)) // published test vectors of xxHash64
	is.Equal(HashKey("a"), uint64(0xd24ec4f1a98c6e5b))
}

// Guards against a file without hosts that wins by its longer prefix over a file that
// lists the host.
func TestMatchPrefersHostThenLongestPrefix(t *testing.T) {
	files := []*File{
		{Service: "host", Match: Match{Hosts: []string{"h.example"}}},
		{Service: "long", Match: Match{PathPrefixes: []string{"/a/b/"}}},
		{Service: "short", Match: Match{PathPrefixes: []string{"/a"}}},
	}
	for request, want := range map[string]string{
		"h.example /a/b/c": "host /", "[::1]:80 /a/b/c": "long /a/b/", "x /a/b": "short /a",
		"x /a/": "short /a", "x /ab": "", "x ": "", "x *": "", "h.example:80 /a": "host /",
	} {
		host, path, _ := strings.Cut(request, " ")
		f, prefix := MatchRequest(files, host, path)
		got := ""
		if f != nil {
			got = f.Service + " " + prefix
		}
		if got != want {
			t.Errorf("%q matches %q, want %q", request, got, want)
		}
	}
	m := NewMatcher(files)
	is.New(t).Equal(testing.AllocsPerRun(100, func() { m.Match("other.example:80", "/a/b/c/d") }), 0.0)
}

func generateFiles(n int) []SourceFile {
	files := make([]SourceFile, n)
	for i := range files {
		files[i] = SourceFile{Name: fmt.Sprintf("s%d.yaml", i), Content: fmt.Sprintf(`
service: s%[1]d
team: t%[2]d
version: 3
match: {hosts: [s%[1]d.example], path_prefixes: [/s%[1]d/]}
key: {header: X-Key}
backend: {slots: 4, connections: 110, connection_cost: 1ms, probe_cost: 0s}
deadline: {default: 2s, max: 60s}
idempotent: [{methods: [GET, HEAD]}, {methods: [PUT], paths: [/s%[1]d/scan/]}]
cold_start: {limit: 1, ramp: 5s}
slices: 1024
expect:
  - {request: {method: GET, host: s%[1]d.example, path: /s%[1]d/w, headers: {X-Key: w}}, service: s%[1]d, key: w, idempotent: true}
`, i, i%100)}
	}
	return files
}

func BenchmarkCheckSet1000Files(b *testing.B) {
	files := generateFiles(1000)
	for b.Loop() {
		if _, problems := CheckSet(files); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}

func BenchmarkMatch1000Files(b *testing.B) {
	set, _ := CheckSet(generateFiles(1000))
	m := NewMatcher(set.Files)
	for b.Loop() {
		m.Match("s500.example", "/s500/scan/1")
	}
}

// Guards against panics and endless loops on service files from teams, against
// problems without a line, and against results that differ between replicas.
func FuzzCheckSet(f *testing.F) {
	paths, _ := filepath.Glob("testdata/check/*.txtar")
	for _, path := range paths {
		archive, _ := txtar.ParseFile(path)
		for _, file := range archive.Files {
			f.Add(string(file.Data))
		}
	}
	f.Fuzz(func(t *testing.T, content string) {
		files := []SourceFile{{Name: "f.yaml", Content: content}}
		_, problems := CheckSet(files)
		if _, repeated := CheckSet(files); !slices.Equal(repeated, problems) {
			t.Errorf("first %v, then %v", problems, repeated)
		}
		for _, p := range problems {
			if p.Line < 1 || p.Reason == "" {
				t.Errorf("incomplete problem %+v", p)
			}
		}
	})
}

// Guards against a matcher whose result differs from a linear search over all prefixes.
func FuzzMatch(f *testing.F) {
	f.Add("/a/b", "/a", "/a/b/c")
	f.Add("/a/b/", "/", "//a/b/")
	f.Fuzz(func(t *testing.T, first, second, path string) {
		if first == "" || second == "" || first[0] != '/' || second[0] != '/' || first == second {
			return
		}
		files := []*File{{Match: Match{PathPrefixes: []string{first}}}, {Match: Match{PathPrefixes: []string{second}}}}
		want := ""
		for _, prefix := range []string{first, second} {
			if prefixCovers(prefix, path) && len(prefix) > len(want) {
				want = prefix
			}
		}
		if _, got := MatchRequest(files, "", path); got != want {
			t.Errorf("matched %q, want %q", got, want)
		}
	})
}
