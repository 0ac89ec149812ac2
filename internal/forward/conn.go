package forward

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// TransportConfig describes the connections to one next hop.
type TransportConfig struct {
	MaxConns     int           // zero means no limit
	OpenInterval time.Duration // least time between two new connections
	DialTimeout  time.Duration
	IdleTimeout  time.Duration
	HeaderBytes  int64 // most header bytes of an answer
	// RefusalsRepeat is set for next hops that may send an answer twice. A request that such a
	// hop refused is not sent again on the same connection.
	RefusalsRepeat bool
	// TLS secures the connections when it is set; requests keep the scheme http.
	TLS *tls.Config
	// Opened is called for each connection opened; it may be nil.
	Opened func()
}

// continueTimeout bounds the wait for "100 Continue". It exceeds every request
// deadline because the next hop answers only after admission.
const continueTimeout = time.Hour

// NewTransport returns a transport whose connections Send can seal.
func NewTransport(cfg TransportConfig) *http.Transport {
	limit := rate.Inf
	if cfg.OpenInterval > 0 {
		limit = rate.Every(cfg.OpenInterval)
	}
	limiter := rate.NewLimiter(limit, 1)
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := limiter.Wait(ctx); err != nil {
			return nil, err
		}
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if cfg.Opened != nil {
			cfg.Opened()
		}
		if cfg.TLS != nil {
			if c, err = secure(ctx, c, cfg.TLS, address); err != nil {
				return nil, err
			}
		}
		return &conn{Conn: c, refusalsRepeat: cfg.RefusalsRepeat}, nil
	}
	return &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        cfg.MaxConns,
		MaxIdleConnsPerHost:    max(cfg.MaxConns, 64),
		IdleConnTimeout:        cfg.IdleTimeout,
		DisableCompression:     true,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: cfg.HeaderBytes,
	}
}

// secure completes the TLS handshake before the connection is handed out, so
// that the bytes of the handshake do not count as the start of a request.
func secure(ctx context.Context, c net.Conn, config *tls.Config, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		c.Close()
		return nil, err
	}
	config = config.Clone()
	config.ServerName = host
	secured := tls.Client(c, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return secured, nil
}

var errSealed = errors.New("connection is closed for writing")

// conn counts writes so that a failure before the first byte of a request is
// known to have no effect.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
	body   *Body // of the request that the connection carries
	// refused are the last requests that the next hop said on it that it did not run. They
	// are kept if refusalsRepeat is set.
	refused        []string
	refusalsRepeat bool
}

// maxRefused is the number of refusals that a connection remembers, more than come on it
// while a request is sent again.
const maxRefused = 64

// noteRefused takes note of an answer that says that a request did not run.
func (c *conn) noteRefused(id string) {
	if !c.refusalsRepeat {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.refused) == maxRefused {
		c.refused = c.refused[1:]
	}
	c.refused = append(c.refused, id)
}

// hasRefused reports whether a request was refused on the connection. A second copy of that
// refusal would pass for the next answer to it.
func (c *conn) hasRefused(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.refused, id)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// ReadFrom implements io.ReaderFrom with a pooled buffer: http.Transport copies
// request bodies with io.Copy, which would allocate 32 KiB for each.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	return io.CopyBuffer(struct{ io.Writer }{c}, r, *buf)
}

// carry notes the body of the next request and returns the number of writes so far.
func (c *conn) carry(body *Body) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = body
	return c.writes
}

// abortDelay is the time for Send to take an answer that came before the
// connection was closed: aborting the body then would break the caller's
// connection for nothing.
const abortDelay = 20 * time.Millisecond

// Close implements net.Conn. It ends a pending read of the request body, which
// http.Transport waits for before it reports that the connection is closed.
func (c *conn) Close() error {
	c.mu.Lock()
	c.sealed = true // a write after this does not count as one
	body := c.body
	c.body = nil
	c.mu.Unlock()
	if body != nil {
		time.AfterFunc(abortDelay, body.abort)
	}
	return c.Conn.Close()
}

// seal closes the connection and returns the number of writes that were
// attempted; no write is attempted after it.
func (c *conn) seal() int {
	c.mu.Lock()
	c.sealed = true
	n := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return n
}
