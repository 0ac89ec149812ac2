package allowance

import (
	"math"
	"time"
)

// Holder holds what one entry host was lent. It is not safe for concurrent use. Its times
// must come from a clock that goes on while the host is frozen or suspended.
type Holder struct {
	shares  map[string]*share
	settled []settledLoan
	// ExpiredUnspent counts the requests whose loan ended before they were spent.
	ExpiredUnspent int64
}

// share is what a host holds for one organisation.
type share struct {
	loans []*loan // the oldest first
	// waiting is the number of requests that wait for a loan.
	waiting int
	demand  float64 // requests per second
	taken   time.Time
	// deniedUntil is when the lender is asked again after it lent too little; retryAt is when
	// the next refused request should return, and spacing the time between two of them.
	deniedUntil, retryAt time.Time
	spacing              time.Duration
}

// loan is a number of requests that may be sent until a time.
type loan struct {
	id      LoanID
	amount  int
	expires time.Time
	// left is what no request has taken, written what was sent.
	left, taken, written int
}

// settledLoan is a settlement that the lender may not have yet.
type settledLoan struct {
	Settlement
	ended time.Time
}

// Ticket allows one request to be sent until its loan expires. The zero value allows none.
type Ticket struct{ loan *loan }

// Held reports whether the ticket was taken from a loan and not given back.
func (t Ticket) Held() bool { return t.loan != nil }

// Answer is the answer to a request for a ticket.
type Answer uint8

// The answers to a request for a ticket.
const (
	// Ask means that the lender must be asked.
	Ask Answer = iota + 1
	Granted
	// Denied means that the request is over the allowance.
	Denied
)

const (
	// aheadTime is the expected demand that a host asks for ahead.
	aheadTime = 500 * time.Millisecond
	// aheadLow is the part of that below which it asks again.
	aheadLow = 0.5
	// demandTime is the time over which demand is averaged.
	demandTime = time.Second
	// denialTime bounds how long requests are refused without asking the lender again.
	denialTime = 150 * time.Millisecond
	// patience is the time until a request is within the allowance up to which it waits
	// instead of being refused: callers take longer to return.
	patience = 200 * time.Millisecond
	// shareTTL is how long an unused share is kept, maxSettled the number of settlements that
	// wait for a lender.
	shareTTL   = 10 * time.Second
	maxSettled = 1024
	// maxWants bounds the organisations in one call.
	maxWants = 512
)

// NewHolder returns a holder without loans.
func NewHolder() *Holder { return &Holder{shares: map[string]*share{}} }

// Take takes a ticket for a request of an organisation. If the request is denied, retry is
// when it will be within the allowance.
func (h *Holder) Take(now time.Time, organisation string) (t Ticket, answer Answer, retry time.Duration) {
	s := h.shares[organisation]
	if s == nil {
		s = &share{taken: now}
		h.shares[organisation] = s
	}
	s.recordDemand(now)
	return s.take(now)
}

// Retake takes another ticket for a request that has counted as demand.
func (h *Holder) Retake(now time.Time, organisation string) (t Ticket, answer Answer, retry time.Duration) {
	s := h.shares[organisation]
	if s == nil {
		return Ticket{}, Ask, 0
	}
	return s.take(now)
}

func (s *share) take(now time.Time) (Ticket, Answer, time.Duration) {
	for _, l := range s.loans {
		if l.left > 0 && now.Before(l.expires) {
			l.left--
			l.taken++
			return Ticket{l}, Granted, 0
		}
	}
	if now.Before(s.deniedUntil) {
		retry := max(s.retryAt.Sub(now), s.deniedUntil.Sub(now))
		if s.retryAt.Sub(now) < maxWait {
			s.retryAt = s.retryAt.Add(s.spacing)
		}
		return Ticket{}, Denied, retry
	}
	return Ticket{}, Ask, 0
}

func (s *share) recordDemand(now time.Time) {
	s.demand = s.demandAt(now) + 1/demandTime.Seconds()
	s.taken = now
}

// demandAt returns the requests per second, averaged with a weight that falls over time.
func (s *share) demandAt(now time.Time) float64 {
	elapsed := max(now.Sub(s.taken), 0)
	return s.demand * math.Exp(-elapsed.Seconds()/demandTime.Seconds())
}

// Spend records that the request of a ticket is sent now, and reports whether it may be.
func (h *Holder) Spend(now time.Time, t Ticket) bool {
	if !h.Live(now, t) {
		return false
	}
	t.loan.taken--
	t.loan.written++
	return true
}

// Restore takes back Spend for a request that did not run. The ticket is held again if it
// returns true.
func (h *Holder) Restore(now time.Time, t Ticket) bool {
	if !h.Live(now, t) {
		return false
	}
	t.loan.written--
	t.loan.taken++
	return true
}

// Return gives a ticket back that was not spent.
func (h *Holder) Return(now time.Time, t Ticket) {
	if t.loan == nil || t.loan.isSettled() {
		return
	}
	t.loan.taken--
	t.loan.left++
}

// Live reports whether a ticket may still be spent.
func (h *Holder) Live(now time.Time, t Ticket) bool {
	return t.loan != nil && !t.loan.isSettled() && now.Before(t.loan.expires)
}

// AddWaiting changes the number of requests that wait for a loan.
func (h *Holder) AddWaiting(organisation string, n int) {
	if s := h.shares[organisation]; s != nil {
		s.waiting += n
	}
}

// Call is what a host tells and asks the lender.
type Call struct {
	Settled []Settlement
	Wants   []Want
}

// Empty reports whether there is nothing to tell or ask.
func (c Call) Empty() bool { return len(c.Settled) == 0 && len(c.Wants) == 0 }

// NextCall returns the next call to the lender. Its settlements are repeated until a call is
// answered.
func (h *Holder) NextCall(now time.Time) Call {
	var c Call
	for name, s := range h.shares {
		s.loans = h.settleEnded(now, s.loans)
		if s.waiting == 0 && len(s.loans) == 0 && now.Sub(s.taken) > shareTTL {
			delete(h.shares, name)
			continue
		}
		if w := s.want(now, name); w.Need+w.Ahead > 0 && len(c.Wants) < maxWants {
			c.Wants = append(c.Wants, w)
		}
	}
	h.dropOldSettlements(now)
	for _, s := range h.settled {
		c.Settled = append(c.Settled, s.Settlement)
	}
	return c
}

// want returns what to ask for. Requests that wait may be about to take what is held, or to be
// denied.
func (s *share) want(now time.Time, organisation string) Want {
	w := Want{Organisation: organisation}
	if now.Before(s.deniedUntil) {
		return w
	}
	held := 0
	for _, l := range s.loans {
		held += l.left
	}
	w.Need = max(s.waiting-held, 0)
	if target := math.Floor(s.demandAt(now) * aheadTime.Seconds()); target >= 1 && float64(held) <= aheadLow*target {
		w.Ahead = int(target) - held
	}
	return w
}

// settleEnded settles the loans that have expired or are spent, and returns the others.
func (h *Holder) settleEnded(now time.Time, loans []*loan) []*loan {
	kept := loans[:0]
	for _, l := range loans {
		expired := !now.Before(l.expires)
		if !expired && l.left+l.taken > 0 {
			kept = append(kept, l)
			continue
		}
		if expired {
			h.ExpiredUnspent += int64(l.left)
		}
		h.settle(now, l)
	}
	clear(loans[len(kept):])
	return kept
}

func (h *Holder) settle(now time.Time, l *loan) {
	if l.id != 0 {
		h.settled = append(h.settled, settledLoan{Settlement{Loan: l.id, Unspent: l.amount - l.written}, now})
	}
	l.id, l.amount = 0, 0
}

// isSettled reports whether the lender was told what was spent.
func (l *loan) isSettled() bool { return l.amount == 0 }

// dropOldSettlements drops the settlements that no lender would accept.
func (h *Holder) dropOldSettlements(now time.Time) {
	drop := max(len(h.settled)-maxSettled, 0)
	for drop < len(h.settled) && now.Sub(h.settled[drop].ended) > settleTime {
		drop++
	}
	h.settled = h.settled[drop:]
}

// Apply records the loans that answer a call sent at sent.
func (h *Holder) Apply(sent, now time.Time, c Call, loans []Loan) {
	h.removeSettled(c.Settled)
	for i, w := range c.Wants {
		s := h.shares[w.Organisation]
		if s == nil {
			s = &share{taken: now}
			h.shares[w.Organisation] = s
		}
		s.apply(sent, now, w, loans[i])
	}
}

func (s *share) apply(sent, now time.Time, w Want, l Loan) {
	if l.Amount > 0 {
		s.loans = append(s.loans, &loan{id: l.ID, amount: l.Amount, left: l.Amount, expires: sent.Add(l.Life)})
	}
	if l.Amount < w.Need && l.Wait > patience {
		s.deniedUntil = now.Add(min(l.Wait, denialTime))
		s.retryAt, s.spacing = now.Add(l.Wait), l.Spacing
	}
}

// removeSettled removes the settlements that the lender has.
func (h *Holder) removeSettled(done []Settlement) {
	if len(done) == 0 {
		return
	}
	answered := make(map[LoanID]bool, len(done))
	for _, s := range done {
		answered[s.Loan] = true
	}
	kept := h.settled[:0]
	for _, s := range h.settled {
		if !answered[s.Loan] {
			kept = append(kept, s)
		}
	}
	h.settled = kept
}
