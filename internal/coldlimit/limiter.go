package coldlimit

import "time"

// Key identifies a process of a backend server; StartedAt tells its processes apart.
type Key struct {
	Service   string
	Backend   string
	StartedAt int64
}

// Rate is the request rate that a cold backend server can handle: PerSecond requests on
// average, and a burst of Burst requests.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Limiter holds the token buckets of the cold servers whose permits one host grants. It is
// not safe for concurrent use.
type Limiter struct {
	buckets map[Key]*tokenBucket
}

type tokenBucket struct {
	tokens  float64
	updated time.Time
}

// New returns a limiter that has granted no permits.
func New() *Limiter { return &Limiter{buckets: map[Key]*tokenBucket{}} }

// unusedBucketTTL is the age at which an unused bucket is dropped. It is full long
// before.
const unusedBucketTTL = time.Minute

// TakePermit grants a permit, or returns the time until the next one is available. A bucket
// starts with one token, because another host may have granted permits until now.
func (l *Limiter) TakePermit(now time.Time, key Key, rate Rate) (ok bool, retry time.Duration) {
	if rate.PerSecond <= 0 {
		return true, 0 // the service sets no limit
	}
	b := l.buckets[key]
	if b == nil {
		l.dropUnused(now)
		b = &tokenBucket{tokens: 1, updated: now}
		l.buckets[key] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.updated).Seconds()*rate.PerSecond, max(rate.Burst, 1))
	b.updated = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((1 - b.tokens) / rate.PerSecond * float64(time.Second))
}

func (l *Limiter) dropUnused(now time.Time) {
	for key, b := range l.buckets {
		if now.Sub(b.updated) > unusedBucketTTL {
			delete(l.buckets, key)
		}
	}
}
