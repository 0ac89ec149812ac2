package allowance

import "maps"

// Fairness orders the requests of organisations of one priority when there is too little
// room: each organisation that has requests gets work in proportion to its weight. It is not
// safe for concurrent use.
type Fairness struct {
	// progress is the work that an organisation got, divided by its weight. It counts from
	// current, so that an organisation saves nothing up while it has no requests.
	progress map[string]float64
	current  float64 // progress of the organisation that was served last
}

// defaultWeight is the weight of organisations without a limit.
const defaultWeight = 10.0

// Weight returns the weight of an organisation: its rate, so that each gets the same share of
// what it may ask. With equal weights, a large organisation would get next to nothing of what
// it may ask while all others get everything.
func Weight(l Limit) float64 {
	if l.Unlimited() {
		return defaultWeight
	}
	return l.Rate
}

// NewFairness returns an order in which no organisation was served.
func NewFairness() *Fairness { return &Fairness{progress: map[string]float64{}} }

// Progress returns how far an organisation was served; the one with the least is next.
func (f *Fairness) Progress(organisation string) float64 {
	return max(f.progress[organisation], f.current)
}

// Served records that a request of an organisation is served. Work is what it needs, in any
// unit that is the same for all. The organisation must have had the least progress of those
// with requests, so each priority needs a Fairness of its own.
func (f *Fairness) Served(organisation string, work, weight float64) {
	if weight <= 0 {
		weight = defaultWeight
	}
	before := f.Progress(organisation)
	f.progress[organisation] = before + work/weight
	f.current = before
	if len(f.progress) > maxProgress {
		maps.DeleteFunc(f.progress, func(_ string, p float64) bool { return p <= f.current })
	}
}

// maxProgress is the number of organisations from which those without an effect are dropped.
const maxProgress = 256
