package daemon

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/gateway"
	"github.com/agatestep/agatestep/internal/verdict"
)

// writeHook runs a function before the next bytes are written to a caller.
type writeHook struct {
	net.Listener
	mu    sync.Mutex
	write func()
}

func (l *writeHook) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write = f
}

func (l *writeHook) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &writeHookConn{c, l}, nil
}

type writeHookConn struct {
	net.Conn
	l *writeHook
}

func (c *writeHookConn) Write(p []byte) (int, error) {
	c.l.mu.Lock()
	write := c.l.write
	c.l.write = nil
	c.l.mu.Unlock()
	if write != nil {
		write()
	}
	return c.Conn.Write(p)
}

// forcedStop is a host whose graceful stop is ended early by a second signal.
type forcedStop struct {
	*stopHost
	is             *is.I
	hook           *writeHook
	clock          *pausingClock
	conn           net.Conn
	responses      *bufio.Reader
	forceStop      context.Context
	cancel         context.CancelFunc
	once           sync.Once
	secondSignalAt time.Time
}

func newForcedStop(t *testing.T, stop time.Duration) *forcedStop {
	s := &forcedStop{is: is.New(t), hook: &writeHook{}, clock: &pausingClock{}}
	s.stopHost = newStopHost(t, stop, func(inner net.Listener) net.Listener { s.hook.Listener = inner; return s.hook },
		func(c *gateway.Config) { c.Clock = s.clock })
	done := make(chan struct{})
	s.addBackend("vault", neverAnswer(done))
	t.Cleanup(func() { close(done) }) // before the cleanup of the backend server, which waits for its requests
	s.conn, s.responses = s.keepAliveConn()
	s.forceStop, s.cancel = context.WithCancel(context.Background())
	return s
}

// startForcedStop starts the stop, which ends early with the second signal.
func (s *forcedStop) startForcedStop() {
	go func() {
		defer close(s.ended)
		_ = s.host.shutdown(s.forceStop, s.callerServer)
	}()
}

func (s *forcedStop) sendSecondSignal() {
	s.once.Do(func() {
		s.secondSignalAt = time.Now()
		s.cancel()
	})
}

func (s *forcedStop) sendRequest() { fmt.Fprint(s.conn, rawPostRequest("/scan/")) }

// awaitInFlight waits until the request was sent to the backend server.
func (s *forcedStop) awaitInFlight() {
	for s.host.gateway.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
}

// maxForcedStopTime bounds a stop after the second signal; the whole stop takes seconds.
const maxForcedStopTime = time.Second

// A second signal arrives while a request waits for its server. Guards, for each phase of a stop,
// against a request that gets no response, and against a stop that continues.
func TestForcedStopAnswersRequestsInEachPhase(t *testing.T) {
	const long = 6 * time.Second
	for name, c := range map[string]struct {
		stop time.Duration
		run  func(*forcedStop)
	}{
		"before the stop": {long, func(s *forcedStop) {
			s.sendRequest()
			s.awaitInFlight()
			s.sendSecondSignal()
			s.startForcedStop()
		}},
		"while requests are admitted": {long, func(s *forcedStop) {
			s.startForcedStop()
			s.sendRequest()
			s.awaitInFlight()
			s.sendSecondSignal()
		}},
		"while requests are refused": {long, func(s *forcedStop) {
			s.startForcedStop()
			s.sendRequest()
			time.Sleep(admissionTime(long) + 100*time.Millisecond)
			s.sendSecondSignal()
		}},
		"after idle connections were closed": {long, func(s *forcedStop) {
			closing := s.idleCloseStarted()
			s.clock.until.Store(&closing)
			s.startForcedStop()
			time.Sleep(balancerNoticeTime - quietPeriod/2)
			s.sendRequest() // it starts after the stop has found that nothing is in flight
			<-closing
			s.awaitInFlight()
			s.sendSecondSignal()
		}},
		"while requests are answered": {stopTime, func(s *forcedStop) {
			s.startForcedStop()
			s.hook.set(func() {
				s.sendSecondSignal()
				time.Sleep(50 * time.Millisecond)
			})
			s.sendRequest()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newForcedStop(t, c.stop)
			c.run(s)
			resp, err := http.ReadResponse(s.responses, nil)
			s.is.NoErr(err) // the connection was closed without a response
			s.is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
			s.is.Equal(resp.Header.Get(verdict.Header), verdict.MayHaveRun.String())
			<-s.ended
			s.is.True(!s.secondSignalAt.IsZero())
			s.is.True(time.Since(s.secondSignalAt) < maxForcedStopTime)
		})
	}
}

// Guards against a forced stop that waits for a caller that has sent only half a request.
func TestForcedStopDoesNotWaitForCallers(t *testing.T) {
	s := newForcedStop(t, 6*time.Second)
	s.startForcedStop()
	fmt.Fprint(s.conn, "GET /half HTTP/1.1\r\n")
	time.Sleep(50 * time.Millisecond)
	s.sendSecondSignal()
	<-s.ended
	s.is.True(time.Since(s.secondSignalAt) < maxForcedStopTime)
}
