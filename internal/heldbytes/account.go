package heldbytes

import (
	"sync"
	"time"
)

// Direction says for whom bytes are held.
type Direction uint8

const (
	// RequestBodies were read from callers and not taken by backend servers.
	RequestBodies Direction = iota
	// Answers were read from backend servers and not taken by callers.
	Answers
	// PipelinedAnswers wait for the answers before them.
	PipelinedAnswers
	// Refusals were not taken by callers.
	Refusals
	directions
)

var directionNames = [directions]string{"request-bodies", "answers", "pipelined-answers", "refusals"}

// String returns the label of the direction in logs and counters.
func (d Direction) String() string { return directionNames[d] }

// stallTime is how long a holder makes no progress before it may be ended. It exceeds the time
// in which a lost packet is sent again.
const stallTime = time.Second

// scanInterval is the shortest time between two searches for a holder to end.
const scanInterval = 50 * time.Millisecond

// holderShare is the part of the limit that one holder may have, so that one slow reader
// leaves room for others.
const holderShare = 4

// Account counts the bytes that a host holds. A nil Account has no limit and counts nothing.
// It is safe for concurrent use.
type Account struct {
	limit int64
	// onEnd is called for each holder that is ended because the account is full.
	onEnd func(Ended)

	mu       sync.Mutex
	held     [directions]int64
	total    int64
	peak     int64
	holders  map[*Holder]struct{}
	changed  chan struct{} // closed when bytes are released
	nextScan time.Time
}

// Ended describes a holder that was ended.
type Ended struct {
	Name      string
	Direction Direction
	Bytes     int64         // that it held
	Stalled   time.Duration // since it last made progress
	Total     int64         // that all held
}

// New returns an account with a limit in bytes; onEnd may be nil.
func New(limit int64, onEnd func(Ended)) *Account {
	if onEnd == nil {
		onEnd = func(Ended) {}
	}
	return &Account{limit: limit, onEnd: onEnd, holders: map[*Holder]struct{}{}, changed: make(chan struct{})}
}

// Holder is one request for which bytes are held in one direction. The methods of a nil Holder
// do nothing and grant everything.
type Holder struct {
	account   *Account
	direction Direction
	name      string
	end       func()

	// Guarded by the mutex of the account.
	bytes      int64
	progressed time.Time
	ended      bool

	endMu  sync.Mutex // held while end runs
	closed bool       // guarded by endMu
}

// Open adds a holder. The function end makes the holder release its bytes and close soon; it
// must not block or call the holder, and is not called after Close has returned.
func (a *Account) Open(now time.Time, d Direction, name string, end func()) *Holder {
	if a == nil {
		return nil
	}
	h := &Holder{account: a, direction: d, name: name, end: end, progressed: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// Fits reports whether new work that adds n bytes may begin. If not, it ends the largest holder
// that makes no progress.
func (a *Account) Fits(now time.Time, n int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	fits := a.total+n <= a.limit
	a.mu.Unlock()
	if !fits {
		a.endLargestStalled(now)
	}
	return fits
}

// Changed returns a channel that is closed when bytes are released after the call.
func (a *Account) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// Held returns the bytes that are held in a direction.
func (a *Account) Held(d Direction) int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[d]
}

// ByDirection returns the bytes that are held, by the name of the direction.
func (a *Account) ByDirection() map[string]int64 {
	out := map[string]int64{}
	for d := range directions {
		out[d.String()] = a.Held(d)
	}
	return out
}

// Holders returns the number of open holders.
func (a *Account) Holders() int {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.holders)
}

// Peak returns the most bytes that were held at a time.
func (a *Account) Peak() int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peak
}

// Reserve adds n bytes if they fit. If the account is full, it ends the largest holder that
// makes no progress; the caller may try again once the account has changed.
func (h *Holder) Reserve(now time.Time, n int64) bool {
	if h == nil {
		return true
	}
	a := h.account
	a.mu.Lock()
	if h.ended || h.bytes > 0 && h.bytes+n > a.limit/holderShare {
		a.mu.Unlock()
		return false
	}
	fits := a.total+n <= a.limit
	if fits {
		a.add(h, n)
	}
	a.mu.Unlock()
	if !fits {
		a.endLargestStalled(now)
	}
	return fits
}

// Count adds n bytes that are held already, also beyond the limit.
func (h *Holder) Count(n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.add(h, n)
}

// add changes the bytes of a holder. The caller holds a.mu.
func (a *Account) add(h *Holder, n int64) {
	h.bytes += n
	a.held[h.direction] += n
	a.total += n
	a.peak = max(a.peak, a.total)
	if n < 0 {
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

// Release subtracts n bytes that are no longer held.
func (h *Holder) Release(n int64) {
	if n != 0 {
		h.Count(-n)
	}
}

// Progress records that the other side has taken bytes.
func (h *Holder) Progress(now time.Time) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.progressed = now
}

// Ended reports whether the holder was ended because the account is full.
func (h *Holder) Ended() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.ended
}

// Close releases all bytes of the holder and removes it.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.endMu.Lock()
	h.closed = true
	h.endMu.Unlock()
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, open := a.holders[h]; !open {
		return
	}
	delete(a.holders, h)
	a.add(h, -h.bytes)
}

func (a *Account) endLargestStalled(now time.Time) {
	a.mu.Lock()
	if now.Before(a.nextScan) {
		a.mu.Unlock()
		return
	}
	a.nextScan = now.Add(scanInterval)
	h := a.largestStalled(now)
	if h == nil {
		a.mu.Unlock()
		return
	}
	h.ended = true
	e := Ended{Name: h.name, Direction: h.direction, Bytes: h.bytes, Stalled: now.Sub(h.progressed), Total: a.total}
	a.mu.Unlock()
	a.onEnd(e)
	h.endMu.Lock()
	defer h.endMu.Unlock()
	if !h.closed {
		h.end()
	}
}

// largestStalled returns the largest holder that makes no progress, or nil. While one that was
// ended still holds bytes, no other is ended. The caller holds a.mu.
func (a *Account) largestStalled(now time.Time) (largest *Holder) {
	for h := range a.holders {
		switch {
		case h.ended && h.bytes > 0:
			return nil
		case h.ended, h.bytes == 0, now.Sub(h.progressed) < stallTime:
		case largest == nil, h.bytes > largest.bytes, h.bytes == largest.bytes && h.progressed.Before(largest.progressed):
			largest = h
		}
	}
	return largest
}
