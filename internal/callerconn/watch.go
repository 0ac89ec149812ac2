package callerconn

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// lookEvery is how often Watch looks for the end of a connection. The work for a caller is to
// end within half a second.
const lookEvery = 200 * time.Millisecond

// Watch returns the context of a request so that it also ends once its caller has left. The
// handler cancels it at its end.
func Watch(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	raw, ok := ctx.Value(connKey{}).(syscall.RawConn)
	if !ok {
		return ctx, cancel
	}
	w := &watched{raw: raw, left: cancel}
	all.add(w)
	return ctx, func() {
		all.remove(w)
		cancel()
	}
}

// watched is a request whose caller is watched.
type watched struct {
	raw  syscall.RawConn
	left context.CancelFunc
}

// watcher looks at the callers of all requests of the process in one goroutine: one for each
// request would wake up a small host a hundred times a second.
type watcher struct {
	mu       sync.Mutex
	requests map[*watched]struct{}
	running  bool
}

var all = &watcher{requests: map[*watched]struct{}{}}

func (w *watcher) add(r *watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[r] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
}

func (w *watcher) remove(r *watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.requests, r)
}

// run looks until there is nothing to watch.
func (w *watcher) run() {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for range ticker.C {
		requests := w.current()
		if len(requests) == 0 {
			return
		}
		for _, r := range requests {
			if ClosedByPeer(r.raw) {
				r.left()
			}
		}
	}
}

// current returns the requests. If there are none, the goroutine that asks has to end.
func (w *watcher) current() []*watched {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = len(w.requests) > 0
	out := make([]*watched, 0, len(w.requests))
	for r := range w.requests {
		out = append(out, r)
	}
	return out
}
