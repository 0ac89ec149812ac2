package daemon

import (
	"context"
	"sync"
)

// leaderTracker holds the leader of the control group as this host's replica knows it.
// It is safe for concurrent use.
type leaderTracker struct {
	mu     sync.Mutex
	leader leaderLocation
	// changed ends with the next change of the leader; signalChange ends it.
	changed      context.Context
	signalChange context.CancelFunc
}

// leaderLocation says where to call the leader. The zero value means that no leader is
// known.
type leaderLocation struct {
	address    string // of its peer listener
	isThisHost bool   // this host is the leader
	term       uint64
}

func newLeaderTracker() *leaderTracker {
	t := &leaderTracker{}
	t.changed, t.signalChange = context.WithCancel(context.Background())
	return t
}

// set stores the leader and, if it has changed, ends the contexts that get has returned.
func (t *leaderTracker) set(next leaderLocation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leader == next {
		return
	}
	t.signalChange()
	t.leader = next
	t.changed, t.signalChange = context.WithCancel(context.Background())
}

// get returns the leader and a context that ends with the next change.
func (t *leaderTracker) get() (leaderLocation, context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader, t.changed
}

// mergeContexts returns a context that ends with ctx or with other.
func mergeContexts(ctx, other context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(other, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
