package items

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func route(name string, version uint64, prefix, service string) Item {
	return Item{Key: Key{KindRoute, name}, Version: version, Route: &Route{
		Host: "desk.example", PathPrefix: prefix, Timeout: time.Second, MaxAttempts: 2,
		Shares: []Share{{Service: service, Weight: 1}},
	}}
}

func service(name string, version uint64) Item {
	return Item{Key: Key{KindService, name}, Version: version, Service: &Service{Keyed: true}}
}

// Guards against an older change that arrives late and takes effect again, and
// against other content under a version that is already in the set.
func TestHighestVersionWins(t *testing.T) {
	is := is.New(t)
	s := NewSet(service("desk", 1), route("r", 4, "/a/", "desk"))
	same, changed := s.Apply([]Item{route("r", 4, "/other/", "desk"), route("r", 3, "/old/", "desk")})
	is.Equal(len(changed), 0)
	is.Equal(same, s)
	removed, changed := s.Apply([]Item{{Key: Key{KindRoute, "r"}, Version: 6, Removed: true}})
	is.Equal(len(changed), 1)
	_, ok := removed.Match("desk.example", "/a/x")
	is.True(!ok)
	unchanged, changed := removed.Apply([]Item{route("r", 5, "/a/", "desk")})
	is.Equal(len(changed), 0) // a removed item does not return with a lower version
	is.Equal(len(unchanged.Active()), 1)
	_, ok = s.Match("desk.example", "/a/x")
	is.True(ok) // the earlier set is unchanged
}

// Guards against results that depend on the order or repetition of patches.
func TestPatchOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Content is a function of name and version, as operators must keep it.
		var patch []Item
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 19), 1, 12).Draw(t, "items") {
			name, version := fmt.Sprint(n%4), uint64(n/4)
			item := route(name, version, fmt.Sprintf("/%d/", version), "desk")
			if version%3 == 2 {
				item.Removed, item.Route = true, nil
			}
			patch = append(patch, item)
		}
		a, _ := NewSet().Apply(patch)
		b := NewSet()
		for _, i := range rapid.Permutation(patch).Draw(t, "order") {
			b, _ = b.Apply([]Item{i})
			b, _ = b.Apply(patch[:1])
		}
		if fmt.Sprint(versions(a)) != fmt.Sprint(versions(b)) {
			t.Fatalf("%v != %v", versions(a), versions(b))
		}
	})
}

func versions(s *Set) map[string]string {
	out := map[string]string{}
	for _, i := range s.All() {
		out[i.Name] = fmt.Sprint(i.Version, i.Removed)
	}
	return out
}

// Guards against a shorter prefix that wins and against matches across host names.
func TestMatchPicksTheLongestPrefix(t *testing.T) {
	s := NewSet(route("root", 1, "/", "desk"), route("a", 1, "/a/", "desk"), route("ab", 1, "/a/b/", "desk"), route("raw", 1, "/a/bc", "desk"))
	for _, c := range []struct{ host, path, want string }{
		{"desk.example", "/", "root"},
		{"desk.example", "/a", "root"},
		{"DESK.example:8080", "/a/x", "a"},
		{"desk.example", "/a/b/", "ab"},
		{"desk.example", "/a/bcd", "raw"},
		{"other.example", "/a/", ""},
		{"desk.example", "*", ""},
	} {
		m, ok := s.Match(c.host, c.path)
		got := ""
		if ok {
			got = m.Name
		}
		is.New(t).Equal(c.host+c.path+" "+got, c.host+c.path+" "+c.want)
	}
}

// Guards against an invalid patch that is accepted, and a valid one that is refused.
func TestValidate(t *testing.T) {
	s := NewSet(service("desk", 1))
	for name, c := range map[string]struct {
		change func(*Route)
		want   string
	}{
		"valid":              {func(*Route) {}, ""},
		"unknown service":    {func(r *Route) { r.Shares[0].Service = "x" }, `service "x" is unknown`},
		"negative weight":    {func(r *Route) { r.Shares = append(r.Shares, Share{"desk", -0.1}) }, "below 0"},
		"timeout too long":   {func(r *Route) { r.Timeout = 10*time.Minute + 1 }, "timeout"},
		"longest timeout":    {func(r *Route) { r.Timeout = 10 * time.Minute }, ""},
		"target too high":    {func(r *Route) { r.Target = r.Timeout + time.Minute }, "target latency"},
		"highest target":     {func(r *Route) { r.Target = r.Timeout + time.Minute - 1 }, ""},
		"no leading slash":   {func(r *Route) { r.PathPrefix = "a/" }, "does not begin"},
		"no weight anywhere": {func(r *Route) { r.Shares[0].Weight = 0 }, "all weights"},
		"no service":         {func(r *Route) { r.Shares = nil }, "no service"},
	} {
		item := route("r", 1, "/a/", "desk")
		c.change(item.Route)
		got := strings.Join(s.Validate([]Item{item}), "; ")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
	is.New(t).Equal(len(s.Validate([]Item{service("new", 1), route("r", 1, "/", "new")})), 0)
}
