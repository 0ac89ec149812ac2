package gateway

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/wire"
)

// A caller that leaves while its request waits for a permit. Guards against a request that
// is sent to a backend server although its caller left long before: the end of a
// connection stands behind the body, so a host that has not read the body does not hear it.
func TestRequestOfACallerThatLeftIsNotSent(t *testing.T) {
	for name, c := range map[string]struct{ sent, length int }{
		"without a body":                 {0, 0},
		"order":                          {300, 300},
		"upload":                         {60_000, 60_000},
		"left in the middle of the body": {20_000, 60_000},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newWorld(t)
			w.configure()
			w.backend("desk", "b1", hello)
			w.own("b1", 5)
			waiting := make(chan struct{})
			w.mute, w.asked = "h2", sync.OnceFunc(func() { close(waiting) })
			caller, err := net.Dial("tcp", w.server.Listener.Addr().String())
			is.NoErr(err)
			_, err = fmt.Fprintf(caller, "POST /book/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r1\r\n%s: abc\r\nContent-Length: %d\r\n\r\n%s",
				wire.HeaderRequestID, wire.HeaderHash, c.length, strings.Repeat("x", c.sent))
			is.NoErr(err)
			<-waiting
			is.NoErr(caller.Close())
			for w.gateway.InFlight() > 0 { // the ask ends with the call, or when its time is over
				time.Sleep(time.Millisecond)
			}
			is.Equal(w.arrivals(), 0)
		})
	}
}
