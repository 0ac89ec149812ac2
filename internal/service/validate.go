package service

import (
	"fmt"
	"maps"
	"net/http"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/agatestep/agatestep/internal/yamldoc"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
	tokenPattern  = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
)

func elementField(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

func validate(f *File, d *yamldoc.Document) {
	d.Require(namePattern.MatchString(f.Service), "service",
		"is %q; must be 1 to 63 lower-case letters, digits and hyphens, starting with a letter", f.Service)
	d.Require(namePattern.MatchString(f.Team), "team",
		"is %q; must be 1 to 63 lower-case letters, digits and hyphens, starting with a letter", f.Team)
	d.Require(f.Version >= 1, "version", "must be given and at least 1")
	validateMatch(f, d)
	validateKey(f, d)
	validateBackend(f, d)
	validateDeadline(f, d)
	validateIdempotent(f, d)
	d.Require(f.DataCentres.Prefer == "local" || f.DataCentres.Prefer == "any", "data_centres.prefer",
		"is %q; must be local or any", f.DataCentres.Prefer)
	d.Require(f.Prefer == PreferAvailability || f.Prefer == PreferTailLatency, "prefer",
		"is %q; must be %s or %s", f.Prefer, PreferAvailability, PreferTailLatency)
	yamldoc.RequireRange(d, "max_body_bytes", f.MaxBodyBytes, 0, maxBodyBytes)
	validateExpectations(f, d)
}

func requireMaxEntries(d *yamldoc.Document, field string, n int) {
	d.Require(n <= MaxEntries, field, "has %d entries; at most %d are allowed", n, MaxEntries)
}

func validateMatch(f *File, d *yamldoc.Document) {
	d.Require(len(f.Match.Hosts)+len(f.Match.PathPrefixes) > 0, "match",
		"must give hosts, path_prefixes or both")
	requireMaxEntries(d, "match.hosts", len(f.Match.Hosts))
	requireMaxEntries(d, "match.path_prefixes", len(f.Match.PathPrefixes))
	d.Require(len(f.hostPrefixes()) <= MaxHostPrefixes, "match", "gives %d pairs of a host and a path prefix; at most %d are allowed",
		len(f.Match.Hosts)*len(f.Match.PathPrefixes), MaxHostPrefixes)
	for i, host := range f.Match.Hosts {
		field := elementField("match.hosts", i)
		d.Require(len(host) <= 253 && hostPattern.MatchString(host), field,
			"is %q; must be a lower-case host name or IPv4 address without scheme, port or wildcard", host)
		d.Require(!slices.Contains(f.Match.Hosts[:i], host), field, "repeats host %q", host)
	}
	var seenPrefixes []string
	for i, prefix := range f.Match.PathPrefixes {
		field := elementField("match.path_prefixes", i)
		validatePathPrefix(d, field, prefix)
		base := strings.TrimSuffix(prefix, "/")
		d.Require(!slices.Contains(seenPrefixes, base), field, "repeats path prefix %q, with or without the final slash", prefix)
		seenPrefixes = append(seenPrefixes, base)
	}
}

// validatePathPrefix checks a path prefix, which is compared with decoded request paths.
func validatePathPrefix(d *yamldoc.Document, field, prefix string) {
	canonical := strings.HasPrefix(prefix, "/") && strings.TrimSuffix(path.Clean(prefix), "/") == strings.TrimSuffix(prefix, "/")
	d.Require(canonical && len(prefix) <= 1024 && !strings.ContainsAny(prefix, "?#*%"), field,
		"is %q; must start with / and have no empty, . or .. segments, no ?, #, * or %%, and at most 1024 bytes", prefix)
}

func validateKey(f *File, d *yamldoc.Document) {
	if f.Key == nil {
		d.Require(!d.Has("slices"), "slices", "is allowed only together with key")
		return
	}
	sources := 0
	for _, name := range []string{"header", "query", "path_segment"} {
		if d.Has("key." + name) {
			sources++
		}
	}
	d.Require(sources == 1, "key", "must give exactly one of header, query and path_segment")
	d.Require(!d.Has("key.header") || tokenPattern.MatchString(f.Key.Header), "key.header",
		"is %q; must be the name of an HTTP header", f.Key.Header)
	// net/http removes Host from the header map, so a key there would never be found.
	d.Require(http.CanonicalHeaderKey(f.Key.Header) != "Host", "key.header", "must not be Host")
	d.Require(!d.Has("key.query") || f.Key.Query != "", "key.query", "must be the name of a query parameter")
	if d.Has("key.path_segment") {
		yamldoc.RequireRange(d, "key.path_segment", f.Key.PathSegment, 0, 63)
	}
	yamldoc.RequireRange(d, "slices", f.Slices, 1, MaxSlices)
}

func validateBackend(f *File, d *yamldoc.Document) {
	yamldoc.RequireRange(d, "backend.slots", f.Backend.Slots, 1, MaxSlots)
	yamldoc.RequireRange(d, "backend.connections", f.Backend.Connections, 1, MaxConnections)
	d.Require(f.Backend.Connections >= f.Backend.Slots, "backend.connections",
		"is %d; must be at least backend.slots, %d", f.Backend.Connections, f.Backend.Slots)
	yamldoc.RequireRange(d, "backend.connection_cost", f.Backend.ConnectionCost, 0, maxSetupCost)
	yamldoc.RequireRange(d, "backend.probe_cost", f.Backend.ProbeCost, 0, maxSetupCost)
	yamldoc.RequireRange(d, "cold_start.limit", f.ColdStart.Limit, 1, MaxSlots)
	d.Require(f.ColdStart.Limit <= f.Backend.Slots, "cold_start.limit",
		"is %d; must be at most backend.slots, %d", f.ColdStart.Limit, f.Backend.Slots)
	yamldoc.RequireRange(d, "cold_start.ramp", f.ColdStart.Ramp, 0, maxRamp)
}

func validateDeadline(f *File, d *yamldoc.Document) {
	yamldoc.RequireRange(d, "deadline.default", f.Deadline.Default, time.Millisecond, MaxDeadline)
	yamldoc.RequireRange(d, "deadline.max", f.Deadline.Max, time.Millisecond, MaxDeadline)
	d.Require(f.Deadline.Default <= f.Deadline.Max, "deadline.default",
		"is %v; must be at most deadline.max, %v", f.Deadline.Default, f.Deadline.Max)
}

func validateIdempotent(f *File, d *yamldoc.Document) {
	requireMaxEntries(d, "idempotent", len(f.Idempotent))
	for i, rule := range f.Idempotent {
		field := elementField("idempotent", i)
		d.Require(len(rule.Methods) > 0, field, "must give methods")
		requireMaxEntries(d, field+".paths", len(rule.Paths))
		for j, method := range rule.Methods {
			validateMethod(d, elementField(field+".methods", j), method)
		}
		for j, prefix := range rule.Paths {
			validatePathPrefix(d, elementField(field+".paths", j), prefix)
		}
	}
}

func validateMethod(d *yamldoc.Document, field, method string) {
	d.Require(methodPattern.MatchString(method), field, "is %q; must be an HTTP method in capitals, such as GET", method)
}

func validateExpectations(f *File, d *yamldoc.Document) {
	requireMaxEntries(d, "expect", len(f.Expect))
	for i, e := range f.Expect {
		field := elementField("expect", i)
		validateMethod(d, field+".request.method", e.Request.Method)
		_, err := e.Request.toHTTPRequest()
		d.Require(err == nil, field+".request.path", "is %q; must be a path that starts with /, with an optional query", e.Request.Path)
		d.Require(e.Service == "" || namePattern.MatchString(e.Service), field+".service",
			"is %q; must be the name of a service, or left out when no service may match", e.Service)
		d.Require(e.Service != "" || e.Key == "" && e.Idempotent == nil, field,
			"gives key or idempotent without service")
		validateHeaders(d, field+".request.headers", e.Request.Headers)
	}
}

// validateHeaders iterates over the names in sorted order, because every control
// replica must report the same problems in the same order.
func validateHeaders(d *yamldoc.Document, field string, headers map[string]string) {
	seenNames := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(headers)) {
		canonical := http.CanonicalHeaderKey(name)
		if !tokenPattern.MatchString(name) {
			d.AddProblem(field, "%q is not the name of an HTTP header", name)
		}
		if seenNames[canonical] {
			d.AddProblem(field, "%q repeats a header in another case; give it once", name)
		}
		seenNames[canonical] = true
	}
}
