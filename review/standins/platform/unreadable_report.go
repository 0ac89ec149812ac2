package main

import (
	"fmt"
	"net/http"
	"time"
)

// maxHeldTwice is how long two servers may hold the same keys (RULES.md, OWNER).
const maxHeldTwice = 500 * time.Millisecond

// unreadableReport lets another writer send one status report in the name of a server. Both lists
// of keys are missing, and the version is not UTF-8.
func unreadableReport(r *run) []string {
	r.startHosts(3, 2)
	r.configure()
	servers := []*server{r.startServer("i-a1", "dc-1"), r.startServer("i-b2", "dc-2"), r.startServer("i-c3", "dc-3")}
	r.awaitServed(servers)
	r.callers(40)
	time.Sleep(5 * time.Second)
	victim := servers[0]
	if r.trouble {
		body := fmt.Appendf(nil, `{"address":%q,"born":%d,"info":{"service":"desk","zone":%q,"version":"`+"\xc3\x28"+`","max_concurrency":4},"status":{"state":"draining","sequence":1,"warmup_left_ms":0}}`,
			victim.address, time.Now().UnixMilli(), victim.dc)
		status, answer, err := post(r.controls[0].address(portControl), "instances.heartbeat", victim.name, body)
		r.note("another writer reports as %s: %q is answered %d %s %v", victim.name, body, status, answer, err)
	}
	time.Sleep(8 * time.Second)
	for _, s := range servers {
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	if keys, longest, example := heldTwice(servers, maxHeldTwice); keys > 0 {
		return []string{fmt.Sprintf("OWNER: %d keys were held by two servers at the same time for over %v, the longest for %v (%s)", keys, maxHeldTwice, longest.Round(time.Millisecond), example)}
	}
	return nil
}

// awaitServed waits until requests for a key of each server are served.
func (r *run) awaitServed(servers []*server) {
	client := http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	end := time.Now().Add(30 * time.Second)
	for i, s := range servers {
		for n := 0; ; n++ {
			require(time.Now().Before(end), "requests are not served")
			key := 0
			for key < maxKey && !s.holdsKey(key) {
				key++
			}
			if s.holdsKey(key) && r.call(&client, r.entries[i%len(r.entries)], fmt.Sprintf("w%d-%d", i, n), key) == http.StatusOK {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
}
