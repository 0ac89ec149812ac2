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
	"github.com/agatestep/agatestep/internal/httpanswer"
	"github.com/agatestep/agatestep/internal/stop"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
	"go.uber.org/zap"
)

// HealthPath is the path of the health check: 200 while this host accepts new
// requests, else 503.
const HealthPath = "/agatestep/healthz"

// Dispatcher serves the backend servers whose dispatcher is this host; see
// dispatch.Dispatcher.
type Dispatcher interface {
	Send(ctx context.Context, r *dispatch.Request) (*http.Response, error)
}

// Config holds the dependencies and limits of an entry handler.
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
	// Seed makes the choice among equal backend servers reproducible.
	Seed uint64
}

// Limits bounds callers' requests. A zero field means its default.
type Limits struct {
	HeaderBytes int   // of names and values in total; default 64 KiB
	BodyBytes   int64 // default 1 GiB
	InFlight    int   // default 4096
	Waiting     int   // requests that wait for a newer table; default 1024
	// ReplayBytes is the size up to which a body is buffered, so that it can be
	// sent again; default 16 KiB.
	ReplayBytes int64
	RetryRatio  float64 // retries and hedges per request; default 0.1
	HedgeRatio  float64 // hedges per request; default 0.05
	RetryBurst  float64 // maximum retries, and maximum hedges, in a row; default 50
}

func (l *Limits) setDefaults() {
	setDefault(&l.HeaderBytes, 64<<10)
	setDefault(&l.BodyBytes, 1<<30)
	setDefault(&l.InFlight, 4096)
	setDefault(&l.Waiting, 1024)
	setDefault(&l.ReplayBytes, 16<<10)
	setDefault(&l.RetryRatio, 0.1)
	setDefault(&l.HedgeRatio, 0.05)
	setDefault(&l.RetryBurst, 50)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Handler is the entry point of callers' requests. It is safe for concurrent use.
type Handler struct {
	cfg      Config
	relay    *httpanswer.Transport
	retries  *balance.Budget
	hedges   *balance.Budget
	counters *Counters
	calls    *stop.Calls

	mu       sync.Mutex
	closing  bool
	inFlight int
	waiting  int
	idle     chan struct{} // closed while inFlight is zero
	choosers map[string]*serverChooser
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
	h := &Handler{cfg: cfg, counters: cfg.Counters, calls: stop.NewCalls(), idle: make(chan struct{}), choosers: map[string]*serverChooser{},
		relay:   forward.NewTransport(forward.TransportConfig{DialTimeout: relayDialTimeout, IdleTimeout: time.Minute, TLS: cfg.RelayTLS}),
		retries: balance.NewBudget(cfg.Limits.RetryRatio, cfg.Limits.RetryBurst),
		hedges:  balance.NewBudget(cfg.Limits.HedgeRatio, cfg.Limits.RetryBurst)}
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
		// Allows a response while the body is still being sent.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	id := requestID(r)
	if err := h.beginRequest(); err != nil {
		h.refuse(w, r, err, id)
		return
	}
	defer h.endRequest()
	c, err := h.parseRequest(r, id)
	if err != nil {
		h.refuse(w, r, err, id)
		return
	}
	defer c.closeBody()
	// While the body is unread, net/http does not notice that the connection was closed.
	stopCtx, answered := h.calls.Until(r.Context())
	defer answered() // for requests that are refused
	callerCtx, done := callerconn.Watch(stopCtx)
	defer done()
	ctx, cancel := context.WithTimeout(callerCtx, c.deadline.Sub(h.cfg.Clock.Now()))
	defer cancel()
	if err := h.readBody(ctx, w, r, c); err != nil {
		h.refuse(w, r, err, id)
		return
	}
	resp, err := h.sendWithRetries(ctx, c)
	if err == nil && !answered() {
		_ = resp.Body.Close() // the body is incomplete because the call was ended
		err = verdict.NewContextEndError(ctx)
	}
	if err != nil {
		h.refuse(w, r, err, id)
		return
	}
	resp.Body = &onCloseBody{ReadCloser: resp.Body, end: c.closeBody}
	h.copyResponse(w, r, resp, id)
}

// refuse answers with a refusal. It keeps the connection open only if the body is small.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, e *verdict.Error, id string) {
	h.counters.countRefusal(e)
	buffered := r.ContentLength >= 0 && r.ContentLength <= h.cfg.Limits.ReplayBytes
	forward.WriteRefusal(w, r, e, id, !buffered)
	if buffered {
		forward.FinishBody(w, r)
	}
}

// copyResponse copies the response to the caller.
func (h *Handler) copyResponse(w http.ResponseWriter, r *http.Request, resp *http.Response, id string) {
	forward.RemoveInternalHeaders(resp.Header)
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

// beginRequest counts a new request as in flight. It refuses the request while this host is
// stopping, has no valid session or has too many requests in flight.
func (h *Handler) beginRequest() *verdict.Error {
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

func (h *Handler) endRequest() {
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
		// A failed write means that the load balancer has disconnected.
		_, _ = w.Write([]byte("ok\n"))
	}
}

// StartShutdown fails the health check and refuses new requests.
func (h *Handler) StartShutdown() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closing = true
}

// WaitIdle calls StartShutdown and waits for the requests in flight until ctx ends.
func (h *Handler) WaitIdle(ctx context.Context) error { return stop.Await(ctx, h.drain()) }

// EndRequests calls StartShutdown and ends the requests in flight that have no response yet.
// Each of them is answered with an error that states whether it may have run.
func (h *Handler) EndRequests() {
	h.StartShutdown()
	h.calls.End()
}

// Shutdown calls StartShutdown and waits for the requests in flight. It calls EndRequests
// shortly before the deadline of ctx, and returns an error when requests are still in
// flight at the end of ctx.
func (h *Handler) Shutdown(ctx context.Context) error {
	err := h.calls.Finish(ctx, h.drain())
	if err == nil {
		h.relay.CloseIdleConnections()
	}
	return err
}

// drain refuses new requests and returns a channel that is closed when those in flight
// have ended.
func (h *Handler) drain() <-chan struct{} {
	h.StartShutdown()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.idle
}
