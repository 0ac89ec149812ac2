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
	// backgroundDialTimeout bounds a dial, which continues after its caller has given up.
	// On a congested link a dial takes longer than callers wait; if each caller started a
	// new one, no connection would ever be established. A lost SYN is retransmitted after
	// a second.
	backgroundDialTimeout = 2500 * time.Millisecond
	// maxPendingDials bounds the concurrent dials to one address. With several, a repaired
	// link is found sooner than by one that waits between two SYNs.
	maxPendingDials = 8
)

// handshakeTimeout bounds the TLS handshake on a new connection.
const handshakeTimeout = 300 * time.Millisecond

// ErrNotConnected means that there was no connection, so that the call was not
// sent.
const ErrNotConnected = errors.ConstError("not connected")

// Client calls other daemons over one persistent connection per address. It is
// safe for concurrent use.
type Client struct {
	clock  *timeline.Clock
	config *tls.Config
	// DialTimeout bounds the wait for a connection. It is set before the first use.
	DialTimeout time.Duration
	// MinSilence is how long a call must have waited for its reply before it may close the
	// connection as silent when its caller gives up. It is set before the first use. A host
	// whose own link may be congested for longer than its calls wait needs it.
	MinSilence time.Duration
	// Link accounts for the sent bytes. It is set before the first use.
	Link *egress.Link
	// Traffic counts calls and their bytes; nil counts nothing. It is set before the first use.
	Traffic *Traffic
	// dialer is dialTCP except in tests.
	dialer func(ctx context.Context, address string) (net.Conn, error)

	mu           sync.Mutex
	conns        map[string]*conn
	pendingDials map[string]*addressDials
	closed       bool
}

// addressDials holds the dials in progress to one address.
type addressDials struct {
	count int
	// connected is closed when the first of them succeeds.
	connected chan struct{}
	once      sync.Once
}

// conn is a connection with the time of the last reply on it.
type conn struct {
	*jsonrpc2.Conn
	lastReply atomic.Int64 // Unix nanoseconds of the local clock
}

// NewClient returns a client without connections; a nil TLS configuration means
// plain TCP.
func NewClient(clock *timeline.Clock, config *tls.Config) *Client {
	return &Client{clock: clock, config: config, DialTimeout: dialTimeout, dialer: dialTCP, conns: map[string]*conn{}, pendingDials: map[string]*addressDials{}}
}

// Call calls a method at an address and decodes its reply into result. An error
// of type ErrNotConnected means that the call was not sent.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.getConn(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	in, err := newEnvelope(c.clock, params)
	if err != nil {
		return errors.Trace(err)
	}
	var out envelope
	sent := time.Now()
	err = conn.Call(ctx, method, in, &out)
	c.Traffic.add(method, len(in.Body), len(out.Body))
	if err != nil {
		c.dropUnlessAnswered(address, conn, sent, err)
		return errors.Annotatef(err, "calling %s at %s", method, address)
	}
	conn.lastReply.Store(time.Now().UnixNano())
	c.clock.Observe(timeline.Stamp(out.Clock))
	return errors.Trace(json.Unmarshal([]byte(out.Body), result))
}

// Notify sends a notification, which has no reply, to an address.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	conn, err := c.getConn(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	in, err := newEnvelope(c.clock, params)
	if err != nil {
		return errors.Trace(err)
	}
	c.Traffic.add(method, len(in.Body), 0)
	if err := conn.Notify(ctx, method, in); err != nil {
		c.drop(address, conn)
		return errors.Trace(err)
	}
	return nil
}

// Connect opens a connection to an address if there is none.
func (c *Client) Connect(ctx context.Context, address string) error {
	_, err := c.getConn(ctx, address)
	return errors.Trace(err)
}

// Connected reports whether there is an open connection to an address.
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

func (c *Client) getConn(ctx context.Context, address string) (*conn, error) {
	known, connected, dialErr := c.getOrDial(address)
	if known != nil {
		return known, nil
	}
	timer := time.NewTimer(c.DialTimeout)
	defer timer.Stop()
	var err error
	select {
	case <-connected:
		if known := c.liveConn(address); known != nil {
			return known, nil
		}
		err = errors.New("the connection was closed immediately")
	case err = <-dialErr:
	case <-timer.C:
		err = errors.Annotate(context.DeadlineExceeded, "opening the connection")
	case <-ctx.Done():
		err = ctx.Err()
	}
	return nil, errors.WithType(errors.Annotatef(err, "connecting to %s", address), ErrNotConnected)
}

func (c *Client) liveConn(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.conns[address]; ok && !disconnected(known) {
		return known
	}
	return nil
}

// getOrDial returns the connection to an address, or starts a dial unless too many are
// in progress. connected is closed once any dial to the address succeeds; dialErr gets
// the error of this dial.
func (c *Client) getOrDial(address string) (known *conn, connected <-chan struct{}, dialErr <-chan error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.conns[address]; ok && !disconnected(known) {
		return known, nil, nil
	}
	d := c.pendingDials[address]
	if d == nil {
		d = &addressDials{connected: make(chan struct{})}
		c.pendingDials[address] = d
	}
	if d.count >= maxPendingDials {
		return nil, d.connected, nil
	}
	d.count++
	result := make(chan error, 1)
	go c.dialAndStore(address, d, result)
	return nil, d.connected, result
}

// dialAndStore opens a connection and keeps it unless another dial succeeded first.
func (c *Client) dialAndStore(address string, d *addressDials, dialErr chan<- error) {
	ctx, cancel := context.WithTimeout(context.Background(), backgroundDialTimeout)
	defer cancel()
	dialed, err := c.dial(ctx, address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.count--; d.count == 0 && c.pendingDials[address] == d {
		delete(c.pendingDials, address)
	}
	if err != nil {
		dialErr <- err
		return
	}
	if c.closed {
		_ = dialed.Close()
		dialErr <- errors.New("the client is closed")
		return
	}
	if other, ok := c.conns[address]; ok && !disconnected(other) {
		_ = dialed.Close()
		return
	}
	c.conns[address] = dialed
	d.once.Do(func() { close(d.connected) })
	if c.pendingDials[address] == d {
		delete(c.pendingDials, address) // later callers wait for a new dial
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
	raw, err := c.dialer(ctx, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := setUserTimeout(raw); err != nil {
		_ = raw.Close()
		return nil, errors.Trace(err)
	}
	raw = c.Link.Conn(raw, egress.HostCalls)
	if c.config != nil {
		raw, err = c.clientHandshake(ctx, raw, address)
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
	stream := jsonrpc2.NewBufferedStream(raw, lengthPrefixCodec{})
	return &conn{Conn: jsonrpc2.NewConn(context.Background(), stream, handlerFunc(rejectCall), discardLogs)}, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

func (c *Client) clientHandshake(ctx context.Context, raw net.Conn, address string) (net.Conn, error) {
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

// rejectCall rejects calls that arrive on an outgoing connection; only the side
// that accepted a connection serves methods.
func rejectCall(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{
		Code: jsonrpc2.CodeMethodNotFound, Message: "this side serves no methods",
	})
}

// silenceThreshold is how long a connection must have had no reply before a call
// that its caller gave up closes it as silent: several round trips between data
// centres.
const silenceThreshold = 100 * time.Millisecond

// dropUnlessAnswered closes the connection after a failed call unless the other
// side answered. After a call that timed out, the connection may be dead without
// an error, so the next call must open a new one instead of waiting on it again.
// It is kept if another call was answered recently: closing it would fail all
// calls in progress to a host that is only slow.
func (c *Client) dropUnlessAnswered(address string, conn *conn, sent time.Time, err error) {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		conn.lastReply.Store(time.Now().UnixNano())
		return
	}
	callerGaveUp := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	repliedLately := conn.lastReply.Load() >= min(sent.UnixNano(), time.Now().Add(-silenceThreshold).UnixNano())
	withinMinSilence := time.Since(sent) < c.MinSilence
	if callerGaveUp && (repliedLately || withinMinSilence) && !disconnected(conn) {
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
