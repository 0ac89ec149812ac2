package callerconn

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// pollInterval is how often watched connections are polled. The work for a caller must end
// within half a second of its disconnect.
const pollInterval = 200 * time.Millisecond

// Watch returns a copy of the context of a request that also ends once the caller has
// disconnected. The handler must call the cancel function when it ends.
func Watch(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	raw, ok := ctx.Value(connKey{}).(syscall.RawConn)
	if !ok {
		return ctx, cancel
	}
	w := &watchedRequest{raw: raw, onDisconnect: cancel}
	requestWatcher.add(w)
	return ctx, func() {
		requestWatcher.remove(w)
		cancel()
	}
}

// watchedRequest is a request whose connection is polled.
type watchedRequest struct {
	raw          syscall.RawConn
	onDisconnect context.CancelFunc
}

// watcher polls the connections of all requests of the process in one goroutine: one goroutine
// for each request would wake up a small host a hundred times a second.
type watcher struct {
	mu       sync.Mutex
	requests map[*watchedRequest]struct{}
	running  bool
}

var requestWatcher = &watcher{requests: map[*watchedRequest]struct{}{}}

func (w *watcher) add(r *watchedRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[r] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
}

func (w *watcher) remove(r *watchedRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.requests, r)
}

// run polls until there are no requests.
func (w *watcher) run() {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for range ticker.C {
		requests := w.snapshot()
		if len(requests) == 0 {
			return
		}
		for _, r := range requests {
			if ClosedByPeer(r.raw) {
				r.onDisconnect()
			}
		}
	}
}

// snapshot returns the watched requests. If there are none, the calling goroutine must end.
func (w *watcher) snapshot() []*watchedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = len(w.requests) > 0
	out := make([]*watchedRequest, 0, len(w.requests))
	for r := range w.requests {
		out = append(out, r)
	}
	return out
}
