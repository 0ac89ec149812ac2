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

const bound = 20 * time.Second // ends a call that should have ended by itself

// echo starts a server whose method echo returns its text.
func echo(t *testing.T, config *tls.Config, handshake time.Duration) (*Server, string) {
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

// Guards against connections without a handshake, and memory for any claimed size.
func TestBadConnectionsAreClosed(t *testing.T) {
	for config, data := range map[*tls.Config][]byte{{}: nil, nil: binary.AppendUvarint(nil, MaxMessageBytes+1)} {
		_, address := echo(t, config, 10*time.Millisecond)
		conn, err := net.Dial("tcp", address)
		is.New(t).NoErr(err)
		_ = conn.SetDeadline(time.Now().Add(bound))
		_, _ = conn.Write(data)
		_, err = conn.Read(make([]byte, 1))
		is.New(t).Equal(err, io.EOF)
	}
}

// Guards against a client that goes on using a broken connection.
func TestCallAfterBrokenConnection(t *testing.T) {
	is, c := is.New(t), NewClient(timeline.NewClock(time.Now), nil)
	s, address := echo(t, nil, bound)
	for range 3 {
		_, err := call(c, address, "echo", bound)
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

// Guards against calls that wait on a silent peer, one after the other on one connection.
func TestSilentPeer(t *testing.T) {
	is, c := is.New(t), NewClient(timeline.NewClock(time.Now), nil)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close()
	for range 2 {
		_, err := call(c, silent.Addr().String(), "echo", 20*time.Millisecond)
		is.True(errors.Is(err, context.DeadlineExceeded))
		conn, err := silent.Accept() // each call has its own connection
		is.NoErr(err)
		_ = conn.SetReadDeadline(time.Now().Add(bound))
		_, err = io.Copy(io.Discard, conn)
		is.NoErr(err) // the client closed it
	}
}

// Guards against frames that crash the reader or pass as JSON without being it.
func FuzzReadObject(f *testing.F) {
	for _, seed := range []string{"", "\x02{}", "\x02{", "\x04null", "\x05{}", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "\x80\x80\x80\x20"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var got json.RawMessage
		err := lengthCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &got)
		is.New(t).True(err != nil || json.Valid(got))
	})
}

// Guards against a call that runs out of time and takes all others on its way to a
// slow host with it.
func TestTimeoutSparesTheOtherCalls(t *testing.T) {
	is, c := is.New(t), NewClient(timeline.NewClock(time.Now), nil)
	s, address := echo(t, nil, bound)
	entered, release := make(chan struct{}, 2), make(chan struct{})
	s.Register("slow", Handle(func(_ context.Context, text string) (string, error) {
		entered <- struct{}{}
		<-release
		return text, nil
	}))
	first := make(chan error)
	go func() {
		_, err := call(c, address, "slow", bound)
		first <- err
	}()
	<-entered
	go func() { // another call is answered while the next one waits
		<-entered
		_, _ = call(c, address, "echo", bound)
	}()
	_, err := call(c, address, "slow", 2*silentFor)
	is.True(err != nil)
	close(release)
	is.NoErr(<-first)
}

// A crowded link, on which the opening of a connection takes longer than a caller waits.
// Guards against callers that give each opening up and begin anew, so that no connection
// is ever open.
func TestSlowOpeningServesLaterCalls(t *testing.T) {
	is := is.New(t)
	_, address := echo(t, nil, bound)
	c := NewClient(timeline.NewClock(time.Now), nil)
	defer c.Close()
	c.DialTimeout = time.Millisecond
	given := make(chan struct{})
	c.open = func(ctx context.Context, address string) (net.Conn, error) {
		select {
		case <-given: // the first caller has given up
			return openTCP(ctx, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	_, err := call(c, address, "echo", bound)
	is.True(errors.Is(err, ErrNotConnected))
	close(given)
	for !c.Connected(address) {
		time.Sleep(time.Millisecond)
	}
	out, err := call(c, address, "echo", bound)
	is.NoErr(err)
	is.Equal(out, "hello")
}

// Guards against openings without bound to an address that does not answer.
func TestOpeningsToOneAddressAreBounded(t *testing.T) {
	is := is.New(t)
	c := NewClient(timeline.NewClock(time.Now), nil)
	defer c.Close()
	c.DialTimeout = time.Millisecond
	var begun atomic.Int32
	c.open = func(ctx context.Context, _ string) (net.Conn, error) {
		begun.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for range 4 * maxDialing {
		is.True(c.Connect(context.Background(), "127.0.0.1:1") != nil)
	}
	is.True(begun.Load() <= maxDialing)
}

// Uploads crowd a host's own link, and answers take longer than its calls wait. Guards
// against a call that closes the connection of all others, of the session too, and makes
// them cross the crowded link twice more for a new one.
func TestEarlyTimeoutLeavesTheConnectionOpen(t *testing.T) {
	is := is.New(t)
	s, address := echo(t, nil, bound)
	crowded := make(chan struct{})
	s.Register("slow", Handle(func(_ context.Context, text string) (string, error) {
		<-crowded
		return text, nil
	}))
	c := NewClient(timeline.NewClock(time.Now), nil)
	defer c.Close()
	c.Patience = bound
	_, err := call(c, address, "echo", bound)
	is.NoErr(err)
	time.Sleep(2 * silentFor) // nothing was heard lately
	answered := make(chan error, 1)
	go func() {
		_, err := call(c, address, "slow", bound)
		answered <- err
	}()
	_, err = call(c, address, "slow", 10*time.Millisecond)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.True(c.Connected(address))
	close(crowded)
	is.NoErr(<-answered)
}
