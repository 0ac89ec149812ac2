package standin

import (
	"context"
	"sync"
)

// slotPool hands out slots in order of arrival and sheds requests that exceed the
// current limit and the queue. The limit is lower while the server is cold.
type slotPool struct {
	mu      sync.Mutex
	running int
	queue   []chan struct{}
}

// acquire takes a slot. It reports false when the request is to be shed, and
// returns the error of ctx when the request was cancelled while it waited.
func (p *slotPool) acquire(ctx context.Context, limit, queueLen int) (bool, error) {
	p.mu.Lock()
	if p.running < limit && len(p.queue) == 0 {
		p.running++
		p.mu.Unlock()
		return true, nil
	}
	if len(p.queue) >= queueLen {
		p.mu.Unlock()
		return false, nil
	}
	turn := make(chan struct{})
	p.queue = append(p.queue, turn)
	p.mu.Unlock()
	select {
	case <-turn:
		return true, nil
	case <-ctx.Done():
		return false, p.cancelWait(turn, limit, ctx.Err())
	}
}

// cancelWait leaves the queue, or releases the slot if it was assigned meanwhile. It
// returns cause.
func (p *slotPool) cancelWait(turn chan struct{}, limit int, cause error) error {
	p.mu.Lock()
	for i, other := range p.queue {
		if other == turn {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			p.mu.Unlock()
			return cause
		}
	}
	p.mu.Unlock()
	p.release(limit)
	return cause
}

// release returns a slot and admits waiting requests, up to limit.
func (p *slotPool) release(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	for p.running < limit && len(p.queue) > 0 {
		close(p.queue[0])
		p.queue = p.queue[1:]
		p.running++
	}
}

func (p *slotPool) load() (running, queued int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running, len(p.queue)
}
