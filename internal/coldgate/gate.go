package coldgate

import "time"

// Key names a process of a backend server.
type Key struct {
	Service string
	Backend string
	Born    int64
}

// Rate is what a cold backend server bears: PerSecond requests on average, and a
// burst on top.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Gate is the state of the permits of one host. It is not safe for concurrent use.
type Gate struct {
	buckets map[Key]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
}

// New returns a gate that has given no permits.
func New() *Gate { return &Gate{buckets: map[Key]*bucket{}} }

// forgetAfter is the age at which an unused bucket is dropped. It is full long
// before.
const forgetAfter = time.Minute

// Take gives a permit, or tells when the next one is free. A bucket starts with
// one token, because another host may have been giving permits until now.
func (g *Gate) Take(now time.Time, key Key, rate Rate) (ok bool, retry time.Duration) {
	if rate.PerSecond <= 0 {
		return true, 0 // the service states no limit
	}
	b := g.buckets[key]
	if b == nil {
		g.forget(now)
		b = &bucket{tokens: 1, at: now}
		g.buckets[key] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*rate.PerSecond, max(rate.Burst, 1))
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((1 - b.tokens) / rate.PerSecond * float64(time.Second))
}

func (g *Gate) forget(now time.Time) {
	for key, b := range g.buckets {
		if now.Sub(b.at) > forgetAfter {
			delete(g.buckets, key)
		}
	}
}
