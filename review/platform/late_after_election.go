package main

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// workChecker records the keys that an upstream is given while another one is still at work on
// them and its lease has not run out.
type workChecker struct {
	mu        sync.Mutex
	upstreams []*upstream
	n         int
}

func (c *workChecker) add(u *upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreams = append(c.upstreams, u)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.granted = c.check
}

func (c *workChecker) check(to *upstream, keys []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.upstreams {
		if u == to {
			continue
		}
		u.mu.Lock()
		for _, key := range keys {
			if left := time.Until(u.until); u.running[key] > 0 && left > 0 {
				if c.n++; c.n <= 20 {
					u.d.rec.add("key %d is given to %s while %s works on it with a lease for %v more", key, to.id, u.id, left.Round(time.Millisecond))
				}
			}
		}
		u.mu.Unlock()
	}
}

func (c *workChecker) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// keysHeld returns how many keys the upstream holds.
func (u *upstream) keysHeld() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, r := range u.held {
		n += int(r[1]-r[0]) + 1
	}
	return n
}

// awaitReport waits until the upstream has got the answer to its next report.
func (u *upstream) awaitReport() {
	last := func() time.Time {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.lastReport
	}
	for before := last(); last().Equal(before); {
		time.Sleep(2 * time.Millisecond)
	}
}

// isReleasing reports whether the upstream still works on revoked keys, and so reports more often.
func (u *upstream) isReleasing() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.leaving) > 0
}

// lateAt is when the late reports arrive, after the last report of the upstream before the
// leader is killed.
const lateAt = 250 * time.Millisecond

// lateAfterElection starts an upstream whose first two reports are late. When it holds keys,
// its zone is evacuated and the leader is killed; the two reports arrive then.
func lateAfterElection(rec *record, root string, trouble bool) (broken bool, err error) {
	const work = 900 * time.Millisecond // from the time on when the new upstream has keys
	p, err := startPlatform(rec, root, 3, 6, 20*time.Millisecond, nil)
	defer p.shutdown()
	if err != nil {
		return false, err
	}
	checker := &workChecker{}
	for _, u := range p.upstreams {
		checker.add(u)
	}
	ctx, cancel := context.WithCancel(context.Background())
	load := p.load(ctx, 30, 50*time.Millisecond, nil)
	defer load.Wait()
	defer cancel()
	time.Sleep(4 * time.Second)

	u, err := newSilentUpstream(p.deployment, 6, keyedService, zones[1], 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	p.upstreams = append(p.upstreams, u)
	checker.add(u)
	first := u.nextReport()
	rec.add("%s sends its first report, which is late: %s", u.id, first)
	time.Sleep(time.Second)
	second := u.nextReport()
	rec.add("%s sends its second report, which is late: %s", u.id, second)
	time.Sleep(time.Second)
	u.setSilent(false)
	for end := time.Now().Add(20 * time.Second); u.keysHeld() < 2000; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return false, errors.New("the new upstream got no keys")
		}
	}
	u.mu.Lock()
	hot := append([][3]uint64(nil), u.held...)
	u.mu.Unlock()
	p.hot.Store(&hot)
	for _, u := range p.upstreams {
		u.work.Store(int64(work))
	}
	time.Sleep(2 * time.Second)
	for u.awaitReport(); u.isReleasing(); u.awaitReport() {
	}
	at := time.Now()
	leader := p.leader()
	rec.add("%s holds %d keys; the leader is %s", u.id, u.keysHeld(), leader)
	var dead *host
	var alive []*host
	for _, h := range p.control {
		if h.address(portControl) == leader {
			dead = h
		} else {
			alive = append(alive, h)
		}
	}
	if dead == nil {
		return false, errors.New("the leader is not known")
	}
	if status, _ := p.op.callOnce(dead, "evacuate.start", u.zone, ""); status != http.StatusOK {
		return false, errors.New("the evacuation was not acknowledged")
	}
	before := checker.count()
	if trouble {
		p.signal(dead, syscall.SIGKILL)
		time.AfterFunc(time.Until(at.Add(lateAt)), func() {
			u.post(alive[0], "instances.heartbeat", first)
			u.post(alive[1], "instances.heartbeat", second)
		})
	}
	time.Sleep(5 * time.Second)
	rec.say("%d keys had been given to an upstream before, and %d were after the leader was killed, while another worked on them within its lease", before, checker.count()-before)
	return checker.count() > 0, nil
}
