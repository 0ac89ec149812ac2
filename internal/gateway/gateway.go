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
	"github.com/agatestep/agatestep/internal/heldbytes"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/stop"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/upstream"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// Config holds the identity, dependencies and limits of a gateway.
type Config struct {
	Host       string
	DataCentre string
	Tables     func() *table.Table
	// TableComplete reports whether the first table was received in full; nil means always.
	TableComplete func() bool
	// TableAsOf returns the latest time at which the table is known to have contained every
	// acknowledged change; nil means that it is always current.
	TableAsOf func() time.Time
	Permits   PermitClient
	// Allowances grants requests within the allowances of organisations; nil means that
	// there are none.
	Allowances AllowanceClient
	Dialect    Dialect
	Clock      clock.Clock
	Logger     *zap.Logger
	Link       *egress.Link // of this host; nil if its bandwidth is not known
	Limits     Limits

	// SpareRoundTrips makes calls over a slow link of this host wait for fewer replies: they are
	// sent ahead of their permits where there is room, and prefer servers with an idle connection.
	SpareRoundTrips bool
	// ServicePermits chooses the backend servers of requests without keys; nil if each host
	// chooses itself.
	ServicePermits ServicePermitClient
	// Held accounts for the bytes that this host holds for others; nil means no limit.
	Held *heldbytes.Account
	// OrderedByCost is set where requests are ordered and refused by what that costs callers.
	OrderedByCost bool
	// PaceBodies is set where bodies pass the host's link by priority and time left.
	PaceBodies bool
}

// PermitClient is the client of the hosts that manage the queues of backend servers.
type PermitClient interface {
	// Issuers returns the hosts that may manage the queue of a backend server, in the order
	// in which all entry hosts ask them.
	Issuers(b *table.Backend) []Issuer
	// RequestPermit requests a permit to send one request.
	RequestPermit(ctx context.Context, issuer Issuer, r wire.PermitRequest) (wire.PermitReply, error)
	// ReleasePermit reports the end of a request with a permit, or withdraws a permit request.
	ReleasePermit(issuer Issuer, r wire.PermitRelease)
}

// Issuer is a host that grants permits.
type Issuer struct {
	Host string
	// Address is the address of its peer listener.
	Address string
}

// Limits bound what one gateway does.
type Limits struct {
	// RetryRatio and RetryBurst bound the retries of all hosts together, per service. Each
	// host has a share of the burst.
	RetryRatio float64
	RetryBurst float64
	// LeaveGracePeriod is how long a backend server that announced that it leaves still gets
	// requests for the keys that it holds.
	LeaveGracePeriod time.Duration
	// DrainGracePeriod is the same for a backend server that is being drained.
	DrainGracePeriod time.Duration
	// MaxTableAge is the maximum age of a routing table that is used to answer or send a request;
	// zero means no bound.
	MaxTableAge time.Duration
	// AddressReuseAfter is the shortest time between the end of a backend server and the start of
	// another process at its address.
	AddressReuseAfter time.Duration
	// BodyBytesPerSecond limits the share of the host's link that bodies take; zero means no
	// limit.
	BodyBytesPerSecond float64
}

// Timeouts of connections to backend servers.
const (
	// dialTimeout is several round trips between data centres, maxDialTimeout the timeout
	// while this host's own link is congested. A longer one would use up the time of the
	// request.
	dialTimeout    = 250 * time.Millisecond
	maxDialTimeout = time.Second
	// userTimeout ends a connection whose bytes are not acknowledged; it rises up to
	// maxUserTimeout while this host's own link is congested.
	userTimeout    = 700 * time.Millisecond
	maxUserTimeout = 1500 * time.Millisecond
	// probeIdle is the idle time after which a connection is probed. Probes cost CPU time.
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

	mu             sync.Mutex
	servers        map[serverKey]*server
	budgets        map[string]*balance.Budget
	timesByService map[string]*serviceTimes
	departures     map[serverKey]departure
	// permitHosts tracks which hosts answer permit requests.
	permitHosts  *permit.HostHealth
	ahead        *permit.Ahead // guarded by mu
	tableChanged chan struct{} // closed by the next table
	// tableConfirmed is closed by the next confirmation of the table.
	tableConfirmed chan struct{}

	loads *loads
	// hosts is the largest number of entry hosts that this process has seen.
	hosts    int
	inFlight atomic.Int64
	// bodyReadRate limits how fast bodies are read; bufferedBodyBytes is what the bodies of
	// all calls buffer.
	bodyReadRate *rate.Limiter
	linkPacers
	bufferedBodyBytes atomic.Int64
	stopping          atomic.Bool
	stopEnd           atomic.Pointer[time.Time] // when a stop of this host ends its requests
	rejecting         atomic.Bool
	calls             *stop.Calls
	lastRequest       atomic.Int64 // Unix nanoseconds of the last request

	servicePermits servicePermits // guarded by mu
}

// serverKey identifies one process of a backend server.
type serverKey struct {
	service string
	backend string
	born    int64
}

func keyOf(b *table.Backend) serverKey { return serverKey{b.Service, b.Name, b.Born} }

// departure records since when a backend server is leaving or draining.
type departure struct {
	leavingSince  time.Time
	drainingSince time.Time
}

// New returns a gateway without connections.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg: cfg, split: newSplitter(), counters: counters,
		servers: map[serverKey]*server{}, budgets: map[string]*balance.Budget{},
		timesByService: map[string]*serviceTimes{}, departures: map[serverKey]departure{}, permitHosts: permit.NewHostHealth(), ahead: permit.NewAhead(), servicePermits: newServicePermits(),
		tableChanged: make(chan struct{}), tableConfirmed: make(chan struct{}), loads: newLoads(),
	}
	g.calls = stop.NewCalls()
	g.bodyReadRate = newBodyRate(cfg.Limits.BodyBytesPerSecond)
	bodySendRate := newBodyRate(cfg.Limits.BodyBytesPerSecond)
	if cfg.PaceBodies && cfg.Link != nil {
		g.linkPacers = newLinkPacers(cfg.Link)
		g.bodyReadRate, bodySendRate = nil, nil
	}
	g.client = upstream.New(upstream.Config{IDHeader: cfg.Dialect.IDHeader(), DialTimeout: dialTimeout, MaxDialTimeout: maxDialTimeout, UserTimeout: userTimeout, MaxUserTimeout: maxUserTimeout,
		ProbeIdle: probeIdle, MaxIdle: maxIdle, Clock: cfg.Clock, Link: cfg.Link, BodyRate: bodySendRate})
	return g
}

func newBodyRate(bytesPerSecond float64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), upstream.BodyChunk)
}

// Ready reports whether this host can serve callers.
func (g *Gateway) Ready() bool {
	if limit := unreadyAgeFactor * g.cfg.Limits.MaxTableAge; limit > 0 && g.tableAge() > limit {
		return false
	}
	return !g.stopping.Load() && !g.cfg.Tables().Items().Empty()
}

// StartShutdown makes the gateway report that it is not ready and close the connections
// of callers with its next responses. It goes on serving requests that can be answered before
// end, when EndRequests will be called.
func (g *Gateway) StartShutdown(end time.Time) {
	g.stopEnd.Store(&end)
	g.stopping.Store(true)
}

// timeLeft returns the time in which a call can be answered: until its deadline or the end of
// the stop of this host, whichever is first.
func (g *Gateway) timeLeft(c *call, now time.Time) time.Duration {
	left := c.deadline.Sub(now)
	if end := g.stopEnd.Load(); end != nil {
		left = min(left, end.Sub(now))
	}
	return left
}

// tooLateForStop returns a refusal if this host stops before a backend server can be expected
// to answer the call.
func (g *Gateway) tooLateForStop(c *call, now time.Time) *verdict.Error {
	end := g.stopEnd.Load()
	if end == nil || end.Sub(now) >= g.serviceTimesOf(c.service).mean(c.match.Name) {
		return nil
	}
	return verdict.Unavailable(verdict.ReasonShutdown, "this host stops before the request could be answered")
}

// Repeatable reports whether requests for a host and path may run more than once. It reports
// false if no route matches.
func (g *Gateway) Repeatable(host, path string) bool {
	match, ok := g.cfg.Tables().Items().Match(host, path)
	return ok && match.Idempotent
}

// InFlight returns the number of requests that are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// StopAdmitting makes the gateway refuse new requests, because they might not finish before
// the process ends.
func (g *Gateway) StopAdmitting() { g.rejecting.Store(true) }

// EndRequests ends the requests that have no response yet, because the process ends. Each is
// answered with the response of an earlier attempt if it has one, else with a failure.
func (g *Gateway) EndRequests() {
	g.rejecting.Store(true)
	g.calls.End()
}

// requestContext returns the context of a request: it ends with ctx, with the caller's
// connection, or with EndRequests unless answered was called before.
func (g *Gateway) requestContext(ctx context.Context) (requestCtx context.Context, answered func() bool, done context.CancelFunc) {
	ctx, done = callerconn.Watch(ctx)
	ctx, answered = g.calls.Until(ctx)
	return ctx, answered, done
}

// SinceLastRequest returns the time since the last request arrived.
func (g *Gateway) SinceLastRequest(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, g.lastRequest.Load()))
}

// CloseIdleConns closes connections that have been idle for too long and updates the connection
// counters. It is called every second.
func (g *Gateway) CloseIdleConns() {
	g.client.CloseIdle()
	g.counters.Opened.Set(g.client.Opened.Load())
	g.counters.Reused.Set(g.client.Reused.Load())
}

// TableChanged applies a new table. The previous one was still the newest at since, so the
// changes of this one happened later. The grace period of a leaving server counts from
// there, not from when a late host receives the table.
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
				g.recordDeparture(b, since)
			}
		}
	}
	for key, s := range g.servers {
		if !present[key] && s.idle() {
			delete(g.servers, key)
		}
	}
	for key := range g.departures {
		if !present[key] {
			delete(g.departures, key)
		}
	}
	close(g.tableChanged)
	g.tableChanged = make(chan struct{})
}

func (g *Gateway) recordDeparture(b *table.Backend, since time.Time) {
	if since.IsZero() {
		since = time.Unix(0, 0) // the first table: the server may have been leaving for long
	}
	key := keyOf(b)
	d := g.departures[key]
	if b.Leaving && (d.leavingSince.IsZero() || since.Before(d.leavingSince)) {
		d.leavingSince = since
	}
	switch {
	case b.Draining && d.drainingSince.IsZero():
		d.drainingSince = since
	case !b.Draining:
		d.drainingSince = time.Time{}
	}
	if d != (departure{}) {
		g.departures[key] = d
	} else {
		delete(g.departures, key)
	}
}

// mayStillServe reports whether a backend server may still get requests for keys that it
// holds: not if it is lost, nor after the grace period of a leaving or draining server.
func (g *Gateway) mayStillServe(b *table.Backend, now time.Time) bool {
	if b.Lost {
		return false
	}
	g.mu.Lock()
	d := g.departures[keyOf(b)]
	g.mu.Unlock()
	if !d.leavingSince.IsZero() && now.Sub(d.leavingSince) >= g.cfg.Limits.LeaveGracePeriod {
		return false
	}
	return !b.Draining || now.Sub(d.drainingSince) < g.cfg.Limits.DrainGracePeriod
}

// recordLeaving records that a backend server's own response says that it leaves. The table
// may say so later, or never if the server cannot reach the control group.
func (g *Gateway) recordLeaving(b *table.Backend, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.departures[keyOf(b)]
	if !d.leavingSince.IsZero() {
		return
	}
	d.leavingSince = now
	g.departures[keyOf(b)] = d
	g.cfg.Logger.Info("backend server says that it leaves", zap.String("backend", b.Name), zap.String("service", b.Service), zap.Int64("born", b.Born))
}

// isLeaving reports whether a backend server is known to be leaving.
func (g *Gateway) isLeaving(b *table.Backend) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.departures[keyOf(b)].leavingSince.IsZero()
}

// nextTableChange returns a channel that the next table closes.
func (g *Gateway) nextTableChange() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tableChanged
}

func (g *Gateway) retryBudget(service string) *balance.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = balance.NewEmptyBudget(g.cfg.Limits.RetryRatio, g.burst())
		g.budgets[service] = b
	}
	return b
}

// burst returns this host's share of the retry burst. Shares of lost hosts stay
// unused, because those hosts may be alive and only unreachable.
func (g *Gateway) burst() float64 { return max(g.cfg.Limits.RetryBurst/float64(max(g.hosts, 1)), 1) }

// maxConnections returns this host's share of the connections that a backend server of a
// service accepts from all hosts together; zero means no bound.
func (g *Gateway) maxConnections(service string) int {
	s := g.cfg.Tables().Items().Service(service)
	if s == nil || s.MaxConnections == 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(s.MaxConnections/max(g.hosts, 1), 1)
}

// tableAge returns how long ago the table was last known to be current.
func (g *Gateway) tableAge() time.Duration {
	if g.cfg.TableAsOf == nil {
		return 0
	}
	return g.cfg.Clock.Now().Sub(g.cfg.TableAsOf())
}

// CallerTimeouts returns how long a caller may take to send its headers and how
// long its connection may stay idle. Zero means that the configuration sets no limit.
func (g *Gateway) CallerTimeouts() (header, idle time.Duration) {
	l := g.cfg.Tables().Items().Limits()
	if l == nil {
		return 0, 0
	}
	return l.HeaderTimeout, l.IdleTimeout
}

// TakeLoads returns the load of each backend server since the previous call, for placement.
func (g *Gateway) TakeLoads() []wire.SliceLoads { return g.loads.takeReports() }

var _ http.Handler = (*Gateway)(nil)
