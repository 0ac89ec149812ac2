package daemon

import "sync"

// leaderBelief is the leader of the control group as this host's replica knows it. It
// is safe for concurrent use.
type leaderBelief struct {
	mu      sync.Mutex
	leader  leaderAt
	changed chan struct{}
}

// leaderAt is where calls to the leader go. The zero value means that none is known.
type leaderAt struct {
	address string // of its peer listener
	own     bool   // this host leads
	term    uint64
}

func newLeaderBelief() *leaderBelief { return &leaderBelief{changed: make(chan struct{})} }

// set records a change that the replica reports.
func (b *leaderBelief) set(next leaderAt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leader == next {
		return
	}
	b.leader = next
	close(b.changed)
	b.changed = make(chan struct{})
}

// get returns the leader and a channel that is closed by the next change.
func (b *leaderBelief) get() (leaderAt, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leader, b.changed
}
