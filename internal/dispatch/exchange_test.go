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

// raw answers with bytes of its own and closes the connection.
func raw(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(wire.HeaderRequestID)))
		_ = c.Close()
	}
}

func refusing(status int, v verdict.Verdict) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(verdict.Header, v.String())
		w.WriteHeader(status)
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nAgatestep-Request-Id: ID\r\nContent-Length: 2\r\n\r\nID"

// Guards the verdicts: each failure of a connection or an answer is reported
// truthfully, nothing runs twice, and no answer of another request is delivered.
func TestFailuresAreReportedTruthfully(t *testing.T) {
	for _, c := range []struct {
		name    string
		behave  func(http.ResponseWriter, *http.Request)
		verdict verdict.Verdict
		status  int
		reason  verdict.Reason
	}{
		{"connection closed before the answer", raw(""), verdict.MayHaveRun, 502, verdict.ReasonConnectionLost},
		{"half a status line", raw("HTTP/1.1 20"), verdict.MayHaveRun, 502, verdict.ReasonConnectionLost},
		{"truncated body", raw("HTTP/1.1 200 OK\r\nAgatestep-Request-Id: ID\r\nContent-Length: 9\r\n\r\nab"), verdict.MayHaveRun, 0, "truncated"},
		{"truncated chunks", raw("HTTP/1.1 200 OK\r\nAgatestep-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"), verdict.MayHaveRun, 0, "truncated"},
		{"foreign answer", raw(strings.Replace(okAnswer, "ID", "other", 1)), verdict.MayHaveRun, 502, verdict.ReasonForeignAnswer},
		{"answer without id", raw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), verdict.MayHaveRun, 502, verdict.ReasonForeignAnswer},
		{"refusal by the fence", refusing(409, verdict.NotRun), verdict.NotRun, 503, verdict.ReasonBackendRefused},
		{"shed load", refusing(503, verdict.NotRun), verdict.NotRun, 503, verdict.ReasonOverloaded},
		{"abandoned work", refusing(503, verdict.MayHaveRun), verdict.MayHaveRun, 502, verdict.ReasonBackendRefused},
		{"work past the deadline", refusing(504, verdict.MayHaveRun), verdict.MayHaveRun, 504, verdict.ReasonDeadline},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(c.name+" "+method, func(t *testing.T) {
				w := newWorld(t, nil).ready()
				// The first exchange leaves an idle connection, which is what
				// http.Transport replays on.
				_, err := w.do(context.Background(), w.request("warm", method, ""))
				w.Equal(err, nil)
				w.b.behave = c.behave
				r := w.request("r1", method, "")
				r.Header.Set("Idempotency-Key", "k")
				_, err = w.do(context.Background(), r)
				w.True(err != nil)
				w.Equal(err.Verdict, c.verdict)
				w.Equal(err.Status, c.status)
				w.Equal(err.Reason, c.reason)
				w.Equal(w.b.ran("r1"), 1) // more means a replay
				w.b.behave = nil
				_, err = w.do(context.Background(), w.request("after", method, ""))
				w.Equal(err, nil)
			})
		}
	}
}

// Guards request and answer pairing: a repeated answer must not become the
// answer of the next request on the connection.
func TestRepeatedAnswerIsNotDelivered(t *testing.T) {
	w := newWorld(t, nil).ready()
	release := make(chan struct{})
	w.b.behave = func(rw http.ResponseWriter, r *http.Request) {
		c, _, _ := rw.(http.Hijacker).Hijack()
		_, _ = io.WriteString(c, strings.ReplaceAll(okAnswer+okAnswer, "ID", r.Header.Get(wire.HeaderRequestID)))
		go func() { <-release; _ = c.Close() }()
	}
	t.Cleanup(func() { close(release) })
	body, err := w.do(context.Background(), w.request("r1", http.MethodPost, ""))
	w.Equal(err, nil)
	w.Equal(body, "r1")
	w.b.behave = nil
	for i := range 5 {
		id := fmt.Sprint("next", i)
		body, err := w.do(context.Background(), w.request(id, http.MethodPost, id))
		w.True(err != nil || body == id) // never the body of r1
	}
}

// Guards not-run for failures before a connection, and may-have-run once the
// backend server has read part of the body.
func TestConnectionLossBeforeAndDuringWrite(t *testing.T) {
	w := newWorld(t, nil).ready()
	reading, writer := io.Pipe()
	w.b.behave = func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 4))
		raw("")(rw, r)
	}
	go func() { _, _ = writer.Write([]byte("part")) }()
	r := w.request("during", http.MethodPost, "")
	r.Body, r.ContentLength = forward.NewBody(reading, func() { reading.Close() }), 100
	_, err := w.do(context.Background(), r)
	w.Equal(err.Verdict, verdict.MayHaveRun)

	w.b.Close()
	_, err = w.do(context.Background(), w.request("before", http.MethodPost, "body"))
	w.Equal(err.Verdict, verdict.NotRun)
	w.Equal(err.Reason, verdict.ReasonConnect)
	w.Equal(w.b.ran("before"), 0)
}

// Guards the admission against slow callers: the time in which an upload waits
// for its sender is no latency of the backend server.
func TestLatencyLeavesOutSlowSender(t *testing.T) {
	w := newWorld(t, func(c *Config, _ *table.Backend, _ *service.File) { c.Clock = clock.Real{} })
	w.ready()
	reader, writer := io.Pipe()
	r := w.request("slow", http.MethodPost, "")
	r.Body, r.ContentLength = forward.NewBody(reader, nil), -1
	s := w.server()
	f, err := s.admit(context.Background(), 1, r)
	w.True(err == nil)
	go func() {
		w.until("time of the wait", func() bool { return time.Since(f.began) > 30*time.Millisecond })
		_ = writer.Close()
	}()
	resp, failure := f.send(context.Background())
	w.NoErr(failure)
	w.True(time.Since(f.began)-f.latency() > 20*time.Millisecond)
	w.NoErr(resp.Body.Close())
}

// Guards against work for callers that went away: the connection is closed, and
// a queued request never runs.
func TestCancelAndDeadlineInQueue(t *testing.T) {
	w := newWorld(t, nil).ready() // cold: one request at a time
	gone, entered := make(chan struct{}), make(chan struct{})
	w.b.behave = func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done() // the server sees the connection close
		close(gone)
	}
	ctx, cancel := context.WithCancel(context.Background())
	first := w.async(ctx, w.request("held", http.MethodGet, ""))
	<-entered

	queuedCtx, cancelQueued := context.WithCancel(context.Background())
	second := w.async(queuedCtx, w.request("queued", http.MethodPost, "x"))
	w.until("queued", func() bool { return w.locked(queued) })
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
	w.Equal(w.b.ran("queued")+w.b.ran("late"), 0)
	w.b.behave = nil
	_, err = w.do(context.Background(), w.request("after", http.MethodPost, "x"))
	w.Equal(err, nil) // the slot is free again
	w.Equal(w.d.InFlight(), 0)
}

// losses are the ways in which the right to send a request ends.
var losses = map[string]func(w *world){
	"session": func(w *world) { w.validFor(0) },
	"lease":   func(w *world) { w.pass(150 * time.Millisecond) },
	"epoch":   func(w *world) { w.moveSlice(0, "b1", 70) },
	"revoke":  func(w *world) { w.releaseSlice(0) },
}

// Guards the rights at the time of the send: while a connection is opened, each of
// them can end, and the request must then not be written.
func TestRightsAreCheckedAtConnection(t *testing.T) {
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, func(c *Config, _ *table.Backend, _ *service.File) { c.BackendLeaseTTL = 100 * time.Millisecond }).ready()
			transport := w.server().traffic
			dial := transport.DialContext
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				lose(w)
				return dial(ctx, network, address)
			}
			_, err := w.do(context.Background(), w.request("r", http.MethodPost, "x"))
			w.True(err != nil && err.Verdict == verdict.NotRun)
			w.Equal(w.b.ran("r"), 0)
		})
	}
}

// Guards the rights at the time of the send: while a request waits in the queue,
// each of them can end, and the request must then not be sent.
func TestRightsAreCheckedAfterQueue(t *testing.T) {
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, func(c *Config, _ *table.Backend, _ *service.File) { c.BackendLeaseTTL = 100 * time.Millisecond }).ready()
			finish := w.hold()
			r := w.request("queued", http.MethodPost, "x")
			r.Deadline = w.clock.Now().Add(300 * time.Millisecond)
			second := w.async(context.Background(), r)
			w.until("queued", func() bool { return w.locked(queued) })
			lose(w)
			w.Equal(finish(), nil)
			err := <-second
			w.True(err != nil)
			w.Equal(err.Verdict, verdict.NotRun)
			w.Equal(w.b.ran("queued"), 0)
		})
	}
}

// Guards the basic path: order, lease, one request with its headers.
func TestRequestCarriesRightsOfDispatcher(t *testing.T) {
	w := newWorld(t, nil).ready()
	w.pass(100 * time.Millisecond)
	body, err := w.do(context.Background(), w.request("r1", http.MethodPost, "hello"))
	w.Equal(err, nil)
	w.Equal(body, "hello")
	w.Equal(headerInt(w.b.last, wire.HeaderEpoch), int64(7))
	w.Equal(w.b.last.Get(wire.HeaderSlice), "0000000000000000")
	// The lease of 1 s was counted from clock reading 5000; the deadline is later.
	w.Equal(headerInt(w.b.last, wire.HeaderStartBy), int64(6000))
	w.Equal(headerInt(w.b.last, wire.HeaderDeadline), int64(7100))
}
