package entry

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/balance"
	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/dispatch"
	"github.com/agatestep/agatestep/internal/forward"
	"github.com/agatestep/agatestep/internal/stop"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
	"go.uber.org/zap"
)

// HealthPath answers whether this host takes new requests.
const HealthPath = "/agatestep/healthz"

// Dispatcher serves the backend servers whose dispatcher is this host.
type Dispatcher interface {
	Do(ctx context.Context, r *dispatch.Request) (*http.Response, error)
}

// Config gives an entry handler its place in the system and its limits.
type Config struct {
	Host              string
	DataCentre        string
	Tables            func() *table.Table
	SessionValidUntil func() time.Time
	Dispatcher        Dispatcher
	Clock             clock.Clock
	Logger            *zap.Logger
	Limits            Limits
	Counters          *Counters
	RelayTLS          *tls.Config // nil means that relayed requests go over plain TCP
	// Seed makes the choice among equal backend servers repeatable.
	Seed uint64
}

// Limits bounds what callers may ask for; a zero field means its default.
type Limits struct {
	HeaderBytes int   // sum of names and values; default 64 KiB
	BodyBytes   int64 // default 1 GiB
	InFlight    int   // default 4096
	Waiting     int   // requests that wait for a newer table; default 1024
	// ReplayBytes is the size up to which a body is held to be sent again;
	// default 16 KiB.
	ReplayBytes int64
	RetryRatio  float64 // retries and hedges per request; default 0.1
	HedgeRatio  float64 // hedges per request; default 0.05
	Burst       float64 // most retries in a row; default 50
}

func (l *Limits) setDefaults() {
	setDefault(&l.HeaderBytes, 64<<10)
	setDefault(&l.BodyBytes, 1<<30)
	setDefault(&l.InFlight, 4096)
	setDefault(&l.Waiting, 1024)
	setDefault(&l.ReplayBytes, 16<<10)
	setDefault(&l.RetryRatio, 0.1)
	setDefault(&l.HedgeRatio, 0.05)
	setDefault(&l.Burst, 50)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Handler is the entry point of callers' requests.
type Handler struct {
	cfg      Config
	relay    *http.Transport
	retries  *balance.Budget
	hedges   *balance.Budget
	counters *Counters
	calls    *stop.Calls

	mu       sync.Mutex
	closing  bool
	inFlight int
	waiting  int
	idle     chan struct{} // closed while inFlight is zero
	choosers map[string]*chooser
}

// New returns a handler for callers' requests.
func New(cfg Config) *Handler {
	cfg.Limits.setDefaults()
	if cfg.Clock == nil {
		cfg.Clock = clock.Real{}
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Counters == nil {
		cfg.Counters = &Counters{}
	}
	h := &Handler{cfg: cfg, counters: cfg.Counters, calls: stop.NewCalls(), idle: make(chan struct{}), choosers: map[string]*chooser{},
		relay:   forward.NewTransport(forward.TransportConfig{DialTimeout: relayDialTimeout, IdleTimeout: time.Minute, TLS: cfg.RelayTLS}),
		retries: balance.NewBudget(cfg.Limits.RetryRatio, cfg.Limits.Burst),
		hedges:  balance.NewBudget(cfg.Limits.HedgeRatio, cfg.Limits.Burst)}
	close(h.idle)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		h.health(w)
		return
	}
	h.counters.Requests.Add(1)
	if r.ContentLength != 0 {
		// Lets an answer pass while the body is still being sent.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	id := requestID(r)
	if err := h.begin(); err != nil {
		h.refuse(w, r, err, id)
		return
	}
	defer h.end()
	c, err := h.read(r, id)
	if err != nil {
		h.refuse(w, r, err, id)
		return
	}
	defer c.closeBody()
	// The end of the connection stands behind a body that is not read before it is sent.
	stoppable, answered := h.calls.Until(r.Context())
	defer answered() // of a request that is refused
	present, done := callerconn.Watch(stoppable)
	defer done()
	ctx, cancel := context.WithTimeout(present, c.deadline.Sub(h.cfg.Clock.Now()))
	defer cancel()
	if err := h.readBody(ctx, w, r, c); err != nil {
		h.refuse(w, r, err, id)
		return
	}
	resp, err := h.run(ctx, c)
	if err == nil && !answered() {
		_ = resp.Body.Close() // it breaks off with the call
		err = verdict.EndedAnswer(ctx)
	}
	if err != nil {
		h.refuse(w, r, err, id)
		return
	}
	resp.Body = &closer{ReadCloser: resp.Body, end: c.closeBody}
	h.deliver(w, r, resp, id)
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, e *verdict.Error, id string) {
	h.counters.countRefusal(e)
	held := r.ContentLength >= 0 && r.ContentLength <= h.cfg.Limits.ReplayBytes
	forward.WriteRefusal(w, r, e, id, !held)
	if held {
		forward.FinishBody(w, r)
	}
}

// deliver copies the answer to the caller.
func (h *Handler) deliver(w http.ResponseWriter, r *http.Request, resp *http.Response, id string) {
	forward.RemoveInternal(resp.Header)
	resp.Header.Set(wire.HeaderRequestID, id)
	resp.Header.Set(verdict.Header, verdict.Answered.String())
	complete := false
	defer func() {
		if complete {
			h.counters.Answered.Add(1)
		} else {
			h.counters.Aborted.Add(1)
		}
	}()
	forward.CopyResponse(w, r, resp)
	complete = true
}

// begin counts a request in when this host takes new requests.
func (h *Handler) begin() *verdict.Error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing {
		return verdict.Unavailable(verdict.ReasonShutdown, "this host is stopping")
	}
	if !h.sessionValid() {
		return verdict.Unavailable(verdict.ReasonSession, "this host has no valid session")
	}
	if h.inFlight >= h.cfg.Limits.InFlight {
		return verdict.Refuse(http.StatusTooManyRequests, verdict.ReasonOverloaded, "too many requests are in flight on this host")
	}
	if h.inFlight == 0 {
		h.idle = make(chan struct{})
	}
	h.inFlight++
	h.counters.InFlight.Add(1)
	return nil
}

func (h *Handler) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counters.InFlight.Add(-1)
	if h.inFlight--; h.inFlight == 0 {
		close(h.idle)
	}
}

func (h *Handler) sessionValid() bool {
	return h.cfg.Clock.Now().Before(h.cfg.SessionValidUntil())
}

func (h *Handler) health(w http.ResponseWriter) {
	h.mu.Lock()
	closing := h.closing
	h.mu.Unlock()
	switch {
	case closing:
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !h.sessionValid():
		http.Error(w, "no valid session", http.StatusServiceUnavailable)
	default:
		// A failed write means that the load balancer is gone.
		_, _ = w.Write([]byte("ok\n"))
	}
}

// StartShutdown fails the health check and refuses new requests.
func (h *Handler) StartShutdown() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closing = true
}

// Await calls StartShutdown and waits for the requests in flight.
func (h *Handler) Await(ctx context.Context) error { return stop.Await(ctx, h.drained()) }

// EndCalls ends the requests in flight that have no answer yet. Each of them is answered with
// what is known of it.
func (h *Handler) EndCalls() {
	h.StartShutdown()
	h.calls.End()
}

// Shutdown calls StartShutdown and waits for the requests in flight. It calls EndCalls
// shortly before the deadline of ctx.
func (h *Handler) Shutdown(ctx context.Context) error {
	err := h.calls.Finish(ctx, h.drained())
	if err == nil {
		h.relay.CloseIdleConnections()
	}
	return err
}

// drained returns a channel that is closed when the requests in flight have ended.
func (h *Handler) drained() <-chan struct{} {
	h.StartShutdown()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.idle
}
