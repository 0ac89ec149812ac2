package main

import (
	"context"
	"strings"
	"time"
)

const (
	// maxCommonHold is how long two upstreams may hold a key at the same time.
	maxCommonHold = 500 * time.Millisecond
	holdersPoll   = 20 * time.Millisecond
	sampledKeys   = 64 // every so many keys
)

// holds reports whether the upstream holds a key now or still works on it.
func (u *upstream) holds(key uint64) (epoch uint64, ok bool) {
	if !time.Now().Before(u.until) {
		return 0, false
	}
	for _, rows := range [][][3]uint64{u.held, u.leaving} {
		for _, r := range rows {
			if r[0] <= key && key <= r[1] {
				return r[2], true
			}
		}
	}
	return 0, false
}

// watchHolders records the keys that two upstreams hold for longer than allowed, until ctx ends,
// and returns their number among the sampled keys and the longest such time.
func watchHolders(ctx context.Context, rec *record, upstreams []*upstream) (keys int, longest time.Duration) {
	since, reported := map[uint64]time.Time{}, map[uint64]bool{}
	for ctx.Err() == nil {
		now := time.Now()
		for _, u := range upstreams {
			u.mu.Lock()
		}
		for key := uint64(0); key <= maxKey; key += sampledKeys {
			var holders []string
			for _, u := range upstreams {
				if _, ok := u.holds(key); ok {
					holders = append(holders, u.id)
				}
			}
			if len(holders) < 2 {
				delete(since, key)
				continue
			}
			if since[key].IsZero() {
				since[key] = now
			}
			longest = max(longest, now.Sub(since[key]))
			if now.Sub(since[key]) > maxCommonHold && !reported[key] {
				if reported[key] = true; len(reported) <= 20 {
					rec.add("key %d is held by %s for over %v", key, strings.Join(holders, " and "), maxCommonHold)
				}
			}
		}
		for _, u := range upstreams {
			u.mu.Unlock()
		}
		time.Sleep(holdersPoll)
	}
	return len(reported), longest
}
