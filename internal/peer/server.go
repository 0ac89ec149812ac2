package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/agatestep/agatestep/internal/egress"
	"github.com/agatestep/agatestep/internal/timeline"
)

// Handler answers one method. The result is encoded as JSON.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Handle adapts a typed function to a Handler.
func Handle[P, R any](f func(context.Context, P) (R, error)) Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, params)
	}
}

// Server answers the calls of other daemons.
type Server struct {
	clock    *timeline.Clock
	handlers map[string]Handler
	// ordered methods run in the connection's read loop, one at a time.
	ordered map[string]bool
	// Link accounts for the sent bytes. It is set before Serve.
	Link *egress.Link
	// acceptTimeout has the value of the constant acceptTimeout, except in tests.
	acceptTimeout time.Duration

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]struct{}
	closed bool
}

// NewServer returns a server without methods.
func NewServer(clock *timeline.Clock) *Server {
	return &Server{
		clock:    clock,
		handlers: map[string]Handler{},
		ordered:  map[string]bool{},
		conns:    map[*jsonrpc2.Conn]struct{}{},

		acceptTimeout: acceptTimeout,
	}
}

// Register adds a method whose calls run concurrently.
func (s *Server) Register(method string, h Handler) { s.handlers[method] = h }

// RegisterOrdered adds a method whose calls on one connection run in order;
// the handler must not block.
func (s *Server) RegisterOrdered(method string, h Handler) {
	s.handlers[method] = h
	s.ordered[method] = true
}

// Serve accepts connections until the listener is closed. A nil TLS
// configuration means plain TCP.
func (s *Server) Serve(listener net.Listener, config *tls.Config) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return errors.Trace(err)
		}
		_ = setUserTimeout(conn) // without it, a dead connection is detected later
		conn = s.Link.Conn(conn, egress.HostCalls)
		if config == nil {
			s.serveConn(conn)
			continue
		}
		go s.acceptTLS(tls.Server(conn, config))
	}
}

// acceptTimeout bounds the TLS handshake on an accepted connection, so that a
// peer without a certificate does not hold a file descriptor. It is far above
// handshakeTimeout, after which daemons give up themselves.
const acceptTimeout = 3 * time.Second

func (s *Server) acceptTLS(conn *tls.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), s.acceptTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return
	}
	s.serveConn(conn)
}

func (s *Server) serveConn(conn net.Conn) {
	stream := jsonrpc2.NewBufferedStream(conn, lengthPrefixCodec{})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	rpc := jsonrpc2.NewConn(context.Background(), stream, handlerFunc(s.handle), discardLogs)
	s.conns[rpc] = struct{}{}
	go func() {
		<-rpc.DisconnectNotify()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, rpc)
	}()
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// discardLogs keeps the library from writing a line to the standard logger for
// each broken connection; callers get the error.
var discardLogs = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

type handlerFunc func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request)

// Handle implements jsonrpc2.Handler.
func (f handlerFunc) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	f(ctx, conn, req)
}

func (s *Server) handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if s.ordered[req.Method] {
		s.serveRequest(ctx, conn, req)
		return
	}
	go s.serveRequest(ctx, conn, req)
}

func (s *Server) serveRequest(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := s.dispatch(ctx, req)
	if req.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, rpcError(err))
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}

func (s *Server) dispatch(ctx context.Context, req *jsonrpc2.Request) (*envelope, error) {
	handler, ok := s.handlers[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are missing"}
	}
	var in envelope
	if err := json.Unmarshal(*req.Params, &in); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	s.clock.Observe(timeline.Stamp(in.Clock))
	result, err := handler(ctx, json.RawMessage(in.Body))
	if err != nil {
		return nil, err
	}
	return newEnvelope(s.clock, result)
}

func rpcError(err error) *jsonrpc2.Error {
	var rpc *jsonrpc2.Error
	if errors.As(err, &rpc) {
		return rpc
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

func newEnvelope(clock *timeline.Clock, body any) (*envelope, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &envelope{Clock: uint64(clock.Now()), Body: string(raw)}, nil
}
