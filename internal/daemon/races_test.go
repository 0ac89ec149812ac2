package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/coldlimit"
	"github.com/agatestep/agatestep/internal/wire"
)

// A request begins to arrive while the previous one on its connection is still served, and the
// stop closes idle connections meanwhile. Guards against a request that is dropped after a byte
// of it was read, because the connection counts as idle when the previous request ends.
func TestCloseIdleKeepsRequestThatArrivesDuringAnother(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	serving, served := make(chan struct{}, 2), make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, ConnState: trackConnState,
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { serving <- struct{}{}; <-served })}
	listener := newCallerListener(inner, 10, func() (time.Duration, time.Duration) { return time.Second, time.Second }, nil)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	c, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer c.Close()
	responses := bufio.NewReader(c)
	fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
	<-serving
	fmt.Fprint(c, "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	time.Sleep(50 * time.Millisecond) // the server has read its first byte
	listener.closeIdle()
	close(served)
	for range 2 {
		resp, err := http.ReadResponse(responses, nil)
		is.NoErr(err) // the connection was closed without a response
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
}

// A second signal ends a stop at once. Guards against requests that then get no response,
// although the host knows their outcome.
func TestForcedStopAnswersRequest(t *testing.T) {
	is, h := is.New(t), newStopHost(t, 6*time.Second, nil)
	done := make(chan struct{})
	defer close(done)
	h.addBackend("vault", neverAnswer(done))
	conn, responses := h.keepAliveConn()
	forceStop, sendSecondSignal := context.WithCancel(context.Background())
	go func() { _ = h.host.shutdown(forceStop, h.callerServer) }()
	time.Sleep(100 * time.Millisecond)
	fmt.Fprint(conn, rawPostRequest("/scan/"))
	time.Sleep(100 * time.Millisecond)
	sendSecondSignal()
	resp, err := http.ReadResponse(responses, nil)
	is.NoErr(err) // the connection was closed without a response
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
}

// A permit request is cancelled while it is still in transit, on a connection that is replaced.
// Guards against a slot of the server that is held for a request that has ended.
func TestPermitRequestArrivingAfterItsReleaseHoldsNoSlot(t *testing.T) {
	is, issuer := is.New(t), newPermitIssuer(clock.Real{})
	requestPermit := func(id uint64) wire.PermitReply {
		return issuer.requestPermit(context.Background(), permitKey("desk", "b1", 1), 1, coldlimit.Rate{}, wire.PermitRequest{Service: "desk", Backend: "b1", Born: 1, ID: id,
			TargetMs: 1000, LeftMs: 2000, ServiceMs: 100, PollMs: 10})
	}
	requestPermit(6)
	issuer.releasePermit(permitKey("desk", "b1", 1), wire.PermitRelease{Service: "desk", Backend: "b1", Born: 1, ID: 7}) // overtakes its permit request
	requestPermit(7)
	is.Equal(requestPermit(8).State, wire.PermitGranted) // one permit besides that of 6
}
