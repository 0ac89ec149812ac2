package standin

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/httpanswer"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/wire"
)

const readHeaderTimeout = 10 * time.Second

// Server is a running stand-in.
type Server struct {
	config      Config
	keyFile     *service.File // only Key is set; nil without a configured key source
	started     time.Time
	listener    net.Listener
	http        *http.Server
	client      *http.Client
	slotPool    slotPool
	gate        *gate
	connections atomic.Int64
	stop        context.CancelFunc
	stopped     context.Context
	wg          sync.WaitGroup
	announceNow chan struct{} // triggers an announcement

	mu               sync.Mutex
	fence            fence
	faults           Faults
	coldUntil        time.Duration
	records          recorder
	stats            Stats
	loadSamples      []loadSample
	leaving          bool
	leavingAcked     bool          // an announcement with Leaving was acknowledged
	leavingAckedAt   time.Duration // when that first happened
	released         bool          // the reply to a leaving announcement granted no lease
	lastRequestStart time.Duration
	executing        int // requests that started and have not ended
}

// Start starts a server and its announcements. It returns a NotValid error if the
// configuration is invalid, and fails if the record file or listener cannot be opened.
func Start(config Config) (*Server, error) {
	config.setDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	records, err := newRecorder(config.RecordFile, config.MaxExecutions)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		_ = records.close()
		return nil, errors.Annotate(err, "listening")
	}
	s := &Server{
		config: config, started: config.Clock.Now(), listener: listener, gate: newGate(), records: records,
		client: &http.Client{Transport: httpanswer.NewTransport(nil)}, announceNow: make(chan struct{}, 1),
		fence: fence{incarnation: rand.Text(), running: map[*requestGrant]struct{}{}}, coldUntil: config.ColdFor,
	}
	if source := config.keySource(); source != nil {
		s.keyFile = &service.File{Key: source}
	}
	s.stopped, s.stop = context.WithCancel(context.Background())
	s.serve()
	if len(config.Entries) > 0 {
		s.wg.Go(s.announceLoop)
	}
	return s, nil
}

// connectionKey is the context key of a connection's state: whether it was used before.
type connectionKey struct{}

func (s *Server) serve() {
	s.http = &http.Server{
		Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout,
		ConnState: s.countConnection,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, new(atomic.Bool))
		},
	}
	s.wg.Go(func() { _ = s.http.Serve(s.listener) })
}

// countConnection closes new connections above the configured number.
func (s *Server) countConnection(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.connections.Add(1) > int64(s.config.Connections) {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.connections.Add(-1)
	}
}

// isFirstOfConnection reports whether no earlier request of the connection ran.
func isFirstOfConnection(r *http.Request) bool {
	used, ok := r.Context().Value(connectionKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// now returns the reading of the server's own monotonic clock, which starts near zero.
func (s *Server) now() time.Duration { return s.config.Clock.Now().Sub(s.started) }

// Addr returns the IP:port that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Incarnation returns the id of this server process.
func (s *Server) Incarnation() string { return s.fence.incarnation }

// Lease returns the lease number and whether the lease is in force.
func (s *Server) Lease() (number uint64, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence.lease, s.now() < s.fence.leaseUntil
}

// Order returns the last accepted order.
func (s *Server) Order() wire.OwnershipOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence.order
}

// Close stops the server at once, as a crash does: requests in flight are aborted.
func (s *Server) Close() error {
	s.stop()
	err := s.http.Close()
	s.wg.Wait()
	s.client.CloseIdleConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	if closeErr := s.records.close(); err == nil {
		err = closeErr
	}
	s.records.file = nil
	return err
}
