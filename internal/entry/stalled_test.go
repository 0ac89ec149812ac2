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

// stalled is a caller whose small body does not come to its end.
type stalled struct {
	net.Conn
	in *bufio.Reader
}

func (w *world) stall(path string, timeout time.Duration) *stalled {
	c, err := net.Dial("tcp", w.hosts["h1"].server.Listener.Addr().String())
	w.NoErr(err)
	w.t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nX-Key: k\r\n%s: %d\r\nContent-Length: 10\r\n\r\nhalf", path, wire.HeaderTimeoutMs, timeout.Milliseconds())
	w.NoErr(c.SetReadDeadline(time.Now().Add(patience)))
	return &stalled{c, bufio.NewReader(c)}
}

// answer reads one answer.
func (s *stalled) answer(w *world) *http.Response {
	resp, err := http.ReadResponse(s.in, nil)
	w.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	w.NoErr(err)
	return resp
}

// Guards against a refusal that waits for the rest of a small body, and against a connection
// that cannot be used again although the rest comes.
func TestRefusalDoesNotWaitForAStalledSmallBody(t *testing.T) {
	w := newWorld(t, nil)
	s := w.stall("/unknown", patience)
	w.Equal(s.answer(w).StatusCode, http.StatusNotFound)
	fmt.Fprintf(s, "so on.GET %s HTTP/1.1\r\nHost: x\r\n\r\n", HealthPath)
	w.Equal(s.answer(w).StatusCode, http.StatusOK)
}

// Guards against a connection that is kept for ever by a caller that has its answer and does not
// send the rest of a small body.
func TestConnectionWithAStalledSmallBodyEnds(t *testing.T) {
	w := newWorld(t, nil)
	s := w.stall("/unknown", patience)
	s.answer(w)
	_, err := s.in.ReadByte()
	timeout, ok := err.(net.Error)
	w.True(err != nil && !(ok && timeout.Timeout())) // the connection is still open
}

// Guards against a small body that does not come in time and is told as broken off, which a caller
// would not send again.
func TestStalledSmallBodyIsToldTheDeadline(t *testing.T) {
	w := newWorld(t, nil)
	resp := w.stall("/desk/x", 100*time.Millisecond).answer(w)
	w.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	w.Equal(resp.Header.Get(verdict.Header), notRun)
	w.Equal(resp.Header.Get(verdict.ReasonHeader), string(verdict.ReasonDeadline))
}
