package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
)

// tableBound is the maximum age of a table in these tests. Callers wait 2 s.
const tableBound = 300 * time.Millisecond

// agedTableHarness is a harness that sets the age of the gateway's table.
type agedTableHarness struct {
	*harness
	stale atomic.Bool
	// onAgeCheck is called each time the age of the table is checked, if set.
	onAgeCheck func()
}

func newAgedTableHarness(t *testing.T) *agedTableHarness {
	w := &agedTableHarness{harness: newHarness(t)}
	w.gateway.cfg.TableAsOf = func() time.Time {
		if w.onAgeCheck != nil {
			w.onAgeCheck()
		}
		if w.stale.Load() {
			return time.Now().Add(-2 * tableBound)
		}
		return time.Now()
	}
	w.gateway.cfg.Limits.MaxTableAge = tableBound
	w.configure()
	return w
}

func (w *agedTableHarness) confirmTable() { w.stale.Store(false) }

// stopConfirming makes the table older than its bound from now on.
func (w *agedTableHarness) stopConfirming() { w.stale.Store(true) }

// A host gets no table updates, because of a congested link, a control host that is short of
// CPU time, or a partition. Guards against a host that rejects a route that was added, uses a
// route that was moved, or uses a server that is leaving, after the change was acknowledged
// as being in force.
func TestStaleTableIsNotUsed(t *testing.T) {
	for name, path := range map[string]string{
		"a route that it does not know": "/unknown/x",
		"the owner of a key":            "/book/x",
		"a server without keys":         "/scan/x",
		"an idempotent request":         "/read/x",
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newAgedTableHarness(t)
			w.startBackend("desk", "b1", respondHello)
			w.startBackend("vault", "v1", respondHello)
			w.setOwner("b1", 9)
			w.stopConfirming()
			status, _, header := w.send("POST", path, strings.NewReader("order"))
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(header.Get(verdict.Header), "not-run")
			is.True(header.Get("Retry-After") != "")
			is.Equal(w.requestsReceived(), 0)
			w.confirmTable()
			status, _, _ = w.send("POST", path, strings.NewReader("order"))
			is.True(status == http.StatusOK || path == "/unknown/x" && status == http.StatusNotFound)
		})
	}
}

// Guards against a refusal although the confirmation is on its way and the caller has time.
func TestRequestWaitsForTableConfirmation(t *testing.T) {
	is, w := is.New(t), newAgedTableHarness(t)
	w.startBackend("desk", "b1", respondHello)
	w.setOwner("b1", 9)
	w.stopConfirming()
	var ageChecks atomic.Int64
	w.onAgeCheck = func() {
		if ageChecks.Add(1) == 3 { // the request waits
			w.confirmTable()
			w.gateway.TableConfirmed()
		}
	}
	status, body, _ := w.send("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(body, "hello")
}

// Guards against a request that was admitted by a current table and is sent, after the wait
// for its permit and its connection, by a table that has exceeded its bound.
func TestTableThatTurnsStaleBeforeWriteIsNotUsed(t *testing.T) {
	is, w := is.New(t), newAgedTableHarness(t)
	server := w.startBackend("desk", "b1", respondHello)
	w.setOwner("b1", 9)
	w.putBackend("desk", "b1", server.Listener.Addr().String(), func(b *table.Backend) { b.Cold = true }) // permits are asked for
	w.onPermitRequest = w.stopConfirming
	status, _, header := w.send("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	is.Equal(w.requestsReceived(), 0)
}

// Guards against a request that reaches a server that announced that it leaves while the
// connection to it was being opened.
func TestServerThatLeavesBeforeWriteIsNotUsed(t *testing.T) {
	is, w := is.New(t), newAgedTableHarness(t)
	w.gateway.cfg.Limits.LeaveGracePeriod = 0
	server := w.startBackend("vault", "v1", respondHello)
	r := httptest.NewRequest("POST", "http://127.0.0.1/scan/x", strings.NewReader("order"))
	c, refusal := w.gateway.parseCall(r, w.tables(), time.Now())
	is.True(refusal == nil)
	chosen := target{backend: w.tables().Backend("vault", "v1")}
	w.putBackend("vault", "v1", server.Listener.Addr().String(), func(b *table.Backend) { b.Leaving = true })
	resp, failure := w.gateway.send(context.Background(), c, chosen)
	if failure == nil {
		resp.Body.Close()
	}
	is.True(failure != nil && failure.Verdict == verdict.NotRun)
	is.Equal(w.requestsReceived(), 0)
}
