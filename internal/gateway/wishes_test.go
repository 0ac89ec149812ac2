package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
)

// Headers with which backend servers of these tests say their wishes.
const (
	leavingHeader = "Test-Leaving"
	pauseHeader   = "Test-Pause"
)

// wishDialect reads the wishes of backend servers in addition to the product's own headers.
type wishDialect struct{ OwnDialect }

func (d wishDialect) ReadAnswer(status int, h http.Header) Answer {
	a := d.OwnDialect.ReadAnswer(status, h)
	a.Leaving = h.Get(leavingHeader) != ""
	a.Pause, _ = time.ParseDuration(h.Get(pauseHeader)) // absent: no pause
	return a
}

func newWishWorld(t *testing.T) *world {
	w := newWorld(t)
	w.gateway.cfg.Dialect = wishDialect{}
	w.gateway.cfg.Limits.LeaveFor = 50 * time.Millisecond
	w.configure()
	return w
}

func leavingHello(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(leavingHeader, "yes")
	hello(rw, r)
}

// The control group does not know yet that a server leaves. Guards against requests for it
// long after its own answers said so.
func TestServerThatSaysItLeavesIsNotUsed(t *testing.T) {
	t.Run("keyed", func(t *testing.T) {
		is, w := is.New(t), newWishWorld(t)
		w.backend("desk", "b1", leavingHello)
		w.own("b1", 9)
		status, _, _ := w.ask("POST", "/book/x", strings.NewReader("order"))
		is.Equal(status, http.StatusOK)
		time.Sleep(2 * w.gateway.cfg.Limits.LeaveFor)
		status, _, header := w.ask("POST", "/book/x", strings.NewReader("order"))
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(header.Get(verdict.Header), "not-run")
		is.Equal(w.arrivals(), 1)
		w.change(func(*table.Builder) {}) // a later table that does not say it either
		_, _, _ = w.ask("POST", "/book/x", strings.NewReader("order"))
		is.Equal(w.arrivals(), 1)
	})
	t.Run("without keys", func(t *testing.T) {
		is, w := is.New(t), newWishWorld(t)
		w.backend("vault", "b1", leavingHello)
		w.backend("vault", "b2", leavingHello)
		for range 2 {
			status, _, _ := w.ask("POST", "/scan/x", strings.NewReader("scan"))
			is.Equal(status, http.StatusOK)
		}
		status, _, _ := w.ask("POST", "/scan/x", strings.NewReader("scan"))
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(w.arrivals(), 2)
	})
}

// full turns a request away and asks for a pause.
func full(pause string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(pauseHeader, pause)
		notRun(http.StatusServiceUnavailable)(rw, r)
	}
}

// Guards against requests for a server within the pause that it asked for, and against
// callers that are held or told to return before its end.
func TestPauseThatAServerAsksForIsKept(t *testing.T) {
	for name, c := range map[string]struct{ service, path string }{"keyed": {"desk", "/book/x"}, "without keys": {"vault", "/scan/x"}} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newWishWorld(t)
			w.backend(c.service, "b1", once(full("1h"), hello))
			if c.service == "desk" {
				w.own("b1", 9)
			}
			for range 3 {
				status, _, header := w.ask("POST", c.path, strings.NewReader("order"))
				is.Equal(status, http.StatusServiceUnavailable)
				is.Equal(header.Get(verdict.Header), "not-run")
				after, err := time.ParseDuration(header.Get("Retry-After") + "s")
				is.NoErr(err)
				is.True(after > 50*time.Minute)
				is.Equal(header.Get(verdict.ReasonHeader), string(verdict.ReasonOverloaded)) // at once; a call that was held says otherwise
			}
			is.Equal(w.arrivals(), 1)
		})
	}
}

// Guards against a refusal where a short wait serves the caller.
func TestShortPauseIsWaitedFor(t *testing.T) {
	is, w := is.New(t), newWishWorld(t)
	w.backend("desk", "b1", once(full("100ms"), hello))
	w.own("b1", 9)
	w.change(func(b *table.Builder) {
		b.PutItem(items.Item{Key: items.Key{Kind: items.KindRoute, Name: "book"}, Version: 2, Route: &items.Route{Host: "127.0.0.1", PathPrefix: "/book/",
			Timeout: time.Minute, Target: time.Second, MaxAttempts: 2, Shares: []items.Share{{Service: "desk", Weight: 1}}}})
	})
	began := time.Now()
	status, body, _ := w.ask("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(body, "hello")
	is.True(time.Since(began) >= 100*time.Millisecond)
}

// Guards against a pause of one server that keeps requests from the others of its service.
func TestPauseOfOneServerLeavesTheOthers(t *testing.T) {
	is, w := is.New(t), newWishWorld(t)
	w.backend("vault", "b1", full("1h"))
	w.backend("vault", "b2", hello)
	for range 5 {
		status, _, _ := w.ask("POST", "/scan/x", strings.NewReader("scan"))
		is.Equal(status, http.StatusOK)
	}
	is.True(w.arrivals() <= 6)
}
