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

var errBroken = errors.New("the source broke off")

// breaking is a body that yields some bytes and fails once the channel is closed.
type breaking struct {
	r   io.Reader
	now <-chan struct{}
}

func newBreaking(now <-chan struct{}) *breaking {
	return &breaking{strings.NewReader(strings.Repeat("x", 100)), now}
}

func (b *breaking) Read(p []byte) (int, error) {
	if n, err := b.r.Read(p); err == nil {
		return n, nil
	}
	<-b.now
	return 0, errBroken
}

func upload(address string, body io.Reader, length int64) *Request {
	r := request(address, "a")
	r.Method, r.Body, r.Length = "POST", body, length
	return r
}

// swallow is a server that waits for the whole body.
func swallow(t *testing.T) string {
	return backend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		if req, err := readRequest(r); err == nil {
			answer(c, req.Header.Get("Id"), "read")
		}
	})
}

func closed() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Guards against a caller that waits for the whole time of its request although its body cannot
// be sent whole, so that the server waits for the rest.
func TestBodyThatFailsEndsItsRequestAtOnce(t *testing.T) {
	slow := rate.NewLimiter(BodyChunk/10, BodyChunk)
	for name, c := range map[string]struct {
		body   io.Reader
		length int64
		rate   *rate.Limiter
		cause  error
		reason verdict.Reason
	}{
		"breaks off, with a length":    {newBreaking(closed()), 1000, nil, errBroken, verdict.ReasonConnectionLost},
		"breaks off, without a length": {newBreaking(closed()), -1, nil, errBroken, verdict.ReasonConnectionLost},
		"shorter than its length":      {strings.NewReader("short"), 1000, nil, io.ErrUnexpectedEOF, verdict.ReasonConnectionLost},
		"too long for the rate":        {strings.NewReader(strings.Repeat("x", 100<<10)), 100 << 10, slow, nil, verdict.ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newClient()
			client.cfg.BodyRate = c.rate
			began := time.Now()
			_, failure := get(t, client, upload(swallow(t), c.body, c.length))
			is.True(failure != nil)
			is.True(time.Since(began) < time.Second)
			is.Equal(failure.Verdict, verdict.MayHaveRun)
			is.Equal(failure.Reason, c.reason)
			is.True(c.cause == nil || errors.Is(failure, c.cause))
		})
	}
}

// A server answers before it has the whole body, which then breaks off. Guards against an answer
// that is there, or has begun, and is thrown away.
func TestAnswerThatHasBegunOutlastsItsBody(t *testing.T) {
	text := strings.Repeat("answer ", 10_000)
	whole := fmt.Sprintf("HTTP/1.1 413 Content Too Large\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	for name, first := range map[string]int{"within the head": 10, "within the body": 200, "after the end": len(whole)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken := make(chan struct{})
			address := backend(t, func(_ int, r *bufio.Reader, c net.Conn) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, whole[:first])
				time.Sleep(50 * time.Millisecond) // it is read
				close(broken)
				time.Sleep(50 * time.Millisecond) // the end of the body is noticed
				_, _ = io.WriteString(c, whole[first:])
				_, _ = r.ReadByte()
			})
			got, failure := get(t, newClient(), upload(address, newBreaking(broken), 1000))
			is.True(failure == nil)
			is.Equal(got, text)
		})
	}
}

// lateReader reads once the channel is closed, and some time later.
type lateReader struct {
	*net.TCPConn
	after <-chan struct{}
}

func (c *lateReader) Read(p []byte) (int, error) {
	<-c.after
	time.Sleep(50 * time.Millisecond)
	return c.TCPConn.Read(p)
}

// Guards against an answer that has arrived, but was not read, when the body breaks off.
func TestAnswerThatIsThereOutlastsItsBody(t *testing.T) {
	is := is.New(t)
	broken := make(chan struct{})
	address := backend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		answer(c, "a", "early")
		time.Sleep(20 * time.Millisecond) // it arrives
		close(broken)
		_, _ = r.ReadByte()
	})
	client := newClient()
	client.dialer = func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := client.dialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return &lateReader{raw.(*net.TCPConn), broken}, nil
	}
	got, failure := get(t, client, upload(address, newBreaking(broken), 1000))
	is.True(failure == nil)
	is.Equal(got, "early")
}

// Guards against a wait that goes on because an interim answer came before the body broke off.
func TestBodyThatFailsAfterAnInterimAnswerEndsItsRequest(t *testing.T) {
	is := is.New(t)
	broken := make(chan struct{})
	address := backend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
		time.Sleep(20 * time.Millisecond) // it is read
		close(broken)
		_, _ = io.Copy(io.Discard, r)
	})
	began := time.Now()
	_, failure := get(t, newClient(), upload(address, newBreaking(broken), 1000))
	is.True(failure != nil)
	is.True(errors.Is(failure, errBroken))
	is.True(time.Since(began) < time.Second)
}
