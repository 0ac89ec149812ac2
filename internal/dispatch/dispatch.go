package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/stop"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
	"go.uber.org/zap"
)

// Config holds the dependencies, timing and limits of a dispatcher. Zero values of
// fields with a default are replaced by it.
type Config struct {
	Host string // name of this host
	// Tables returns the current routing table. It must already return a new table
	// when TableChanged is called with it.
	Tables            func() *table.Table
	SessionValidUntil func() time.Time
	Propose           func(ctx context.Context, c *command.Command) (*command.Result, error)
	RelayAnnounce     func(ctx context.Context, host string, a wire.Announcement) (wire.AnnounceReply, error)
	Clock             clock.Clock
	Logger            *zap.Logger
	RecordEvent       func(kind, subject, detail string)

	BackendLeaseTTL  time.Duration // default 1 s
	AnnounceInterval time.Duration // default 200 ms
	MaxClockDrift    float64       // default 0.01
	SweepInterval    time.Duration // default 20 ms; period of lease checks and retries
	OrderTimeout     time.Duration // default 300 ms
	ProposeTimeout   time.Duration // default 2 s

	QueueLen     int   // maximum requests queued per backend server; default 256
	PendingLen   int   // maximum requests per backend server that wait for a confirmed order; default 64
	MaxBodyBytes int64 // size limit of relayed request bodies; zero means none
	MaxTopKeys   int   // maximum hot keys reported per backend server; default 16
}

func (c *Config) setDefaults() {
	setDefault(&c.BackendLeaseTTL, time.Second)
	setDefault(&c.AnnounceInterval, 200*time.Millisecond)
	setDefault(&c.MaxClockDrift, 0.01)
	setDefault(&c.SweepInterval, 20*time.Millisecond)
	setDefault(&c.OrderTimeout, 300*time.Millisecond)
	setDefault(&c.ProposeTimeout, 2*time.Second)
	setDefault(&c.QueueLen, 256)
	setDefault(&c.PendingLen, 64)
	setDefault(&c.MaxTopKeys, 16)
	if c.Clock == nil {
		c.Clock = clock.Real{}
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.RecordEvent == nil {
		c.RecordEvent = func(string, string, string) {}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Dispatcher serves the backend servers assigned to one host. It is safe for
// concurrent use.
type Dispatcher struct {
	cfg    Config
	ctx    context.Context // ends when Run ends
	cancel context.CancelFunc
	calls  *stop.Calls

	mu       sync.Mutex
	servers  map[serverKey]*server
	applied  *table.Table // table of the last TableChanged
	closing  bool
	inFlight int
	idle     chan struct{} // closed while inFlight is zero
	// silenceFrom is the earliest time from which missing announcements count. It is
	// moved forward when this host itself was unable to receive announcements.
	silenceFrom      time.Time
	lastSweep        time.Time
	registering      map[serverKey]bool // backend servers whose registration is in progress
	nextID           uint64
	typicalLatencies latencies
}

// New returns a dispatcher. Run must be called for lease checks and order retries.
func New(cfg Config) *Dispatcher {
	cfg.setDefaults()
	d := &Dispatcher{cfg: cfg, applied: table.Empty(), servers: map[serverKey]*server{}, registering: map[serverKey]bool{},
		typicalLatencies: latencies{byService: map[string]time.Duration{}}, idle: make(chan struct{}), calls: stop.NewCalls()}
	close(d.idle)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.silenceFrom = cfg.Clock.Now()
	d.lastSweep = d.silenceFrom
	return d
}

// TableChanged starts and stops serving backend servers according to t.
func (d *Dispatcher) TableChanged(t *table.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	seen := map[serverKey]bool{}
	for _, svc := range t.Services() {
		var changed map[string]bool
		for _, b := range t.Backends(svc.File.Service) {
			if b.Dispatcher != d.cfg.Host {
				continue
			}
			key := serverKey{b.Service, b.Name}
			seen[key] = true
			s := d.servers[key]
			if s == nil {
				s = newServer(d, key)
				d.servers[key] = s
			} else if d.applied.Backend(b.Service, b.Name) == b && d.applied.Service(b.Service).File == svc.File {
				if changed == nil {
					changed = t.ChangedOwners(d.applied, b.Service)
				}
				if !changed[b.Name] {
					continue
				}
			}
			s.applyTable(svc.File, *b, t.SlicesOf(b.Service, b.Name), now)
		}
	}
	for key, s := range d.servers {
		if !seen[key] {
			s.deactivate()
			delete(d.servers, key)
		}
	}
	d.applied = t
}

// Run checks leases and retries orders until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(d.cfg.SweepInterval)
	defer ticker.Stop()
	defer d.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.sweep(d.cfg.Clock.Now())
		}
	}
}

// sweep checks all backend servers. It restarts the silence period when the session
// is not valid or this process was paused, because announcements could not be
// received in that time.
func (d *Dispatcher) sweep(now time.Time) {
	d.mu.Lock()
	valid := now.Before(d.cfg.SessionValidUntil())
	if !valid || now.Sub(d.lastSweep) > d.cfg.BackendLeaseTTL/2 {
		d.silenceFrom = now
	}
	d.lastSweep = now
	since := d.silenceFrom
	servers := make([]*server, 0, len(d.servers))
	for _, s := range d.servers {
		servers = append(servers, s)
	}
	d.mu.Unlock()
	for _, s := range servers {
		s.sweep(now, since, valid)
	}
}

func (d *Dispatcher) server(key serverKey) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[key]
}

// beginRequest counts a new request and returns its id. It refuses the request while
// the dispatcher is shutting down.
func (d *Dispatcher) beginRequest() (uint64, *verdict.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return 0, verdict.Unavailable(verdict.ReasonShutdown, "this host is stopping")
	}
	if d.inFlight == 0 {
		d.idle = make(chan struct{})
	}
	d.inFlight++
	d.nextID++
	return d.nextID, nil
}

func (d *Dispatcher) endRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight--; d.inFlight == 0 {
		close(d.idle)
	}
}

// InFlight returns the number of requests in the dispatcher, queued ones included.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// Shutdown refuses new requests and waits for those in flight, whose leases are still
// renewed meanwhile. It calls EndRequests shortly before the deadline of ctx. It returns
// an error when requests are still in flight at the end of ctx.
func (d *Dispatcher) Shutdown(ctx context.Context) error { return d.calls.Finish(ctx, d.drain()) }

// WaitIdle refuses new requests and waits for those in flight until ctx ends.
func (d *Dispatcher) WaitIdle(ctx context.Context) error { return stop.Await(ctx, d.drain()) }

// EndRequests refuses new requests and ends those in flight that have no response yet. Each of
// them is answered with an error that states whether it may have run.
func (d *Dispatcher) EndRequests() {
	d.drain()
	d.calls.End()
}

// drain refuses new requests and returns a channel that is closed when those in flight
// have ended.
func (d *Dispatcher) drain() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closing = true
	return d.idle
}

func (d *Dispatcher) sessionValid(now time.Time) bool {
	return now.Before(d.cfg.SessionValidUntil())
}

var _ http.Handler = (*relayHandler)(nil)
