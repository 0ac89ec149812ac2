package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

const (
	stopTime  = 6 * time.Second        // grace_s
	lossSlack = 200 * time.Millisecond // loss_slack_ms
)

// hangupInStop stops an entry host with SIGTERM while callers use it, and sends it a SIGHUP
// during the stop.
func hangupInStop(rec *record, root string, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	began := map[string]bool{}
	p, err := startPlatform(rec, root, 3, 6, 300*time.Millisecond, func(_ *upstream, attempt string) {
		mu.Lock()
		defer mu.Unlock()
		began[attempt] = true
	})
	defer p.shutdown()
	if err != nil {
		return false, err
	}
	stopped := p.entry[0]
	lost, answered := 0, 0
	ctx, cancel := context.WithCancel(context.Background())
	load := p.load(ctx, 6, 100*time.Millisecond, func(h *host, method string, o outcome) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case h != stopped:
		case o.err == nil:
			answered++
		case began[o.attempt]:
			lost++
			rec.add("%s %s at %s ran and its connection ended without an answer %v after it was sent: %v", method, o.attempt, h.name, o.took, o.err)
		default:
			rec.add("%s %s at %s did not run and got no answer: %v", method, o.attempt, h.name, o.err)
		}
	})
	time.Sleep(4 * time.Second)
	p.signal(stopped, syscall.SIGTERM)
	time.Sleep(time.Second)
	if trouble {
		p.signal(stopped, syscall.SIGHUP)
	}
	select {
	case <-stopped.done:
	case <-time.After(stopTime):
		p.signal(stopped, syscall.SIGKILL)
	}
	time.Sleep(lossSlack)
	cancel()
	load.Wait()
	rec.say("%d requests at %s were answered; %d had been passed on and were cut off without an answer", answered, stopped.name, lost)
	return lost > 0, nil
}
