package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// A caller stalls in the middle of a small body. Guards against a request that is then not
// answered at its deadline.
func TestStalledSmallBodyIsAnsweredByDeadline(t *testing.T) {
	w := newFixture(t, nil)
	c, err := net.Dial("tcp", w.hosts["h1"].server.Listener.Addr().String())
	w.NoErr(err)
	defer c.Close()
	fmt.Fprintf(c, "POST /desk/x HTTP/1.1\r\nHost: x\r\nX-Key: k\r\n%s: 200\r\nContent-Length: 10\r\n\r\nhalf", wire.HeaderTimeoutMs)
	w.NoErr(c.SetReadDeadline(time.Now().Add(2 * time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	w.NoErr(err) // an error means no response long after the deadline
	w.True(resp.StatusCode >= 400)
}

// A caller disconnects while its request waits for the new owner of its key. Guards against the
// request being sent all the same: while the body of a streamed request is unread, net/http does
// not notice that the connection was closed.
func TestRequestOfDisconnectedCallerIsNotSent(t *testing.T) {
	for _, host := range []string{"h1", "h2"} {
		for name, size := range map[string]int{"held body": 1 << 10, "streamed body": 20 << 10} {
			t.Run(name+" "+host, func(t *testing.T) {
				w := newFixture(t, nil)
				w.putSlice(table.Slice{Owner: "b1", Next: "b2", Epoch: 5, State: table.SliceReleasing}, "h1", "h2")
				c, err := net.Dial("tcp", w.hosts[host].server.Listener.Addr().String())
				w.NoErr(err)
				fmt.Fprintf(c, "POST /desk/x HTTP/1.1\r\nHost: x\r\nX-Key: k\r\n%s: r\r\nContent-Length: %d\r\n\r\n%s", wire.HeaderRequestID, size, strings.Repeat("x", size))
				w.waitFor("waiting", func() bool { h := w.hosts[host].entry; h.mu.Lock(); defer h.mu.Unlock(); return h.waiting == 1 })
				w.NoErr(c.Close())
				time.Sleep(100 * time.Millisecond)
				w.putSlice(table.Slice{Owner: "b2", Epoch: 8, State: table.SliceOwned}, "h1", "h2")
				time.Sleep(200 * time.Millisecond)
				w.Equal(w.backends["b2"].executionCount("r"), 0)
			})
		}
	}
}

// An entry host abandons a relayed request while it waits at the dispatcher. Guards against the
// request being sent to the backend server all the same.
func TestAbandonedRelayedRequestIsNotSent(t *testing.T) {
	for name, size := range map[string]int{"without a body": 0, "with a body": 20 << 10} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, nil)
			c, err := net.Dial("tcp", w.hosts["h1"].relay.Listener.Addr().String())
			w.NoErr(err)
			fmt.Fprintf(c, "POST /desk/x HTTP/1.1\r\nHost: x\r\nX-Key: k\r\n%s: r\r\n%s: desk\r\n%s: b2\r\n%s: 2000\r\n%s: 1\r\n%s: 8\r\nContent-Length: %d\r\n",
				wire.HeaderRequestID, wire.HeaderService, wire.HeaderBackend, wire.HeaderTimeoutMs, wire.HeaderHash, wire.HeaderEpoch, size)
			if size > 0 {
				fmt.Fprint(c, "Expect: 100-continue\r\n")
			}
			fmt.Fprint(c, "\r\n")
			time.Sleep(100 * time.Millisecond) // it waits for the newer table
			w.NoErr(c.Close())
			time.Sleep(100 * time.Millisecond)
			w.putSlice(table.Slice{Owner: "b2", Epoch: 8, State: table.SliceOwned}, "h1")
			time.Sleep(300 * time.Millisecond)
			w.Equal(w.backends["b2"].executionCount("r"), 0)
		})
	}
}

// Guards against a request that may have run and is answered as not run, because a later attempt
// was refused or found no owner.
func TestLaterRefusalDoesNotHideMayHaveRun(t *testing.T) {
	for _, path := range []string{"/desk/x", "/vault/x"} {
		for _, host := range []string{"h1", "h2"} {
			t.Run(path+" "+host, func(t *testing.T) {
				w := newFixture(t, nil)
				var lost atomic.Int64
				first := func(rw http.ResponseWriter, r *http.Request) {
					if id := r.Header.Get(wire.HeaderRequestID); w.backends["b1"].executionCount(id)+w.backends["b2"].executionCount(id) == 1 {
						lost.Add(1)
						dropConnection(rw, r)
						return
					}
					refuseFenced(rw, r)
				}
				w.backends["b1"].setHandler(first)
				w.backends["b2"].setHandler(first)
				got := w.call(host, http.MethodGet, path, "r", nil, wire.HeaderTimeoutMs, "500")
				w.NoErr(got.err)
				w.Equal(lost.Load(), int64(1))
				w.Equal(got.verdict, mayHaveRun)
			})
		}
	}
}

// Guards against a stop that closes the connection of a request without a response. The request
// outlasts the stop because its server does not answer or its key has no owner.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	for name, prepare := range map[string]func(w *fixture){
		"the server is silent": func(w *fixture) {
			w.backends["b1"].setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		},
		"the key has no owner": func(w *fixture) {
			w.putSlice(table.Slice{Owner: "b1", Next: "b2", Epoch: 5, State: table.SliceReleasing}, "h1", "h2")
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, nil)
			prepare(w)
			done := make(chan callerResponse, 1)
			go func() { done <- w.call("h2", http.MethodPost, "/desk/x", "r", nil, wire.HeaderTimeoutMs, "5000") }()
			h := w.hosts["h2"]
			w.waitFor("in flight", func() bool { h.entry.mu.Lock(); defer h.entry.mu.Unlock(); return h.entry.inFlight == 1 })
			time.Sleep(50 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_ = h.entry.Shutdown(ctx)
			if h.server.Config.Shutdown(ctx) != nil { // as the daemon does
				_ = h.server.Config.Close()
			}
			got := <-done
			w.NoErr(got.err) // an error means that the connection was closed without a response
			w.True(got.verdict == notRun || got.verdict == mayHaveRun)
		})
	}
}
