package allowance

import "time"

// Limit is the allowance of an organisation over all hosts: Rate requests per second on
// average, and a burst of Burst requests. A rate of zero means no limit.
type Limit struct {
	Rate  float64
	Burst float64
}

// Unlimited reports whether the limit bounds nothing.
func (l Limit) Unlimited() bool { return l.Rate <= 0 }

// Tolerance states how many requests of an organisation may run within any window: the
// limit of the window and the burst, times one plus Overshoot, plus Slack.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Enabled reports whether allowances are in force.
func (t Tolerance) Enabled() bool { return t.Window > 0 }

// MaxRequests returns the number of requests that may run within any window.
func (t Tolerance) MaxRequests(l Limit) float64 { return t.exact(l)*(1+t.Overshoot) + t.Slack }

func (t Tolerance) exact(l Limit) float64 { return l.Rate*t.Window.Seconds() + l.Burst }

const (
	// usableExcess is the part of the tolerance that loans use. The rest covers clocks of
	// different speed.
	usableExcess = 0.9
	// poolTime is the demand that the requests lent and still available should cover, so that
	// requests which wait for their servers do not keep a bucket from filling. minPool is the
	// least of them.
	poolTime = 800 * time.Millisecond
	minPool  = 2.0
	// minLoanLife is longer than most requests wait for their servers. maxLoanLife bounds how
	// long the requests that a lost host held are missing, and maxLifeShare the part of the
	// window for which loans under a higher limit outlast a change.
	minLoanLife  = 500 * time.Millisecond
	maxLoanLife  = 3 * time.Second
	maxLifeShare = 0.5
)

// bounds are what the tolerance allows for one limit.
type bounds struct {
	// pool bounds the requests that are available or lent.
	pool float64
	// life is how long a loan may be spent.
	life time.Duration
	// quiet is how long a new leader waits before its bucket begins to fill.
	quiet time.Duration
}

// boundsOf divides the tolerance of a limit between a pool above the burst and the life of
// loans. Within a window, at most the pool and what fills it are spent. At a change of the
// leader, the loans of earlier leaders add what fills the bucket until they have ended; a new
// leader waits for as long as the tolerance does not cover that.
func (t Tolerance) boundsOf(l Limit) bounds {
	excess := usableExcess * (t.MaxRequests(l) - t.exact(l))
	extra := min(max(l.Rate*poolTime.Seconds()+minPool-l.Burst, 0), excess)
	covered := (excess - extra) / l.Rate // seconds
	longest := min(maxLifeShare*t.Window.Seconds(), maxLoanLife.Seconds())
	life := min(max(covered, minLoanLife.Seconds()), longest)
	return bounds{pool: l.Burst + extra, life: seconds(life), quiet: seconds(max(life-covered, 0))}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
