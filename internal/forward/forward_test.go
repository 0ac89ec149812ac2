package forward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
	"github.com/matryer/is"
)

// A connection that breaks after it was obtained and before the first write has not
// carried the request. Guards against a verdict other than not-run for it.
func TestConnectionLostBeforeWriteIsNotRun(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	}))
	defer server.Close()
	transport := NewTransport(TransportConfig{})
	dial, opened := transport.DialContext, make(chan net.Conn, 1)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		opened <- c
		return c, err
	}
	send := func(check func() *verdict.Error) error {
		r, _ := http.NewRequest(http.MethodPost, server.URL, nil)
		r.Header.Set(wire.HeaderRequestID, "r")
		resp, err := Send(context.Background(), transport, r, check)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	is.NoErr(send(nil))
	conn := <-opened
	var late error
	e := AsError(send(func() *verdict.Error {
		_ = conn.Close()
		_, late = conn.Write(nil)
		return nil
	}))
	is.Equal(e.Verdict, verdict.NotRun)
	is.Equal(e.Reason, verdict.ReasonConnectionLost)
	is.Equal(runs.Load(), int32(1))
	is.Equal(late, errSealed) // does not count as a write
	refusal := verdict.Unavailable(verdict.ReasonMoved, "refused by the check")
	is.Equal(send(func() *verdict.Error { return refusal }), error(refusal))
	is.Equal(runs.Load(), int32(1))
}
