package timeline

import (
	"sort"
	"sync"
	"time"
)

// logicalBits is the number of low bits of a Stamp that order events within one millisecond.
const logicalBits = 16

// Stamp is a reading of a hybrid logical clock: Unix milliseconds and a counter.
type Stamp uint64

// Wall returns the wall-clock time of s, in whole milliseconds.
func (s Stamp) Wall() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock that reads the wall clock with now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp that is later than every stamp returned or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := Stamp(c.now().UnixMilli()) << logicalBits
	c.last = max(c.last+1, wall)
	return c.last
}

// maxClockLead is how far an observed stamp may be ahead of the local wall clock; a
// peer whose clock is set far ahead must not advance the clocks of all others.
const maxClockLead = time.Minute

// Observe makes later stamps of this clock sort after s. It ignores a stamp that is
// more than a minute ahead of the local wall clock.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Wall().After(c.now().Add(maxClockLead)) {
		return
	}
	c.last = max(c.last, s)
}

// Event is one state change in one process.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Host    string `json:"host"`
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
	Detail  string `json:"detail,omitempty"`
}

// DefaultCapacity is the number of events that a Ring keeps by default.
const DefaultCapacity = 4096

// Ring is a ring buffer of the most recent events of one process. It is safe for
// concurrent use.
type Ring struct {
	host  string
	clock *Clock

	mu     sync.Mutex
	events []Event
	next   int
	total  uint64
}

// NewRing returns a ring that keeps the last capacity events of a host.
func NewRing(host string, clock *Clock, capacity int) *Ring {
	return &Ring{host: host, clock: clock, events: make([]Event, 0, capacity)}
}

// Clock returns the clock that stamps the events.
func (r *Ring) Clock() *Clock { return r.clock }

// Record adds an event with the current stamp. It overwrites the oldest event when
// the ring is full.
func (r *Ring) Record(kind, subject, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event := Event{Stamp: r.clock.Now(), Host: r.host, Kind: kind, Subject: subject, Detail: detail}
	r.total++
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
}

// Since returns the kept events with a stamp later than s, oldest first.
func (r *Ring) Since(s Stamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var later []Event
	for i := range r.events {
		event := r.events[(r.next+i)%len(r.events)]
		if event.Stamp > s {
			later = append(later, event)
		}
	}
	return later
}

// Total returns the number of events recorded so far, including overwritten ones.
func (r *Ring) Total() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Merge sorts the events of many processes by stamp, and by host where stamps are
// equal.
func Merge(histories ...[]Event) []Event {
	var all []Event
	for _, events := range histories {
		all = append(all, events...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].Stamp != all[j].Stamp {
			return all[i].Stamp < all[j].Stamp
		}
		return all[i].Host < all[j].Host
	})
	return all
}
