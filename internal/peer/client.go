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

	"github.com/agatestep/agatestep/internal/egress"
	"github.com/agatestep/agatestep/internal/timeline"
)

const (
	// dialTimeout bounds the wait for a connection, so that a lost host costs a caller
	// less than one renewal interval of its session.
	dialTimeout = 150 * time.Millisecond
	// dialPatience bounds the opening of a connection after its caller has given up. On
	// a crowded link it takes longer than callers wait; if each began anew, none would
	// ever be open. A SYN that was lost is sent again after a second.
	dialPatience = 2500 * time.Millisecond
	// maxDialing bounds the connections to one address that are being opened. Several
	// find a link that was repaired sooner than one between two SYNs.
	maxDialing = 8
)

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
	// DialTimeout bounds the wait for a connection. It is set before the first use.
	DialTimeout time.Duration
	// Patience is the shortest time after which a call without an answer says that its
	// connection is silent. It is set before the first use; a host whose own link may be
	// crowded for longer than its calls wait needs it.
	Patience time.Duration
	// Link accounts for what is sent. It is set before the first use.
	Link *egress.Link
	// open is net.Dialer except in tests.
	open func(ctx context.Context, address string) (net.Conn, error)

	mu      sync.Mutex
	conns   map[string]*conn
	dialing map[string]*dialing
	closed  bool
}

// dialing is the opening of connections to one address.
type dialing struct {
	count int
	// opened is closed with the first connection.
	opened chan struct{}
	once   sync.Once
}

// conn is a connection that knows when the other side last answered on it.
type conn struct {
	*jsonrpc2.Conn
	answered atomic.Int64 // Unix nanoseconds of the local clock
}

// NewClient returns a client; a nil TLS configuration means plain TCP.
func NewClient(clock *timeline.Clock, config *tls.Config) *Client {
	return &Client{clock: clock, config: config, DialTimeout: dialTimeout, open: openTCP, conns: map[string]*conn{}, dialing: map[string]*dialing{}}
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
	return errors.Trace(json.Unmarshal([]byte(out.Body), result))
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
	c.closed = true
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

func (c *Client) conn(ctx context.Context, address string) (*conn, error) {
	known, opened, failed := c.connect(address)
	if known != nil {
		return known, nil
	}
	timer := time.NewTimer(c.DialTimeout)
	defer timer.Stop()
	var err error
	select {
	case <-opened:
		if known := c.connected(address); known != nil {
			return known, nil
		}
		err = errors.New("the connection was closed at once")
	case err = <-failed:
	case <-timer.C:
		err = errors.Annotate(context.DeadlineExceeded, "opening the connection")
	case <-ctx.Done():
		err = ctx.Err()
	}
	return nil, errors.WithType(errors.Annotatef(err, "connecting to %s", address), ErrNotConnected)
}

func (c *Client) connected(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.conns[address]; ok && !disconnected(known) {
		return known
	}
	return nil
}

// connect returns the connection to an address, or begins to open one. opened is
// closed once there is one, whoever opened it; failed gets the error of this opening.
func (c *Client) connect(address string) (known *conn, opened <-chan struct{}, failed <-chan error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.conns[address]; ok && !disconnected(known) {
		return known, nil, nil
	}
	d := c.dialing[address]
	if d == nil {
		d = &dialing{opened: make(chan struct{})}
		c.dialing[address] = d
	}
	if d.count >= maxDialing {
		return nil, d.opened, nil
	}
	d.count++
	result := make(chan error, 1)
	go c.openInto(address, d, result)
	return nil, d.opened, result
}

// openInto opens a connection and keeps it unless another one came first.
func (c *Client) openInto(address string, d *dialing, failed chan<- error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialPatience)
	defer cancel()
	fresh, err := c.dial(ctx, address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.count--; d.count == 0 && c.dialing[address] == d {
		delete(c.dialing, address)
	}
	if err != nil {
		failed <- err
		return
	}
	if c.closed {
		_ = fresh.Close()
		failed <- errors.New("the client is closed")
		return
	}
	if other, ok := c.conns[address]; ok && !disconnected(other) {
		_ = fresh.Close()
		return
	}
	c.conns[address] = fresh
	d.once.Do(func() { close(d.opened) })
	if c.dialing[address] == d {
		delete(c.dialing, address) // later callers wait for a later connection
	}
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
	raw, err := c.open(ctx, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := setUserTimeout(raw); err != nil {
		_ = raw.Close()
		return nil, errors.Trace(err)
	}
	raw = c.Link.Conn(raw, egress.Calls)
	if c.config != nil {
		raw, err = c.secure(ctx, raw, address)
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
	stream := jsonrpc2.NewBufferedStream(raw, lengthCodec{})
	return &conn{Conn: jsonrpc2.NewConn(context.Background(), stream, handlerFunc(refuse), quiet)}, nil
}

func openTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
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
	early := time.Since(sent) < c.Patience
	if gaveUp && (heard || early) && !disconnected(conn) {
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
