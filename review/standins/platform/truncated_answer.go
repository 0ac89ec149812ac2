package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// readTimeout is how long callers and the routes wait for an answer.
	readTimeout = 8 * time.Second
	// largeAnswer is the size of the answers of photos, largePart what a truncated one has of it.
	largeAnswer = 200 << 10
	largePart   = 150 << 10
	// truncatedEvery is the share of the answers of photos that are truncated, one in so many.
	truncatedEvery = 50
	// behind is the number of requests that a caller sends behind the first, before its answer.
	behind = 5
	// maxLost is how often a host may close a kept connection with a request that it has passed on
	// (RULES.md, LOST).
	maxLost = 3
)

// plainServer is a backend server of a service without keys.
type plainServer struct {
	r                *run
	service, name    string
	address          string
	truncates        bool
	mu               sync.Mutex
	answered, broken int
	ran              map[string]bool
}

func (r *run) startPlainServer(service, name string, truncates bool) *plainServer {
	l, err := net.Listen("tcp", "127.0.3.1:0")
	require(err == nil, "opening a listener: %v", err)
	s := &plainServer{r: r, service: service, name: name, address: l.Addr().String(), truncates: truncates, ran: map[string]bool{}}
	web := &http.Server{Handler: s}
	go func() { _ = web.Serve(l) }()
	r.goDo(func() {
		<-r.done
		_ = web.Close()
	})
	born := time.Now().UnixMilli()
	r.goDo(func() {
		for sequence := 1; !r.ended(); sequence++ {
			body, err := json.Marshal(map[string]any{"address": s.address, "born": born,
				"info":   map[string]any{"service": service, "zone": "dc-1", "version": "v1", "max_concurrency": 16},
				"status": map[string]any{"state": "ready", "sequence": sequence, "warmup_left_ms": 0}})
			require(err == nil, "encoding a report: %v", err)
			_, _, _ = post(r.controls[rand.IntN(len(r.controls))].address(portControl), "instances.heartbeat", name, body) // the next one follows soon
			select {
			case <-r.done:
			case <-time.After(heartbeatInterval):
			}
		}
	})
	return s
}

// ServeHTTP runs a request.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if r.Header.Get("Target-Instance") != s.name {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.ran[id] = true
	s.answered++
	truncate := s.r.trouble && s.truncates && s.answered%truncatedEvery == 0
	if truncate {
		s.broken++
	}
	s.mu.Unlock()
	s.r.note("server %s runs %s", s.name, id)
	w.Header().Set("Response-Seal", "seal-"+id)
	if s.service != "photos" {
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(w, "answer to ", id)
		return
	}
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Content-Length", fmt.Sprint(largeAnswer))
	if !truncate {
		_, _ = io.WriteString(w, strings.Repeat("p", largeAnswer))
		return
	}
	s.r.note("server %s truncates its answer to %s", s.name, id)
	_, _ = io.WriteString(w, strings.Repeat("p", largePart))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (s *plainServer) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// truncatedAnswer lets one of two services truncate a few of its answers, while callers send reads
// of the other service behind reads of that one, on kept connections.
func truncatedAnswer(r *run) []string {
	r.startHosts(3, 1)
	r.configureReads()
	faulty, sound := r.startPlainServer("photos", "i-p1", true), r.startPlainServer("stock", "i-s1", false)
	r.startPlainServer("photos", "i-p2", false)
	r.awaitReads()
	var mu sync.Mutex
	var lost []string
	end := time.Now().Add(30 * time.Second)
	var callers sync.WaitGroup
	for i := range 2 {
		callers.Go(func() {
			var c *keptConn
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					c = r.dialEntry()
				}
				unanswered := r.sendReads(c, fmt.Sprintf("c%d-%d", i, n))
				if len(unanswered) > 0 {
					c.Close()
					c = nil
				}
				for _, id := range unanswered {
					if sound.hasRun(id) {
						r.note("LOST: %s ran on the sound server %s, and its connection was closed without an answer", id, sound.name)
						mu.Lock()
						lost = append(lost, id)
						mu.Unlock()
					}
				}
				time.Sleep(80 * time.Millisecond)
			}
			if c != nil {
				c.Close()
			}
		})
	}
	callers.Wait()
	r.note("%d of %d answers of %s were truncated", faulty.broken, faulty.answered, faulty.name)
	if len(lost) > maxLost {
		return []string{fmt.Sprintf("LOST: %d requests of kept connections were passed on to the sound server %s, and their connections closed without an answer; at most %d may be", len(lost), sound.name, maxLost)}
	}
	return nil
}

// keptConn is a connection of a caller.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
	served bool // at least one request was answered on it
}

func (r *run) dialEntry() *keptConn {
	c, err := net.DialTimeout("tcp", r.entries[0].address(portTraffic), time.Second)
	require(err == nil, "connecting to the entry host: %v", err)
	return &keptConn{Conn: c, reader: bufio.NewReader(c)}
}

func read(path, id string) string {
	return fmt.Sprintf("GET /%s/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\n\r\n", path, id)
}

// sendReads sends a read of photos and some of stock behind it, and returns the ids of those that
// were not answered because the connection was closed. The first time, it makes the connection a
// kept one.
func (r *run) sendReads(c *keptConn, id string) (unanswered []string) {
	_ = c.SetDeadline(time.Now().Add(readTimeout + time.Second))
	if !c.served {
		if !r.sendOn(c, read("stock", id+"-first")) || !r.receiveOn(c, id+"-first") {
			return nil
		}
		c.served = true
	}
	ids, text := []string{id + "-photo"}, read("photos", id+"-photo")
	for k := range behind {
		ids = append(ids, fmt.Sprint(id, "-", k))
		text += read("stock", ids[len(ids)-1])
	}
	r.note("caller sends %s and %d reads behind it", ids[0], behind)
	if !r.sendOn(c, text) {
		return ids
	}
	for k, one := range ids {
		if !r.receiveOn(c, one) {
			return ids[k:]
		}
	}
	return nil
}

func (r *run) sendOn(c *keptConn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// receiveOn reads the answer to a request. It returns false if the connection ends before its end.
func (r *run) receiveOn(c *keptConn, id string) bool {
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		r.note("caller: %s: %v", id, err)
		return false
	}
	r.note("caller: %s is answered %d", id, resp.StatusCode)
	return true
}

// configureReads sends a configuration of two services without keys and a route to each.
func (r *run) configureReads() {
	const version = "00000001"
	routes, services := map[string]any{}, map[string]any{}
	for _, name := range []string{"photos", "stock"} {
		routes["r-"+name] = route(name, name, version)
		services[name] = map[string]any{"health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false, "warmup_s": 3, "warmup_per_s": 18, "version": version}
	}
	r.patch(map[string]any{"upsert": map[string]any{"routes": routes, "services": services}, "remove": map[string]any{"routes": []any{}}})
}

// route returns a route of reads below a path to a service.
func route(path, service, version string) map[string]any {
	return map[string]any{"host": "shop.example", "path_prefix": "/" + path + "/", "route_type": "safe", "timeout_ms": readTimeout.Milliseconds(),
		"target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": 2, "version": version}
}

// awaitReads waits until reads of both services are served.
func (r *run) awaitReads() {
	client := http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	end := time.Now().Add(20 * time.Second)
	for _, path := range []string{"photos", "stock"} {
		for n := 0; ; n++ {
			require(time.Now().Before(end), "reads of %s are not served", path)
			req, err := http.NewRequest(http.MethodGet, "http://"+r.entries[0].address(portTraffic)+"/"+path+"/x", nil)
			require(err == nil, "making a request: %v", err)
			req.Host = "shop.example"
			req.Header.Set("Attempt-Id", fmt.Sprint("w-", path, n))
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
}
