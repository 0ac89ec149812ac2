package main

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	drainTime = 2 * time.Second // drain_ms
	// cutTime is how long the upstream is partitioned from the control hosts.
	cutTime = 7 * time.Second
	// lateBy is how late the last status report arrives.
	lateBy = 1500 * time.Millisecond
)

// runsAfter counts the requests that begin on one upstream after a time.
type runsAfter struct {
	mu   sync.Mutex
	id   string
	from time.Time // zero means none are counted
	n    int
}

func (r *runsAfter) began(rec *record) func(u *upstream, attempt string) {
	return func(u *upstream, attempt string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if u.id != r.id || r.from.IsZero() || time.Now().Before(r.from) {
			return
		}
		if r.n++; r.n <= 20 {
			rec.add("request %s runs on %s, later than %v after it had deregistered", attempt, u.id, drainTime)
		}
	}
}

// lateReport cuts an upstream off from the control hosts until they take it for lost. After the
// cut it reports once and deregisters; a report that it had sent before that arrives late.
func lateReport(rec *record, root string, trouble bool) (broken bool, err error) {
	runs := &runsAfter{id: "i-6"}
	p, err := startPlatform(rec, root, 3, 6, 20*time.Millisecond, runs.began(rec))
	defer p.shutdown()
	if err != nil {
		return false, err
	}
	for i := range 3 {
		u, err := newUpstream(p.deployment, 6+i, plainService, zones[i], 50*time.Millisecond, runs.began(rec))
		if err != nil {
			return false, err
		}
		p.upstreams = append(p.upstreams, u)
	}
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	load := p.loadPlain(ctx, 4, 50*time.Millisecond)
	defer load.Wait()
	defer cancel()
	time.Sleep(3 * time.Second)

	u := p.upstreams[6]
	if trouble {
		rec.add("%s is cut off from the control hosts", u.id)
	}
	u.setSilent(trouble)
	time.Sleep(cutTime)
	u.setSilent(true) // from here on, the case sends its reports
	rec.add("the cut, if any, ends; %s ran %d requests", u.id, u.requests())
	if !u.post(p.control[0], "instances.heartbeat", u.nextReport()) {
		return false, errors.New("the report after the cut was not acknowledged")
	}
	time.Sleep(heartbeatInterval)
	late := u.nextReport()
	sent := time.Now()
	if !u.post(p.control[1], "instances.deregister", nil) {
		return false, errors.New("the deregistration was not acknowledged")
	}
	acked := time.Now()
	runs.mu.Lock()
	runs.from = acked.Add(drainTime)
	runs.mu.Unlock()
	if trouble {
		time.Sleep(time.Until(sent.Add(lateBy)))
		u.post(p.control[2], "instances.heartbeat", late)
	}
	time.Sleep(time.Until(acked.Add(drainTime + 2*time.Second)))
	u.shutdown()
	rec.add("%s ends", u.id)
	p.upstreams = append(p.upstreams[:6], p.upstreams[7:]...)
	runs.mu.Lock()
	defer runs.mu.Unlock()
	rec.say("%d requests ran on the upstream later than %v after its deregistration was acknowledged", runs.n, drainTime)
	return runs.n > 0, nil
}

// loadPlain sends requests without keys.
func (p *platform) loadPlain(ctx context.Context, callersPerHost int, pause time.Duration) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, h := range p.entry {
		for range callersPerHost {
			wg.Go(func() {
				c := &caller{d: p.deployment, h: h}
				defer c.close()
				for ctx.Err() == nil {
					if o := c.send(http.MethodPost, "/scan/a", 0, make([]byte, 500), routeTimeout); o.status != http.StatusOK {
						p.rec.add("scan %s at %s: %d %v", o.attempt, h.name, o.status, o.err)
					}
					time.Sleep(pause)
				}
			})
		}
	}
	return &wg
}

func (u *upstream) nextReport() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.report()
}

// post sends a call to a control host and reports whether it was acknowledged.
func (u *upstream) post(h *host, call string, body []byte) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+h.address(portControl)+"/api/rpc?call="+call+"&of="+u.id, "application/json", bytes.NewReader(body))
	if err != nil {
		u.d.rec.add("%s: %s to %s: %v", u.id, call, h.name, err)
		return false
	}
	defer resp.Body.Close()
	u.d.rec.add("%s: %s to %s: %d %s", u.id, call, h.name, resp.StatusCode, body)
	return resp.StatusCode == http.StatusOK
}
