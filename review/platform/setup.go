package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Services of the deployment. The requests of the first have keys.
const (
	keyedService = "desk"
	plainService = "vault"
)

const serviceItems = `"vault":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":18.0,"version":"00000001"},"desk":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":18.0,"sharded":true,"warm_s":2.0,"grants":"heartbeat","version":"00000001"}`

const limitsItem = `{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000,"version":"00000001"}`

// routeItem returns a route. Its kind is safe or unsafe.
func routeItem(prefix, kind, service string, timeout time.Duration, version int) string {
	return fmt.Sprintf(`{"host":"a.example","path_prefix":"/%s/","route_type":%q,"timeout_ms":%d,"target_latency_ms":500,"priority":1,"service":%q,"max_attempts":2,"version":"%08x"}`,
		prefix, kind, timeout.Milliseconds(), service, version)
}

const routeTimeout = 3 * time.Second

// firstConfiguration has one service and two routes.
func firstConfiguration() string {
	return fmt.Sprintf(`{"upsert":{"routes":{"r-read":%s,"r-order":%s,"r-scan":%s},"services":{%s},"limits":%s},"remove":{"routes":[]}}`,
		routeItem("read", "safe", keyedService, routeTimeout, 1), routeItem("order", "unsafe", keyedService, routeTimeout, 1),
		routeItem("scan", "upload", plainService, routeTimeout, 1), serviceItems, limitsItem)
}

// platform is a deployment that serves, with its backend servers.
type platform struct {
	*deployment
	op        *operator
	upstreams []*upstream
	// hot holds the ranges of keys that half of the requests are about; nil means none.
	hot atomic.Pointer[[][3]uint64]
}

// pickKey returns the key of the next request.
func (p *platform) pickKey() int {
	if rows := p.hot.Load(); rows != nil && len(*rows) > 0 && rand.IntN(2) == 0 {
		r := (*rows)[rand.IntN(len(*rows))]
		return int(r[0]) + rand.IntN(int(r[1]-r[0])+1)
	}
	return rand.IntN(maxKey + 1)
}

// startPlatform starts a deployment and waits until all its entry hosts serve all keys.
func startPlatform(rec *record, root string, entryHosts, upstreams int, work time.Duration, began func(*upstream, string)) (*platform, error) {
	d, err := newDeployment(rec, root, entryHosts)
	p := &platform{deployment: d}
	if err != nil {
		return p, err
	}
	p.op = newOperator(d)
	if !p.op.call(d.control, "config.patch", "", firstConfiguration(), 30*time.Second) {
		return p, errors.New("the first configuration was not accepted")
	}
	for i := range upstreams {
		u, err := newUpstream(d, i, keyedService, zones[i%len(zones)], work, began)
		if err != nil {
			return p, err
		}
		p.upstreams = append(p.upstreams, u)
		time.Sleep(heartbeatInterval / time.Duration(upstreams)) // their reports are spread evenly
	}
	for _, h := range d.hosts() {
		if err := d.writeSettings(h, false); err != nil { // for later starts
			return p, err
		}
	}
	return p, p.awaitServed(40 * time.Second)
}

// awaitServed waits until each entry host serves keys of the whole range.
func (p *platform) awaitServed(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		served := true
		for _, h := range p.entry {
			c := &caller{d: p.deployment, h: h}
			for key := 0; key <= maxKey && served; key += 6000 {
				served = c.send(http.MethodGet, "/read/a", key, nil, routeTimeout).status == http.StatusOK
			}
			c.close()
		}
		if served {
			p.rec.add("all entry hosts serve")
			return nil
		}
	}
	return errors.New("the entry hosts do not serve")
}

func (p *platform) shutdown() {
	for _, u := range p.upstreams {
		u.shutdown()
	}
	if p.deployment != nil {
		p.deployment.stop()
	}
}

// leader returns the address of the control host that the replies to heartbeats name.
func (p *platform) leader() string {
	for _, u := range p.upstreams {
		u.mu.Lock()
		next := u.next
		u.mu.Unlock()
		if next != "" {
			return next
		}
	}
	return ""
}

// followers returns the control hosts that do not lead.
func (p *platform) followers() []*host {
	leader := p.leader()
	var out []*host
	for _, h := range p.control {
		if h.address(portControl) != leader {
			out = append(out, h)
		}
	}
	return out
}

// load sends requests from callers that keep their connections, until ctx ends.
func (p *platform) load(ctx context.Context, callersPerHost int, pause time.Duration, report func(h *host, method string, o outcome)) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, h := range p.entry {
		for range callersPerHost {
			wg.Go(func() {
				c := &caller{d: p.deployment, h: h}
				defer c.close()
				for ctx.Err() == nil {
					method, path, body := http.MethodGet, "/read/a", []byte(nil)
					if rand.IntN(2) == 0 {
						method, path, body = http.MethodPost, "/order/a", make([]byte, 1+rand.IntN(2000))
					}
					o := c.send(method, path, p.pickKey(), body, routeTimeout)
					if report != nil {
						report(h, method, o)
					}
					time.Sleep(time.Duration(float64(pause) * (0.5 + rand.Float64())))
				}
			})
		}
	}
	return &wg
}
