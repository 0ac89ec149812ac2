package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/forward"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// writeRaw writes text to the connection as it is and closes it.
func writeRaw(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(wire.HeaderRequestID)))
		_ = c.Close()
	}
}

func refuseWith(status int, v verdict.Verdict) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(verdict.Header, v.String())
		w.WriteHeader(status)
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nAgatestep-Request-Id: ID\r\nContent-Length: 2\r\n\r\nID"

// Guards against false verdicts: each failure of a connection or a response is reported
// as it is, nothing runs twice, and no response to another request is delivered.
func TestFailureVerdicts(t *testing.T) {
	for _, c := range []struct {
		name    string
		behave  func(http.ResponseWriter, *http.Request)
		verdict verdict.Verdict
		status  int
		reason  verdict.Reason
	}{
		{"connection closed before the response", writeRaw(""), verdict.MayHaveRun, 502, verdict.ReasonConnectionLost},
		{"half a status line", writeRaw("HTTP/1.1 20"), verdict.MayHaveRun, 502, verdict.ReasonConnectionLost},
		{"truncated body", writeRaw("HTTP/1.1 200 OK\r\nAgatestep-Request-Id: ID\r\nContent-Length: 9\r\n\r\nab"), verdict.MayHaveRun, 0, "truncated"},
		{"truncated chunks", writeRaw("HTTP/1.1 200 OK\r\nAgatestep-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"), verdict.MayHaveRun, 0, "truncated"},
		{"foreign response", writeRaw(strings.Replace(okResponse, "ID", "other", 1)), verdict.MayHaveRun, 502, verdict.ReasonForeignAnswer},
		{"response without id", writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), verdict.MayHaveRun, 502, verdict.ReasonForeignAnswer},
		{"refusal by the fence", refuseWith(409, verdict.NotRun), verdict.NotRun, 503, verdict.ReasonBackendRefused},
		{"shed load", refuseWith(503, verdict.NotRun), verdict.NotRun, 503, verdict.ReasonOverloaded},
		{"abandoned work", refuseWith(503, verdict.MayHaveRun), verdict.MayHaveRun, 502, verdict.ReasonBackendRefused},
		{"work past the deadline", refuseWith(504, verdict.MayHaveRun), verdict.MayHaveRun, 504, verdict.ReasonDeadline},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(c.name+" "+method, func(t *testing.T) {
				w := newFixture(t, nil).announceAndConfirm()
				// The first exchange leaves an idle connection; http.Transport
				// replays requests that fail on one.
				_, err := w.do(context.Background(), w.request("warm", method, ""))
				w.Equal(err, nil)
				w.fake.handle = c.behave
				r := w.request("r1", method, "")
				r.Header.Set("Idempotency-Key", "k")
				_, err = w.do(context.Background(), r)
				w.True(err != nil)
				w.Equal(err.Verdict, c.verdict)
				w.Equal(err.Status, c.status)
				w.Equal(err.Reason, c.reason)
				w.Equal(w.fake.executionCount("r1"), 1) // more means a replay
				w.fake.handle = nil
				_, err = w.do(context.Background(), w.request("after", method, ""))
				w.Equal(err, nil)
			})
		}
	}
}

// Guards against a duplicate response that is taken for the response to the next request
// on the connection.
func TestDuplicateResponseIsNotDelivered(t *testing.T) {
	w := newFixture(t, nil).announceAndConfirm()
	release := make(chan struct{})
	w.fake.handle = func(rw http.ResponseWriter, r *http.Request) {
		c, _, _ := rw.(http.Hijacker).Hijack()
		_, _ = io.WriteString(c, strings.ReplaceAll(okResponse+okResponse, "ID", r.Header.Get(wire.HeaderRequestID)))
		go func() { <-release; _ = c.Close() }()
	}
	t.Cleanup(func() { close(release) })
	body, err := w.do(context.Background(), w.request("r1", http.MethodPost, ""))
	w.Equal(err, nil)
	w.Equal(body, "r1")
	w.fake.handle = nil
	for i := range 5 {
		id := fmt.Sprint("next", i)
		body, err := w.do(context.Background(), w.request(id, http.MethodPost, id))
		w.True(err != nil || body == id) // never the body of r1
	}
}

// A failure before a connection exists is not-run; one after the backend server has read
// part of the body is may-have-run.
func TestConnectionLossBeforeAndDuringWrite(t *testing.T) {
	w := newFixture(t, nil).announceAndConfirm()
	reading, writer := io.Pipe()
	w.fake.handle = func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 4))
		writeRaw("")(rw, r)
	}
	go func() { _, _ = writer.Write([]byte("part")) }()
	r := w.request("during", http.MethodPost, "")
	r.Body, r.ContentLength = forward.NewBody(reading, func() { reading.Close() }), 100
	_, err := w.do(context.Background(), r)
	w.Equal(err.Verdict, verdict.MayHaveRun)

	w.fake.Close()
	_, err = w.do(context.Background(), w.request("before", http.MethodPost, "body"))
	w.Equal(err.Verdict, verdict.NotRun)
	w.Equal(err.Reason, verdict.ReasonConnect)
	w.Equal(w.fake.executionCount("before"), 0)
}

// Guards against slow callers that make a backend server seem slow: the time in which
// an upload waits for its sender is not counted as latency.
func TestLatencyExcludesSlowSender(t *testing.T) {
	w := newFixture(t, func(c *Config, _ *table.Backend, _ *service.File) { c.Clock = clock.Real{} })
	w.announceAndConfirm()
	reader, writer := io.Pipe()
	r := w.request("slow", http.MethodPost, "")
	r.Body, r.ContentLength = forward.NewBody(reader, nil), -1
	s := w.server()
	f, err := s.admit(context.Background(), 1, r)
	w.True(err == nil)
	go func() {
		w.waitFor("time of the wait", func() bool { return time.Since(f.startedAt) > 30*time.Millisecond })
		_ = writer.Close()
	}()
	resp, failure := f.send(context.Background())
	w.NoErr(failure)
	w.True(time.Since(f.startedAt)-f.latency() > 20*time.Millisecond)
	w.NoErr(resp.Body.Close())
}

// Guards against work for callers that disconnected or whose deadline passed: the
// connection is closed, and a queued request never runs.
func TestCancelAndDeadlineInQueue(t *testing.T) {
	w := newFixture(t, nil).announceAndConfirm() // cold: one request at a time
	gone, entered := make(chan struct{}), make(chan struct{})
	w.fake.handle = func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done() // the server sees the connection close
		close(gone)
	}
	ctx, cancel := context.WithCancel(context.Background())
	first := w.doAsync(ctx, w.request("held", http.MethodGet, ""))
	<-entered

	queuedCtx, cancelQueued := context.WithCancel(context.Background())
	second := w.doAsync(queuedCtx, w.request("queued", http.MethodPost, "x"))
	w.waitFor("queued", func() bool { return w.serverState(oneQueued) })
	cancelQueued()
	err := <-second
	w.Equal(err.Verdict, verdict.NotRun)
	w.Equal(err.Reason, verdict.ReasonCancelled)

	late := w.request("late", http.MethodPost, "x")
	late.Deadline = w.clock.Now().Add(20 * time.Millisecond)
	_, err = w.do(context.Background(), late)
	w.Equal(err.Verdict, verdict.NotRun)
	w.Equal(err.Reason, verdict.ReasonDeadline)

	cancel()
	err = <-first
	w.Equal(err.Verdict, verdict.MayHaveRun)
	w.Equal(err.Reason, verdict.ReasonCancelled)
	<-gone
	w.Equal(w.fake.executionCount("queued")+w.fake.executionCount("late"), 0)
	w.fake.handle = nil
	_, err = w.do(context.Background(), w.request("after", http.MethodPost, "x"))
	w.Equal(err, nil) // the slot is free again
	w.Equal(w.d.InFlight(), 0)
}

// invalidations are the events after which a request that was allowed may no longer be sent.
var invalidations = map[string]func(w *fixture){
	"session": func(w *fixture) { w.setSessionTTL(0) },
	"lease":   func(w *fixture) { w.advance(150 * time.Millisecond) },
	"epoch":   func(w *fixture) { w.moveSlice(0, "b1", 70) },
	"revoke":  func(w *fixture) { w.releaseSlice(0) },
}

// Guards against a request that is written although the session, lease, epoch or slice that
// allowed it changed while the connection was opened.
func TestSendCheckIsRepeatedAfterConnecting(t *testing.T) {
	for name, invalidate := range invalidations {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, func(c *Config, _ *table.Backend, _ *service.File) { c.BackendLeaseTTL = 100 * time.Millisecond }).announceAndConfirm()
			transport := w.server().traffic
			dial := transport.DialContext
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				invalidate(w)
				return dial(ctx, network, address)
			}
			_, err := w.do(context.Background(), w.request("r", http.MethodPost, "x"))
			w.True(err != nil && err.Verdict == verdict.NotRun)
			w.Equal(w.fake.executionCount("r"), 0)
		})
	}
}

// Guards against a request that is sent although the session, lease, epoch or slice that
// allowed it changed while it waited in the queue.
func TestSendCheckIsRepeatedAfterQueue(t *testing.T) {
	for name, invalidate := range invalidations {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, func(c *Config, _ *table.Backend, _ *service.File) { c.BackendLeaseTTL = 100 * time.Millisecond }).announceAndConfirm()
			finish := w.holdRequest()
			r := w.request("queued", http.MethodPost, "x")
			r.Deadline = w.clock.Now().Add(300 * time.Millisecond)
			second := w.doAsync(context.Background(), r)
			w.waitFor("queued", func() bool { return w.serverState(oneQueued) })
			invalidate(w)
			w.Equal(finish(), nil)
			err := <-second
			w.True(err != nil)
			w.Equal(err.Verdict, verdict.NotRun)
			w.Equal(w.fake.executionCount("queued"), 0)
		})
	}
}

// The basic path: an order, a lease and one request with its fencing headers.
func TestRequestCarriesFencingHeaders(t *testing.T) {
	w := newFixture(t, nil).announceAndConfirm()
	w.advance(100 * time.Millisecond)
	body, err := w.do(context.Background(), w.request("r1", http.MethodPost, "hello"))
	w.Equal(err, nil)
	w.Equal(body, "hello")
	w.Equal(headerInt(w.fake.lastHeader, wire.HeaderEpoch), int64(7))
	w.Equal(w.fake.lastHeader.Get(wire.HeaderSlice), "0000000000000000")
	// The lease of 1 s was counted from clock reading 5000; the deadline is later.
	w.Equal(headerInt(w.fake.lastHeader, wire.HeaderStartBy), int64(6000))
	w.Equal(headerInt(w.fake.lastHeader, wire.HeaderDeadline), int64(7100))
}
