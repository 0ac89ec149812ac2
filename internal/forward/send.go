package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/verdict"
)

// Body is a request body that the transport cannot replay. It can be closed and
// aborted while the transport reads it. It is safe for concurrent use.
type Body struct {
	mu          sync.Mutex
	r           io.Reader
	interrupt   func()
	closed      bool
	readStarted bool
	reading     bool
	hasResponse bool
	waited      time.Duration
}

// NewBody wraps r. interrupt makes a pending read of r return; it
// may be nil when reads of r do not block. Without it a broken connection would
// be noticed only after the read, because http.Transport waits for it.
func NewBody(r io.Reader, interrupt func()) *Body {
	return &Body{r: r, interrupt: interrupt}
}

// NewStreamedBody wraps the body of an incoming request whose response is written to w.
func NewStreamedBody(w http.ResponseWriter, r io.Reader) *Body {
	past := time.Unix(1, 0)
	// An error means that the connection cannot be read any more, so no read is pending.
	return NewBody(r, func() { _ = http.NewResponseController(w).SetReadDeadline(past) })
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return 0, errors.New("request body is closed")
	}
	b.readStarted, b.reading = true, true
	b.mu.Unlock()
	began := time.Now()
	n, err := b.r.Read(p)
	b.mu.Lock()
	b.reading = false
	b.waited += time.Since(began)
	b.mu.Unlock()
	return n, err
}

// WaitTime returns the time spent waiting for the sender of the body. A nil body
// has none.
func (b *Body) WaitTime() time.Duration {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waited
}

// Close implements io.Closer; no read begins after it. It leaves the wrapped
// reader open.
func (b *Body) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}

// markResponded records that the request was answered; abort does nothing after it.
func (b *Body) markResponded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hasResponse = true
}

// abort closes the body of a request that has no response and interrupts a pending read.
func (b *Body) abort() {
	b.mu.Lock()
	if b.hasResponse {
		b.mu.Unlock()
		return
	}
	pending := b.reading && !b.closed
	b.closed = true
	b.mu.Unlock()
	if pending && b.interrupt != nil {
		b.interrupt()
	}
}

// ReadStarted reports whether any read has begun. After Close the result is final.
func (b *Body) ReadStarted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readStarted
}

// Send sends req over t, at most once. After a connection was obtained and before
// anything is written, it calls check, which may be nil. Nothing is written if check
// fails, if ctx has ended or, where ctx comes from a server whose ConnContext is
// callerconn.WithConn, if the caller has disconnected. The request must have an absolute URL
// and, if any, a *Body. A returned error is a *verdict.Error.
func Send(ctx context.Context, t http.RoundTripper, req *http.Request, check func() *verdict.Error) (*http.Response, error) {
	preventReplay(req)
	x := &exchange{ctx: ctx, id: req.Header.Get(headerRequestID), check: check}
	x.body, _ = req.Body.(*Body)
	trace := &httptrace.ClientTrace{GotConn: x.gotConn}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	resp, err := t.RoundTrip(req)
	if err != nil {
		return nil, x.classifyFailure(ctx, err)
	}
	if x.body != nil {
		x.body.markResponded()
	}
	if x.refused != nil {
		// Nothing was written, so this cannot be the response to the request.
		resp.Body.Close()
		return nil, x.refused
	}
	if got := resp.Header.Get(headerRequestID); got != x.id {
		x.closeConn()
		resp.Body.Close()
		return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway,
			Reason: verdict.ReasonForeignAnswer, Detail: "answer carries another request id"}
	}
	if v, ok := verdict.Parse(resp.Header.Get(verdict.Header)); ok && v == verdict.NotRun && x.conn != nil {
		x.conn.recordRefusal(x.id)
	}
	return resp, nil
}

// preventReplay gives req a body that http.Transport cannot rewind, because it
// replays requests with no body or with GetBody after a broken connection.
func preventReplay(req *http.Request) {
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = emptyBody{}
		if req.ContentLength == 0 {
			// Without this, the transport would send an empty chunked body.
			req.TransferEncoding = []string{"identity"}
		}
	}
}

// emptyBody is a body without content that http.Transport does not take for
// http.NoBody. WriteTo avoids allocating a copy buffer.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error)         { return 0, io.EOF }
func (emptyBody) WriteTo(io.Writer) (int64, error) { return 0, nil }
func (emptyBody) Close() error                     { return nil }

// exchange is the state of one call of Send.
type exchange struct {
	ctx          context.Context
	id           string // of the request
	check        func() *verdict.Error
	body         *Body
	conn         *conn
	hasConn      bool
	writesBefore int
	refused      *verdict.Error
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.hasConn = true
	x.conn, _ = info.Conn.(*conn)
	if x.conn != nil {
		x.writesBefore = x.conn.startRequest(x.body)
	}
	if x.refused = x.checkBeforeWrite(); x.refused != nil {
		x.closeConn()
	}
}

// checkBeforeWrite is the last check before the request is written. It returns the
// refusal, or nil when the request may be written.
func (x *exchange) checkBeforeWrite() *verdict.Error {
	switch {
	case x.ctx.Err() != nil:
		reason, detail := verdict.ContextEndReason(x.ctx)
		return verdict.Unavailable(reason, detail)
	case callerconn.Disconnected(x.ctx):
		return verdict.Unavailable(verdict.ReasonCancelled, "the caller went away before the request was sent")
	case x.conn != nil && x.conn.wasRefused(x.id):
		return verdict.Unavailable(verdict.ReasonConnectionLost, "the request was refused on this connection, which is closed")
	case x.check == nil:
		return nil
	}
	return x.check()
}

func (x *exchange) closeConn() {
	if x.conn != nil {
		x.conn.seal()
	}
}

// classifyFailure maps err to a verdict by how far the request got.
func (x *exchange) classifyFailure(ctx context.Context, err error) *verdict.Error {
	if x.refused != nil {
		return x.refused
	}
	written := x.hasConn
	if x.conn != nil {
		written = x.conn.seal() != x.writesBefore
	}
	e := &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable,
		Reason: verdict.ReasonConnect, Detail: "no connection to the next hop", Cause: err}
	switch {
	case written:
		e.Verdict, e.Status = verdict.MayHaveRun, http.StatusBadGateway
		e.Reason, e.Detail = verdict.ReasonConnectionLost, "connection broke before the answer"
	case x.hasConn:
		e.Reason, e.Detail = verdict.ReasonConnectionLost, "connection broke before the request was written"
	}
	if ctx.Err() != nil {
		e.SetContextEnd(ctx)
	}
	return e
}
