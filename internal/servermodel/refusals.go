package servermodel

import "time"

// refusalLimit lowers the number of slots that a server is assumed to have after it refused
// requests, and raises it again with time. The zero value assumes all slots.
type refusalLimit struct {
	limit int
	at    time.Time
}

// slotRecoveryTime is the time after which a server that refused is tried with one more
// request at once.
const slotRecoveryTime = 500 * time.Millisecond

// record records a refusal while the server had other requests in progress.
func (r *refusalLimit) record(now time.Time, inProgress int) {
	*r = refusalLimit{limit: max(inProgress, 1), at: now}
}

// slots returns how many of the slots of a server are assumed to be usable.
func (r *refusalLimit) slots(now time.Time, slots int) int {
	if r.limit == 0 {
		return slots
	}
	return min(r.limit+int(max(now.Sub(r.at), 0)/slotRecoveryTime), slots)
}
