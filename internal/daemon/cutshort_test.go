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
	return &writeHooked{c, l}, nil
}

type writeHooked struct {
	net.Conn
	l *writeHook
}

func (c *writeHooked) Write(p []byte) (int, error) {
	c.l.mu.Lock()
	write := c.l.write
	c.l.write = nil
	c.l.mu.Unlock()
	if write != nil {
		write()
	}
	return c.Conn.Write(p)
}

// cutStop is a stop that a second signal cuts short.
type cutStop struct {
	*stopWorld
	is      *is.I
	hook    *writeHook
	clock   *pausingClock
	conn    net.Conn
	answers *bufio.Reader
	hard    context.Context
	cancel  context.CancelFunc
	once    sync.Once
	killed  time.Time
}

func newCutStop(t *testing.T, stop time.Duration) *cutStop {
	s := &cutStop{is: is.New(t), hook: &writeHook{}, clock: &pausingClock{}}
	s.stopWorld = newStopWorld(t, stop, func(inner net.Listener) net.Listener { s.hook.Listener = inner; return s.hook },
		func(c *gateway.Config) { c.Clock = s.clock })
	done := make(chan struct{})
	s.backend("vault", hang(done))
	t.Cleanup(func() { close(done) }) // before the backend's, which waits for its requests
	s.conn, s.answers = s.kept()
	s.hard, s.cancel = context.WithCancel(context.Background())
	return s
}

// begin begins the stop.
func (s *cutStop) begin() {
	go func() {
		defer close(s.ended)
		_ = s.host.shutdown(s.hard, s.traffic)
	}()
}

func (s *cutStop) kill() {
	s.once.Do(func() {
		s.killed = time.Now()
		s.cancel()
	})
}

func (s *cutStop) send() { fmt.Fprint(s.conn, order("/scan/")) }

// awaitWork waits until the request was passed on.
func (s *cutStop) awaitWork() {
	for s.host.gateway.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
}

// earlyEnd is what a second signal promises here; the whole stop takes seconds.
const earlyEnd = time.Second

// A second signal comes while a request waits for its server. Guards, for each phase of a stop,
// against a request that ends without an answer, and against a stop that goes on.
func TestSecondSignalInEachPhaseAnswersRequests(t *testing.T) {
	const long = 6 * time.Second
	for name, c := range map[string]struct {
		stop time.Duration
		run  func(*cutStop)
	}{
		"before the stop": {long, func(s *cutStop) {
			s.send()
			s.awaitWork()
			s.kill()
			s.begin()
		}},
		"while requests are taken": {long, func(s *cutStop) {
			s.begin()
			s.send()
			s.awaitWork()
			s.kill()
		}},
		"while requests are refused": {long, func(s *cutStop) {
			s.begin()
			s.send()
			time.Sleep(takingFor(long) + 100*time.Millisecond)
			s.kill()
		}},
		"after idle connections were ended": {long, func(s *cutStop) {
			closing := s.closing()
			s.clock.until.Store(&closing)
			s.begin()
			time.Sleep(unreadyFor - quietFor/2)
			s.send() // its work begins once the stop has found that nothing is in flight
			<-closing
			s.awaitWork()
			s.kill()
		}},
		"while requests are answered": {stopTime, func(s *cutStop) {
			s.begin()
			s.hook.set(func() {
				s.kill()
				time.Sleep(50 * time.Millisecond)
			})
			s.send()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCutStop(t, c.stop)
			c.run(s)
			resp, err := http.ReadResponse(s.answers, nil)
			s.is.NoErr(err) // the connection ended without an answer
			s.is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
			s.is.Equal(resp.Header.Get(verdict.Header), verdict.MayHaveRun.String())
			<-s.ended
			s.is.True(!s.killed.IsZero())
			s.is.True(time.Since(s.killed) < earlyEnd)
		})
	}
}

// Guards against a stop that is not cut short because a caller sends half a request only.
func TestSecondSignalDoesNotWaitForCallers(t *testing.T) {
	s := newCutStop(t, 6*time.Second)
	s.begin()
	fmt.Fprint(s.conn, "GET /half HTTP/1.1\r\n")
	time.Sleep(50 * time.Millisecond)
	s.kill()
	<-s.ended
	s.is.True(time.Since(s.killed) < earlyEnd)
}
