package daemon

import (
	"time"

	"github.com/agatestep/agatestep/internal/coldlimit"
	"github.com/agatestep/agatestep/internal/permit"
)

const (
	// cancellationTTL is how long a permit request may arrive after it was cancelled: on
	// a connection that was replaced because it was silent, as long as hosts wait for a reply.
	cancellationTTL = time.Second
	// maxCancellations bounds the permit requests that are remembered.
	maxCancellations = 4096
)

// requestKey identifies a permit request.
type requestKey struct {
	queue coldlimit.Key
	id    permit.ID
}

// cancellations remembers permit requests that were cancelled before they arrived. It is
// not safe for concurrent use.
type cancellations struct {
	at    map[requestKey]time.Time
	order []requestKey // oldest first
}

func newCancellations() *cancellations { return &cancellations{at: map[requestKey]time.Time{}} }

func (c *cancellations) add(now time.Time, k requestKey) {
	c.removeExpired(now)
	if _, known := c.at[k]; known {
		return
	}
	if len(c.order) >= maxCancellations {
		c.dropOldest()
	}
	c.at[k] = now
	c.order = append(c.order, k)
}

func (c *cancellations) has(now time.Time, k requestKey) bool {
	c.removeExpired(now)
	_, known := c.at[k]
	return known
}

func (c *cancellations) removeExpired(now time.Time) {
	for len(c.order) > 0 && now.Sub(c.at[c.order[0]]) >= cancellationTTL {
		c.dropOldest()
	}
}

func (c *cancellations) dropOldest() {
	delete(c.at, c.order[0])
	c.order = c.order[1:]
}
