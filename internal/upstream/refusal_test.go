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

// sheddingBackend returns the address of a server that refuses the first request on its first
// connection, with the given response body, and answers all others.
func sheddingBackend(t *testing.T, body string) string {
	return startBackend(t, func(n int, r *bufio.Reader, c net.Conn) {
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
			writeResponse(c, id, fmt.Sprint("connection ", n))
		}
	})
}

// doRefused sends a request and expects it to be refused.
func doRefused(t *testing.T, client *Client, address, id string) {
	resp, failure := client.Do(t.Context(), request(address, id))
	is.New(t).True(failure == nil)
	is.New(t).Equal(resp.StatusCode, 503)
	resp.CloseRefused()
}

// A busy server refuses a large part of its requests. Guards against a new connection after each
// refusal, which costs another round trip on a congested link and CPU time of the server.
func TestConnectionIsReusedAfterRefusal(t *testing.T) {
	for _, body := range []string{"", "busy"} {
		is, client := is.New(t), newClient()
		address := sheddingBackend(t, body)
		doRefused(t, client, address, "a")
		got, failure := doAndRead(t, client, request(address, "b"))
		is.True(failure == nil)
		is.Equal(got, "connection 0")
		expectOpened(t, client, 1)
	}
}

// Guards against a duplicate refusal that is taken for the response to a retry of the same request:
// the caller would be told that the request did not run although the retry runs.
func TestRetryAfterRefusalUsesAnotherConnection(t *testing.T) {
	is, client := is.New(t), newClient()
	address := sheddingBackend(t, "")
	doRefused(t, client, address, "a")
	got, failure := doAndRead(t, client, request(address, "b")) // other requests do not clear the refusal
	is.True(failure == nil)
	is.Equal(got, "connection 0")
	got, failure = doAndRead(t, client, request(address, "a"))
	is.True(failure == nil)
	is.Equal(got, "connection 1")
}

// Guards against an unbounded list of refusals.
func TestConnectionIsClosedAfterMaxRefusals(t *testing.T) {
	client := newClient()
	address := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
		}
	})
	for i := range 2 * (maxRefusals + 1) {
		doRefused(t, client, address, fmt.Sprint("r", i))
	}
	expectOpened(t, client, 2)
}

// Guards against waiting for the rest of a refusal, and against the reuse of a connection on which
// it has not arrived yet.
func TestIncompleteRefusalClosesConnection(t *testing.T) {
	is, client := is.New(t), newClient()
	release := make(chan struct{})
	address := startBackend(t, func(n int, r *bufio.Reader, c net.Conn) {
		req, err := readRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		if n > 0 {
			writeResponse(c, id, "connection 1")
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nContent-Length: 10\r\n\r\nhalf", id)
		<-release
		_, _ = io.Copy(c, strings.NewReader("second"))
	})
	defer close(release)
	doRefused(t, client, address, "a")
	got, failure := doAndRead(t, client, request(address, "b"))
	is.True(failure == nil)
	is.Equal(got, "connection 1")
}
