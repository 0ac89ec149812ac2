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

// tableBound is the longest age of a table in these tests. Callers wait 2 s.
const tableBound = 300 * time.Millisecond

// aged is a world whose gateway is told how old its table is.
type aged struct {
	*world
	old atomic.Bool
	// looked is called at each look at the age of the table, if set.
	looked func()
}

func newAged(t *testing.T) *aged {
	w := &aged{world: newWorld(t)}
	w.gateway.cfg.TableAsOf = func() time.Time {
		if w.looked != nil {
			w.looked()
		}
		if w.old.Load() {
			return time.Now().Add(-2 * tableBound)
		}
		return time.Now()
	}
	w.gateway.cfg.Limits.TableFor = tableBound
	w.configure()
	return w
}

func (w *aged) confirm() { w.old.Store(false) }

// stopConfirming lets the table be older than its bound from now on.
func (w *aged) stopConfirming() { w.old.Store(true) }

// A host gets no news for any reason: a crowded link, a control host that is short of
// processor time, a partition. Guards against one that denies a route that was added, sends
// by a route that was moved, or uses a server that leaves, after others were told that the
// change is in force.
func TestOldTableDecidesNothing(t *testing.T) {
	for name, path := range map[string]string{
		"a route that it does not know": "/unknown/x",
		"the owner of a key":            "/book/x",
		"a server without keys":         "/scan/x",
		"an idempotent request":         "/read/x",
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newAged(t)
			w.backend("desk", "b1", hello)
			w.backend("vault", "v1", hello)
			w.own("b1", 9)
			w.stopConfirming()
			status, _, header := w.ask("POST", path, strings.NewReader("order"))
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(header.Get(verdict.Header), "not-run")
			is.True(header.Get("Retry-After") != "")
			is.Equal(w.arrivals(), 0)
			w.confirm()
			status, _, _ = w.ask("POST", path, strings.NewReader("order"))
			is.True(status == http.StatusOK || path == "/unknown/x" && status == http.StatusNotFound)
		})
	}
}

// Guards against a refusal although the news is on its way and the caller has time.
func TestRequestWaitsForTheConfirmationOfTheTable(t *testing.T) {
	is, w := is.New(t), newAged(t)
	w.backend("desk", "b1", hello)
	w.own("b1", 9)
	w.stopConfirming()
	var looks atomic.Int64
	w.looked = func() {
		if looks.Add(1) == 3 { // the request waits
			w.confirm()
			w.gateway.TableConfirmed()
		}
	}
	status, body, _ := w.ask("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(body, "hello")
}

// Guards against a request that was let in by a current table and is sent, after the wait
// for its permit and its connection, by one that is past its bound.
func TestTableThatTurnsOldBeforeTheSendingIsNotUsed(t *testing.T) {
	is, w := is.New(t), newAged(t)
	server := w.backend("desk", "b1", hello)
	w.own("b1", 9)
	w.put("desk", "b1", server.Listener.Addr().String(), func(b *table.Backend) { b.Cold = true }) // permits are asked for
	w.asked = w.stopConfirming
	status, _, header := w.ask("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	is.Equal(w.arrivals(), 0)
}

// Guards against a request that reaches a server that announced its end while the
// connection to it was being opened.
func TestServerThatLeavesBeforeTheSendingIsNotUsed(t *testing.T) {
	is, w := is.New(t), newAged(t)
	w.gateway.cfg.Limits.LeaveFor = 0
	server := w.backend("vault", "v1", hello)
	r := httptest.NewRequest("POST", "http://127.0.0.1/scan/x", strings.NewReader("order"))
	c, refusal := w.gateway.read(r, w.tables(), time.Now())
	is.True(refusal == nil)
	chosen := target{backend: w.tables().Backend("vault", "v1")}
	w.put("vault", "v1", server.Listener.Addr().String(), func(b *table.Backend) { b.Leaving = true })
	resp, failure := w.gateway.send(context.Background(), c, chosen)
	if failure == nil {
		resp.Body.Close()
	}
	is.True(failure != nil && failure.Verdict == verdict.NotRun)
	is.Equal(w.arrivals(), 0)
}
