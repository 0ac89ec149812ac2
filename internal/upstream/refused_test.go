package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// refusing returns the address of a server that refuses each request that it gets for the first
// time on a connection, with a body, and answers the others.
func refusing(t *testing.T, body string) string {
	return backend(t, func(n int, r *bufio.Reader, c net.Conn) {
		for first := true; ; first = false {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("Id")
			if first && n == 0 {
				fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
				continue
			}
			answer(c, id, fmt.Sprint("connection ", n))
		}
	})
}

// refuse sends a request that is refused.
func refuse(t *testing.T, client *Client, address, id string) {
	resp, failure := client.Do(t.Context(), request(address, id))
	is.New(t).True(failure == nil)
	is.New(t).Equal(resp.StatusCode, 503)
	resp.CloseRefused()
}

// A busy server refuses a large part of its requests. Guards against a new connection for each
// request after a refusal, which crosses a crowded link twice more and takes the server's time.
func TestConnectionIsKeptAfterARefusal(t *testing.T) {
	for _, body := range []string{"", "busy"} {
		is, client := is.New(t), newClient()
		address := refusing(t, body)
		refuse(t, client, address, "a")
		got, failure := get(t, client, request(address, "b"))
		is.True(failure == nil)
		is.Equal(got, "connection 0")
		is.Equal(client.Opened.Load(), int64(1))
	}
}

// Guards against a second copy of a refusal that is taken for the answer to the same request,
// sent once more: the caller would be told that a request did not run which runs.
func TestRefusedRequestTakesAnotherConnection(t *testing.T) {
	is, client := is.New(t), newClient()
	address := refusing(t, "")
	refuse(t, client, address, "a")
	got, failure := get(t, client, request(address, "b")) // others do not make it forgotten
	is.True(failure == nil)
	is.Equal(got, "connection 0")
	got, failure = get(t, client, request(address, "a"))
	is.True(failure == nil)
	is.Equal(got, "connection 1")
}

// Guards against a list of refusals without bound.
func TestConnectionsAreRenewedAfterManyRefusals(t *testing.T) {
	is, client := is.New(t), newClient()
	address := backend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
		}
	})
	for i := range 2 * (maxRefused + 1) {
		refuse(t, client, address, fmt.Sprint("r", i))
	}
	is.Equal(client.Opened.Load(), int64(2))
}

// Guards against a wait for the rest of a refusal, and a connection on which it still comes.
func TestRefusalThatIsNotWholeEndsItsConnection(t *testing.T) {
	is, client := is.New(t), newClient()
	release := make(chan struct{})
	address := backend(t, func(n int, r *bufio.Reader, c net.Conn) {
		req, err := readRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		if n > 0 {
			answer(c, id, "connection 1")
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nContent-Length: 10\r\n\r\nhalf", id)
		<-release
		_, _ = io.Copy(c, strings.NewReader("second"))
	})
	defer close(release)
	refuse(t, client, address, "a")
	got, failure := get(t, client, request(address, "b"))
	is.True(failure == nil)
	is.Equal(got, "connection 1")
}
