package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/agatestep/agatestep/internal/balance"
	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/egress"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/stop"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/upstream"
	"github.com/agatestep/agatestep/internal/wire"
)

// Config gives a gateway its place in the system.
type Config struct {
	Host       string
	DataCentre string
	Tables     func() *table.Table
	// Complete reports whether the first table came in full; nil means always.
	Complete func() bool
	// TableAsOf returns when the table was last known to lack nothing that was
	// acknowledged; nil means always.
	TableAsOf func() time.Time
	Permits   Permits
	Dialect   Dialect
	Clock     clock.Clock
	Logger    *zap.Logger
	Link      *egress.Link // of this host; nil if its bandwidth is not known
	Limits    Limits
}

// Permits reaches the hosts that keep the queues of backend servers.
type Permits interface {
	// Desks returns the hosts that may keep the queue of a backend server, in the order
	// in which all entry hosts ask them.
	Desks(b *table.Backend) []Desk
	// Ask asks for leave to send a request.
	Ask(ctx context.Context, d Desk, r wire.PermitAsk) (wire.PermitReply, error)
	// Done reports the end of a request, or takes an ask back.
	Done(d Desk, r wire.PermitDone)
}

// Desk is a host that gives permits.
type Desk struct {
	Host string
	// Address is that of its peer listener.
	Address string
}

// Limits bound what one gateway does.
type Limits struct {
	// RetryRatio and RetryBurst bound the requests that all hosts together send once
	// more, per service. Each host has a share of the burst.
	RetryRatio float64
	RetryBurst float64
	// LeaveFor is how long after a backend server's end was announced it still
	// serves the keys that it holds.
	LeaveFor time.Duration
	// EvacuateFor is the same after its data centre was taken out.
	EvacuateFor time.Duration
	// TableFor is the longest age of the routing table by which a request may be answered
	// or sent; zero means no bound.
	TableFor time.Duration
	// BodyBytesPerSecond bounds what bodies take of the host's link; zero means no
	// bound.
	BodyBytesPerSecond float64
}

// Timeouts towards backend servers.
const (
	// dialTimeout is several round trips between data centres, maxDialTimeout the wait
	// while this host's own link is crowded. A longer one would use up the time of the
	// request.
	dialTimeout    = 250 * time.Millisecond
	maxDialTimeout = time.Second
	// userTimeout ends a connection whose bytes are not acknowledged, maxUserTimeout
	// while this host's own link is crowded.
	userTimeout    = 700 * time.Millisecond
	maxUserTimeout = 1500 * time.Millisecond
	// probeIdle is when an idle connection is probed. Probes cost processor time.
	probeIdle = 3 * time.Second
	// maxIdle is how long an idle connection is kept; backend servers close theirs
	// after some ten seconds.
	maxIdle = 8 * time.Second
)

// Gateway is the http.Handler for callers.
type Gateway struct {
	cfg      Config
	client   *upstream.Client
	split    *splitter
	counters *Counters

	mu       sync.Mutex
	servers  map[serverKey]*server
	budgets  map[string]*balance.Budget
	services map[string]*serviceTimes
	marks    map[serverKey]mark
	// reach tells which hosts answer asks for permits.
	reach   *permit.Reach
	changed chan struct{} // closed by the next table
	// confirmed is closed by the next confirmation of the table.
	confirmed chan struct{}

	loads *loads
	// hosts is the largest number of entry hosts that this process has seen.
	hosts    int
	inFlight atomic.Int64
	// bodyReads bounds how fast bodies are read, bodyBytes is what those of all calls keep.
	bodyReads *rate.Limiter
	bodyBytes atomic.Int64
	stopping  atomic.Bool
	closing   atomic.Bool
	calls     *stop.Calls
	lastSeen  atomic.Int64 // Unix nanoseconds of the last request
}

// serverKey names a process of a backend server.
type serverKey struct {
	service string
	backend string
	born    int64
}

func keyOf(b *table.Backend) serverKey { return serverKey{b.Service, b.Name, b.Born} }

// mark is when this host learned that a backend server leaves or is taken out.
type mark struct {
	leaving  time.Time
	draining time.Time
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg: cfg, split: newSplitter(), counters: counters,
		servers: map[serverKey]*server{}, budgets: map[string]*balance.Budget{},
		services: map[string]*serviceTimes{}, marks: map[serverKey]mark{}, reach: permit.NewReach(),
		changed: make(chan struct{}), confirmed: make(chan struct{}), loads: newLoads(),
	}
	g.calls = stop.NewCalls()
	g.bodyReads = bodyRate(cfg.Limits.BodyBytesPerSecond)
	g.client = upstream.New(upstream.Config{IDHeader: cfg.Dialect.IDHeader(), DialTimeout: dialTimeout, MaxDialTimeout: maxDialTimeout, UserTimeout: userTimeout, MaxUserTimeout: maxUserTimeout,
		ProbeIdle: probeIdle, MaxIdle: maxIdle, Clock: cfg.Clock, Link: cfg.Link, BodyRate: bodyRate(cfg.Limits.BodyBytesPerSecond)})
	return g
}

func bodyRate(bytesPerSecond float64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), upstream.BodyChunk)
}

// Ready reports whether this host can serve callers.
func (g *Gateway) Ready() bool {
	if limit := unreadyAge * g.cfg.Limits.TableFor; limit > 0 && g.tableAge() > limit {
		return false
	}
	return !g.stopping.Load() && !g.cfg.Tables().Items().Empty()
}

// StartShutdown makes the gateway report that it is not ready and ask callers to
// leave. It goes on serving.
func (g *Gateway) StartShutdown() { g.stopping.Store(true) }

// InFlight returns the requests that are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// StopTaking makes the gateway refuse new requests, because they may not end before
// the process does.
func (g *Gateway) StopTaking() { g.closing.Store(true) }

// EndCalls ends the requests that have no answer yet, because the process ends. Each of them
// is answered with what is known of it.
func (g *Gateway) EndCalls() {
	g.closing.Store(true)
	g.calls.End()
}

// lifetime returns the context of a request: it ends with ctx, with the caller's
// connection, or with EndCalls unless answered was called before.
func (g *Gateway) lifetime(ctx context.Context) (life context.Context, answered func() bool, done context.CancelFunc) {
	ctx, done = callerconn.Watch(ctx)
	ctx, answered = g.calls.Until(ctx)
	return ctx, answered, done
}

// Quiet reports how long ago the last request came.
func (g *Gateway) Quiet(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, g.lastSeen.Load()))
}

// Clean closes connections that are not used any more. It is called every second.
func (g *Gateway) Clean() {
	g.client.Clean()
	g.counters.Opened.Set(g.client.Opened.Load())
	g.counters.Reused.Set(g.client.Reused.Load())
}

// TableChanged takes note of a new table. The one before is known to have been the
// newest until since, so that what is new in this one happened later. The time for which
// a leaving server is used counts from there, not from when a late host hears of it.
func (g *Gateway) TableChanged(t *table.Table, since time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := len(t.Hosts()); n > g.hosts {
		g.hosts = n
		for _, b := range g.budgets {
			b.SetBurst(g.burst())
		}
	}
	present := map[serverKey]bool{}
	for _, s := range t.Services() {
		for _, b := range t.Backends(s.File.Service) {
			if !b.Lost {
				present[keyOf(b)] = true
				g.note(b, since)
			}
		}
	}
	for key, s := range g.servers {
		if !present[key] && s.idle() {
			delete(g.servers, key)
		}
	}
	for key := range g.marks {
		if !present[key] {
			delete(g.marks, key)
		}
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Gateway) note(b *table.Backend, since time.Time) {
	if since.IsZero() {
		since = time.Unix(0, 0) // the first table: long ago, for all that is known
	}
	key := keyOf(b)
	m := g.marks[key]
	if b.Leaving && (m.leaving.IsZero() || since.Before(m.leaving)) {
		m.leaving = since
	}
	switch {
	case b.Draining && m.draining.IsZero():
		m.draining = since
	case !b.Draining:
		m.draining = time.Time{}
	}
	if m != (mark{}) {
		g.marks[key] = m
	} else {
		delete(g.marks, key)
	}
}

// mayServeHeld reports whether a backend server may still get requests for keys
// that it holds: not for long after it announced its end or was taken out.
func (g *Gateway) mayServeHeld(b *table.Backend, now time.Time) bool {
	if b.Lost {
		return false
	}
	g.mu.Lock()
	m := g.marks[keyOf(b)]
	g.mu.Unlock()
	if !m.leaving.IsZero() && now.Sub(m.leaving) >= g.cfg.Limits.LeaveFor {
		return false
	}
	return !b.Draining || now.Sub(m.draining) < g.cfg.Limits.EvacuateFor
}

// saidLeaving notes that a backend server's own answer says that it leaves. The table may
// say so later, or never if the server does not reach the control group.
func (g *Gateway) saidLeaving(b *table.Backend, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.marks[keyOf(b)]
	if !m.leaving.IsZero() {
		return
	}
	m.leaving = now
	g.marks[keyOf(b)] = m
	g.cfg.Logger.Info("backend server says that it leaves", zap.String("backend", b.Name), zap.String("service", b.Service), zap.Int64("born", b.Born))
}

// leaves reports whether a backend server is known to leave.
func (g *Gateway) leaves(b *table.Backend) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.marks[keyOf(b)].leaving.IsZero()
}

// tableChange returns a channel that the next table closes.
func (g *Gateway) tableChange() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *Gateway) budget(service string) *balance.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = balance.NewEarnedBudget(g.cfg.Limits.RetryRatio, g.burst())
		g.budgets[service] = b
	}
	return b
}

// burst is this host's share of the retries in a row. Shares of hosts that are
// lost stay unused, because those may be alive and out of reach.
func (g *Gateway) burst() float64 { return max(g.cfg.Limits.RetryBurst/float64(max(g.hosts, 1)), 1) }

// connections is this host's share of the connections that a backend server of a
// service accepts from all hosts together; zero means no bound.
func (g *Gateway) connections(service string) int {
	s := g.cfg.Tables().Items().Service(service)
	if s == nil || s.MaxConnections == 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(s.MaxConnections/max(g.hosts, 1), 1)
}

// tableAge is how long ago the table was last known to be current.
func (g *Gateway) tableAge() time.Duration {
	if g.cfg.TableAsOf == nil {
		return 0
	}
	return g.cfg.Clock.Now().Sub(g.cfg.TableAsOf())
}

// CallerTimeouts returns how long a caller may take to send its headers and how
// long its connection may stay idle. Zero means that no configuration says it.
func (g *Gateway) CallerTimeouts() (header, idle time.Duration) {
	l := g.cfg.Tables().Items().Limits()
	if l == nil {
		return 0, 0
	}
	return l.HeaderTimeout, l.IdleTimeout
}

// Loads returns what was served since the last call, for placement.
func (g *Gateway) Loads() []wire.SliceLoads { return g.loads.take() }

var _ http.Handler = (*Gateway)(nil)
