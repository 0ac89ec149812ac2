package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/timeline"
)

const testTimeout = 20 * time.Second // fails a call that should have returned earlier

// startEchoServer starts a server whose method echo returns its parameter.
func startEchoServer(t *testing.T, config *tls.Config, handshake time.Duration) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := NewServer(timeline.NewClock(time.Now))
	s.acceptTimeout = handshake
	s.Register("echo", Handle(func(_ context.Context, text string) (string, error) { return text, nil }))
	go func() { _ = s.Serve(l, config) }()
	t.Cleanup(func() { _ = l.Close(); s.Close() })
	return s, l.Addr().String()
}

func call(c *Client, address, method string, timeout time.Duration) (out string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err = c.Call(ctx, address, method, "hello", &out)
	return out, err
}

// Guards against accepted connections that stay open without a handshake, and against
// allocating memory for any declared length.
func TestInvalidConnectionsAreClosed(t *testing.T) {
	for config, data := range map[*tls.Config][]byte{{}: nil, nil: binary.AppendUvarint(nil, MaxMessageBytes+1)} {
		_, address := startEchoServer(t, config, 10*time.Millisecond)
		conn, err := net.Dial("tcp", address)
		is.New(t).NoErr(err)
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		_, _ = conn.Write(data)
		_, err = conn.Read(make([]byte, 1))
		is.New(t).Equal(err, io.EOF)
	}
}

// Guards against a client that keeps using a broken connection.
func TestCallReconnectsAfterBrokenConnection(t *testing.T) {
	is, c := is.New(t), NewClient(timeline.NewClock(time.Now), nil)
	s, address := startEchoServer(t, nil, testTimeout)
	for range 3 {
		_, err := call(c, address, "echo", testTimeout)
		is.NoErr(err)
		conn := c.conns[address]
		s.mu.Lock()
		for serving := range s.conns {
			_ = serving.Close()
		}
		s.mu.Unlock()
		<-conn.DisconnectNotify()
	}
}

// Guards against successive calls that all wait on the same silent connection.
func TestTimeoutClosesSilentConnection(t *testing.T) {
	is, c := is.New(t), NewClient(timeline.NewClock(time.Now), nil)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close()
	for range 2 {
		_, err := call(c, silent.Addr().String(), "echo", 20*time.Millisecond)
		is.True(errors.Is(err, context.DeadlineExceeded))
		conn, err := silent.Accept() // each call has its own connection
		is.NoErr(err)
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		_, err = io.Copy(io.Discard, conn)
		is.NoErr(err) // the client closed it
	}
}

// Guards against frames that crash the reader or are accepted without being valid JSON.
func FuzzReadObject(f *testing.F) {
	for _, seed := range []string{"", "\x02{}", "\x02{", "\x04null", "\x05{}", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "\x80\x80\x80\x20"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var got json.RawMessage
		err := lengthPrefixCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &got)
		is.New(t).True(err != nil || json.Valid(got))
	})
}

// Guards against a call that times out and closes the connection of all other calls in
// progress to a slow host.
func TestTimeoutKeepsConnectionWithRecentReplies(t *testing.T) {
	is, c := is.New(t), NewClient(timeline.NewClock(time.Now), nil)
	s, address := startEchoServer(t, nil, testTimeout)
	entered, release := make(chan struct{}, 2), make(chan struct{})
	s.Register("slow", Handle(func(_ context.Context, text string) (string, error) {
		entered <- struct{}{}
		<-release
		return text, nil
	}))
	first := make(chan error)
	go func() {
		_, err := call(c, address, "slow", testTimeout)
		first <- err
	}()
	<-entered
	go func() { // another call is answered while the next one waits
		<-entered
		_, _ = call(c, address, "echo", testTimeout)
	}()
	_, err := call(c, address, "slow", 2*silenceThreshold)
	is.True(err != nil)
	close(release)
	is.NoErr(<-first)
}

// On a congested link, a dial takes longer than a caller waits. Guards against callers that
// cancel each dial and start a new one, so that no connection is ever established.
func TestSlowDialServesLaterCalls(t *testing.T) {
	is := is.New(t)
	_, address := startEchoServer(t, nil, testTimeout)
	c := NewClient(timeline.NewClock(time.Now), nil)
	defer c.Close()
	c.DialTimeout = time.Millisecond
	gaveUp := make(chan struct{})
	c.dialer = func(ctx context.Context, address string) (net.Conn, error) {
		select {
		case <-gaveUp: // the first caller has given up
			return dialTCP(ctx, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	_, err := call(c, address, "echo", testTimeout)
	is.True(errors.Is(err, ErrNotConnected))
	close(gaveUp)
	for !c.Connected(address) {
		time.Sleep(time.Millisecond)
	}
	out, err := call(c, address, "echo", testTimeout)
	is.NoErr(err)
	is.Equal(out, "hello")
}

// Guards against an unbounded number of dials to an address that does not answer.
func TestPendingDialsPerAddressAreBounded(t *testing.T) {
	is := is.New(t)
	c := NewClient(timeline.NewClock(time.Now), nil)
	defer c.Close()
	c.DialTimeout = time.Millisecond
	var dials atomic.Int32
	c.dialer = func(ctx context.Context, _ string) (net.Conn, error) {
		dials.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for range 4 * maxPendingDials {
		is.True(c.Connect(context.Background(), "127.0.0.1:1") != nil)
	}
	is.True(dials.Load() <= maxPendingDials)
}

// If uploads congest a host's own link, replies take longer than its calls wait. Guards
// against a call that closes the connection of all others, the session's included, so that
// a new one needs two more round trips over the congested link.
func TestTimeoutWithinMinSilenceKeepsConnection(t *testing.T) {
	is := is.New(t)
	s, address := startEchoServer(t, nil, testTimeout)
	release := make(chan struct{})
	s.Register("slow", Handle(func(_ context.Context, text string) (string, error) {
		<-release
		return text, nil
	}))
	c := NewClient(timeline.NewClock(time.Now), nil)
	defer c.Close()
	c.MinSilence = testTimeout
	_, err := call(c, address, "echo", testTimeout)
	is.NoErr(err)
	time.Sleep(2 * silenceThreshold) // no recent reply
	answered := make(chan error, 1)
	go func() {
		_, err := call(c, address, "slow", testTimeout)
		answered <- err
	}()
	_, err = call(c, address, "slow", 10*time.Millisecond)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.True(c.Connected(address))
	close(release)
	is.NoErr(<-answered)
}
