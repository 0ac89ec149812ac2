package clock

import (
	"sync"
	"time"
)

// Clock tells the time. Differences between two readings must be monotonic.
type Clock interface {
	Now() time.Time
}

// Real is the clock of the operating system.
type Real struct{}

// Now returns the current time with its monotonic reading.
func (Real) Now() time.Time { return time.Now() }

// Fake is a clock that moves only by Advance. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a fake clock that is set to start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the time that the clock is set to.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}
