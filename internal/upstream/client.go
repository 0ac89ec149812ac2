package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/egress"
	"github.com/agatestep/agatestep/internal/verdict"
)

// Config holds the settings of a Client.
type Config struct {
	// IDHeader is the header in which a backend server repeats the id of the request.
	IDHeader string
	// DialTimeout bounds the wait for a connection that is being opened. One that opens
	// later serves another request. While the connections of this host open slowly, the
	// bound rises up to MaxDialTimeout.
	DialTimeout, MaxDialTimeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged, up to MaxUserTimeout
	// while the connections of this host open slowly.
	UserTimeout, MaxUserTimeout time.Duration
	// ProbeIdle is the idle time after which TCP keep-alive probes are sent.
	ProbeIdle time.Duration
	// MaxIdle is how long an idle connection is kept.
	MaxIdle time.Duration
	Clock   clock.Clock
	// Link accounts for the bytes sent; it may be nil.
	Link *egress.Link
	// BodyRate limits the bytes of request bodies that are sent per second, so that
	// large ones leave bandwidth for small messages on a slow link. Nil means no limit.
	BodyRate *rate.Limiter
}

// BodyChunk is the largest number of bytes of a body that are sent at once under a BodyRate.
const BodyChunk = 4 << 10

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	cfg Config
	// Opened counts the connections that were opened, Reused the requests that got an idle
	// one.
	Opened, Reused atomic.Int64
	// largeHeads is the size in bytes of the large heads of responses in flight.
	largeHeads atomic.Int64

	// dialFunc is dialTCP except in tests.
	dialFunc func(ctx context.Context, address string) (net.Conn, error)

	mu        sync.Mutex
	pools     map[string]*pool
	dialTimes dialTimes
}

// New returns a client without connections.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, pools: map[string]*pool{}}
	c.dialFunc = c.dialTCP
	return c
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = &pool{address: address}
		c.pools[address] = p
	}
	return p
}

// CloseIdle closes connections that have been idle for too long and forgets unused addresses.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if p.closeIdle(c.cfg.Clock.Now(), c.cfg.MaxIdle) {
			delete(c.pools, address)
		}
	}
}

// Request is one request to one backend server.
type Request struct {
	ID      string
	Address string
	Method  string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is nil for a request without one. Length is its length, or -1 to send
	// it in chunks.
	Body   io.Reader
	Length int64
	// PaceBody waits until the next n bytes of the body may be sent, and accounts for them. It takes
	// the place of the BodyRate; it may be nil.
	PaceBody func(ctx context.Context, n int) error
	// NewConnection asks for a new connection.
	NewConnection bool
	// MaxConnections bounds the open connections to the address; zero means no bound.
	MaxConnections int
	// Pending is a connection that was prepared for the request; it may be nil.
	Pending *PendingConn
	// BeforeWrite is called just before the request is written and sets headers that
	// depend on the time left; it may be nil. If it returns an error, the request is not
	// sent.
	BeforeWrite func(http.Header) *verdict.Error
}

// Response is the response of a backend server. Its body must be closed.
type Response struct {
	*http.Response
	exchange *exchange
}

// maxRefusals is the number of refusals after which a connection is not reused, which bounds
// the list of refused ids.
const maxRefusals = 8

// CloseRefused closes a response that says that the request did not run. The connection is
// kept for other requests if the whole response has arrived.
func (r *Response) CloseRefused() {
	c := r.exchange.conn
	if r.ContentLength >= 0 && r.ContentLength <= int64(c.br.Buffered()) {
		_, _ = io.Copy(io.Discard, r.Body) // after an error, the connection is not kept
	}
	c.refusedIDs = append(c.refusedIDs, r.exchange.req.ID)
	_ = r.Body.Close() // never fails
}

// Interrupt closes the connection, so that a read of the body ends. The response must be closed
// nevertheless, once nothing reads it.
func (r *Response) Interrupt() { r.exchange.conn.reset() }

// exchange is one request and its response on one connection.
type exchange struct {
	client    *Client
	conn      *conn
	req       *Request
	ctx       context.Context
	stopWatch func() bool // stops watching the context
	wait      responseWait
	// bodyDone is closed when the goroutine that writes the body is done; nil without a body.
	bodyDone chan struct{}
	writeErr error
	// bodyFullyRead is set when the whole body was read from its source, so that at most its
	// end is not yet written to the connection.
	bodyFullyRead atomic.Bool
	foreignSeen   bool // a response to another request was skipped
}

// Do sends req once and returns the head of its response. An error says whether the request
// may have run. When ctx ends, the connection is closed, which tells the backend server to
// stop.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, *verdict.Error) {
	p := c.pool(req.Address)
	cn, reused, err := c.acquireConn(ctx, p, req)
	if err != nil {
		return nil, connectError(ctx, err)
	}
	x := &exchange{client: c, conn: cn, req: req, ctx: ctx}
	if req.BeforeWrite != nil {
		if refusal := req.BeforeWrite(req.Header); refusal != nil {
			cn.releaseUnused(c.cfg.Clock.Now(), c.cfg.MaxIdle)
			return nil, refusal
		}
	}
	if ctx.Err() != nil {
		cn.releaseUnused(c.cfg.Clock.Now(), c.cfg.MaxIdle)
		return nil, verdict.Unavailable(verdict.ContextEndReason(ctx))
	}
	cn.applyUserTimeout(c.userTimeout())
	cn.answers.Begin(req.Method)
	x.stopWatch = context.AfterFunc(ctx, cn.reset)
	started, err := x.write()
	if err != nil {
		x.abandon()
		if !started {
			return nil, withContextError(ctx, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable,
				Reason: verdict.ReasonOverloaded, Detail: "the connection was closed before the request was written", Cause: err})
		}
		return nil, x.classifyError(ctx, reused, err)
	}
	resp, err := x.readOwnResponse()
	if err != nil {
		x.abandon()
		return nil, x.classifyError(ctx, reused, err)
	}
	return x.newResponse(resp), nil
}

func (c *Client) acquireConn(ctx context.Context, p *pool, req *Request) (cn *conn, reused bool, err error) {
	if !req.NewConnection {
		if cn := p.take(c.cfg.Clock.Now(), c.cfg.MaxIdle, req.ID); cn != nil {
			req.Pending.Abandon()
			c.Reused.Add(1)
			return cn, true, nil
		}
	}
	pending := req.Pending
	if pending == nil {
		if !p.ensureCapacity(req.MaxConnections) {
			return nil, false, errTooManyConnections
		}
		pending = c.startDial(p)
	}
	cn, err = pending.await(ctx)
	return cn, false, err
}

// errTooManyConnections means that this host's share of a server's connections is in use.
var errTooManyConnections = errors.New("this host's share of the connections is in use")

// write sends the head, and the body in a separate goroutine, because the response may
// arrive before the whole body is sent. started reports whether the request counts as
// written.
func (x *exchange) write() (started bool, err error) {
	bw, req := x.conn.bw, x.req
	fmt.Fprintf(bw, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URI, req.Host)
	switch {
	case req.Body != nil && req.Length < 0:
		fmt.Fprint(bw, "Transfer-Encoding: chunked\r\n")
	case req.Body != nil || (req.Method != http.MethodGet && req.Method != http.MethodHead):
		fmt.Fprintf(bw, "Content-Length: %d\r\n", max(req.Length, 0))
	}
	if err := req.Header.Write(bw); err != nil {
		return false, err
	}
	fmt.Fprint(bw, "\r\n")
	x.client.cfg.Link.RecordSent(egress.RequestHeads, bw.Buffered())
	if err := bw.Flush(); err != nil {
		// The head is larger than the buffer, or the kernel refused the first write. A
		// backend server runs nothing before it has read the whole head.
		return false, err
	}
	if req.Body == nil {
		return true, nil
	}
	x.bodyDone = make(chan struct{})
	go func() {
		defer close(x.bodyDone)
		x.writeErr = x.writeBody()
		x.recordBodyError(x.writeErr)
	}()
	return true, nil
}

func (x *exchange) writeBody() error {
	bw, req := x.conn.bw, x.req
	if req.Length < 0 {
		w := httputil.NewChunkedWriter(bw)
		if err := copyBody(w, x.limitedBody(), -1); err != nil {
			return err
		}
		if err := w.Close(); err != nil {
			return err
		}
		if _, err := io.WriteString(bw, "\r\n"); err != nil {
			return err
		}
		return bw.Flush()
	}
	if err := copyBody(bw, x.limitedBody(), req.Length); err != nil {
		return err
	}
	return bw.Flush()
}

// limitedBody returns a reader of the request body that is subject to the body rate and
// records the end of the body.
func (x *exchange) limitedBody() io.Reader { return &rateLimitedBody{x: x} }

type rateLimitedBody struct {
	x    *exchange
	read int64
}

// Read implements io.Reader. It waits for the body rate, because what it returns is sent next.
func (b *rateLimitedBody) Read(p []byte) (int, error) {
	limit, pace := b.x.client.cfg.BodyRate, b.x.req.PaceBody
	if limit != nil || pace != nil {
		p = p[:min(len(p), BodyChunk)]
	}
	n, err := b.x.req.Body.Read(p)
	b.read += int64(n)
	if err != nil && err != io.EOF {
		err = &BodyError{err: err}
	}
	if err == io.EOF || b.read == b.x.req.Length {
		b.x.bodyFullyRead.Store(true)
	}
	x := b.x
	if pace != nil {
		if paceErr := pace(x.ctx, n); paceErr != nil {
			return 0, &BodyError{err: paceErr, overDeadline: true}
		}
		return n, err
	}
	x.client.cfg.Link.RecordSent(egress.RequestBodies, n)
	if limit != nil && n > 0 {
		if waitErr := limit.WaitN(b.x.ctx, n); waitErr != nil {
			return 0, &BodyError{err: waitErr, overDeadline: true} // the context has ended, or would end during the wait
		}
	}
	return n, err
}

// copyBuffers holds the buffers of copyBody.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

func copyBody(w io.Writer, r io.Reader, length int64) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	if length >= 0 {
		r = io.LimitReader(r, length)
	}
	n, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r}, *buf)
	if err == nil && length >= 0 && n < length {
		err = &BodyError{err: io.ErrUnexpectedEOF}
	}
	return err
}

// maxForeign bounds the responses to other requests that are skipped.
const maxForeign = 3

var errForeignResponse = errors.New("the answer carries no or another request id")

// readOwnResponse returns the response to this request. Responses with another id, which a
// faulty backend server repeats or sends late, are read and dropped.
func (x *exchange) readOwnResponse() (*http.Response, error) {
	x.conn.input.remaining = maxInputBytes
	defer func() { x.conn.input.remaining = noLimit }()
	for range maxForeign + 1 {
		resp, err := x.readResponse()
		if err != nil {
			return nil, err
		}
		id := resp.Header.Get(x.client.cfg.IDHeader)
		if id == x.req.ID {
			return resp, nil
		}
		x.foreignSeen = true
		if id == "" || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errForeignResponse // closing the body would read it to its end
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errForeignResponse
}

func (x *exchange) readResponse() (*http.Response, error) {
	in, br := x.conn.input, x.conn.br
	for {
		buffered, err := br.Peek(br.Buffered())
		if err == nil {
			err = in.beginHead(buffered)
		}
		if err == nil {
			err = x.awaitResponse()
		}
		if err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(br, &http.Request{Method: x.req.Method})
		if in.exceeded {
			return nil, errTooMuchData // the parser may report the line that was cut off instead
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

func (x *exchange) newResponse(resp *http.Response) *Response {
	out := &Response{Response: resp, exchange: x}
	resp.Body = &responseBody{ReadCloser: resp.Body, response: out}
	return out
}

// abandon resets the connection. A read of the request body may still be pending; its
// data is not sent.
func (x *exchange) abandon() {
	x.stopWatch()
	x.conn.input.release()
	x.conn.dropUnsent()
	x.conn.discard()
}

// responseBody is the body of a response. It returns the connection to the pool once the
// response was read to its end.
type responseBody struct {
	io.ReadCloser
	response *Response
	complete bool
	closed   bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Close returns the connection to the pool or closes it. It is kept only if the whole
// request was sent, the whole response was read and nothing follows it.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	resp, x := b.response, b.response.exchange
	sent := x.fullySent()
	keep := idleTimeAfter(resp.Response, x.client.cfg.MaxIdle)
	if !b.complete || !sent || resp.Close || x.foreignSeen || keep <= 0 || len(x.conn.refusedIDs) > maxRefusals || x.conn.br.Buffered() > 0 || !x.conn.answers.Idle() || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		x.abandon()
		return nil
	}
	if !x.stopWatch() {
		x.conn.input.release()
		x.conn.discard()
		return nil
	}
	x.conn.input.release()
	x.conn.release(x.client.cfg.Clock.Now(), keep)
	return nil
}

// bodyWriterWait is how long the end of an exchange waits for the goroutine that has
// read the whole body and is about to finish writing it.
const bodyWriterWait = 250 * time.Millisecond

// fullySent reports whether the whole request was sent.
func (x *exchange) fullySent() bool {
	if x.bodyDone == nil {
		return true
	}
	wait := time.Duration(0)
	if x.bodyFullyRead.Load() {
		wait = bodyWriterWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-x.bodyDone:
		return x.writeErr == nil
	case <-timer.C:
		return false
	}
}
