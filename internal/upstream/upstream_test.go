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
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/verdict"
)

// startBackend starts a server that handles each connection with serve, which gets the number of
// the connection, and returns its address.
func startBackend(t *testing.T, serve func(n int, r *bufio.Reader, c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, bufio.NewReader(c), c)
			}()
		}
	}()
	return l.Addr().String()
}

// healthyBackend returns the address of a server that answers each request with a text.
func healthyBackend(t *testing.T, text string) string {
	return startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			writeResponse(c, req.Header.Get("Id"), text)
		}
	})
}

// refusingAddress returns an address that refuses connections. Its socket is bound, so
// that no other test gets the port.
func refusingAddress(t *testing.T) string {
	is := is.New(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	is.NoErr(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(fd)
	is.NoErr(err)
	return fmt.Sprint("127.0.0.1:", bound.(*unix.SockaddrInet4).Port)
}

func newClient() *Client {
	return New(Config{IDHeader: "Id", DialTimeout: time.Second, UserTimeout: time.Second, ProbeIdle: time.Minute, MaxIdle: time.Minute, Clock: clock.Real{}})
}

func request(address, id string) *Request {
	return &Request{ID: id, Address: address, Method: "GET", URI: "/x", Host: "h", Header: http.Header{"Id": {id}}}
}

func readRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	return req, err
}

func writeResponse(c io.Writer, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func doAndRead(t *testing.T, c *Client, req *Request) (string, *verdict.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, failure := c.Do(ctx, req)
	if failure != nil {
		return "", failure
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	is.New(t).NoErr(err)
	return string(data), nil
}

// Guards against a response to another request that reaches a caller: a duplicate or late
// response arrives where the next one is expected.
func TestForeignResponsesAreSkipped(t *testing.T) {
	is := is.New(t)
	address := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			writeResponse(c, "stray", "another caller's")
			writeResponse(c, req.Header.Get("Id"), "own "+req.Header.Get("Id"))
		}
	})
	client := newClient()
	for _, id := range []string{"a", "b"} {
		got, failure := doAndRead(t, client, request(address, id))
		is.True(failure == nil)
		is.Equal(got, "own "+id)
	}
	expectOpened(t, client, 2) // a connection with a foreign response is not kept
}

// Guards against the reuse of a connection with unread bytes that belong to no request, and
// of one that the server has closed.
func TestUnusableIdleConnectionsAreDropped(t *testing.T) {
	for name, after := range map[string]func(net.Conn){
		"extra bytes": func(c net.Conn) { writeResponse(c, "b", "of nobody") },
		"closed":      func(c net.Conn) { _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			acted := make(chan struct{})
			address := startBackend(t, func(n int, r *bufio.Reader, c net.Conn) {
				req, err := readRequest(r)
				if err != nil {
					return
				}
				writeResponse(c, req.Header.Get("Id"), fmt.Sprint("from connection ", n))
				if n == 0 {
					after(c)
					close(acted)
					_, _ = r.ReadByte()
				}
			})
			client := newClient()
			_, failure := doAndRead(t, client, request(address, "a"))
			is.True(failure == nil)
			<-acted
			// The server's action takes a moment to cross the loopback interface, so the check
			// is repeated until it arrives.
			p := client.pool(address)
			for c := p.take(time.Now(), time.Minute, ""); c != nil; c = p.take(time.Now(), time.Minute, "") {
				c.release(time.Now(), time.Minute)
			}
			got, failure := doAndRead(t, client, request(address, "b"))
			is.True(failure == nil)
			is.Equal(got, "from connection 1")
		})
	}
}

// Guards against more connections to one server than this host's share, which the
// server would reset, and against idle connections that use up the share.
func TestOpenConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	address := startBackend(t, func(n int, r *bufio.Reader, c net.Conn) {
		req, err := readRequest(r)
		if err == nil {
			writeResponse(c, req.Header.Get("Id"), fmt.Sprint(n))
			_, _ = r.ReadByte()
		}
	})
	client := newClient()
	send := func(id string, newConnection bool) (*Response, *verdict.Error) {
		req := request(address, id)
		req.NewConnection, req.MaxConnections = newConnection, 2
		return client.Do(context.Background(), req)
	}
	first, failure := send("a", false)
	is.True(failure == nil)
	second, failure := send("b", false)
	is.True(failure == nil)
	_, failure = send("c", false)
	is.True(failure != nil)
	is.Equal(failure.Verdict, verdict.NotRun)
	is.Equal(failure.Reason, verdict.ReasonOverloaded) // not "connect-failed": the server is not down
	for _, resp := range []*Response{first, second} {
		_, err := io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	third, failure := send("d", true) // replaces an idle one
	is.True(failure == nil)
	is.NoErr(third.Body.Close())
}

// Guards against a wrong verdict: a request that was written may have run, one that
// was not has not.
func TestFailureVerdicts(t *testing.T) {
	broken := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) { _, _ = readRequest(r) })
	garbled := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "no answer at all\r\n\r\n")
	})
	foreign := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		_, _ = readRequest(r)
		for range maxForeign + 1 {
			writeResponse(c, "stray", "x")
		}
	})
	for name, c := range map[string]struct {
		address string
		want    verdict.Verdict
		reason  verdict.Reason
	}{
		"no listener":                {refusingAddress(t), verdict.NotRun, verdict.ReasonConnect},
		"closed without a response":  {broken, verdict.MayHaveRun, verdict.ReasonConnectionLost},
		"bytes that are no response": {garbled, verdict.MayHaveRun, verdict.ReasonConnectionLost},
		"foreign responses":          {foreign, verdict.MayHaveRun, verdict.ReasonForeignAnswer},
	} {
		_, failure := doAndRead(t, newClient(), request(c.address, "a"))
		if failure == nil || failure.Verdict != c.want || failure.Reason != c.reason {
			t.Errorf("%s: %v", name, failure)
		}
	}
}

// blockedBody is a body that blocks until stop is closed.
type blockedBody struct{ stop chan struct{} }

func (b blockedBody) Read([]byte) (int, error) {
	<-b.stop
	return 0, errors.New("stopped")
}

// Guards against the reuse of a connection after an early response: the server would read
// the next request where it expects the rest of the body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	is := is.New(t)
	body := blockedBody{make(chan struct{})}
	defer close(body.stop)
	address := startBackend(t, func(n int, r *bufio.Reader, c net.Conn) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		writeResponse(c, req.Header.Get("Id"), fmt.Sprint("from connection ", n))
		_, _ = r.ReadByte()
	})
	client := newClient()
	early := request(address, "a")
	early.Method, early.Body, early.Length = "POST", body, 1000
	_, failure := doAndRead(t, client, early)
	is.True(failure == nil)
	got, failure := doAndRead(t, client, request(address, "b"))
	is.True(failure == nil)
	is.Equal(got, "from connection 1")
}

// Guards against bodies that are changed in transit, with a length and in chunks.
func TestBodiesArriveUnchanged(t *testing.T) {
	is := is.New(t)
	address := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			data, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			writeResponse(c, req.Header.Get("Id"), fmt.Sprint(req.ContentLength, " ", string(data)))
		}
	})
	client := newClient()
	text := strings.Repeat("wheelset ", 10_000)
	for _, length := range []int64{int64(len(text)), -1} {
		req := request(address, "a")
		req.Method, req.Body, req.Length = "POST", strings.NewReader(text), length
		got, failure := doAndRead(t, client, req)
		is.True(failure == nil)
		is.Equal(got, fmt.Sprint(length, " ", text))
	}
	expectOpened(t, client, 1)
}

// expectOpened expects that n connections were opened. It waits for the count, which rises only
// after the connection was handed to its request.
func expectOpened(t *testing.T, c *Client, n int64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); c.Opened.Load() < n && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.New(t).Equal(c.Opened.Load(), n)
}

// Guards against a backend server that goes on working for a caller that is gone.
func TestCancellationClosesConnection(t *testing.T) {
	is := is.New(t)
	read, gone := make(chan struct{}), make(chan struct{})
	address := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		_, _ = readRequest(r)
		close(read)
		_, _ = r.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-read
		cancel()
	}()
	_, failure := newClient().Do(ctx, request(address, "a"))
	is.Equal(failure.Reason, verdict.ReasonCancelled)
	is.Equal(failure.Verdict, verdict.MayHaveRun)
	<-gone
}

// A request is still in the send queue of a slow link when its caller disconnects. Guards
// against bytes that arrive, and a request that runs, long after that.
func TestCancellationDropsUnsentData(t *testing.T) {
	is := is.New(t)
	begun, cancelled, ended := make(chan struct{}), make(chan struct{}), make(chan error)
	address := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		_, err := r.ReadString('\n')
		close(begun)
		<-cancelled
		if err == nil {
			_, err = io.Copy(io.Discard, r)
		}
		ended <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	req := request(address, "a")
	req.Method, req.Body, req.Length = "POST", strings.NewReader(strings.Repeat("scan ", 10_000)), 50_000
	_, failure := newClient().Do(ctx, req)
	is.Equal(failure.Reason, verdict.ReasonCancelled)
	close(cancelled)
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}

// Guards against uploads that fill a slow link, so that small messages of the same host wait
// for hundreds of milliseconds.
func TestBodyRateIsLimited(t *testing.T) {
	is := is.New(t)
	address := healthyBackend(t, "read")
	client := newClient()
	const perSecond, size = 100 << 10, 20 << 10
	client.cfg.BodyRate = rate.NewLimiter(perSecond, BodyChunk)
	began := time.Now()
	for range 2 {
		req := request(address, "a")
		req.Method, req.Body, req.Length = "POST", strings.NewReader(strings.Repeat("x", size)), size
		got, failure := doAndRead(t, client, req)
		is.True(failure == nil)
		is.Equal(got, "read")
	}
	least := time.Duration(float64(2*size-BodyChunk) / perSecond * float64(time.Second))
	is.True(time.Since(began) >= least)
}

// On a congested link, opening a connection takes longer than a request may wait. Guards
// against requests that each start a new dial, so that none gets a connection.
func TestSlowDialServesNextRequest(t *testing.T) {
	is := is.New(t)
	address := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		if req, err := readRequest(r); err == nil {
			writeResponse(c, req.Header.Get("Id"), "hello")
		}
	})
	client := newClient()
	client.cfg.DialTimeout = time.Millisecond
	gaveUp := make(chan struct{})
	client.dialFunc = func(ctx context.Context, address string) (net.Conn, error) {
		select {
		case <-gaveUp: // the first request has given up
			return client.dialTCP(ctx, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	_, failure := doAndRead(t, client, request(address, "a"))
	is.True(failure != nil)
	is.Equal(failure.Verdict, verdict.NotRun)
	is.Equal(failure.Reason, verdict.ReasonConnect)
	close(gaveUp)
	for client.Opened.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	client.dialFunc = func(context.Context, string) (net.Conn, error) { return nil, errors.New("not needed") }
	got, failure := doAndRead(t, client, request(address, "b"))
	is.True(failure == nil)
	is.Equal(got, "hello")
	is.Equal(client.Reused.Load(), int64(1))
}

// A host whose own link is congested. Guards against timeouts that stay as short as on a free
// link, which would take the own link for the loss of healthy servers, and against timeouts
// that stay long once the link is free.
func TestTimeoutsFollowDialTimes(t *testing.T) {
	is := is.New(t)
	c := New(Config{DialTimeout: 250 * time.Millisecond, MaxDialTimeout: time.Second,
		UserTimeout: 700 * time.Millisecond, MaxUserTimeout: 1500 * time.Millisecond, Clock: clock.Real{}})
	is.Equal(c.currentDialTimeout(), 250*time.Millisecond)
	for range 40 {
		c.recordDialTime(3 * time.Millisecond)
	}
	is.Equal(c.currentDialTimeout(), 250*time.Millisecond)
	is.Equal(c.userTimeout(), 700*time.Millisecond)
	for i := range 20 {
		c.recordDialTime(time.Duration(300+20*i) * time.Millisecond)
	}
	is.True(c.currentDialTimeout() > 680*time.Millisecond && c.currentDialTimeout() <= time.Second)
	is.True(c.userTimeout() > 680*time.Millisecond && c.userTimeout() <= 1500*time.Millisecond)
	for range 40 {
		c.recordDialTime(3 * time.Millisecond)
	}
	is.Equal(c.currentDialTimeout(), 250*time.Millisecond)
}

// A request waits for its permit while its connection opens. Guards against a second
// connection for it, and against a prepared connection that is lost when the request is
// refused a permit.
func TestPreparedConnectionServesOneRequest(t *testing.T) {
	is := is.New(t)
	address := healthyBackend(t, "hello")
	client := newClient()
	req := request(address, "a")
	req.Pending = client.PrepareConn(address, 1)
	is.True(req.Pending != nil)
	is.True(client.PrepareConn(address, 0) == nil) // one is being opened, however many requests wait
	got, failure := doAndRead(t, client, req)
	is.True(failure == nil)
	is.Equal(got, "hello")
	is.True(client.PrepareConn(address, 0) == nil) // the connection is idle now
	cn := client.pool(address).take(time.Now(), time.Minute, "")
	is.True(cn != nil)
	cn.discard()

	refused := client.PrepareConn(address, 1)
	refused.Abandon()
	for client.Opened.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	_, failure = doAndRead(t, client, request(address, "b"))
	is.True(failure == nil)
	is.Equal(client.Opened.Load(), int64(2))
	is.Equal(client.Reused.Load(), int64(1))
}

// A server at its connection limit accepts one and closes it at once. Guards against a healthy
// server that is taken for unreachable, so that all callers of its keys are refused.
func TestServerClosingNewConnectionsCountsAsOverloaded(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address := startBackend(t, func(_ int, _ *bufio.Reader, c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		closed <- struct{}{}
	})
	client := newClient()
	req := request(address, "a")
	req.Pending = client.PrepareConn(address, 0)
	<-closed
	_, failure := doAndRead(t, client, req)
	is.True(failure != nil)
	is.Equal(failure.Verdict, verdict.NotRun)
	is.Equal(failure.Reason, verdict.ReasonOverloaded)
}
