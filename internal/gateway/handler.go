package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/heldbytes"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/upstream"
	"github.com/agatestep/agatestep/internal/verdict"
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := g.cfg.Clock.Now()
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.lastRequest.Store(now.UnixNano())
	g.counters.Requests.Add(1)
	if r.ContentLength != 0 {
		// The response must not wait for the rest of the body. Every HTTP/1.1 connection of
		// net/http supports full duplex.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	c := g.serve(w, r, now)
	if r.ContentLength != 0 {
		g.drainBody(w, r, c)
	}
}

// serve answers a request. It returns a nil call if the request was refused before it was
// parsed.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, now time.Time) *call {
	if g.rejecting.Load() {
		g.writeRefusal(w, r, nil, verdict.Unavailable(verdict.ReasonShutdown, "this host is stopping"), minRetryAfter)
		return nil
	}
	ctx, answered, done := g.requestContext(r.Context())
	defer done()
	r = r.WithContext(ctx)
	g.awaitConfiguration(r.Context())
	if refusal := g.awaitFreshTable(r.Context(), g.callerTimeout(r)); refusal != nil {
		g.writeRefusal(w, r, nil, refusal, retryAfterFor(refusal))
		return nil
	}
	c, refusal := g.parseCall(r, g.cfg.Tables(), now)
	if refusal != nil {
		g.writeRefusal(w, r, c, refusal, retryAfterFor(refusal))
		return c
	}
	defer c.body.close()
	defer func() { c.outgoing.End() }()
	if refusal, retryAfter := g.refuseLateBody(c); refusal != nil {
		g.writeRefusal(w, r, c, refusal, retryAfter)
		return c
	}
	ctx, cancel := c.context()
	defer cancel()
	defer g.openHeldAnswer(w, c)()
	defer g.returnAllowance(c)
	if refusal, retryAfter := g.ensureAllowance(ctx, c); refusal != nil {
		g.writeRefusal(w, r, c, refusal, retryAfter)
		return c
	}
	if result := g.run(ctx, c); result.failure != nil {
		g.writeRefusal(w, r, c, result.failure, result.retryAfter)
	} else {
		g.answer(ctx, w, c, result.response, answered)
	}
	return c
}

// retractable is an http.ResponseWriter that may hold an answer until it is complete. An answer can
// be retracted until it is passed on.
type retractable interface {
	Retract() bool
	WhenPassing(func())
}

// answer writes the response of a backend server, or the failure if it breaks off while the writer
// holds it. answered protects the response from the end of a stop once it is passed on.
func (g *Gateway) answer(ctx context.Context, w http.ResponseWriter, c *call, resp *bufferedResponse, answered func() bool) {
	held, mayRetract := w.(retractable)
	if mayRetract && resp.partial {
		held.WhenPassing(func() { answered() })
	} else {
		answered()
	}
	err := g.writeResponse(w, c, resp)
	if err == nil {
		return
	}
	if !mayRetract || !held.Retract() {
		g.recordResponse(c, resp.StatusCode, err)
		panic(http.ErrAbortHandler) // the only way to end a response that must not look complete
	}
	failure := brokenOffError(err)
	if ctx.Err() != nil {
		failure.SetContextEnd(ctx)
	}
	g.writeRefusal(w, c.request, c, failure, 0)
}

// callerStallTimeout is how long a caller may take to read a part of its response, or to send
// the rest of a body after the response.
const callerStallTimeout = 3 * time.Second

// drainBody flushes the response and reads the rest of the body: another request may follow
// it, and closing a connection with unread bytes resets it, which discards a response that is
// still in flight. net/http would read the body before it sends the response.
func (g *Gateway) drainBody(w http.ResponseWriter, r *http.Request, c *call) {
	rc := http.NewResponseController(w)
	awaitsContinue := r.Header.Get("Expect") != "" && !c.bodyReadStarted()
	if rc.Flush() != nil || awaitsContinue || rc.SetReadDeadline(time.Now().Add(callerStallTimeout)) != nil {
		// The rest must not be taken for the next request. A caller that was not asked to
		// continue sends no body.
		panic(http.ErrAbortHandler)
	}
	rest, done := g.pacedRest(r, c)
	defer done()
	_, err := io.CopyN(io.Discard, rest, maxBodyDrain)
	if err != io.EOF && err != http.ErrBodyReadAfterClose && r.Body.Close() != nil {
		panic(http.ErrAbortHandler)
	}
	_ = rc.SetReadDeadline(time.Time{}) // fails only on a closed connection
}

// responseWriter writes a response to a caller. It fails if the caller reads nothing for
// callerStallTimeout, so that the request ends.
type responseWriter struct {
	to io.Writer
	rc *http.ResponseController
}

func newResponseWriter(w http.ResponseWriter) *responseWriter {
	return &responseWriter{to: w, rc: http.NewResponseController(w)}
}

// responseWriteSize is the number of bytes of a response that are written under one deadline.
const responseWriteSize = 32 << 10

// Write implements io.Writer.
func (w *responseWriter) Write(p []byte) (written int, err error) {
	for err == nil && written < len(p) {
		_ = w.rc.SetWriteDeadline(time.Now().Add(callerStallTimeout)) // httptest recorders have no deadlines
		var n int
		n, err = w.to.Write(p[written:min(written+responseWriteSize, len(p))])
		written += n
	}
	return written, err
}

// maxBodyDrain is how many bytes of a body net/http reads after the response to keep the
// connection.
const maxBodyDrain = 256 << 10

// announceClose sets Connection: close if the connection ends with the response: the host is
// stopping, or more of the body is unread than is drained after the response.
func (g *Gateway) announceClose(w http.ResponseWriter, r *http.Request, c *call) {
	if g.stopping.Load() || r.ContentLength != 0 && c.unreadBody(r) >= maxBodyDrain {
		w.Header().Set("Connection", "close")
	}
}

// unreadBody returns the number of bytes of the body that were not read yet, or maxBodyDrain
// if it is unknown. The call may be nil if the request was refused before it was parsed.
func (c *call) unreadBody(r *http.Request) int64 {
	read, complete := int64(0), false
	if c != nil && c.body != nil {
		read, complete = c.body.progress()
	}
	switch {
	case complete:
		return 0
	case r.ContentLength < 0:
		return maxBodyDrain
	}
	return r.ContentLength - read
}

// noConfigurationRetryAfter is the Retry-After of a host that has no configuration yet: after
// a start, an election and the transfer of the table take about as long.
const noConfigurationRetryAfter = 800 * time.Millisecond

// retryAfterFor returns when the caller of a request that was refused before it was sent
// should retry; zero means that it would be refused again.
func retryAfterFor(e *verdict.Error) time.Duration {
	switch e.Reason {
	case verdict.ReasonSession:
		return withJitter(noConfigurationRetryAfter)
	case verdict.ReasonOldTable:
		return withJitter(staleTableRetryAfter)
	case verdict.ReasonHeldBytes:
		return withJitter(heldRetryAfter)
	}
	return 0
}

// callerTimeout returns how long the caller waits, or defaultCallerTimeout if the request does
// not state it.
func (g *Gateway) callerTimeout(r *http.Request) time.Duration {
	if head, err := g.cfg.Dialect.ParseRequest(r.Header); err == nil && head.Left > 0 {
		return head.Left
	}
	return defaultCallerTimeout
}

// maxConfigurationWait is how long a request waits for the first configuration. A host
// that has just started gets it within a few round trips if there is a leader.
const maxConfigurationWait = 250 * time.Millisecond

func (g *Gateway) awaitConfiguration(ctx context.Context) {
	end := g.cfg.Clock.Now().Add(maxConfigurationWait)
	for g.cfg.Tables().Items().Empty() && ctx.Err() == nil {
		changed := g.nextTableChange()
		left := end.Sub(g.cfg.Clock.Now())
		if left <= 0 || !g.cfg.Tables().Items().Empty() {
			return
		}
		waitForChange(ctx, changed, left)
	}
}

// maxBufferedResponse is the size up to which a response is read whole before its head is
// sent, so that a truncated one can still be replaced by that of another attempt.
const maxBufferedResponse = 64 << 10

// bufferedResponse is a response whose body was read in part or whole.
type bufferedResponse struct {
	*upstream.Response
	// prefix is the part of the body that was read; partial is set if there may be more.
	prefix  []byte
	partial bool
}

// bufferResponse reads a small response whole, if the holder may hold it.
func bufferResponse(resp *upstream.Response, holder *heldbytes.Holder, now time.Time) (*bufferedResponse, error) {
	buffered := &bufferedResponse{Response: resp}
	size := resp.ContentLength
	if size < 0 {
		size = maxBufferedResponse
	}
	if size > maxBufferedResponse || !holder.Reserve(now, size) {
		buffered.partial = true
		return buffered, nil
	}
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, maxBufferedResponse))
	buffered.prefix = buf.Bytes()
	holder.Release(size - n)
	buffered.partial = n == maxBufferedResponse
	return buffered, err
}

// writeResponse forwards the response of a backend server to the caller. It returns an error if the
// response breaks off.
func (g *Gateway) writeResponse(w http.ResponseWriter, c *call, resp *bufferedResponse) error {
	defer resp.Body.Close()
	copyHeader(w.Header(), resp.Header)
	if !resp.partial {
		w.Header().Set("Content-Length", itoa(len(resp.prefix)))
	} else if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", itoa(int(resp.ContentLength)))
	}
	if c.request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		w.Header().Del("Content-Length")
		if length := resp.Header.Get("Content-Length"); length != "" && c.request.Method == http.MethodHead {
			w.Header().Set("Content-Length", length)
		}
	}
	g.announceClose(w, c.request, c)
	complete := callerconn.ResetUntilComplete(c.request, w.Header())
	w.WriteHeader(resp.StatusCode)
	out := newResponseWriter(w)
	_, err := out.Write(resp.prefix)
	c.held.answer.Progress(g.cfg.Clock.Now())
	if err == nil && resp.partial {
		c.held.answer.Release(int64(len(resp.prefix)))
		resp.prefix = nil
		err = g.copyAnswer(out, c, resp)
	}
	if err != nil {
		return err
	}
	g.recordResponse(c, resp.StatusCode, nil)
	complete()
	return nil
}

func brokenOffError(cause error) *verdict.Error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway, Reason: verdict.ReasonConnectionLost, Detail: "the answer broke off", Cause: cause}
}

func copyHeader(to, from http.Header) {
	for name, values := range removeHopByHop(from) {
		to[name] = values
	}
	if len(to["Content-Type"]) == 0 {
		to["Content-Type"] = nil // keeps net/http from guessing one
	}
}

func (g *Gateway) recordResponse(c *call, status int, err error) {
	took := g.cfg.Clock.Now().Sub(c.arrived)
	outcome := "answered"
	switch {
	case err != nil:
		outcome = "broken-off"
	case status >= http.StatusInternalServerError:
		outcome = "failed"
	}
	g.countOutcome(c, outcome, took)
	if err != nil || status >= http.StatusInternalServerError || c.sends > 1 || took > c.match.Target {
		g.cfg.Logger.Info("request "+outcome, append(c.logFields(), zap.Int("status", status), zap.Duration("took", took), zap.Duration("target", c.match.Target),
			zap.Duration("admitted_after", c.admissionTime), zap.Duration("served_in", c.attemptTime), logging.Error(err))...)
	}
}

func (g *Gateway) countOutcome(c *call, outcome string, took time.Duration) {
	kind := "unrouted"
	if c != nil && c.match != nil {
		kind = "non-idempotent"
		if c.match.Idempotent {
			kind = "idempotent"
		}
	}
	g.counters.Outcomes.Add(kind+" "+outcome, 1)
	g.counters.latencies.Record(kind+" "+outcome, took)
}

// logFields returns the log fields that describe a call. The call may be nil.
func (c *call) logFields() []zap.Field {
	if c == nil || c.match == nil {
		return nil
	}
	return []zap.Field{zap.String("request", c.ID), zap.String("route", c.match.Name), zap.Uint64("route_version", c.match.Version),
		zap.String("service", c.service), zap.String("organisation", c.organisation()), zap.Int("sends", c.sends)}
}

// writeRefusal answers a request that has no response of a backend server. The call may be nil.
func (g *Gateway) writeRefusal(w http.ResponseWriter, r *http.Request, c *call, e *verdict.Error, retryAfter time.Duration) {
	took := time.Duration(0)
	if c != nil {
		took = g.cfg.Clock.Now().Sub(c.arrived)
	}
	outcome := "refused"
	if e.Verdict != verdict.NotRun {
		outcome = "failed"
	}
	if e.Reason == verdict.ReasonCancelled {
		outcome = "cancelled"
	}
	g.countOutcome(c, outcome, took)
	g.counters.Refusals.Add(string(e.Reason), 1)
	fields := append(c.logFields(), zap.String("verdict", e.Verdict.String()), zap.Int("status", e.Status), zap.String("reason", string(e.Reason)),
		zap.String("detail", e.Detail), zap.Duration("took", took), zap.Duration("retry_after", retryAfter),
		zap.Uint64("revision", g.cfg.Tables().Revision()), zap.Duration("table_age", g.tableAge()), logging.NamedError("cause", e.Cause))
	if c == nil {
		fields = append(fields, zap.String("host", r.Host), zap.String("path", r.URL.Path))
	}
	g.cfg.Logger.Info("request "+outcome, fields...)
	if id := r.Header.Get(g.cfg.Dialect.IDHeader()); id != "" {
		w.Header().Set(g.cfg.Dialect.IDHeader(), id)
	}
	g.announceClose(w, r, c)
	g.cfg.Dialect.SetRefusal(w.Header(), e, retryAfter)
	if e.Status == http.StatusUnauthorized {
		w.Header().Set("Www-Authenticate", keyScheme)
	}
	text := e.Detail + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", itoa(len(text)))
	w.WriteHeader(e.Status)
	// The caller may be gone, and there is nobody else to report the error to.
	_, _ = io.WriteString(w, text)
}

// bodyTooLarge reports whether an error was caused by a body over the limit.
func bodyTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
