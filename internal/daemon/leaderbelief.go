package daemon

import (
	"context"
	"sync"
)

// leaderBelief is the leader of the control group as this host's replica knows it. It
// is safe for concurrent use.
type leaderBelief struct {
	mu     sync.Mutex
	leader leaderAt
	// term ends with the next change.
	term context.Context
	end  context.CancelFunc
}

// leaderAt is where calls to the leader go. The zero value means that none is known.
type leaderAt struct {
	address string // of its peer listener
	own     bool   // this host leads
	term    uint64
}

func newLeaderBelief() *leaderBelief {
	b := &leaderBelief{}
	b.term, b.end = context.WithCancel(context.Background())
	return b
}

// set records a change that the replica reports.
func (b *leaderBelief) set(next leaderAt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leader == next {
		return
	}
	b.end()
	b.leader = next
	b.term, b.end = context.WithCancel(context.Background())
}

// get returns the leader and a context that ends with the next change.
func (b *leaderBelief) get() (leaderAt, context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leader, b.term
}

// during returns a context that ends with ctx or with term.
func during(ctx, term context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(term, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
