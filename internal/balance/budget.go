package balance

import "sync"

// Budget bounds retries and hedges to a share of the requests. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget that allows ratio extra requests per request and at
// most burst of them in a row. It starts full.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// NewEmptyBudget returns a budget that starts empty, for a bound over all processes
// together: a process that restarts must not get a second burst.
func NewEmptyBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst}
}

// SetBurst changes the maximum number of extra requests in a row.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// OnRequest credits the budget with the ratio for one request.
func (b *Budget) OnRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// TrySpend takes one extra request from the budget and reports whether it allowed one.
func (b *Budget) TrySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns how many extra requests the budget allows now, and how many at most.
func (b *Budget) Left() (tokens, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens, b.burst
}
