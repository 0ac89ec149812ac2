package standin

import (
	"context"
	"sync"
)

// capacity hands out slots in order of arrival and sheds requests that exceed the
// current limit and the queue. The limit is lower while the server is cold.
type capacity struct {
	mu      sync.Mutex
	running int
	queue   []chan struct{}
}

// acquire takes a slot. It reports false when the request is to be shed, and
// returns the error of ctx when the request was cancelled while it waited.
func (c *capacity) acquire(ctx context.Context, limit, queueLen int) (bool, error) {
	c.mu.Lock()
	if c.running < limit && len(c.queue) == 0 {
		c.running++
		c.mu.Unlock()
		return true, nil
	}
	if len(c.queue) >= queueLen {
		c.mu.Unlock()
		return false, nil
	}
	turn := make(chan struct{})
	c.queue = append(c.queue, turn)
	c.mu.Unlock()
	select {
	case <-turn:
		return true, nil
	case <-ctx.Done():
		return false, c.cancelWait(turn, limit, ctx.Err())
	}
}

// cancelWait leaves the queue, or releases the slot if it was assigned meanwhile. It
// returns cause.
func (c *capacity) cancelWait(turn chan struct{}, limit int, cause error) error {
	c.mu.Lock()
	for i, other := range c.queue {
		if other == turn {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			c.mu.Unlock()
			return cause
		}
	}
	c.mu.Unlock()
	c.release(limit)
	return cause
}

// release returns a slot and admits waiting requests, up to limit.
func (c *capacity) release(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	for c.running < limit && len(c.queue) > 0 {
		close(c.queue[0])
		c.queue = c.queue[1:]
		c.running++
	}
}

func (c *capacity) load() (running, queued int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running, len(c.queue)
}
