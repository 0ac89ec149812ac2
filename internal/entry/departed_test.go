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
