package upstream

import "time"

// ExpectedDial returns how long connections of this host take to open.
func (c *Client) ExpectedDial() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialTimes.mean
}

// HasIdle reports whether there is an idle connection to an address. It may have been closed by
// the other side.
func (c *Client) HasIdle(address string) bool {
	c.mu.Lock()
	p := c.pools[address]
	c.mu.Unlock()
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}
