package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 870 * time.Millisecond
	releaseInterval   = 100 * time.Millisecond
	maxKey            = 1<<16 - 1
)

// upstream is a backend server. Only those of keyedService have keys.
type upstream struct {
	d                 *deployment
	service           string
	id, zone, address string
	born              int64
	work              atomic.Int64 // nanoseconds that a request takes
	server            *http.Server
	stop              chan struct{}
	// began is called when work on a request begins; it may be nil.
	began func(u *upstream, attempt string)
	// granted is called with the keys that a reply adds to those held; it may be nil.
	granted func(u *upstream, keys []uint64)

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
	// lastReport is when the last answered report was sent.
	lastReport time.Time
	silent     bool // sends no status reports by itself
}

func newUpstream(d *deployment, index int, service, zone string, work time.Duration, began func(*upstream, string)) (*upstream, error) {
	u, err := listen(d, index, service, zone, work, began)
	if err == nil {
		go u.heartbeats()
	}
	return u, err
}

// newSilentUpstream returns an upstream that reports only after setSilent(false).
func newSilentUpstream(d *deployment, index int, service, zone string, work time.Duration) (*upstream, error) {
	u, err := listen(d, index, service, zone, work, nil)
	if err == nil {
		u.setSilent(true)
		go u.heartbeats()
	}
	return u, err
}

func listen(d *deployment, index int, service, zone string, work time.Duration, began func(*upstream, string)) (*upstream, error) {
	u := &upstream{d: d, service: service, id: fmt.Sprintf("i-%d", index), zone: zone, born: time.Now().UnixMilli(), stop: make(chan struct{}),
		running: map[uint64]int{}, turn: index, began: began}
	u.work.Store(int64(work))
	l, err := net.Listen("tcp", fmt.Sprintf("%s%d:8080", d.prefix, 100+index))
	if err != nil {
		return nil, err
	}
	u.address = l.Addr().String()
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go u.server.Serve(l)
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
	_, _ = fmt.Sscan(r.Header.Get("Shard-Key"), &key) // callers send one with each request
	if r.Header.Get("Target-Instance") != u.id || !u.begin(key) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.began != nil {
		u.began(u, attempt)
	}
	time.Sleep(time.Duration(u.work.Load()))
	u.end(key)
	answer := fmt.Sprintf("%s ran %s with %d bytes\n", u.id, attempt, len(body))
	w.Header().Set("Response-Seal", "seal-"+attempt)
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(w, answer)
}

func (u *upstream) begin(key uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.service != keyedService {
		u.ran++
		return true
	}
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
	if u.service != keyedService {
		return
	}
	if u.running[key]--; u.running[key] == 0 {
		delete(u.running, key)
	}
}

func (u *upstream) heartbeats() {
	for {
		wait := heartbeatInterval
		if u.isSilent() {
			wait = releaseInterval
		} else if u.heartbeat() {
			wait = releaseInterval
		}
		select {
		case <-u.stop:
			return
		case <-time.After(wait):
		}
	}
}

// setSilent makes the upstream send no status reports by itself, as if it were cut off from the
// control hosts.
func (u *upstream) setSilent(silent bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = silent
}

func (u *upstream) isSilent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.silent
}

// report returns the next status report. u.mu must be held.
func (u *upstream) report() []byte {
	u.sequence++
	body := map[string]any{"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "zone": u.zone, "version": "v1", "max_concurrency": 4},
		"status": map[string]any{"state": "ready", "sequence": u.sequence, "warmup_left_ms": 0}}
	if u.service == keyedService {
		body["holds"] = append(append([][3]uint64{}, u.held...), u.leaving...)
		body["released"] = append([][]any{}, u.released...)
	}
	data, _ := json.Marshal(body)
	return data
}

// heartbeat sends a status report and reports whether keys remain to be released.
func (u *upstream) heartbeat() (releasing bool) {
	u.mu.Lock()
	u.release()
	released, body := len(u.released), u.report()
	to := u.next
	if to == "" {
		u.turn++
		to = u.d.control[u.turn%len(u.d.control)].address(portControl)
	}
	u.mu.Unlock()
	sent := time.Now()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+to+"/api/rpc?call=instances.heartbeat&of="+u.id, "application/json", bytes.NewReader(body))
	var added []uint64
	defer func() {
		if u.granted != nil && len(added) > 0 {
			u.granted(u, added)
		}
	}()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastReport = sent
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
	added = u.adopt(reply.Holds, sent.Add(time.Duration(reply.HoldMs)*time.Millisecond))
	return len(u.leaving) > 0
}

// adopt takes the ranges of a reply and returns the keys that are new; what it leaves out is
// released.
func (u *upstream) adopt(rows [][]any, until time.Time) (added []uint64) {
	before := map[uint64]bool{}
	for _, r := range u.held {
		for key := r[0]; key <= r[1]; key++ {
			before[key] = true
		}
	}
	var held [][3]uint64
	granted := map[uint64]bool{}
	for _, row := range rows {
		r := [3]uint64{uint64(row[0].(float64)), uint64(row[1].(float64)), uint64(row[2].(float64))}
		held = append(held, r)
		for key := r[0]; key <= r[1]; key++ {
			granted[key] = true
			if !before[key] {
				added = append(added, key)
			}
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
	return added
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
