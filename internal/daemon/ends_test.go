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
	"github.com/agatestep/agatestep/internal/coldgate"
	"github.com/agatestep/agatestep/internal/wire"
)

// A request begins to arrive while the one before it on its connection is still served, and the
// stop ends idle connections meanwhile. Guards against a request of which a byte was read and
// that is dropped, because the end of the one before makes the connection count as idle.
func TestRequestThatBeganBehindAnotherIsServedAsTheStopEnds(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	serving, served := make(chan struct{}, 2), make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, ConnState: noteIdle,
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { serving <- struct{}{}; <-served })}
	listener := newCallerListener(inner, 10, func() (time.Duration, time.Duration) { return time.Second, time.Second }, nil)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	c, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer c.Close()
	answers := bufio.NewReader(c)
	fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
	<-serving
	fmt.Fprint(c, "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	time.Sleep(50 * time.Millisecond) // its first byte was read
	listener.endIdle()
	close(served)
	for range 2 {
		resp, err := http.ReadResponse(answers, nil)
		is.NoErr(err) // the connection ended without an answer
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
}

// A second signal ends a stop at once. Guards against requests that end without any answer then,
// although the host knows what became of them.
func TestRequestsAreAnsweredWhenAStopIsCutShort(t *testing.T) {
	is, w := is.New(t), newStopWorld(t, 6*time.Second, nil)
	done := make(chan struct{})
	defer close(done)
	w.backend("vault", hang(done))
	conn, answers := w.kept()
	hard, kill := context.WithCancel(context.Background())
	go func() { _ = w.host.shutdown(hard, w.traffic) }()
	time.Sleep(100 * time.Millisecond)
	fmt.Fprint(conn, order("/scan/"))
	time.Sleep(100 * time.Millisecond)
	kill()
	resp, err := http.ReadResponse(answers, nil)
	is.NoErr(err) // the connection ended without an answer
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
}

// An ask for a permit is taken back while it is still on its way, on a connection that is replaced.
// Guards against a place at the server that is held for a request that is over.
func TestAskThatComesAfterItWasTakenBackHoldsNoPlace(t *testing.T) {
	is, w := is.New(t), newPermitDesk(clock.Real{})
	ask := func(id uint64) wire.PermitReply {
		return w.ask(context.Background(), permitKey("desk", "b1", 1), 1, coldgate.Rate{}, wire.PermitAsk{Service: "desk", Backend: "b1", Born: 1, ID: id,
			TargetMs: 1000, LeftMs: 2000, ServiceMs: 100, PollMs: 10})
	}
	ask(6)
	w.done(permitKey("desk", "b1", 1), wire.PermitDone{Service: "desk", Backend: "b1", Born: 1, ID: 7}) // overtakes the ask
	ask(7)
	is.Equal(ask(8).State, wire.PermitGranted) // one place beside that of 6
}
