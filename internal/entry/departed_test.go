package entry

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// leaveWithin is the time after which nothing may be done for a caller that has left.
const leaveWithin = 500 * time.Millisecond

// A caller leaves while its request waits for the new owner of its key. Guards against a host
// that keeps a place among the waiting requests, and its own time, for a caller that is gone
// behind a body that nobody reads.
func TestHostDoesNotWaitForDepartedCallersBehindAnUnreadBody(t *testing.T) {
	w := newWorld(t, nil)
	w.putSlice(table.Slice{Owner: "b1", Next: "b2", Epoch: 5, State: table.SliceReleasing}, "h1", "h2")
	c, err := net.Dial("tcp", w.hosts["h2"].server.Listener.Addr().String())
	w.NoErr(err)
	const size = 20 << 10 // is streamed
	fmt.Fprintf(c, "POST /desk/x HTTP/1.1\r\nHost: x\r\nX-Key: k\r\n%s: r\r\nContent-Length: %d\r\n\r\n%s", wire.HeaderRequestID, size, strings.Repeat("x", size))
	h := w.hosts["h2"].entry
	inFlight := func() int { h.mu.Lock(); defer h.mu.Unlock(); return h.inFlight }
	w.until("in flight", func() bool { return inFlight() == 1 })
	left := time.Now()
	w.NoErr(c.Close())
	w.until("ended", func() bool { return inFlight() == 0 })
	w.True(time.Since(left) <= leaveWithin)
}

// An entry host gives a relayed request up while it waits at the dispatcher. Guards against a
// dispatcher that keeps a place in the queue of a server for it.
func TestDispatcherDoesNotWaitForRequestsThatWereGivenUp(t *testing.T) {
	w := newWorld(t, nil)
	c, err := net.Dial("tcp", w.hosts["h1"].relay.Listener.Addr().String())
	w.NoErr(err)
	fmt.Fprintf(c, "POST /desk/x HTTP/1.1\r\nHost: x\r\nX-Key: k\r\n%s: r\r\n%s: desk\r\n%s: b2\r\n%s: 2000\r\n%s: 1\r\n%s: 8\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n",
		wire.HeaderRequestID, wire.HeaderService, wire.HeaderBackend, wire.HeaderTimeoutMs, wire.HeaderHash, wire.HeaderEpoch, 20<<10)
	d := w.hosts["h1"].d
	w.until("in flight", func() bool { return d.InFlight() == 1 })
	left := time.Now()
	w.NoErr(c.Close())
	w.until("ended", func() bool { return d.InFlight() == 0 })
	w.True(time.Since(left) <= leaveWithin)
}
