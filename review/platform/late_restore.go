package main

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	evacuateTime = 5 * time.Second // evacuate_ms
	contactTime  = 3 * time.Second // contact_ms
	freezeTime   = 4 * time.Second
)

// evacuatedZones are the zones that the operator takes out of service.
var evacuatedZones = []string{"zone-b", "zone-c"}

// zoneRuns counts the requests that begin in the evacuated zones.
type zoneRuns struct {
	mu   sync.Mutex
	from time.Time // counted from here on; zero means not at all
	n    int
}

func (z *zoneRuns) began(rec *record) func(u *upstream, attempt string) {
	return func(u *upstream, attempt string) {
		z.mu.Lock()
		defer z.mu.Unlock()
		if !slices.Contains(evacuatedZones, u.zone) || z.from.IsZero() || time.Now().Before(z.from) {
			return
		}
		if z.n++; z.n <= 20 {
			rec.add("request %s runs on %s in the evacuated zone %s", attempt, u.id, u.zone)
		}
	}
}

func (z *zoneRuns) countFrom(t time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.from, z.n = t, 0
}

func (z *zoneRuns) count() int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.n
}

// callForZones sends a call for each evacuated zone at the same time and reports whether all
// were acknowledged.
func (p *platform) callForZones(hosts []*host, call string) bool {
	acked := make([]bool, len(evacuatedZones))
	var wg sync.WaitGroup
	for i, zone := range evacuatedZones {
		wg.Go(func() { acked[i] = p.op.call(hosts, call, zone, "", 20*time.Second) })
	}
	wg.Wait()
	return !slices.Contains(acked, false)
}

// lateRestore evacuates two zones, takes them back with calls that first go to a control host
// that is frozen, and evacuates them again. The frozen host resumes later.
func lateRestore(rec *record, root string, trouble bool) (broken bool, err error) {
	runs := &zoneRuns{}
	p, err := startPlatform(rec, root, 3, 9, 20*time.Millisecond, runs.began(rec))
	defer p.shutdown()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	load := p.load(ctx, 4, 50*time.Millisecond, func(h *host, method string, o outcome) {
		if o.status != http.StatusOK {
			rec.add("%s %s at %s: %d %v", method, o.attempt, h.name, o.status, o.err)
		}
	})
	defer load.Wait()
	defer cancel()
	time.Sleep(5 * time.Second)

	followers := p.followers()
	if len(followers) != controlHosts-1 {
		return false, errors.New("the leader is not known")
	}
	frozen, others := followers[0], followers[1:]
	rec.add("leader %s; the host to freeze is %s", p.leader(), frozen.name)
	if !p.callForZones(others, "evacuate.start") {
		return false, errors.New("the first evacuation was not acknowledged")
	}
	runs.countFrom(time.Now().Add(evacuateTime))
	time.Sleep(evacuateTime + time.Second)
	if runs.count() > 0 {
		return false, errors.New("the first evacuation did not take effect")
	}
	runs.countFrom(time.Time{})

	thawed := time.Now()
	if trouble {
		p.signal(frozen, syscall.SIGSTOP)
		thawed = thawed.Add(freezeTime)
	}
	if !p.callForZones(append([]*host{frozen}, others...), "evacuate.end") {
		return false, errors.New("the end of the evacuation was not acknowledged")
	}
	time.Sleep(500 * time.Millisecond)
	if !p.callForZones(others, "evacuate.start") {
		return false, errors.New("the second evacuation was not acknowledged")
	}
	acked := time.Now()
	rec.add("the second evacuation was acknowledged")
	time.Sleep(time.Until(thawed))
	if trouble {
		p.signal(frozen, syscall.SIGCONT)
	}
	from := acked.Add(evacuateTime)
	if t := time.Now().Add(contactTime); trouble && t.After(from) {
		from = t
	}
	runs.countFrom(from)
	time.Sleep(time.Until(from) + 5*time.Second)
	n := runs.count()
	rec.say("%d requests ran in evacuated zones later than %v after the second evacuation was acknowledged, and %v after the last signal", n, evacuateTime, contactTime)
	return n > 0, nil
}
