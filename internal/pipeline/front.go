package pipeline

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/callerconn"
)

// Bounds of what a host reads ahead for all connections together.
const (
	// maxHostCalls bounds the requests that are served ahead of their turn.
	maxHostCalls = 512
	// maxHostBytes bounds the bytes of requests and answers that are held.
	maxHostBytes = 8 << 20
)

// Config sets what a Front reads ahead.
type Config struct {
	// Concurrent is the number of requests of one connection that are served side by side.
	Concurrent int
	// HeadBytes is the size up to which the server accepts the head of a request.
	HeadBytes int
	// Repeatable reports whether requests for a host and path may run more than once.
	Repeatable func(host, path string) bool
	Logger     *zap.Logger
}

// Front reads requests ahead on the connections of one http.Server. The server must use
// Handler, and WithConn in its ConnContext.
type Front struct {
	cfg   Config
	next  http.Handler
	calls atomic.Int64 // served ahead of their turn
	held  atomic.Int64 // bytes
}

// NewFront returns a front of next.
func NewFront(cfg Config, next http.Handler) *Front { return &Front{cfg: cfg, next: next} }

// counters counts what fronts decide.
var counters = expvar.NewMap("agatestep_pipelined")

// Keys of counters.
const (
	countBegun      = "begun"             // requests begun ahead of their turn
	countBarrier    = "barrier"           // requests that wait until all before them are answered
	countConnLimit  = "connection_limit"  // reading stopped at the bound of a connection
	countHostLimit  = "host_limit"        // reading stopped at the bound of the host
	countAnswerWait = "answer_wait"       // answers too large to hold
	countUnheld     = "answer_unheld"     // answers passed on before they were complete, with requests begun behind them
	countAbandoned  = "abandoned"         // requests whose connection ended before their turn
	countLinger     = "lingered"          // pipelined connections that were read after the last answer
	countMismatch   = "different_request" // must stay 0
)

// connKey is the context key of the Conn of a request.
type connKey struct{}

// WithConn adds a connection to the context of its requests.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Conn returns a connection on which requests are read ahead. closeWrite ends the sending
// direction of the connection; closed is called once c is closed, which may be after Close.
func (f *Front) Conn(c net.Conn, closeWrite func() error, closed func()) *Conn {
	conn := &Conn{Conn: c, front: f, closeWrite: closeWrite, onClosed: closed, atHead: true}
	conn.turn.conn = conn
	return conn
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		f.next.ServeHTTP(w, r)
		return
	}
	if c.readBehind() && callerconn.Disconnected(r.Context()) {
		panic(http.ErrAbortHandler) // nobody waits for the answer
	}
	ahead, first := c.begin(r)
	returned := false
	defer func() { c.end(returned) }()
	switch {
	case ahead != nil:
		turn := c.inTurn(w, r)
		ahead.deliver(turn, r)
		turn.finish()
	case first:
		turn := c.inTurn(w, r)
		f.next.ServeHTTP(turn, r)
		turn.finish()
	default:
		f.next.ServeHTTP(w, r)
	}
	returned = true
}

// reserveCall reports whether one more request may be served ahead of its turn.
func (f *Front) reserveCall() bool {
	if f.calls.Add(1) > maxHostCalls || f.held.Load() >= maxHostBytes {
		f.calls.Add(-1)
		return false
	}
	return true
}

// reserveBytes reports whether n more bytes may be held, and counts them if so.
func (f *Front) reserveBytes(n int) bool {
	if f.held.Add(int64(n)) > maxHostBytes {
		f.held.Add(-int64(n))
		return false
	}
	return true
}

func (f *Front) releaseBytes(n int) { f.held.Add(-int64(n)) }
