package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is that of the settings.
const heartbeatInterval = 870 * time.Millisecond

// maxKey is the largest key.
const maxKey = 1<<16 - 1

// hold is one span of time in which a server holds a key.
type hold struct {
	from, until time.Time
	epoch       uint64
}

// server is a sound backend server of a service that is divided by key.
type server struct {
	r        *run
	name, dc string
	address  string
	born     int64

	mu       sync.Mutex
	sequence int
	next     string // control address of the next report
	held     [maxKey + 1]hold
	maxEpoch [maxKey + 1]uint64
	running  [maxKey + 1]int
	revoked  [maxKey + 1]bool
	released [][3]any
	spans    map[int][]hold // of keys, ended and current, for the check
}

// row is a row of keys in a reply.
type row struct {
	first, last int
	epoch       uint64
}

func (r *run) startServer(name, dc string) *server {
	l, err := net.Listen("tcp", "127.0.3.1:0")
	require(err == nil, "opening a listener: %v", err)
	s := &server{r: r, name: name, dc: dc, address: l.Addr().String(), born: time.Now().UnixMilli(), spans: map[int][]hold{}}
	web := &http.Server{Handler: s}
	go func() { _ = web.Serve(l) }()
	r.goDo(func() {
		<-r.done
		_ = web.Close()
	})
	r.goDo(s.report)
	return s
}

// report sends status reports until the end.
func (s *server) report() {
	for !s.r.ended() {
		wait := heartbeatInterval
		if s.sendReport() {
			wait = 80 * time.Millisecond
		}
		select {
		case <-s.r.done:
		case <-time.After(wait):
		}
	}
}

// reportBody returns the body of the next report and drops the keys whose lease is over or that
// were revoked and are not in use.
func (s *server) reportBody(now time.Time) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	rows := [][3]any{}
	for key := range s.held {
		h := &s.held[key]
		switch {
		case h.epoch == 0:
			continue
		case !now.Before(h.until):
			s.endHold(key, h.until)
			continue
		case s.revoked[key] && s.running[key] == 0:
			s.endHold(key, now)
			s.released = append(s.released, [3]any{key, key, fmt.Sprintf("%016x", rand.Uint64())})
			continue
		}
		if n := len(rows); n > 0 && rows[n-1][1] == key-1 && rows[n-1][2] == h.epoch {
			rows[n-1][1] = key
		} else {
			rows = append(rows, [3]any{key, key, h.epoch})
		}
	}
	body, err := json.Marshal(map[string]any{"address": s.address, "born": s.born, "holds": rows, "released": mergeReleased(s.released),
		"info":   map[string]any{"service": "desk", "zone": s.dc, "version": "v1", "max_concurrency": 4},
		"status": map[string]any{"state": "ready", "sequence": s.sequence, "warmup_left_ms": 0}})
	require(err == nil, "encoding a report: %v", err)
	return body
}

// mergeReleased merges adjacent keys.
func mergeReleased(keys [][3]any) [][3]any {
	out := [][3]any{}
	for _, k := range keys {
		if n := len(out); n > 0 && out[n-1][1].(int)+1 == k[0].(int) {
			out[n-1][1] = k[1]
		} else {
			out = append(out, k)
		}
	}
	return out
}

// endHold ends the hold of a key. s.mu must be held.
func (s *server) endHold(key int, at time.Time) {
	spans := s.spans[key]
	spans[len(spans)-1].until = at
	s.held[key], s.revoked[key] = hold{}, false
}

// sendReport sends one report. It tells whether keys have to be released.
func (s *server) sendReport() (releasing bool) {
	sent := time.Now()
	body := s.reportBody(sent)
	s.mu.Lock()
	target, released := s.next, len(s.released)
	s.mu.Unlock()
	if target == "" {
		target = s.r.controls[rand.IntN(len(s.r.controls))].address(portControl)
	}
	status, answer, err := post(target, "instances.heartbeat", s.name, body)
	var reply struct {
		Address string  `json:"heartbeat_address"`
		Holds   [][]any `json:"holds"`
		HoldMs  int64   `json:"hold_ms"`
	}
	ok := err == nil && status == http.StatusOK && len(answer) <= 4096 && time.Since(sent) < time.Second && json.Unmarshal(answer, &reply) == nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok {
		s.next = ""
		return false
	}
	s.next, s.released = reply.Address, s.released[released:]
	if reply.Holds == nil {
		s.r.note("server %s: report %d is acknowledged and renews nothing", s.name, s.sequence)
		return false
	}
	return s.adopt(reply.Holds, sent, time.Duration(reply.HoldMs)*time.Millisecond)
}

// adopt takes the keys of a reply and revokes the others. s.mu must be held.
func (s *server) adopt(holds [][]any, sent time.Time, lease time.Duration) (releasing bool) {
	listed := map[int]bool{}
	now, taken := time.Now(), 0
	for _, values := range holds {
		k := row{int(values[0].(float64)), int(values[1].(float64)), uint64(values[2].(float64))}
		for key := k.first; key <= k.last; key++ {
			if s.maxEpoch[key] > k.epoch {
				continue
			}
			listed[key] = true
			h := &s.held[key]
			if h.epoch == 0 {
				s.spans[key] = append(s.spans[key], hold{from: now, epoch: k.epoch})
				taken++
			}
			h.epoch, h.until, s.maxEpoch[key], s.revoked[key] = k.epoch, sent.Add(lease), k.epoch, false
			spans := s.spans[key]
			spans[len(spans)-1].until = h.until
		}
	}
	revoked := 0
	for key := range s.held {
		if s.held[key].epoch != 0 && !listed[key] {
			s.revoked[key] = true
			revoked++
		}
	}
	if taken > 0 || revoked > 0 {
		s.r.note("server %s: report %d answered: %d keys held, %d of them new, %d to be released, for %v", s.name, s.sequence, len(listed), taken, revoked, lease)
	}
	return revoked > 0
}

// ServeHTTP runs a request if this server holds its key.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
	if err != nil || r.Header.Get("Target-Instance") != s.name || !s.begin(key) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.r.note("server %s runs %s, key %d", s.name, id, key)
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	s.running[key]--
	s.mu.Unlock()
	w.Header().Set("Response-Seal", "seal-"+id)
	_, _ = io.WriteString(w, "done "+id)
}

func (s *server) begin(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[key]
	if h.epoch == 0 || s.revoked[key] || !time.Now().Before(h.until) {
		return false
	}
	s.running[key]++
	return true
}

// holdsKey tells whether the server holds a key.
func (s *server) holdsKey(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[key].epoch != 0 && time.Now().Before(s.held[key].until)
}

// heldTwice returns the keys that two servers hold for longer than allowed at the same time.
func heldTwice(servers []*server, allowed time.Duration) (keys int, longest time.Duration, example string) {
	for key := range maxKey + 1 {
		twice := false
		for i, a := range servers {
			for _, b := range servers[i+1:] {
				for _, x := range a.spans[key] {
					for _, y := range b.spans[key] {
						both := earlier(x.until, y.until).Sub(later(x.from, y.from))
						if both <= allowed {
							continue
						}
						twice = true
						if both > longest {
							longest = both
							example = fmt.Sprintf("key %d: %s with epoch %d and %s with epoch %d", key, a.name, x.epoch, b.name, y.epoch)
						}
					}
				}
			}
		}
		if twice {
			keys++
		}
	}
	return keys, longest, example
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// callers sends requests for random keys through all entry hosts until the end.
func (r *run) callers(perSecond int) {
	for i := range 4 {
		r.goDo(func() {
			client := http.Client{Timeout: 3 * time.Second}
			for n := 0; !r.ended(); n++ {
				r.call(&client, r.entries[i%len(r.entries)], fmt.Sprintf("c%d-%d", i, n), rand.IntN(maxKey+1))
				time.Sleep(4 * time.Second / time.Duration(perSecond))
			}
			client.CloseIdleConnections()
		})
	}
}

// call sends one request and returns the status of its answer, or 0.
func (r *run) call(client *http.Client, h *host, id string, key int) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.address(portTraffic)+"/book/a", strings.NewReader("order"))
	require(err == nil, "making a request: %v", err)
	req.Host = "shop.example"
	for name, value := range map[string]string{"Attempt-Id": id, "Deadline-Ms": "2000", "Shard-Key": strconv.Itoa(key)} {
		req.Header.Set(name, value)
	}
	r.note("caller sends %s, key %d, to %s", id, key, h.name)
	resp, err := client.Do(req)
	if err != nil {
		r.note("caller: %s has no answer: %v", id, err)
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	r.note("caller: %s is answered %d", id, resp.StatusCode)
	return resp.StatusCode
}
