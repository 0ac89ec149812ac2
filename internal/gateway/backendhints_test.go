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

// Headers with which backend servers of these tests say that they leave or ask for a pause.
const (
	leavingHeader = "Test-Leaving"
	pauseHeader   = "Test-Pause"
)

// hintDialect reads leavingHeader and pauseHeader in addition to agatestep's own headers.
type hintDialect struct{ OwnDialect }

func (d hintDialect) ParseResponse(status int, h http.Header) ResponseInfo {
	a := d.OwnDialect.ParseResponse(status, h)
	a.Leaving = h.Get(leavingHeader) != ""
	a.Pause, _ = time.ParseDuration(h.Get(pauseHeader)) // absent: no pause
	return a
}

func newHintHarness(t *testing.T) *harness {
	w := newHarness(t)
	w.gateway.cfg.Dialect = hintDialect{}
	w.gateway.cfg.Limits.LeaveGracePeriod = 50 * time.Millisecond
	w.configure()
	return w
}

func respondLeaving(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(leavingHeader, "yes")
	respondHello(rw, r)
}

// The control group does not know yet that a server leaves. Guards against requests for it
// long after its own responses said so.
func TestServerAnnouncingLeaveInResponseIsNotUsed(t *testing.T) {
	t.Run("keyed", func(t *testing.T) {
		is, w := is.New(t), newHintHarness(t)
		w.startBackend("desk", "b1", respondLeaving)
		w.setOwner("b1", 9)
		status, _, _ := w.send("POST", "/book/x", strings.NewReader("order"))
		is.Equal(status, http.StatusOK)
		time.Sleep(2 * w.gateway.cfg.Limits.LeaveGracePeriod)
		status, _, header := w.send("POST", "/book/x", strings.NewReader("order"))
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(header.Get(verdict.Header), "not-run")
		is.Equal(w.requestsReceived(), 1)
		w.applyChange(func(*table.Builder) {}) // a later table that does not say it either
		_, _, _ = w.send("POST", "/book/x", strings.NewReader("order"))
		is.Equal(w.requestsReceived(), 1)
	})
	t.Run("without keys", func(t *testing.T) {
		is, w := is.New(t), newHintHarness(t)
		w.startBackend("vault", "b1", respondLeaving)
		w.startBackend("vault", "b2", respondLeaving)
		for range 2 {
			status, _, _ := w.send("POST", "/scan/x", strings.NewReader("scan"))
			is.Equal(status, http.StatusOK)
		}
		status, _, _ := w.send("POST", "/scan/x", strings.NewReader("scan"))
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(w.requestsReceived(), 2)
	})
}

// shedWithPause returns a handler that refuses requests and asks for a pause.
func shedWithPause(pause string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(pauseHeader, pause)
		respondNotRun(http.StatusServiceUnavailable)(rw, r)
	}
}

// Guards against requests for a server within the pause that it asked for, and against
// callers that are held or told to retry before its end.
func TestRequestedPauseIsHonoured(t *testing.T) {
	for name, c := range map[string]struct{ service, path string }{"keyed": {"desk", "/book/x"}, "without keys": {"vault", "/scan/x"}} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHintHarness(t)
			w.startBackend(c.service, "b1", firstThen(shedWithPause("1h"), respondHello))
			if c.service == "desk" {
				w.setOwner("b1", 9)
			}
			for range 3 {
				status, _, header := w.send("POST", c.path, strings.NewReader("order"))
				is.Equal(status, http.StatusServiceUnavailable)
				is.Equal(header.Get(verdict.Header), "not-run")
				after, err := time.ParseDuration(header.Get("Retry-After") + "s")
				is.NoErr(err)
				is.True(after > 50*time.Minute)
				is.Equal(header.Get(verdict.ReasonHeader), string(verdict.ReasonOverloaded)) // refused at once; a call that was held has another reason
			}
			is.Equal(w.requestsReceived(), 1)
		})
	}
}

// Guards against a refusal where a short wait serves the caller.
func TestRequestWaitsForShortPause(t *testing.T) {
	is, w := is.New(t), newHintHarness(t)
	w.startBackend("desk", "b1", firstThen(shedWithPause("100ms"), respondHello))
	w.setOwner("b1", 9)
	w.applyChange(func(b *table.Builder) {
		b.PutItem(items.Item{Key: items.Key{Kind: items.KindRoute, Name: "book"}, Version: 2, Route: &items.Route{Host: "127.0.0.1", PathPrefix: "/book/",
			Timeout: time.Minute, Target: time.Second, MaxAttempts: 2, Shares: []items.Share{{Service: "desk", Weight: 1}}}})
	})
	began := time.Now()
	status, body, _ := w.send("POST", "/book/x", strings.NewReader("order"))
	is.Equal(status, http.StatusOK)
	is.Equal(body, "hello")
	is.True(time.Since(began) >= 100*time.Millisecond)
}

// Guards against a pause of one server that blocks requests for the others of its service.
func TestPauseOfOneServerDoesNotAffectOthers(t *testing.T) {
	is, w := is.New(t), newHintHarness(t)
	w.startBackend("vault", "b1", shedWithPause("1h"))
	w.startBackend("vault", "b2", respondHello)
	for range 5 {
		status, _, _ := w.send("POST", "/scan/x", strings.NewReader("scan"))
		is.Equal(status, http.StatusOK)
	}
	is.True(w.requestsReceived() <= 6)
}
