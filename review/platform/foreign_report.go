package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// foreignReport sends one status report of another writer, which lacks fields and gives the
// address of an upstream that is up.
func foreignReport(rec *record, root string, trouble bool) (broken bool, err error) {
	p, err := startPlatform(rec, root, 3, 6, 20*time.Millisecond, nil)
	defer p.shutdown()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	load := p.load(ctx, 4, 50*time.Millisecond, nil)
	defer load.Wait()
	defer cancel()
	time.Sleep(5 * time.Second)

	watchCtx, endWatch := context.WithTimeout(ctx, 10*time.Second)
	defer endWatch()
	if trouble {
		u := p.upstreams[0]
		time.AfterFunc(time.Second, func() { sendForeignReport(p, u) })
	}
	keys, longest := watchHolders(watchCtx, rec, p.upstreams)
	rec.say("%d of %d sampled keys were held by two upstreams for over %v, %v at most", keys, (maxKey+1)/sampledKeys, maxCommonHold, longest.Round(time.Millisecond))
	return keys > 0, nil
}

// sendForeignReport sends a report without version, holds and released.
func sendForeignReport(p *platform, u *upstream) {
	body, _ := json.Marshal(map[string]any{"address": u.address, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": "desk", "zone": u.zone, "max_concurrency": 1},
		"status": map[string]any{"state": "ready", "sequence": 1, "warmup_left_ms": 0}})
	p.rec.add("another writer reports %s", body)
	resp, err := http.Post("http://"+p.control[0].address(portControl)+"/api/rpc?call=instances.heartbeat&of=agent-1", "application/json", bytes.NewReader(body))
	if err != nil {
		p.rec.add("the report was not answered: %v", err)
		return
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	_, _ = text.ReadFrom(resp.Body)
	p.rec.add("the report was answered %d %.200s", resp.StatusCode, text.String())
}
