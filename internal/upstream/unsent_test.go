package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/verdict"
)

// Guards against a request that is written on an idle connection although its caller had already
// disconnected, or its host was already stopping.
func TestNothingIsWrittenAfterContextEnds(t *testing.T) {
	is := is.New(t)
	var read atomic.Int64
	address := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			read.Add(1)
			writeResponse(c, req.Header.Get("Id"), "text")
		}
	})
	c := newClient()
	const times = 20
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range times {
		resp, e := c.Do(context.Background(), request(address, "kept"))
		is.True(e == nil)
		_, err := resp.Body.Read(make([]byte, 10))
		_ = err
		for err == nil {
			_, err = resp.Body.Read(make([]byte, 10))
		}
		is.NoErr(resp.Body.Close())
		_, e = c.Do(ended, request(address, "late"))
		is.True(e != nil)
		is.Equal(e.Verdict, verdict.NotRun)
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(read.Load(), int64(times))
}

// Guards against a new connection that is closed because BeforeWrite prevented its first request:
// opening another one costs the server work, and the next request a round trip.
func TestUnusedNewConnectionIsKept(t *testing.T) {
	is := is.New(t)
	address := healthyBackend(t, "text")
	c := newClient()
	r := request(address, "1")
	r.BeforeWrite = func(http.Header) *verdict.Error { return verdict.Unavailable(verdict.ReasonRetargeted, "moved") }
	_, e := c.Do(context.Background(), r)
	is.True(e != nil)
	resp, e := c.Do(context.Background(), request(address, "2"))
	is.True(e == nil)
	is.NoErr(resp.Body.Close())
	expectOpened(t, c, 1)
}

// interruptedConn runs a function before the first bytes are written.
type interruptedConn struct {
	*net.TCPConn
	interrupt func()
}

func (c *interruptedConn) Write(p []byte) (int, error) {
	c.interrupt()
	return c.TCPConn.Write(p)
}

// A caller disconnects, or the host stops, just before the request is written. Guards against
// counting this as a failure of the server.
func TestContextEndBeforeWriteIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		cause error
		want  verdict.Reason
	}{
		"the caller leaves": {context.Canceled, verdict.ReasonCancelled},
		"the host stops":    {verdict.ErrHostStopping, verdict.ReasonShutdown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancelCause(context.Background())
			client := newClient()
			client.dialFunc = func(ctx context.Context, address string) (net.Conn, error) {
				raw, err := client.dialTCP(ctx, address)
				if err != nil {
					return nil, err
				}
				tcp := raw.(*net.TCPConn)
				return &interruptedConn{tcp, func() {
					cancel(c.cause)
					for !errors.Is(tcp.SetDeadline(time.Time{}), net.ErrClosed) {
						time.Sleep(time.Millisecond)
					}
				}}, nil
			}
			_, e := client.Do(ctx, request(healthyBackend(t, "text"), "1"))
			is.True(e != nil)
			is.Equal(e.Verdict, verdict.NotRun)
			is.Equal(e.Reason, c.want)
		})
	}
}
