package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// A backend server sends a refusal twice, and the refused request is sent again on the same
// connection. Guards against the copy being taken for the response to the second attempt: the
// caller would be told that a request did not run although it did.
func TestDuplicateRefusalIsNotTakenForNextResponse(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	var accepted, ran atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go refuseTwice(c, accepted.Add(1) == 1, &ran)
		}
	}()
	transport := NewTransport(TransportConfig{MayRepeatRefusals: true})
	defer transport.CloseIdleConnections()
	send := func() (*http.Response, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String(), NewBody(strings.NewReader("x"), nil))
		is.NoErr(err)
		r.ContentLength = 1
		r.Header.Set(wire.HeaderRequestID, "r")
		resp, err := Send(context.Background(), transport, r, nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return resp, err
	}
	resp, err := send()
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	resp, err = send()
	if err == nil && resp.StatusCode == http.StatusServiceUnavailable {
		is.Equal(ran.Load(), int32(0))
	}
	is.True(ran.Load() <= 1)
	if err != nil { // the next attempt has another connection
		is.Equal(AsError(err).Verdict, verdict.NotRun)
		resp, err = send()
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(ran.Load(), int32(1))
	}
}

// refuseTwice serves a connection. On the first one, it refuses the first request and answers
// the second with a copy of that refusal before the response.
func refuseTwice(c net.Conn, first bool, ran *atomic.Int32) {
	defer c.Close()
	r := bufio.NewReader(c)
	refuse := func(id string) {
		fmt.Fprintf(c, "HTTP/1.1 503 x\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.HeaderRequestID, id, verdict.Header, verdict.NotRun)
	}
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(wire.HeaderRequestID)
		if first && n <= 1 {
			refuse(id)
			if n == 0 {
				continue
			}
		}
		ran.Add(1)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nhello", wire.HeaderRequestID, id)
	}
}
