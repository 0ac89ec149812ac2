package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/agatestep/agatestep/internal/timeline"
)

// dialTimeout bounds the opening of a connection, so that a lost host costs a
// caller less than one renewal interval of its session.
const dialTimeout = 150 * time.Millisecond

// handshakeTimeout bounds the TLS handshake on a new connection.
const handshakeTimeout = 300 * time.Millisecond

// ErrNotConnected means that no connection was obtained, so that the call was
// certainly not sent.
const ErrNotConnected = errors.ConstError("not connected")

// Client calls other daemons over one kept connection an address. It is safe
// for concurrent use.
type Client struct {
	clock  *timeline.Clock
	config *tls.Config
	// DialTimeout bounds the opening of a connection. It is set before the first use.
	DialTimeout time.Duration

	mu    sync.Mutex
	conns map[string]*conn
}

// conn is a connection that knows when the other side last answered on it.
type conn struct {
	*jsonrpc2.Conn
	answered atomic.Int64 // Unix nanoseconds of the local clock
}

// NewClient returns a client; a nil TLS configuration means plain TCP.
func NewClient(clock *timeline.Clock, config *tls.Config) *Client {
	return &Client{clock: clock, config: config, DialTimeout: dialTimeout, conns: map[string]*conn{}}
}

// Call calls a method at an address and waits for its result.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	in, err := seal(c.clock, params)
	if err != nil {
		return errors.Trace(err)
	}
	var out envelope
	sent := time.Now()
	if err := conn.Call(ctx, method, in, &out); err != nil {
		c.dropOnTransportError(address, conn, sent, err)
		return errors.Annotatef(err, "calling %s at %s", method, address)
	}
	conn.answered.Store(time.Now().UnixNano())
	c.clock.Observe(timeline.Stamp(out.Clock))
	return errors.Trace(json.Unmarshal(out.Body, result))
}

// Notify sends a notification to an address.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	in, err := seal(c.clock, params)
	if err != nil {
		return errors.Trace(err)
	}
	if err := conn.Notify(ctx, method, in); err != nil {
		c.drop(address, conn)
		return errors.Trace(err)
	}
	return nil
}

// Connect opens a connection to an address if there is none.
func (c *Client) Connect(ctx context.Context, address string) error {
	_, err := c.conn(ctx, address)
	return errors.Trace(err)
}

// Connected reports whether there is a connection to an address.
func (c *Client) Connected(address string) bool {
	c.mu.Lock()
	known, ok := c.conns[address]
	c.mu.Unlock()
	return ok && !disconnected(known)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

func (c *Client) conn(ctx context.Context, address string) (*conn, error) {
	c.mu.Lock()
	known, ok := c.conns[address]
	c.mu.Unlock()
	if ok && !disconnected(known) {
		return known, nil
	}
	fresh, err := c.dial(ctx, address)
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "connecting to %s", address), ErrNotConnected)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[address]; ok && !disconnected(other) {
		_ = fresh.Close()
		return other, nil
	}
	c.conns[address] = fresh
	return fresh, nil
}

func disconnected(c *conn) bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	dialer := &net.Dialer{Timeout: c.DialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := setUserTimeout(raw); err != nil {
		_ = raw.Close()
		return nil, errors.Trace(err)
	}
	if c.config != nil {
		raw, err = c.secure(ctx, raw, address)
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
	stream := jsonrpc2.NewBufferedStream(raw, lengthCodec{})
	return &conn{Conn: jsonrpc2.NewConn(context.Background(), stream, handlerFunc(refuse), quiet)}, nil
}

func (c *Client) secure(ctx context.Context, raw net.Conn, address string) (net.Conn, error) {
	config := c.config.Clone()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	config.ServerName = host
	secured := tls.Client(raw, config)
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, errors.Trace(err)
	}
	return secured, nil
}

// refuse answers calls that arrive on an outgoing connection; only the side
// that accepted a connection serves methods.
func refuse(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{
		Code: jsonrpc2.CodeMethodNotFound, Message: "this side serves no methods",
	})
}

// silentFor is how long nothing must have been answered on a connection before a
// call that runs out of time says that it is silent: several round trips between
// data centres.
const silentFor = 100 * time.Millisecond

// dropOnTransportError closes the connection unless the other side answered.
// After a call that ran out of time the connection may be cut silently, so the
// next call must open a new one instead of waiting on it again. It is not cut if
// another call was answered lately: closing it would fail all that are on their
// way to a host that is only slow.
func (c *Client) dropOnTransportError(address string, conn *conn, sent time.Time, err error) {
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		conn.answered.Store(time.Now().UnixNano())
		return
	}
	gaveUp := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	heard := conn.answered.Load() >= min(sent.UnixNano(), time.Now().Add(-silentFor).UnixNano())
	if gaveUp && heard && !disconnected(conn) {
		return
	}
	c.drop(address, conn)
}

func (c *Client) drop(address string, conn *conn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}
