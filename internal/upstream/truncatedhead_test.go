package upstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/verdict"
)

// A server closes the connection in the middle of a response head. Guards against a response with
// an empty or short body that looks complete.
func TestTruncatedResponseHeadIsAnError(t *testing.T) {
	for name, framing := range map[string]string{
		"with a length":    "Content-Length: 600\r\n",
		"in chunks":        "Transfer-Encoding: chunked\r\n",
		"without a length": "Connection: close\r\n",
		"without a body":   "Content-Length: 0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head := "HTTP/1.1 200 OK\r\nId: a\r\n" + framing + "Server: s\r\n\r\n"
			cut := 0
			address := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
				if _, err := readRequest(r); err == nil {
					fmt.Fprint(c, head[:cut])
				}
			})
			client := newClient()
			for cut = range len(head) {
				_, failure := doAndRead(t, client, request(address, "a"))
				if failure == nil {
					t.Fatalf("cut after %q", head[:cut])
				}
				is.Equal(failure.Verdict, verdict.MayHaveRun)
			}
		})
	}
}
