package daemon

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that hold a connection for longer than the configuration
// allows, with half a header or without a request, and against a kept connection
// that is closed sooner than callers were told.
func TestCallersAreHeldToTheTimeoutsInForce(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	const header, idle = 50 * time.Millisecond, 100 * time.Millisecond
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, ConnState: noteIdle}
	go func() {
		_ = server.Serve(newCallerListener(inner, 10, func() (time.Duration, time.Duration) { return header, idle }, nil))
	}()
	defer server.Close()
	for name, c := range map[string]struct {
		sent  string
		least time.Duration
	}{
		"half a header": {"GET / HTTP/1.1\r\nHost: x\r\n", header},
		"no request":    {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", idle + idleMargin},
	} {
		began := time.Now() // the server's time begins with the connection
		conn, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(conn, c.sent)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, conn) // until the server closes
		is.NoErr(err)
		if took := time.Since(began); took < c.least {
			t.Errorf("%s: closed after %v, before %v", name, took, c.least)
		}
	}
}
