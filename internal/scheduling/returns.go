package scheduling

import "time"

// returnHorizon bounds how far ahead the return of refused callers is spread. Later, the load is not
// known.
const returnHorizon = 2 * time.Second

// Returns spreads the times at which refused callers may retry, so that they do not return together.
// The zero value is ready to use.
type Returns struct{ next time.Time }

// After returns when the caller of a refused request may retry: once the work that precedes it is
// expected to be done, at earliest, and one request at a time takes interval.
func (r *Returns) After(now, earliest time.Time, interval time.Duration) time.Duration {
	at := earliest
	if at.Before(now) {
		at = now
	}
	if r.next.After(at) {
		at = r.next
	}
	if at.Sub(now) > returnHorizon && at.After(earliest) {
		// More callers than the horizon has room for: begin again where there is room first.
		at = earliest
		if at.Before(now) {
			at = now
		}
	}
	r.next = at.Add(interval)
	return at.Sub(now)
}
