package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/agatestep/agatestep/internal/wire"
)

// Guards against bytes that are lost, doubled or kept without bound when a body is larger
// than what is kept, and against attempts that begin in the middle of it.
func TestBodiesPassThroughWhatIsKept(t *testing.T) {
	for _, size := range []int{0, 1, 99, 100, 101, 250, 1000} {
		for _, chunk := range []int{1, 7, 100, 300} {
			is := is.New(t)
			content := bytes.Repeat([]byte("0123456789"), 100)[:size]
			b := newReplayBody(iotest.OneByteReader(bytes.NewReader(content)), 100)
			first, err := io.ReadAll(&chunked{b.reader(), chunk})
			is.NoErr(err)
			is.True(bytes.Equal(first, content))
			is.True(len(b.kept) <= 100)
			is.Equal(b.replayable(), size <= 100)
			second, err := io.ReadAll(b.reader())
			if size <= 100 {
				is.NoErr(err)
				is.True(bytes.Equal(second, content))
			} else {
				is.Equal(err, io.ErrUnexpectedEOF)
			}
		}
	}
}

// chunked reads a few bytes at a time.
type chunked struct {
	io.Reader
	size int
}

// Read implements io.Reader.
func (c *chunked) Read(p []byte) (int, error) { return c.Reader.Read(p[:min(len(p), c.size)]) }

// Many callers send large bodies that wait for a permit. Guards against a host that runs out of
// memory because each of them is read ahead, and against a count that does not fall again.
func TestBodiesOfAllCallsKeepToACommonBound(t *testing.T) {
	is := is.New(t)
	var shared atomic.Int64
	var bodies []*replayBody
	for range 100 {
		b := newReplayBody(bytes.NewReader(make([]byte, maxKept)), maxKept)
		b.shared = &shared
		b.fill()
		bodies = append(bodies, b)
	}
	for range 3 { // the others are kept up, but one that is sent is read on
		n, err := io.Copy(io.Discard, bodies[99].reader())
		if bodies[99].replayable() {
			is.NoErr(err)
			is.Equal(n, int64(maxKept))
		}
	}
	is.True(shared.Load() <= maxShared+100*fillBytes)
	for _, b := range bodies {
		b.close()
	}
	is.Equal(shared.Load(), int64(0))
}

// counting counts the bytes that are read of a body.
type counting struct {
	io.Reader
	read atomic.Int64
}

// Read implements io.Reader.
func (c *counting) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// More uploads than a host's link carries. Guards against uploads that nobody sends yet and that fill
// the link towards the host, so that orders and lookups are late, and against bodies that are
// read faster than the host may send them.
func TestUploadsLeaveTheLinkToSmallRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const perSecond, upload, uploads = 300 << 10, 60 << 10, 40
		limit := rate.NewLimiter(perSecond, fillBytes)
		var sources []*counting
		var bodies []*replayBody
		total := func() (n int64) {
			for _, s := range sources {
				n += s.read.Load()
			}
			return n
		}
		for range uploads {
			source := &counting{Reader: bytes.NewReader(make([]byte, upload))}
			b := newReplayBody(source, maxKept)
			b.rate = limit
			b.fill()
			sources, bodies = append(sources, source), append(bodies, b)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		is.True(total() <= uploads*(maxWaiting+fillBytes)) // none is sent
		waiting := total()
		for _, b := range bodies {
			go func() { _, _ = io.Copy(io.Discard, b.reader()) }() // ends with the body
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(total()-waiting <= perSecond+(uploads+1)*fillBytes)
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(total(), int64(uploads*upload))
		for _, b := range bodies {
			b.close()
		}
	})
}

// Guards against readers that wait for ever once the request is over.
func TestEndOfARequestEndsItsReaders(t *testing.T) {
	is := is.New(t)
	never, _ := io.Pipe()
	b := newReplayBody(never, 100)
	ended := make(chan error)
	go func() {
		_, err := b.reader().Read(make([]byte, 10))
		ended <- err
	}()
	b.close()
	is.Equal(<-ended, io.ErrUnexpectedEOF)
}

// Guards against a body that is asked for before the request is let in, although its caller
// wants to be refused without sending it.
func TestBodyThatIsOfferedIsNotAskedForBeforeItIsNeeded(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.backend("desk", "b1", hello)
	w.own("b1", 5)
	asked, admitted := make(chan struct{}), make(chan struct{})
	w.asked = sync.OnceFunc(func() {
		close(asked)
		<-admitted
	})
	caller, err := net.Dial("tcp", w.server.Listener.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	_, err = fmt.Fprintf(caller, "POST /book/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r1\r\n%s: abc\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
		wire.HeaderRequestID, wire.HeaderHash)
	is.NoErr(err)
	<-asked
	is.NoErr(caller.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = caller.Read(make([]byte, 1))
	is.True(err != nil && strings.Contains(err.Error(), "timeout"))
	is.NoErr(caller.SetReadDeadline(time.Now().Add(5 * time.Second)))
	close(admitted)
	in := bufio.NewReader(caller)
	line, err := in.ReadString('\n')
	is.NoErr(err)
	is.True(strings.HasPrefix(line, "HTTP/1.1 100 "))
	_, err = in.ReadString('\n')
	is.NoErr(err)
	fmt.Fprint(caller, "end")
	resp, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// A request is refused whose caller waits to be asked for the body. Guards against a host that
// waits for a body which the caller does not send after the answer.
func TestRefusalDoesNotWaitForABodyThatIsNotSent(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	w.permit = wire.PermitReply{State: wire.PermitRefused}
	w.backend("desk", "b1", hello)
	w.own("b1", 5)
	caller := w.caller(is)
	defer caller.leave(false)
	fmt.Fprintf(caller.conn, "POST /book/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: r1\r\n%s: abc\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
		wire.HeaderRequestID, wire.HeaderHash)
	began := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(caller.conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	w.settled(is)
	is.True(time.Since(began) < callerStall)
}
