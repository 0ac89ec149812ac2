package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/wire"
)

// sendMany sends n requests with ids of their own, all at once, and returns how many were
// answered with success.
func (w *harness) sendMany(n int, method, path string) (answered int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range n {
		wg.Go(func() {
			status := w.sendWithID(fmt.Sprint("m", i), method, path)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				answered++
			}
		})
	}
	wg.Wait()
	return answered
}

// sendWithID sends a request with an id and returns the status of the response.
func (w *harness) sendWithID(id, method, path string) int {
	req, err := http.NewRequest(method, w.server.URL+path, nil)
	is.New(w.t).NoErr(err)
	req.Header.Set(wire.HeaderRequestID, id)
	req.Header.Set(wire.HeaderHash, "abc")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// arrivals returns how many requests the backend servers received that were meant for one of
// them, and how many of these were not the first of their id there.
func (w *harness) arrivals(backend string) (all, repeats int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := map[string]bool{}
	for _, r := range w.backendRequests {
		if r.Header.Get(wire.HeaderBackend) != backend {
			continue
		}
		all++
		id := r.Header.Get(wire.HeaderRequestID)
		if seen[id] {
			repeats++
		}
		seen[id] = true
	}
	return all, repeats
}

// The owner of a key has ended and a server of another service is at its address, while the
// table still names the owner. Guards against requests that are sent there again and again: the
// other service gets more repeats than its retry budget allows, of which nobody keeps count.
func TestRepeatsAtReusedAddressStayWithinRetryBudget(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("desk", "b1", respondNotRun(http.StatusConflict))
	w.setOwner("b1", 9)
	for range 3 {
		w.sendMany(60, "GET", "/read/x")
	}
	_, repeats := w.arrivals("b1")
	is.True(float64(repeats) <= w.gateway.cfg.Limits.RetryBurst) // the other service got no request of its own
}

// A server of a service without keys has ended and another process is at its address. Guards
// against requests that reach it for as long as the table names the server, each of which then
// costs a repeat at another server.
func TestReusedAddressGetsNoRequestsWithoutKeys(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("vault", "b1", respondNotRun(http.StatusConflict))
	w.startBackend("vault", "b2", respondHello)
	const requests = 60
	began, answered := time.Now(), 0
	for range requests {
		answered += w.sendMany(1, "POST", "/scan/x")
	}
	arrived, _ := w.arrivals("b1")
	is.Equal(answered, requests)
	is.True(arrived <= 1+int(time.Since(began)/unkeyedTrialAfter))
}

// Guards against the same where a control host chooses the server and does not know.
func TestReusedAddressGetsNoRequestsByServicePermit(t *testing.T) {
	is := is.New(t)
	w, chooser := newChooserHarness(t, wire.ServicePermitReply{State: wire.PermitGranted, Backend: "b1"})
	w.startBackend("vault", "b1", respondNotRun(http.StatusConflict))
	w.startBackend("vault", "b2", respondHello)
	const requests = 60
	began, answered := time.Now(), 0
	for range requests {
		answered += w.sendMany(1, "POST", "/scan/x")
	}
	arrived, _ := w.arrivals("b1")
	is.Equal(answered, requests)
	is.True(arrived <= 1+int(time.Since(began)/unkeyedTrialAfter))
	chooser.mu.Lock()
	defer chooser.mu.Unlock()
	is.Equal(chooser.requests[2].Excluded, []string{"b1"}) // of the second request, so that the control host chooses another one
}
