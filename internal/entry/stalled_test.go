package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// stalledCaller is a connection on which only a part of a small body was sent.
type stalledCaller struct {
	net.Conn
	in *bufio.Reader
}

func (w *fixture) dialStalled(path string, timeout time.Duration) *stalledCaller {
	c, err := net.Dial("tcp", w.hosts["h1"].server.Listener.Addr().String())
	w.NoErr(err)
	w.t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nX-Key: k\r\n%s: %d\r\nContent-Length: 10\r\n\r\nhalf", path, wire.HeaderTimeoutMs, timeout.Milliseconds())
	w.NoErr(c.SetReadDeadline(time.Now().Add(waitTimeout)))
	return &stalledCaller{c, bufio.NewReader(c)}
}

// readResponse reads one response.
func (s *stalledCaller) readResponse(w *fixture) *http.Response {
	resp, err := http.ReadResponse(s.in, nil)
	w.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	w.NoErr(err)
	return resp
}

// Guards against a refusal that waits for the rest of a small body, and against a connection
// that cannot be reused although the rest arrives.
func TestRefusalDoesNotWaitForStalledSmallBody(t *testing.T) {
	w := newFixture(t, nil)
	s := w.dialStalled("/unknown", waitTimeout)
	w.Equal(s.readResponse(w).StatusCode, http.StatusNotFound)
	fmt.Fprintf(s, "so on.GET %s HTTP/1.1\r\nHost: x\r\n\r\n", HealthPath)
	w.Equal(s.readResponse(w).StatusCode, http.StatusOK)
}

// Guards against a connection that stays open without limit because a caller that has its response
// does not send the rest of a small body.
func TestConnectionWithStalledSmallBodyIsClosed(t *testing.T) {
	w := newFixture(t, nil)
	s := w.dialStalled("/unknown", waitTimeout)
	s.readResponse(w)
	_, err := s.in.ReadByte()
	timeout, ok := err.(net.Error)
	w.True(err != nil && !(ok && timeout.Timeout())) // a timeout means that the connection is still open
}

// Guards against a small body that does not arrive in time being refused as a bad request, which a
// caller would not send again.
func TestStalledSmallBodyIsRefusedAsDeadline(t *testing.T) {
	w := newFixture(t, nil)
	resp := w.dialStalled("/desk/x", 100*time.Millisecond).readResponse(w)
	w.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	w.Equal(resp.Header.Get(verdict.Header), notRun)
	w.Equal(resp.Header.Get(verdict.ReasonHeader), string(verdict.ReasonDeadline))
}
