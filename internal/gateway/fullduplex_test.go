package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/wire"
)

// An upload whose caller is slow or stalls, because of a congested link or packet loss. Guards
// against a response that is ready and waits for the rest of the body: a refusal is then as
// late as the upload, and a shutdown of the host ends the connection without any response.
func TestResponseDoesNotWaitForBody(t *testing.T) {
	early := func(serve http.HandlerFunc) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(rw).EnableFullDuplex() // otherwise net/http waits for the body
			serve(rw, r)
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	for name, c := range map[string]struct {
		serve http.HandlerFunc
		want  int
	}{
		"refused without a server": {nil, http.StatusServiceUnavailable},
		"shed by the server": {early(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Content-Length", "0")
			respondNotRun(http.StatusServiceUnavailable)(rw, r)
		}), http.StatusServiceUnavailable},
		"answered by the server": {early(func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Content-Length", "5")
			fmt.Fprint(rw, "hello")
		}), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.configure()
			if c.serve != nil {
				w.startBackend("vault", "v1", c.serve)
			}
			want := c.want
			c, err := net.Dial("tcp", w.server.Listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
			const length = 100 << 10
			fmt.Fprintf(c, "POST /scan/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r1\r\nContent-Length: %d\r\n\r\n%s", wire.HeaderRequestID, length, "the start")
			answers := bufio.NewReader(c)
			resp, err := http.ReadResponse(answers, nil)
			is.NoErr(err) // the rest of the body is not sent yet
			is.Equal(resp.StatusCode, want)
			is.Equal(resp.Header.Get(wire.HeaderRequestID), "r1")
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)

			// The rest must not be parsed as another request, nor end the connection.
			fmt.Fprint(c, strings.Repeat("x", length-len("the start")))
			fmt.Fprintf(c, "POST /scan/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r2\r\nContent-Length: 3\r\n\r\nend", wire.HeaderRequestID)
			resp, err = http.ReadResponse(answers, nil)
			is.NoErr(err)
			is.Equal(resp.Header.Get(wire.HeaderRequestID), "r2")
		})
	}
}

// A large upload is refused before it was read. Guards against a caller that sends its next request
// on the same connection and gets no response: the rest of the body is more than net/http reads, so
// the connection ends, and the response did not say "Connection: close".
func TestLargeUnreadBodyAnnouncesConnectionClose(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	c, err := net.Dial("tcp", w.server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	const length = 400 << 10
	fmt.Fprintf(c, "POST /scan/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r1\r\nContent-Length: %d\r\n\r\n%s", wire.HeaderRequestID, length, "the start")
	answers := bufio.NewReader(c)
	resp, err := http.ReadResponse(answers, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	if resp.Close {
		return
	}
	_, err = io.WriteString(c, strings.Repeat("x", length-len("the start")))
	is.NoErr(err)
	_, err = fmt.Fprintf(c, "POST /scan/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r2\r\nContent-Length: 3\r\n\r\nend", wire.HeaderRequestID)
	is.NoErr(err)
	resp, err = http.ReadResponse(answers, nil)
	is.NoErr(err) // the connection ended without a response
	is.Equal(resp.Header.Get(wire.HeaderRequestID), "r2")
}
