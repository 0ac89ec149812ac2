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

// All hosts start at once, and none has a configuration yet. Guards against callers that
// use up their attempts within milliseconds because nothing tells them when to return, and
// against callers that all return at the same moment.
func TestCallersReturnOnceThereMayBeAConfiguration(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	times := map[string]bool{}
	for range 4 {
		status, _, header := w.ask("GET", "/read/x", nil)
		is.Equal(status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after >= configurationRetry.Seconds() && after <= (1+retrySpread)*configurationRetry.Seconds())
		times[header.Get("Retry-After")] = true
	}
	is.True(len(times) > 1)
	w.configure()
	_, _, header := w.ask("GET", "/unknown/x", nil)
	is.Equal(header.Get("Retry-After"), "") // it will not be served later either
}

// Guards against a request that reaches a server long after its end was announced,
// because it waited for its permit in the meantime.
func TestPermitForALeavingServerIsNotUsed(t *testing.T) {
	for name, c := range map[string]struct {
		service, path string
		change        func(*table.Backend)
	}{
		"the owner of a key leaves":       {"desk", "/book/x", func(b *table.Backend) { b.Leaving = true }},
		"the owner of a key is taken out": {"desk", "/book/x", func(b *table.Backend) { b.Draining = true }},
		"the owner of a key is lost":      {"desk", "/book/x", func(b *table.Backend) { b.Lost = true }},
		"a cold server leaves":            {"vault", "/scan/x", func(b *table.Backend) { b.Leaving = true }},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newWorld(t)
			w.gateway.cfg.Limits.LeaveFor, w.gateway.cfg.Limits.EvacuateFor = 0, 0
			w.configure()
			server := w.backend(c.service, "b1", hello)
			address := server.Listener.Addr().String()
			w.put(c.service, "b1", address, func(b *table.Backend) { b.Cold = true })
			if c.service == "desk" {
				w.own("b1", 9)
			}
			w.asked = func() { w.put(c.service, "b1", address, c.change) }
			status, _, header := w.ask("POST", c.path, strings.NewReader("order"))
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(header.Get(verdict.Header), "not-run")
			is.Equal(w.arrivals(), 0)
			is.Equal(len(w.ends), 1) // the permit is given back
		})
	}
}

// A host on a crowded link hears late that a server leaves. Guards against one that goes
// on using the server for as long as a host that heard of it at once.
func TestLateNewsShortensTheUseOfALeavingServer(t *testing.T) {
	for name, c := range map[string]struct {
		late   time.Duration
		status int
	}{
		"at once": {0, http.StatusOK},
		"late":    {time.Minute, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newWorld(t)
			w.gateway.cfg.Limits.LeaveFor = 30 * time.Second
			w.configure()
			server := w.backend("desk", "b1", hello)
			w.own("b1", 9)
			w.late = c.late
			w.put("desk", "b1", server.Listener.Addr().String(), func(b *table.Backend) { b.Leaving = true })
			status, _, _ := w.ask("POST", "/book/x", strings.NewReader("order"))
			is.Equal(status, c.status)
		})
	}
}
