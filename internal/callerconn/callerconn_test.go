package callerconn

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// served is a request whose handler has begun, and its caller.
type served struct {
	is      *is.I
	caller  net.Conn
	request *http.Request
}

// serve begins to serve a request with unread bytes behind its head.
func serve(t *testing.T, behind string) *served {
	s := &served{is: is.New(t)}
	requests, ended := make(chan *http.Request), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests <- r
		<-ended
	}))
	server.Config.ConnContext = Context
	server.Start()
	t.Cleanup(func() { close(ended); server.Close() })
	var err error
	s.caller, err = net.Dial("tcp", server.Listener.Addr().String())
	s.is.NoErr(err)
	t.Cleanup(func() { s.caller.Close() })
	fmt.Fprintf(s.caller, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n%s", behind)
	s.request = <-requests
	return s
}

// soon is when the end of a connection has come over the loopback interface.
const soon = 5 * time.Second

// Guards against a caller that is taken for present because bytes stand before the end of its
// connection, and against one that is taken for gone because it is silent.
func TestCallerThatClosedItsConnectionHasLeft(t *testing.T) {
	for _, behind := range []string{"", "0123456789", "0123456789GET / HTTP/1.1\r\n"} {
		s := serve(t, behind)
		s.is.True(!Left(s.request.Context()))
		s.is.NoErr(s.caller.Close())
		for end := time.Now().Add(soon); !Left(s.request.Context()); time.Sleep(time.Millisecond) {
			s.is.True(time.Now().Before(end)) // the caller is taken for present
		}
	}
}
