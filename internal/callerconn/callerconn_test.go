package callerconn

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// servedRequest is a request whose handler has begun, and the connection of its caller.
type servedRequest struct {
	is      *is.I
	caller  net.Conn
	request *http.Request
}

// startRequest sends a request with unread bytes behind its head and waits until its handler
// has begun.
func startRequest(t *testing.T, unread string, secured bool) *servedRequest {
	s := &servedRequest{is: is.New(t)}
	requests, ended := make(chan *http.Request), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests <- r
		<-ended
	}))
	server.Config.ConnContext = WithConn
	server.Listener = LimitListener(server.Listener, 1)
	var err error
	if secured {
		server.StartTLS()
		config := server.Client().Transport.(*http.Transport).TLSClientConfig
		s.caller, err = tls.Dial("tcp", server.Listener.Addr().String(), config)
	} else {
		server.Start()
		s.caller, err = net.Dial("tcp", server.Listener.Addr().String())
	}
	t.Cleanup(func() { close(ended); server.Close() })
	s.is.NoErr(err)
	t.Cleanup(func() { s.caller.Close() })
	fmt.Fprintf(s.caller, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n%s", unread)
	s.request = <-requests
	return s
}

// maxDetectionTime is the time within which a disconnect over the loopback interface must be
// detected.
const maxDetectionTime = 5 * time.Second

// Guards against a disconnected caller that counts as connected because unread bytes precede the
// end of its connection, and against a silent caller that counts as disconnected.
func TestDisconnectIsDetectedBehindUnreadBytes(t *testing.T) {
	for _, unread := range []string{"", "0123456789", "0123456789GET / HTTP/1.1\r\n"} {
		for _, secured := range []bool{false, true} {
			s := startRequest(t, unread, secured)
			ctx, cancel := Watch(s.request.Context())
			defer cancel()
			time.Sleep(2 * pollInterval)
			s.is.NoErr(ctx.Err())
			s.is.True(!Disconnected(ctx))
			s.is.NoErr(s.caller.Close())
			select {
			case <-ctx.Done():
			case <-time.After(maxDetectionTime):
				s.is.Fail() // the disconnect was not detected
			}
			s.is.True(Disconnected(ctx))
		}
	}
}

// Guards against more open connections than the limit, against slots that are never released or
// released twice, and against a listener that cannot be closed while all slots are taken.
func TestLimitBoundsOpenConnections(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := LimitListener(inner, 1)
	accepted, failed := make(chan net.Conn, 2), make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				failed <- err
				return
			}
			accepted <- c
		}
	}()
	for range 3 {
		c, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		defer c.Close()
	}
	for range 2 {
		first := <-accepted
		time.Sleep(20 * time.Millisecond)
		is.Equal(len(accepted), 0)
		is.NoErr(first.Close())
		is.True(first.Close() != nil)
	}
	defer (<-accepted).Close()
	is.NoErr(l.Close())
	is.Equal(<-failed, net.ErrClosed)
}

// Guards against a log that shows no bytes where a close would lose some.
func TestQueuedBytes(t *testing.T) {
	s := startRequest(t, "12345", false)
	raw, ok := s.request.Context().Value(connKey{}).(syscall.RawConn)
	s.is.True(ok)
	_, err := io.WriteString(s.caller, "1234567890")
	s.is.NoErr(err)
	for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(time.Millisecond) {
		if unread, unsent, ok := QueuedBytes(raw); ok && unread >= 10 && unsent == 0 {
			return
		}
	}
	t.Error("the unread bytes are not seen")
}
