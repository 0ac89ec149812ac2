package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
)

// All hosts start at once, and none has a configuration yet. Guards against callers that use
// up their attempts within milliseconds because there is no Retry-After, and against callers
// that all retry at the same moment.
func TestRetryAfterWithoutConfiguration(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	times := map[string]bool{}
	for range 4 {
		status, _, header := w.send("GET", "/read/x", nil)
		is.Equal(status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after >= noConfigurationRetryAfter.Seconds() && after <= (1+retryJitter)*noConfigurationRetryAfter.Seconds())
		times[header.Get("Retry-After")] = true
	}
	is.True(len(times) > 1)
	w.configure()
	_, _, header := w.send("GET", "/unknown/x", nil)
	is.Equal(header.Get("Retry-After"), "") // a retry would be refused as well
}

// Guards against a request that reaches a server long after the server announced that it
// leaves, because the request waited for its permit in the meantime.
func TestPermitForLeavingServerIsNotUsed(t *testing.T) {
	for name, c := range map[string]struct {
		service, path string
		change        func(*table.Backend)
	}{
		"the owner of a key leaves":     {"desk", "/book/x", func(b *table.Backend) { b.Leaving = true }},
		"the owner of a key is drained": {"desk", "/book/x", func(b *table.Backend) { b.Draining = true }},
		"the owner of a key is lost":    {"desk", "/book/x", func(b *table.Backend) { b.Lost = true }},
		"a cold server leaves":          {"vault", "/scan/x", func(b *table.Backend) { b.Leaving = true }},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.gateway.cfg.Limits.LeaveGracePeriod, w.gateway.cfg.Limits.DrainGracePeriod = 0, 0
			w.configure()
			server := w.startBackend(c.service, "b1", respondHello)
			address := server.Listener.Addr().String()
			w.putBackend(c.service, "b1", address, func(b *table.Backend) { b.Cold = true })
			if c.service == "desk" {
				w.setOwner("b1", 9)
			}
			w.onPermitRequest = func() { w.putBackend(c.service, "b1", address, c.change) }
			status, _, header := w.send("POST", c.path, strings.NewReader("order"))
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(header.Get(verdict.Header), "not-run")
			is.Equal(w.requestsReceived(), 0)
			is.Equal(len(w.permitReleases), 1) // the permit is returned
		})
	}
}

// A host on a congested link learns late that a server leaves. Guards against a host that then
// goes on using the server for as long as one that learned it at once.
func TestLateTableShortensGracePeriodOfLeavingServer(t *testing.T) {
	for name, c := range map[string]struct {
		late   time.Duration
		status int
	}{
		"at once": {0, http.StatusOK},
		"late":    {time.Minute, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.gateway.cfg.Limits.LeaveGracePeriod = 30 * time.Second
			w.configure()
			server := w.startBackend("desk", "b1", respondHello)
			w.setOwner("b1", 9)
			w.tableDelay = c.late
			w.putBackend("desk", "b1", server.Listener.Addr().String(), func(b *table.Backend) { b.Leaving = true })
			status, _, _ := w.send("POST", "/book/x", strings.NewReader("order"))
			is.Equal(status, c.status)
		})
	}
}
