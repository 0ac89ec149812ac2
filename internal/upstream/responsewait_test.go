package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/agatestep/agatestep/internal/verdict"
)

var errBodyFailed = errors.New("the source broke off")

// failingBody is a body that yields some bytes and fails once the channel is closed.
type failingBody struct {
	r    io.Reader
	fail <-chan struct{}
}

func newFailingBody(fail <-chan struct{}) *failingBody {
	return &failingBody{strings.NewReader(strings.Repeat("x", 100)), fail}
}

func (b *failingBody) Read(p []byte) (int, error) {
	if n, err := b.r.Read(p); err == nil {
		return n, nil
	}
	<-b.fail
	return 0, errBodyFailed
}

func uploadRequest(address string, body io.Reader, length int64) *Request {
	r := request(address, "a")
	r.Method, r.Body, r.Length = "POST", body, length
	return r
}

// bodyReadingBackend returns the address of a server that reads the whole body before it
// answers.
func bodyReadingBackend(t *testing.T) string {
	return startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		if req, err := readRequest(r); err == nil {
			writeResponse(c, req.Header.Get("Id"), "read")
		}
	})
}

func closedChan() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Guards against a caller that waits until the deadline although its body cannot be sent whole,
// while the server waits for the rest.
func TestBodyErrorEndsRequestAtOnce(t *testing.T) {
	slow := rate.NewLimiter(BodyChunk/10, BodyChunk)
	for name, c := range map[string]struct {
		body   io.Reader
		length int64
		rate   *rate.Limiter
		cause  error
		reason verdict.Reason
	}{
		"breaks off, with a length":    {newFailingBody(closedChan()), 1000, nil, errBodyFailed, verdict.ReasonConnectionLost},
		"breaks off, without a length": {newFailingBody(closedChan()), -1, nil, errBodyFailed, verdict.ReasonConnectionLost},
		"shorter than its length":      {strings.NewReader("short"), 1000, nil, io.ErrUnexpectedEOF, verdict.ReasonConnectionLost},
		"too long for the rate":        {strings.NewReader(strings.Repeat("x", 100<<10)), 100 << 10, slow, nil, verdict.ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newClient()
			client.cfg.BodyRate = c.rate
			began := time.Now()
			_, failure := doAndRead(t, client, uploadRequest(bodyReadingBackend(t), c.body, c.length))
			is.True(failure != nil)
			is.True(time.Since(began) < time.Second)
			is.Equal(failure.Verdict, verdict.MayHaveRun)
			is.Equal(failure.Reason, c.reason)
			is.True(c.cause == nil || errors.Is(failure, c.cause))
		})
	}
}

// A server answers before it has the whole body, which then fails. Guards against a response that
// is complete, or has begun, and is discarded.
func TestStartedResponseSurvivesBodyError(t *testing.T) {
	text := strings.Repeat("answer ", 10_000)
	whole := fmt.Sprintf("HTTP/1.1 413 Content Too Large\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	for name, first := range map[string]int{"within the head": 10, "within the body": 200, "after the end": len(whole)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken := make(chan struct{})
			address := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, whole[:first])
				time.Sleep(50 * time.Millisecond) // the client reads it
				close(broken)
				time.Sleep(50 * time.Millisecond) // the end of the body is noticed
				_, _ = io.WriteString(c, whole[first:])
				_, _ = r.ReadByte()
			})
			got, failure := doAndRead(t, newClient(), uploadRequest(address, newFailingBody(broken), 1000))
			is.True(failure == nil)
			is.Equal(got, text)
		})
	}
}

// delayedReadConn delays reads until some time after the channel is closed.
type delayedReadConn struct {
	*net.TCPConn
	after <-chan struct{}
}

func (c *delayedReadConn) Read(p []byte) (int, error) {
	<-c.after
	time.Sleep(50 * time.Millisecond)
	return c.TCPConn.Read(p)
}

// Guards against discarding a response that has arrived, but was not read, when the body fails.
func TestUnreadResponseSurvivesBodyError(t *testing.T) {
	is := is.New(t)
	broken := make(chan struct{})
	address := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		writeResponse(c, "a", "early")
		time.Sleep(20 * time.Millisecond) // it arrives
		close(broken)
		_, _ = r.ReadByte()
	})
	client := newClient()
	client.dialFunc = func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := client.dialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return &delayedReadConn{raw.(*net.TCPConn), broken}, nil
	}
	got, failure := doAndRead(t, client, uploadRequest(address, newFailingBody(broken), 1000))
	is.True(failure == nil)
	is.Equal(got, "early")
}

// Guards against a wait that goes on because an interim response came before the body failed.
func TestBodyErrorAfterInterimResponseEndsRequest(t *testing.T) {
	is := is.New(t)
	broken := make(chan struct{})
	address := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
		time.Sleep(20 * time.Millisecond) // the client reads it
		close(broken)
		_, _ = io.Copy(io.Discard, r)
	})
	began := time.Now()
	_, failure := doAndRead(t, newClient(), uploadRequest(address, newFailingBody(broken), 1000))
	is.True(failure != nil)
	is.True(errors.Is(failure, errBodyFailed))
	is.True(time.Since(began) < time.Second)
}
