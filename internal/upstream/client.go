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
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/egress"
	"github.com/agatestep/agatestep/internal/verdict"
)

// Config sets the timeouts of connections.
type Config struct {
	// IDHeader is the header in which a backend server repeats the request's id.
	IDHeader string
	// DialTimeout bounds the wait for a connection that is being opened. One that comes
	// later serves another request. While the connections of this host open slowly, the
	// bound rises up to MaxDialTimeout.
	DialTimeout, MaxDialTimeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged, up to MaxUserTimeout
	// while the connections of this host open slowly.
	UserTimeout, MaxUserTimeout time.Duration
	// ProbeIdle is the idle time after which a connection is probed for silence.
	ProbeIdle time.Duration
	// MaxIdle is how long an idle connection is kept.
	MaxIdle time.Duration
	Clock   clock.Clock
	// Link accounts for what is sent; it may be nil.
	Link *egress.Link
	// BodyRate bounds the bytes of request bodies that are sent in a second, so that
	// large ones leave room for small messages on a slow link. Nil means no bound.
	BodyRate *rate.Limiter
}

// BodyChunk is the largest part of a body that is sent at once under a BodyRate.
const BodyChunk = 4 << 10

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	cfg Config
	// Opened counts the connections that were opened, Reused the requests that got a kept
	// one.
	Opened, Reused atomic.Int64

	// dialer is dialTCP except in tests.
	dialer func(ctx context.Context, address string) (net.Conn, error)

	mu        sync.Mutex
	pools     map[string]*pool
	openTimes openTimes
}

// New returns a client without connections.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, pools: map[string]*pool{}}
	c.dialer = c.dialTCP
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

// Clean closes connections that have been idle for long.
func (c *Client) Clean() {
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
	// Fresh asks for a new connection.
	Fresh bool
	// MaxOpen bounds the open connections to the address; zero means no bound.
	MaxOpen int
	// Opening is a connection that was prepared for the request; it may be nil.
	Opening *Opening
	// Left is called just before the request is written and sets headers that
	// depend on the time left; it may be nil. An error keeps the request unsent.
	Left func(http.Header) *verdict.Error
}

// Response is the answer of a backend server. Its body must be closed.
type Response struct {
	*http.Response
	exchange *exchange
}

// maxRefused is the number of refusals after which a connection is not kept, which bounds
// what is remembered of them.
const maxRefused = 8

// CloseRefused ends a response that says that the request did not run. The connection is kept
// for other requests if the whole response has arrived.
func (r *Response) CloseRefused() {
	c := r.exchange.conn
	if r.ContentLength >= 0 && r.ContentLength <= int64(c.br.Buffered()) {
		_, _ = io.Copy(io.Discard, r.Body) // what cannot be read is not kept
	}
	c.refused = append(c.refused, r.exchange.req.ID)
	_ = r.Body.Close() // never fails
}

// exchange is one request on one connection.
type exchange struct {
	client *Client
	conn   *conn
	req    *Request
	ctx    context.Context
	stop   func() bool // ends the watch of the context
	wait   answerWait
	// written is closed when the writer of the body is done; nil without a body.
	written  chan struct{}
	writeErr error
	// bodyRead is set when the whole body was read from its source, so that only the
	// end of it may still be on its way to the connection.
	bodyRead atomic.Bool
	stray    bool // an answer to another request was passed over
}

// Do sends req once. A failure is a *verdict.Error. When ctx ends, the connection
// is closed, which tells the backend server to stop.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, *verdict.Error) {
	p := c.pool(req.Address)
	cn, reused, err := c.obtain(ctx, p, req)
	if err != nil {
		return nil, connectFailure(ctx, err)
	}
	x := &exchange{client: c, conn: cn, req: req, ctx: ctx}
	if req.Left != nil {
		if refusal := req.Left(req.Header); refusal != nil {
			cn.releaseUnused(c.cfg.Clock.Now(), c.cfg.MaxIdle)
			return nil, refusal
		}
	}
	if ctx.Err() != nil {
		cn.releaseUnused(c.cfg.Clock.Now(), c.cfg.MaxIdle)
		return nil, verdict.Unavailable(verdict.Ended(ctx))
	}
	cn.limitSilence(c.userTimeout())
	x.stop = context.AfterFunc(ctx, cn.reset)
	started, err := x.write()
	if err != nil {
		x.abandon()
		if !started {
			return nil, withContext(ctx, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable,
				Reason: verdict.ReasonOverloaded, Detail: "the connection was closed before the request was written", Cause: err})
		}
		return nil, x.failure(ctx, reused, err)
	}
	resp, err := x.read()
	if err != nil {
		x.abandon()
		return nil, x.failure(ctx, reused, err)
	}
	return x.deliver(resp), nil
}

func (c *Client) obtain(ctx context.Context, p *pool, req *Request) (cn *conn, reused bool, err error) {
	if !req.Fresh {
		if cn := p.take(c.cfg.Clock.Now(), c.cfg.MaxIdle, req.ID); cn != nil {
			req.Opening.Forsake()
			c.Reused.Add(1)
			return cn, true, nil
		}
	}
	opening := req.Opening
	if opening == nil {
		if !p.makeRoom(req.MaxOpen) {
			return nil, false, errConnections
		}
		opening = c.begin(p)
	}
	cn, err = opening.await(ctx)
	return cn, false, err
}

// errConnections means that this host uses its share of a server's connections.
var errConnections = errors.New("this host's share of the connections is in use")

// write sends the head, and the body from a goroutine of its own: the answer may
// come before the whole body is sent. started reports whether any byte was handed
// to the connection.
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
	x.client.cfg.Link.Sent(egress.Heads, bw.Buffered())
	if err := bw.Flush(); err != nil {
		// The head is larger than the buffer or the kernel refused the first write;
		// a backend server runs nothing before it has read the whole head.
		return false, err
	}
	if req.Body == nil {
		return true, nil
	}
	x.written = make(chan struct{})
	go func() {
		defer close(x.written)
		x.writeErr = x.writeBody()
		x.bodyFailed(x.writeErr)
	}()
	return true, nil
}

func (x *exchange) writeBody() error {
	bw, req := x.conn.bw, x.req
	if req.Length < 0 {
		w := httputil.NewChunkedWriter(bw)
		if err := copyBody(w, x.source(), -1); err != nil {
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
	if err := copyBody(bw, x.source(), req.Length); err != nil {
		return err
	}
	return bw.Flush()
}

// source reads the body of the request and notes its end.
func (x *exchange) source() io.Reader { return &bodySource{x: x} }

type bodySource struct {
	x    *exchange
	read int64
}

// Read implements io.Reader. What it returns is sent next, so it waits for the rate.
func (s *bodySource) Read(p []byte) (int, error) {
	limit := s.x.client.cfg.BodyRate
	if limit != nil {
		p = p[:min(len(p), BodyChunk)]
	}
	n, err := s.x.req.Body.Read(p)
	s.read += int64(n)
	if err != nil && err != io.EOF {
		err = &BodyError{err: err}
	}
	if err == io.EOF || s.read == s.x.req.Length {
		s.x.bodyRead.Store(true)
	}
	x := s.x
	x.client.cfg.Link.Sent(egress.Bodies, n)
	if limit != nil && n > 0 {
		if waited := limit.WaitN(s.x.ctx, n); waited != nil {
			return 0, &BodyError{err: waited, late: true} // the request is over, or would be
		}
	}
	return n, err
}

// copyBuffers serve the copying of bodies.
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

const (
	// maxStray bounds the answers to other requests that are passed over.
	maxStray = 3
	// maxHeadBytes bounds all that comes before the body of the answer: interim
	// answers, heads, and the bodies of answers to other requests.
	maxHeadBytes = 1 << 20
)

var errForeign = errors.New("the answer carries no or another request id")

// read returns the answer to this request. Answers with another id, which a
// faulty backend server sends again or late, are read and dropped.
func (x *exchange) read() (*http.Response, error) {
	x.conn.input.left = maxHeadBytes
	defer func() { x.conn.input.left = unbounded }()
	for range maxStray + 1 {
		resp, err := x.readOne()
		if err != nil {
			return nil, err
		}
		id := resp.Header.Get(x.client.cfg.IDHeader)
		if id == x.req.ID {
			return resp, nil
		}
		x.stray = true
		if id == "" || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errForeign // closing the body would read it to its end
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

func (x *exchange) readOne() (*http.Response, error) {
	for {
		if err := x.awaitAnswer(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(x.conn.br, &http.Request{Method: x.req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

func (x *exchange) deliver(resp *http.Response) *Response {
	out := &Response{Response: resp, exchange: x}
	resp.Body = &body{ReadCloser: resp.Body, response: out}
	return out
}

// abandon resets the connection. A read of the request body may still be pending;
// what it yields is not sent.
func (x *exchange) abandon() {
	x.stop()
	x.conn.unlinger()
	x.conn.discard()
}

// body tells the exchange when the answer was read to its end.
type body struct {
	io.ReadCloser
	response *Response
	complete bool
	closed   bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Close gives the connection back or closes it. It is kept only if the whole
// request was sent, the whole answer was read and nothing follows it.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	resp, x := b.response, b.response.exchange
	sent := x.sent()
	keep := keepFor(resp.Response, x.client.cfg.MaxIdle)
	if !b.complete || !sent || resp.Close || x.stray || keep <= 0 || len(x.conn.refused) > maxRefused || x.conn.br.Buffered() > 0 || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		x.abandon()
		return nil
	}
	if !x.stop() {
		x.conn.discard()
		return nil
	}
	x.conn.release(x.client.cfg.Clock.Now(), keep)
	return nil
}

// writerWait is how long the end of an exchange waits for the goroutine that has
// handed the whole body over and is about to say so.
const writerWait = 250 * time.Millisecond

// sent reports whether the whole request was sent.
func (x *exchange) sent() bool {
	if x.written == nil {
		return true
	}
	wait := time.Duration(0)
	if x.bodyRead.Load() {
		wait = writerWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-x.written:
		return x.writeErr == nil
	case <-timer.C:
		return false
	}
}

func connectFailure(ctx context.Context, err error) *verdict.Error {
	e := &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable,
		Reason: verdict.ReasonConnect, Detail: "no connection to the backend server", Cause: err}
	if errors.Is(err, errConnections) || errors.Is(err, errClosedAtOnce) || errors.Is(err, syscall.ECONNRESET) {
		e.Reason = verdict.ReasonOverloaded // the server can be reached
	}
	return withContext(ctx, e)
}

// failure classifies an error after the request was written.
func (x *exchange) failure(ctx context.Context, reused bool, err error) *verdict.Error {
	e := &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway, Cause: err,
		Reason: verdict.ReasonConnectionLost, Detail: "the connection broke before the answer"}
	if reused {
		e.Detail = "a kept connection broke before the answer"
	}
	var timeout net.Error
	var body *BodyError
	switch {
	case errors.As(err, &body):
		e.Detail = "the body of the request broke off"
		if body.late {
			e.Status, e.Reason, e.Detail = http.StatusGatewayTimeout, verdict.ReasonDeadline, "the body cannot be sent in the time that is left"
		}
	case errors.Is(err, errForeign), errors.Is(err, errTooLong):
		e.Reason, e.Detail = verdict.ReasonForeignAnswer, err.Error()
	case errors.As(err, &timeout) && timeout.Timeout():
		e.Detail = "the backend server's host went silent"
	}
	return withContext(ctx, e)
}

// withContext names the end of the context as the cause.
func withContext(ctx context.Context, e *verdict.Error) *verdict.Error {
	if ctx.Err() != nil {
		e.End(ctx)
	}
	return e
}
