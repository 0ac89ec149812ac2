package allowance

import (
	"math"
	"time"
)

// LoanID identifies a loan over all terms of the control group.
type LoanID uint64

// Want asks for requests of one organisation.
type Want struct {
	Organisation string
	// Need is the number of requests that wait, Ahead that of requests which are expected.
	Need, Ahead int
}

// Settlement ends a loan: none of it is spent from now on, and Unspent of it never was.
type Settlement struct {
	Loan    LoanID
	Unspent int
}

// Loan is the answer to a Want: Amount requests may be sent within Life from when the host
// asked.
type Loan struct {
	ID     LoanID
	Amount int
	Life   time.Duration
	// Wait is the time until the first request that was needed and not lent is within the
	// allowance; each further one is Spacing later.
	Wait, Spacing time.Duration
}

// Lender lends the requests of all organisations. It is not safe for concurrent use.
type Lender struct {
	tolerance Tolerance
	start     time.Time
	lastLoan  LoanID
	buckets   map[string]*bucket
	open      map[LoanID]openLoan
	lastSweep time.Time
}

// bucket holds what is available to one organisation.
type bucket struct {
	limit     Limit
	available float64
	// lent is the sum of the open loans.
	lent    int
	updated time.Time
	// nextFree is when the next request that is refused now will be within the allowance.
	nextFree time.Time
	lastUsed time.Time
	// used counts requests that were lent and not given back, refused those needed and not lent.
	used, refused recentRate
}

// openLoan is a loan that was not settled. After its end, it counts as spent.
type openLoan struct {
	bucket *bucket
	amount int
	end    time.Time
}

// loanIDsPerTerm is the number of loans that a lender can make before its identifiers reach
// those of the next term.
const loanIDsPerTerm = 1 << 32

// NewLender returns the lender of a term that began at start. Its buckets are empty then,
// because earlier lenders may have lent everything.
func NewLender(tolerance Tolerance, term uint64, start time.Time) *Lender {
	return &Lender{tolerance: tolerance, start: start, lastLoan: LoanID(term * loanIDsPerTerm), buckets: map[string]*bucket{}, open: map[LoanID]openLoan{}}
}

const (
	// aheadReserve is the part of the pool that is kept for requests that wait: what is lent
	// ahead to one host may be needed on another.
	aheadReserve = 0.25
	// maxWait bounds the time after which refused callers are told to return. Some never do,
	// and those after them would wait for nothing.
	maxWait = 2 * time.Second
	// settleTime is how long after the end of a loan its host may still say what it has not
	// spent.
	settleTime = time.Second
	// sweepInterval is the time between two searches for loans that ended, and bucketTTL how
	// long a full bucket is kept without use.
	sweepInterval = 100 * time.Millisecond
	bucketTTL     = 30 * time.Second
)

// Settle ends loans. Settlements that arrive twice, late or at another leader change nothing.
func (l *Lender) Settle(now time.Time, settlements []Settlement) {
	for _, s := range settlements {
		loan, ok := l.open[s.Loan]
		if !ok || !now.Before(loan.end) {
			continue
		}
		l.fill(now, loan.bucket, loan.bucket.limit)
		l.close(s.Loan, loan)
		unspent := min(max(s.Unspent, 0), loan.amount)
		loan.bucket.available += float64(unspent)
		loan.bucket.used.add(now, -unspent)
	}
}

func (l *Lender) close(id LoanID, loan openLoan) {
	loan.bucket.lent -= loan.amount
	delete(l.open, id)
}

// Lend lends what is available of what a host wants.
func (l *Lender) Lend(now time.Time, limit Limit, want Want) Loan {
	need, ahead := max(want.Need, 0), max(want.Ahead, 0)
	if limit.Unlimited() {
		return Loan{Amount: need + ahead, Life: maxLoanLife}
	}
	l.sweep(now)
	b := l.buckets[want.Organisation]
	if b == nil {
		b = &bucket{limit: limit, updated: l.start.Add(l.tolerance.boundsOf(limit).quiet)}
		l.buckets[want.Organisation] = b
	}
	l.fill(now, b, limit)
	b.lastUsed = now
	allowed := l.tolerance.boundsOf(limit)
	amount := min(need, b.whole())
	spare := math.Floor(b.available - float64(amount) - aheadReserve*allowed.pool)
	loan := Loan{Amount: amount + int(min(float64(ahead), max(spare, 0))), Life: allowed.life}
	b.available -= float64(loan.Amount)
	b.used.add(now, loan.Amount)
	if unmet := need - amount; unmet > 0 {
		b.refused.add(now, unmet)
		loan.Wait, loan.Spacing = b.scheduleRefused(now, unmet)
	}
	if loan.Amount > 0 {
		l.lastLoan++
		loan.ID = l.lastLoan
		b.lent += loan.Amount
		l.open[loan.ID] = openLoan{bucket: b, amount: loan.Amount, end: now.Add(loan.Life + settleTime)}
	}
	return loan
}

// Usage returns the open loans of an organisation and what is available to it.
func (l *Lender) Usage(organisation string) (lent int, available float64) {
	b := l.buckets[organisation]
	if b == nil {
		return 0, 0
	}
	return b.lent, b.available
}

// whole returns the number of requests that are available.
func (b *bucket) whole() int { return int(b.available + roundingError) }

// roundingError allows for sums of many small fractions.
const roundingError = 1e-9

// scheduleRefused returns when the first of the refused requests will be within the
// allowance, after those refused before, and the time between two of them.
func (b *bucket) scheduleRefused(now time.Time, refused int) (wait, spacing time.Duration) {
	spacing = time.Duration(float64(time.Second) / b.limit.Rate)
	missing := 1 - (b.available - math.Floor(b.available+roundingError))
	first := now.Add(time.Duration(missing * float64(spacing)))
	if b.nextFree.After(first) {
		first = b.nextFree
	}
	latest := now.Add(maxWait)
	if first.After(latest) {
		first = latest
	}
	b.nextFree = first.Add(min(time.Duration(refused)*spacing, maxWait))
	if b.nextFree.After(latest) {
		b.nextFree = latest
	}
	return first.Sub(now), spacing
}

// fill adds what became available since the last call. A limit that has changed since then
// counts as having been the lower one of both.
func (l *Lender) fill(now time.Time, b *bucket, limit Limit) {
	elapsed := max(now.Sub(b.updated), 0).Seconds()
	room := max(l.tolerance.boundsOf(limit).pool-float64(b.lent), 0)
	b.available = min(b.available+elapsed*min(limit.Rate, b.limit.Rate), room)
	b.limit = limit
	if now.After(b.updated) {
		b.updated = now
	}
}

// sweep closes loans whose end has passed and removes buckets that are full again: a new
// bucket would hold the same.
func (l *Lender) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for id, loan := range l.open {
		if !now.Before(loan.end) {
			l.fill(now, loan.bucket, loan.bucket.limit)
			l.close(id, loan)
		}
	}
	for name, b := range l.buckets {
		if b.lent == 0 && now.Sub(b.lastUsed) > bucketTTL {
			l.fill(now, b, b.limit)
			if b.available >= l.tolerance.boundsOf(b.limit).pool {
				delete(l.buckets, name)
			}
		}
	}
}
