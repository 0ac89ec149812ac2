package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/verdict"
)

// floodingBackend starts a server that writes start and then repeats more until the other side
// closes. The number of bytes written is sent to the channel.
func floodingBackend(t *testing.T, start, more string) (address string, written <-chan int) {
	total := make(chan int, 1)
	block := []byte(strings.Repeat(more, 1+4096/len(more)))
	address = startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		if _, err := readRequest(r); err != nil {
			return
		}
		n, err := io.WriteString(c, start)
		for err == nil {
			var m int
			m, err = c.Write(block)
			n += m
		}
		total <- n
	})
	return address, total
}

// maxEndlessRead bounds the bytes that a client reads before a response, including what the
// kernel buffers on both sides.
const maxEndlessRead = 16 << 20

// A faulty server sends bytes that are no response to the request until the client closes.
// Guards against a host that buffers all of them, or reads until the deadline, which leaves no
// time for another attempt.
func TestEndlessInputBeforeResponseIsBounded(t *testing.T) {
	stray := func(framing string) string { return "HTTP/1.1 200 OK\r\nId: other\r\n" + framing + "\r\n\r\n" }
	for name, c := range map[string]struct{ start, more string }{
		"a status line":                   {"HTTP/1.1 200 ", "x"},
		"no line at all":                  {"", "\x00\xff"},
		"empty lines":                     {"", "\r\n"},
		"a header":                        {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"headers":                         {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses":               {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"responses to others":             {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		"a chunked response to another":   {stray("Transfer-Encoding: chunked"), "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
		"a long response to another":      {stray("Content-Length: 1000000000000"), "x"},
		"an unframed response to another": {stray("A: b"), "x"},
		"a response without an id":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, written := floodingBackend(t, c.start, c.more)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, failure := newClient().Do(ctx, request(address, "a"))
			is.True(failure != nil)
			is.Equal(failure.Verdict, verdict.MayHaveRun)
			is.NoErr(ctx.Err()) // given up before the deadline
			is.True(<-written < maxEndlessRead)
		})
	}
}

// Guards against an endless response that is read after its request has ended.
func TestEndlessResponseBodyEndsWithRequest(t *testing.T) {
	is := is.New(t)
	address, written := floodingBackend(t, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n")
	ctx, cancel := context.WithCancel(context.Background())
	resp, failure := newClient().Do(ctx, request(address, "a"))
	is.True(failure == nil)
	_, err := io.CopyN(io.Discard, resp.Body, 1<<20)
	is.NoErr(err)
	cancel()
	_, err = io.Copy(io.Discard, resp.Body)
	is.True(err != nil) // it must not look complete
	<-written
	is.NoErr(resp.Body.Close())
}

// maxLiveHeads bounds the memory that the heads of all responses in flight may hold.
const maxLiveHeads = 48 << 20

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A faulty server answers many requests at once with heads of countless short fields and then
// falls silent. Guards against a host that holds all of them, each in some twenty times its
// size, until it runs out of memory, and the requests of all other callers end with it.
func TestHeadsInFlightHoldBoundedMemory(t *testing.T) {
	is := is.New(t)
	address := startBackend(t, func(_ int, r *bufio.Reader, c net.Conn) {
		if _, err := readRequest(r); err != nil {
			return
		}
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for i := 0; err == nil && i < 90_000; i++ {
			_, err = fmt.Fprintf(c, "H%07x:\r\n", i)
		}
		_, _ = io.Copy(io.Discard, r) // until the client closes
	})
	before := liveHeap()
	client, ctx := newClient(), context.Background()
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	var requests sync.WaitGroup
	for i := range 64 {
		requests.Go(func() {
			_, failure := client.Do(ctx, request(address, strconv.Itoa(i)))
			if failure == nil || failure.Reason != verdict.ReasonForeignAnswer {
				t.Errorf("failure %v", failure)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		requests.Wait()
		close(done)
	}()
	for {
		if held := liveHeap(); held > before+maxLiveHeads {
			cancel()
			<-done
			t.Fatalf("%d MiB are held", (held-before)>>20)
		}
		select {
		case <-done:
			is.NoErr(ctx.Err())
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
