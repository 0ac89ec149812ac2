package coldlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more permits than a cold server can handle within any second, whatever
// the pattern of the requests.
func TestPermitsPerSecondAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := Rate{PerSecond: rapid.Float64Range(0.5, 50).Draw(t, "rate"), Burst: rapid.Float64Range(0, 10).Draw(t, "burst")}
		key, now, g := Key{Backend: "b"}, time.Unix(1000, 0), New()
		var granted []time.Time
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 300), 1, 200).Draw(t, "gaps") {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			if ok, _ := g.TakePermit(now, key, rate); ok {
				granted = append(granted, now)
			}
		}
		maxPermits := rate.PerSecond + max(rate.Burst, 1)
		for i := range granted {
			n := 0
			for _, at := range granted[i:] {
				if at.Sub(granted[i]) < time.Second {
					n++
				}
			}
			if float64(n) > maxPermits+1e-6 {
				t.Fatalf("%d permits within a second, at most %.1f are allowed", n, maxPermits)
			}
		}
	})
}

// Guards against a host that grants a full burst right after the previous granting host
// did, and against retry delays that end before a permit is available.
func TestBucketStartsWithOneTokenAndReturnsRetryDelay(t *testing.T) {
	g, key, rate, now := New(), Key{Backend: "b"}, Rate{PerSecond: 10, Burst: 5}, time.Unix(1000, 0)
	if ok, _ := g.TakePermit(now, key, rate); !ok {
		t.Fatal("the first permit was refused")
	}
	ok, retry := g.TakePermit(now, key, rate)
	if ok || retry != 100*time.Millisecond {
		t.Fatalf("got %v, %v", ok, retry)
	}
	if ok, _ := g.TakePermit(now.Add(retry), key, rate); !ok {
		t.Fatal("no permit after the returned delay")
	}
}
