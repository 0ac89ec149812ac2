package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/upstream"
	"github.com/agatestep/agatestep/internal/verdict"
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := g.cfg.Clock.Now()
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.lastSeen.Store(now.UnixNano())
	g.counters.Requests.Add(1)
	if r.ContentLength != 0 {
		// An answer does not wait for the rest of the body. Every HTTP/1.1 connection of
		// net/http can do that.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	c := g.serve(w, r, now)
	if r.ContentLength != 0 {
		finishBody(w, r, c)
	}
}

// serve answers a request. The call is nil if the request was refused before it became one.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, now time.Time) *call {
	if g.closing.Load() {
		g.refuse(w, r, nil, verdict.Unavailable(verdict.ReasonShutdown, "this host is stopping"), minRetryAfter)
		return nil
	}
	ctx, answered, done := g.lifetime(r.Context())
	defer done()
	r = r.WithContext(ctx)
	g.awaitConfiguration(r.Context())
	if refusal := g.awaitCurrent(r.Context(), g.timeGiven(r)); refusal != nil {
		g.refuse(w, r, nil, refusal, returnAfter(refusal))
		return nil
	}
	c, refusal := g.read(r, g.cfg.Tables(), now)
	if refusal != nil {
		g.refuse(w, r, c, refusal, returnAfter(refusal))
		return c
	}
	defer c.body.close()
	ctx, cancel := c.context()
	defer cancel()
	if o := g.run(ctx, c); o.failure != nil {
		g.refuse(w, r, c, o.failure, o.retryAfter)
	} else {
		answered()
		g.answer(w, c, o.answer)
	}
	return c
}

// callerStall is how long a caller may take to read a part of its answer, or to send the rest
// of a body whose answer it has.
const callerStall = 3 * time.Second

// finishBody hands the answer over and reads what is left of the body: another request may
// follow it, and a connection that closes with unread bytes is reset, which takes back
// answers on their way. net/http would read first and answer then.
func finishBody(w http.ResponseWriter, r *http.Request, c *call) {
	rc := http.NewResponseController(w)
	offered := r.Header.Get("Expect") != "" && !c.askedForBody()
	if rc.Flush() != nil || offered || rc.SetReadDeadline(time.Now().Add(callerStall)) != nil {
		// The rest must not be taken for the next request. The caller of a body that was
		// not asked for sends none.
		panic(http.ErrAbortHandler)
	}
	_, err := io.CopyN(io.Discard, r.Body, maxUnread)
	if err != io.EOF && err != http.ErrBodyReadAfterClose && r.Body.Close() != nil {
		panic(http.ErrAbortHandler)
	}
	_ = rc.SetReadDeadline(time.Time{}) // a connection that is closed has none
}

// answerWriter writes an answer to a caller. It fails if the caller reads nothing for long,
// which would keep the request from ending.
type answerWriter struct {
	to io.Writer
	rc *http.ResponseController
}

func newAnswerWriter(w http.ResponseWriter) io.Writer {
	return &answerWriter{to: w, rc: http.NewResponseController(w)}
}

// answerPart is how much of an answer is written under one deadline.
const answerPart = 32 << 10

// Write implements io.Writer.
func (a *answerWriter) Write(p []byte) (written int, err error) {
	for err == nil && written < len(p) {
		_ = a.rc.SetWriteDeadline(time.Now().Add(callerStall)) // recorders of tests have no deadlines
		var n int
		n, err = a.to.Write(p[written:min(written+answerPart, len(p))])
		written += n
	}
	return written, err
}

// maxUnread is how much of a body net/http reads after its answer to keep the connection.
const maxUnread = 256 << 10

// tellOfEnd says in the head of an answer that the connection ends with it: the host stops,
// or more of the body is left than is read after it.
func (g *Gateway) tellOfEnd(w http.ResponseWriter, r *http.Request, c *call) {
	if g.stopping.Load() || r.ContentLength != 0 && c.unread(r) >= maxUnread {
		w.Header().Set("Connection", "close")
	}
}

// unread is how much of the body was not read yet, as far as it is known. The call may be
// nil, if the request was refused before it became one.
func (c *call) unread(r *http.Request) int64 {
	read, whole := int64(0), false
	if c != nil && c.body != nil {
		read, whole = c.body.progress()
	}
	switch {
	case whole:
		return 0
	case r.ContentLength < 0:
		return maxUnread
	}
	return r.ContentLength - read
}

// configurationRetry is when a caller returns to a host that had no configuration: an
// election and the way of the table take about as long after a start.
const configurationRetry = 800 * time.Millisecond

// returnAfter is when the caller of a request that was refused as it was read should
// return; zero means that it would be refused again.
func returnAfter(e *verdict.Error) time.Duration {
	switch e.Reason {
	case verdict.ReasonSession:
		return spread(configurationRetry)
	case verdict.ReasonOldTable:
		return spread(currentRetry)
	}
	return 0
}

// timeGiven is how long the caller waits, as far as the request says it.
func (g *Gateway) timeGiven(r *http.Request) time.Duration {
	if head, err := g.cfg.Dialect.ReadCall(r.Header); err == nil && head.Left > 0 {
		return head.Left
	}
	return untoldTime
}

// configurationWait is how long a request waits for the first configuration. A host
// that has just started gets it within some round trips if there is a leader.
const configurationWait = 250 * time.Millisecond

func (g *Gateway) awaitConfiguration(ctx context.Context) {
	end := g.cfg.Clock.Now().Add(configurationWait)
	for g.cfg.Tables().Items().Empty() && ctx.Err() == nil {
		changed := g.tableChange()
		left := end.Sub(g.cfg.Clock.Now())
		if left <= 0 || !g.cfg.Tables().Items().Empty() {
			return
		}
		waitFor(ctx, changed, left)
	}
}

// smallAnswer is the size up to which an answer is read whole before its head is
// sent, so that one that breaks off can still be replaced.
const smallAnswer = 64 << 10

// held is an answer that may have been read whole.
type held struct {
	*upstream.Response
	// start is the part of the body that was read; rest is set if there may be more.
	start []byte
	rest  bool
}

// hold reads a small answer whole.
func hold(resp *upstream.Response) (*held, error) {
	h := &held{Response: resp}
	if resp.ContentLength > smallAnswer {
		h.rest = true
		return h, nil
	}
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, smallAnswer))
	h.start = buf.Bytes()
	h.rest = n == smallAnswer
	return h, err
}

// answer passes the answer of a backend server on.
func (g *Gateway) answer(w http.ResponseWriter, c *call, resp *held) {
	defer resp.Body.Close()
	copyHeader(w.Header(), resp.Header)
	if !resp.rest {
		w.Header().Set("Content-Length", itoa(len(resp.start)))
	} else if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", itoa(int(resp.ContentLength)))
	}
	if c.request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		w.Header().Del("Content-Length")
		if length := resp.Header.Get("Content-Length"); length != "" && c.request.Method == http.MethodHead {
			w.Header().Set("Content-Length", length)
		}
	}
	g.tellOfEnd(w, c.request, c)
	w.WriteHeader(resp.StatusCode)
	out := newAnswerWriter(w)
	_, err := out.Write(resp.start)
	if err == nil && resp.rest {
		_, err = io.Copy(out, resp.Body)
	}
	g.finished(c, resp.StatusCode, err)
	if err != nil {
		panic(http.ErrAbortHandler) // the only way to end an answer that must not look complete
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range forwarded(from) {
		to[name] = values
	}
	if len(to["Content-Type"]) == 0 {
		to["Content-Type"] = nil // keeps net/http from guessing one
	}
}

func (g *Gateway) finished(c *call, status int, err error) {
	took := g.cfg.Clock.Now().Sub(c.arrived)
	outcome := "answered"
	switch {
	case err != nil:
		outcome = "broken-off"
	case status >= http.StatusInternalServerError:
		outcome = "failed"
	}
	g.count(c, outcome, took)
	if err != nil || status >= http.StatusInternalServerError || c.sends > 1 || took > c.match.Target {
		g.cfg.Logger.Info("request "+outcome, append(c.fields(), zap.Int("status", status), zap.Duration("took", took), zap.Duration("target", c.match.Target),
			zap.Duration("admitted_after", c.admitted), zap.Duration("served_in", c.served), logging.Error(err))...)
	}
}

func (g *Gateway) count(c *call, outcome string, took time.Duration) {
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

// fields describe a call in a log line.
func (c *call) fields() []zap.Field {
	if c == nil || c.match == nil {
		return nil
	}
	return []zap.Field{zap.String("request", c.ID), zap.String("route", c.match.Name), zap.Uint64("route_version", c.match.Version),
		zap.String("service", c.service), zap.Int("sends", c.sends)}
}

// refuse answers a request that no backend server answered.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, c *call, e *verdict.Error, retryAfter time.Duration) {
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
	g.count(c, outcome, took)
	g.counters.Refusals.Add(string(e.Reason), 1)
	fields := append(c.fields(), zap.String("verdict", e.Verdict.String()), zap.Int("status", e.Status), zap.String("reason", string(e.Reason)),
		zap.String("detail", e.Detail), zap.Duration("took", took), zap.Duration("retry_after", retryAfter),
		zap.Uint64("revision", g.cfg.Tables().Revision()), zap.Duration("table_age", g.tableAge()), logging.Cause("cause", e.Cause))
	if c == nil {
		fields = append(fields, zap.String("host", r.Host), zap.String("path", r.URL.Path))
	}
	g.cfg.Logger.Info("request "+outcome, fields...)
	if id := r.Header.Get(g.cfg.Dialect.IDHeader()); id != "" {
		w.Header().Set(g.cfg.Dialect.IDHeader(), id)
	}
	g.tellOfEnd(w, r, c)
	g.cfg.Dialect.Refuse(w.Header(), e, retryAfter)
	text := e.Detail + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", itoa(len(text)))
	w.WriteHeader(e.Status)
	// The caller may be gone; there is nobody else to tell.
	_, _ = io.WriteString(w, text)
}

// bodyTooLarge reports whether a failure was caused by a body over the limit.
func bodyTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

func waitFor(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
