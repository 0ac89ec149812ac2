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

// maxReactionTime is the time within which the work for a caller that has disconnected must end.
const maxReactionTime = 500 * time.Millisecond

// A caller disconnects while its request waits for the new owner of its key. Guards against the
// request staying among the waiting ones: while its body is unread, net/http does not notice that
// the connection was closed.
func TestDisconnectWithUnreadBodyIsDetected(t *testing.T) {
	w := newFixture(t, nil)
	w.putSlice(table.Slice{Owner: "b1", Next: "b2", Epoch: 5, State: table.SliceReleasing}, "h1", "h2")
	c, err := net.Dial("tcp", w.hosts["h2"].server.Listener.Addr().String())
	w.NoErr(err)
	const size = 20 << 10 // large enough to be streamed
	fmt.Fprintf(c, "POST /desk/x HTTP/1.1\r\nHost: x\r\nX-Key: k\r\n%s: r\r\nContent-Length: %d\r\n\r\n%s", wire.HeaderRequestID, size, strings.Repeat("x", size))
	h := w.hosts["h2"].entry
	inFlight := func() int { h.mu.Lock(); defer h.mu.Unlock(); return h.inFlight }
	w.waitFor("in flight", func() bool { return inFlight() == 1 })
	left := time.Now()
	w.NoErr(c.Close())
	w.waitFor("ended", func() bool { return inFlight() == 0 })
	w.True(time.Since(left) <= maxReactionTime)
}

// An entry host abandons a relayed request while it waits at the dispatcher. Guards against a
// dispatcher that keeps the request among the waiting ones of a server.
func TestDispatcherDropsAbandonedRelayedRequest(t *testing.T) {
	w := newFixture(t, nil)
	c, err := net.Dial("tcp", w.hosts["h1"].relay.Listener.Addr().String())
	w.NoErr(err)
	fmt.Fprintf(c, "POST /desk/x HTTP/1.1\r\nHost: x\r\nX-Key: k\r\n%s: r\r\n%s: desk\r\n%s: b2\r\n%s: 2000\r\n%s: 1\r\n%s: 8\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n",
		wire.HeaderRequestID, wire.HeaderService, wire.HeaderBackend, wire.HeaderTimeoutMs, wire.HeaderHash, wire.HeaderEpoch, 20<<10)
	d := w.hosts["h1"].dispatcher
	w.waitFor("in flight", func() bool { return d.InFlight() == 1 })
	left := time.Now()
	w.NoErr(c.Close())
	w.waitFor("ended", func() bool { return d.InFlight() == 0 })
	w.True(time.Since(left) <= maxReactionTime)
}
