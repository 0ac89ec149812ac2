package allowance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Use is what all hosts together use of the allowance of an organisation.
type Use struct {
	Organisation string
	Limit        Limit
	// PerSecond is the recent average of requests lent and not given back; RefusedPerSecond
	// that of requests that were needed and not lent.
	PerSecond, RefusedPerSecond float64
	// Lent is the sum of the open loans, Available what may be lent now.
	Lent      int
	Available float64
}

// useTime is the time over which the use is averaged.
const useTime = 5 * time.Second

// recentRate is a number of events per second, averaged with a weight that falls over time.
type recentRate struct {
	perSecond float64
	updated   time.Time
}

func (r *recentRate) at(now time.Time) float64 {
	return r.perSecond * math.Exp(-max(now.Sub(r.updated), 0).Seconds()/useTime.Seconds())
}

func (r *recentRate) add(now time.Time, n int) {
	if n == 0 {
		return
	}
	r.perSecond = r.at(now) + float64(n)/useTime.Seconds()
	r.updated = now
}

// Uses returns the use of at most limit organisations, those with the highest first.
func (l *Lender) Uses(now time.Time, limit int) []Use {
	uses := make([]Use, 0, len(l.buckets))
	for name, b := range l.buckets {
		uses = append(uses, Use{Organisation: name, Limit: b.limit, PerSecond: max(b.used.at(now), 0), RefusedPerSecond: b.refused.at(now), Lent: b.lent, Available: b.available})
	}
	slices.SortFunc(uses, func(x, y Use) int {
		return cmp.Or(cmp.Compare(y.PerSecond+y.RefusedPerSecond, x.PerSecond+x.RefusedPerSecond), cmp.Compare(x.Organisation, y.Organisation))
	})
	return uses[:min(limit, len(uses))]
}
