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

	"github.com/agatestep/agatestep/internal/httpanswer"
)

// TransportConfig describes the connections to one next hop.
type TransportConfig struct {
	MaxConns     int           // zero means no limit
	OpenInterval time.Duration // minimum time between two new connections; zero means no limit
	DialTimeout  time.Duration
	IdleTimeout  time.Duration
	HeaderBytes  int64 // maximum header bytes of a response
	// MayRepeatRefusals is set for next hops that may send a response twice. A request that such
	// a hop refused is not sent again on the same connection.
	MayRepeatRefusals bool
	// TLS, if set, is the configuration of TLS connections; requests keep the scheme http.
	TLS *tls.Config
	// Opened, if set, is called for each TCP connection opened.
	Opened func()
}

// continueTimeout bounds the wait for "100 Continue". It exceeds every request
// deadline because the next hop answers only after admission.
const continueTimeout = time.Hour

// NewTransport returns a transport for Send, which uses its connections to tell
// whether a failed request was written.
func NewTransport(cfg TransportConfig) *httpanswer.Transport {
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
			if c, err = handshakeTLS(ctx, c, cfg.TLS, address); err != nil {
				return nil, err
			}
		}
		return &conn{Conn: httpanswer.NewConn(c), mayRepeatRefusals: cfg.MayRepeatRefusals}, nil
	}
	return &httpanswer.Transport{Transport: &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        cfg.MaxConns,
		MaxIdleConnsPerHost:    max(cfg.MaxConns, 64),
		IdleConnTimeout:        cfg.IdleTimeout,
		DisableCompression:     true,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: cfg.HeaderBytes,
	}}
}

// handshakeTLS completes the TLS handshake before the connection is handed out, so
// that the bytes of the handshake do not count as the start of a request.
func handshakeTLS(ctx context.Context, c net.Conn, config *tls.Config, address string) (net.Conn, error) {
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

// conn counts writes. A request that fails before the first write is known not to
// have run.
type conn struct {
	*httpanswer.Conn
	mu     sync.Mutex
	writes int
	sealed bool
	body   *Body // body of the current request; nil without one
	// refused holds the ids of the last requests that the next hop answered as not run on
	// this connection. It is filled only if mayRepeatRefusals is set.
	refused           []string
	mayRepeatRefusals bool
}

// maxRecordedRefusals bounds the refusals recorded for a connection. It exceeds the number
// that arrive on one connection before a refused request is sent again.
const maxRecordedRefusals = 64

// recordRefusal records that the next hop answered a request as not run.
func (c *conn) recordRefusal(id string) {
	if !c.mayRepeatRefusals {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.refused) == maxRecordedRefusals {
		c.refused = c.refused[1:]
	}
	c.refused = append(c.refused, id)
}

// wasRefused reports whether a request was refused on the connection. A second copy of that
// refusal could be taken for the response to the next attempt, which has the same id.
func (c *conn) wasRefused(id string) bool {
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
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	return io.CopyBuffer(struct{ io.Writer }{c}, r, *buf)
}

// startRequest sets the body of the next request and returns the number of writes so far.
func (c *conn) startRequest(body *Body) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = body
	return c.writes
}

// abortDelay is the time for Send to receive a response that came before the
// connection was closed: aborting the body then would break the caller's
// connection without need.
const abortDelay = 20 * time.Millisecond

// Close implements net.Conn. It ends a pending read of the request body, which
// http.Transport waits for before it reports that the connection is closed.
func (c *conn) Close() error {
	c.mu.Lock()
	c.sealed = true // a later write fails and is not counted
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
