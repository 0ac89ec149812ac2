package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 870 * time.Millisecond
	releaseInterval   = 100 * time.Millisecond
	maxKey            = 1<<16 - 1
)

// upstream is a backend server of a service that is divided by key.
type upstream struct {
	d                 *deployment
	id, zone, address string
	born              int64
	work              time.Duration
	server            *http.Server
	stop              chan struct{}
	// began is called when work on a request begins; it may be nil.
	began func(u *upstream, attempt string)

	mu       sync.Mutex
	sequence int
	held     [][3]uint64 // first key, last key, epoch
	until    time.Time   // end of the lease
	running  map[uint64]int
	leaving  [][3]uint64 // revoked, not released yet
	released [][]any
	next     string // address of the next heartbeat; empty means any control host
	turn     int
	ran      int
}

func newUpstream(d *deployment, index int, zone string, work time.Duration, began func(*upstream, string)) (*upstream, error) {
	u := &upstream{d: d, id: fmt.Sprintf("i-%d", index), zone: zone, born: time.Now().UnixMilli(), work: work, stop: make(chan struct{}),
		running: map[uint64]int{}, turn: index, began: began}
	l, err := net.Listen("tcp", fmt.Sprintf("%s%d:8080", d.prefix, 100+index))
	if err != nil {
		return nil, err
	}
	u.address = l.Addr().String()
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go u.server.Serve(l)
	go u.heartbeats()
	return u, nil
}

func (u *upstream) shutdown() {
	close(u.stop)
	_ = u.server.Close()
}

// requests returns how many requests have run.
func (u *upstream) requests() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", attempt)
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", u.id)
		return
	}
	var key uint64
	_, err = fmt.Sscan(r.Header.Get("Shard-Key"), &key)
	if err != nil || r.Header.Get("Target-Instance") != u.id || !u.begin(key) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.began != nil {
		u.began(u, attempt)
	}
	time.Sleep(u.work)
	u.end(key)
	answer := fmt.Sprintf("%s ran %s with %d bytes\n", u.id, attempt, len(body))
	w.Header().Set("Response-Seal", "seal-"+attempt)
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(w, answer)
}

func (u *upstream) begin(key uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !time.Now().Before(u.until) {
		return false
	}
	for _, r := range u.held {
		if r[0] <= key && key <= r[1] {
			u.running[key]++
			u.ran++
			return true
		}
	}
	return false
}

func (u *upstream) end(key uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running[key]--; u.running[key] == 0 {
		delete(u.running, key)
	}
}

func (u *upstream) heartbeats() {
	for {
		wait := heartbeatInterval
		if u.heartbeat() {
			wait = releaseInterval
		}
		select {
		case <-u.stop:
			return
		case <-time.After(wait):
		}
	}
}

// heartbeat sends a status report and reports whether keys remain to be released.
func (u *upstream) heartbeat() (releasing bool) {
	u.mu.Lock()
	u.release()
	u.sequence++
	released := len(u.released)
	holds := append(append([][3]uint64{}, u.held...), u.leaving...)
	body, _ := json.Marshal(map[string]any{"address": u.address, "born": u.born, "holds": holds, "released": append([][]any{}, u.released...),
		"info":   map[string]any{"service": "desk", "zone": u.zone, "version": "v1", "max_concurrency": 4},
		"status": map[string]any{"state": "ready", "sequence": u.sequence, "warmup_left_ms": 0}})
	to := u.next
	if to == "" {
		u.turn++
		to = u.d.control[u.turn%len(u.d.control)].address(portControl)
	}
	u.mu.Unlock()
	sent := time.Now()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+to+"/api/rpc?call=instances.heartbeat&of="+u.id, "application/json", bytes.NewReader(body))
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next = ""
	if err != nil {
		return true // the next host is called at once
	}
	defer resp.Body.Close()
	var reply struct {
		HeartbeatAddress string  `json:"heartbeat_address"`
		Holds            [][]any `json:"holds"`
		HoldMs           int64   `json:"hold_ms"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&reply) != nil {
		return true
	}
	u.next, u.released = reply.HeartbeatAddress, u.released[released:]
	if reply.Holds == nil {
		return false
	}
	u.adopt(reply.Holds, sent.Add(time.Duration(reply.HoldMs)*time.Millisecond))
	return len(u.leaving) > 0
}

// adopt takes the ranges of a reply; what it leaves out is released.
func (u *upstream) adopt(rows [][]any, until time.Time) {
	var held [][3]uint64
	granted := map[uint64]bool{}
	for _, row := range rows {
		r := [3]uint64{uint64(row[0].(float64)), uint64(row[1].(float64)), uint64(row[2].(float64))}
		held = append(held, r)
		for key := r[0]; key <= r[1]; key++ {
			granted[key] = true
		}
	}
	for _, old := range u.held {
		for key := old[0]; key <= old[1]; key++ {
			if !granted[key] {
				u.leaving = append(u.leaving, [3]uint64{key, key, old[2]})
			}
		}
	}
	u.held, u.until = held, until
}

// release gives up the revoked keys that have no running request, and all keys after the
// lease. Adjacent keys of one epoch make one row.
func (u *upstream) release() {
	if !time.Now().Before(u.until) {
		u.held, u.leaving = nil, nil
		return
	}
	var kept [][3]uint64
	for _, r := range u.leaving {
		if u.running[r[0]] > 0 {
			kept = append(kept, r)
			continue
		}
		if n := len(u.released); n > 0 && u.released[n-1][1].(uint64)+1 == r[0] {
			u.released[n-1][1] = r[0]
			continue
		}
		u.released = append(u.released, []any{r[0], r[0], fmt.Sprintf("%016x", r[0])})
	}
	u.leaving = kept
}
