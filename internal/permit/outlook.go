package permit

import "time"

const (
	// outlookShare is the part of the expected wait for which a refusal is believed.
	// A queue that refuses is far from empty after it.
	outlookShare = 0.25
	// maxOutlook bounds it: the load may change.
	maxOutlook = 400 * time.Millisecond
	// moreTime is how much more time than the refused one a request must have to be
	// asked for.
	moreTime = 1.1
)

// Outlook is what an entry host remembers of the refusals of one queue, so that it
// does not ask for what would be refused again: when a key is hot, the asks of all
// hosts are more than the host that keeps the queue and its link bear. It is not safe for
// concurrent use.
type Outlook struct {
	until, refused time.Time
	rank           int
	left           time.Duration // that the refused request had
	retry          time.Duration
}

// Refused notes that an ask was refused at now, after an expected wait, and when
// its caller may return.
func (o *Outlook) Refused(now time.Time, a Ask, wait time.Duration) {
	left := a.Until.Sub(now)
	if now.Before(o.until) && (rank(a.Rank) > o.rank || left < o.left) {
		return // what is known says more
	}
	believed := min(time.Duration(outlookShare*float64(wait)), maxOutlook)
	*o = Outlook{until: now.Add(believed), refused: now, rank: rank(a.Rank), left: left, retry: wait}
}

// Refuses reports whether an ask would be refused, and when its caller may return.
func (o *Outlook) Refuses(now time.Time, a Ask) (retry time.Duration, refused bool) {
	if !now.Before(o.until) || rank(a.Rank) < o.rank || float64(a.Until.Sub(now)) > moreTime*float64(o.left) {
		return 0, false
	}
	return max(o.retry-now.Sub(o.refused), 0), true
}
