package gateway

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/agatestep/agatestep/internal/heldbytes"
	"github.com/agatestep/agatestep/internal/hostlink"
	"github.com/agatestep/agatestep/internal/upstream"
)

// bodyReadSize is the number of bytes of a body that are read at once.
const bodyReadSize = upstream.BodyChunk

// maxReadAhead is how many bytes of a body are read before an attempt sends it. Small bodies are
// read whole, because net/http notices a disconnect only behind the body; uploads are not, because
// they take the host's link from other requests.
const maxReadAhead = 16 << 10

// maxBufferedBodies bounds the bytes that all bodies of a host buffer together. Beyond it, bodies
// are read only as fast as attempts send them.
const maxBufferedBodies = 32 << 20

var bodyReadBuffers = sync.Pool{New: func() any { b := make([]byte, bodyReadSize); return &b }}

// replayBody is the body of a caller's request, buffered so that several attempts can send it.
// It is read as it arrives, even before the request can be sent: net/http notices that the
// caller has disconnected only once the body was read. It can be sent again as long as all
// that was read is still buffered. Readers of abandoned attempts may still be reading.
type replayBody struct {
	source    io.Reader
	startOnce sync.Once
	started   atomic.Bool // set once reading the source has begun
	limit     int         // largest number of buffered bytes
	// readRate limits the bytes of bodies that are read per second; nil means no limit.
	readRate *rate.Limiter
	// transfer takes the place of readRate on a host that paces bodies; else it is nil.
	transfer *hostlink.Transfer
	// totalBuffered counts the bytes that all bodies of the host buffer; nil means no common
	// bound.
	totalBuffered *atomic.Int64

	// held accounts for the buffered bytes, with the time from now; it may be nil.
	held *heldbytes.Holder
	now  func() time.Time
	// reserved is what held has reserved beyond the buffer; guarded by mu.
	reserved int64

	// closeCtx is cancelled by close.
	closeCtx context.Context
	cancel   context.CancelFunc

	mu      sync.Mutex
	changed *sync.Cond
	// buffered holds the bytes from offset start to offset end.
	buffered     chunkBuffer
	start, end   int64
	latestReader *attemptReader // of the attempt that began last
	err          error          // that ended the source, or io.EOF
	closed       bool
}

// newReplayBody returns a body that buffers up to limit bytes of source.
func newReplayBody(source io.Reader, limit int) *replayBody {
	b := &replayBody{source: source, limit: limit}
	b.changed = sync.NewCond(&b.mu)
	b.closeCtx, b.cancel = context.WithCancel(context.Background())
	return b
}

// startReading starts a goroutine that reads the source until it ends or close is called. It
// pauses while the buffer is full of bytes that no attempt has read.
func (b *replayBody) startReading() {
	b.startOnce.Do(func() {
		b.started.Store(true)
		go func() {
			chunk := bodyReadBuffers.Get().(*[]byte)
			defer bodyReadBuffers.Put(chunk)
			for {
				n, err := b.source.Read(*chunk)
				if !b.appendRead((*chunk)[:n], err) {
					b.transfer.Account(n)
					return
				}
				if b.waitForRate(n) != nil {
					return
				}
			}
		}()
	})
}

// waitForRate waits until the rate limit allows to read on after n bytes.
func (b *replayBody) waitForRate(n int) error {
	if b.transfer != nil {
		return b.transfer.Wait(b.closeCtx, n)
	}
	if b.readRate == nil || n == 0 {
		return nil
	}
	return b.readRate.WaitN(b.closeCtx, n)
}

// appendRead buffers what was read from the source and reports whether to read on.
func (b *replayBody) appendRead(p []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.exceedsLimit(len(p)) && !b.closed && (b.latestReader == nil || b.latestReader.offset < b.end) {
		b.changed.Wait()
	}
	if b.closed {
		return false
	}
	if b.exceedsLimit(len(p)) {
		b.discardBuffered()
	}
	b.appendBuffered(p)
	b.err = err
	b.changed.Broadcast()
	return err == nil
}

// progress returns the number of bytes read from the source, and whether it ended.
func (b *replayBody) progress() (read int64, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end, b.err == io.EOF
}

// exceedsLimit reports whether n more bytes are too many to buffer. The caller holds b.mu, as
// for appendBuffered and discardBuffered.
func (b *replayBody) exceedsLimit(n int) bool {
	limit := b.limit
	if b.latestReader == nil {
		limit = min(limit, maxReadAhead)
	}
	return b.buffered.length > 0 && (b.buffered.length+n > limit || b.totalBuffered != nil && b.totalBuffered.Load()+int64(n) > maxBufferedBodies || !b.reserveHeld(n))
}

func (b *replayBody) appendBuffered(p []byte) {
	b.held.Count(int64(b.buffered.growth(len(p))) - b.reserved)
	b.reserved = 0
	b.buffered.write(p)
	b.end += int64(len(p))
	b.addToTotal(len(p))
}

// discardBuffered empties the buffer.
func (b *replayBody) discardBuffered() {
	b.addToTotal(-b.buffered.length)
	before := b.buffered.capacity
	if b.buffered.reset(); b.closed {
		b.buffered.free()
	}
	b.held.Release(int64(before-b.buffered.capacity) + b.reserved)
	b.start, b.reserved = b.end, 0
}

// reserveHeld reports whether n more bytes may be held. The account counts the capacity of the
// buffer; what is reserved for one call of appendBuffered is kept. The caller holds b.mu.
func (b *replayBody) reserveHeld(n int) bool {
	more := int64(b.buffered.growth(n)) - b.reserved
	if b.held == nil || more <= 0 {
		return true
	}
	if !b.held.Reserve(b.now(), more) {
		return false
	}
	b.reserved += more
	return true
}

func (b *replayBody) addToTotal(n int) {
	if b.totalBuffered != nil {
		b.totalBuffered.Add(int64(n))
	}
}

// close ends all reading once the request is over. It may be called on nil.
func (b *replayBody) close() {
	if b == nil {
		return
	}
	b.transfer.End()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.cancel()
	b.discardBuffered()
	b.changed.Broadcast()
}

// replayable reports whether the body can be sent from its start.
func (b *replayBody) replayable() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.start == 0
}

// reader returns a reader for one attempt that begins at the start of the body.
func (b *replayBody) reader() io.Reader {
	b.startReading()
	a := &attemptReader{body: b}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.latestReader = a
	b.changed.Broadcast()
	return a
}

// attemptReader reads the body for one attempt.
type attemptReader struct {
	body   *replayBody
	offset int64
}

// Read implements io.Reader.
func (a *attemptReader) Read(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case a.offset < b.start:
			return 0, io.ErrUnexpectedEOF // the next bytes were discarded while a newer attempt read on
		case a.offset < b.end:
			n := b.buffered.readAt(p, int(a.offset-b.start))
			a.offset += int64(n)
			if b.held != nil {
				b.held.Progress(b.now())
			}
			b.changed.Broadcast()
			return n, nil
		case b.err != nil:
			return 0, b.err
		case b.closed:
			return 0, io.ErrUnexpectedEOF
		}
		b.changed.Wait()
	}
}
