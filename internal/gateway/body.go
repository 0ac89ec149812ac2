package gateway

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/agatestep/agatestep/internal/upstream"
)

// fillBytes is how much of a body is read at once.
const fillBytes = upstream.BodyChunk

// maxWaiting is how much is read of a body that no attempt sends yet, in bytes: whole orders, whose
// callers' ends stand behind them, but not uploads, which take the host's link from others.
const maxWaiting = 16 << 10

// maxShared bounds what all bodies of a host keep together, in bytes. Beyond it, bodies are read
// as fast as attempts send them.
const maxShared = 32 << 20

var fillBuffers = sync.Pool{New: func() any { b := make([]byte, fillBytes); return &b }}

// replayBody is the body of a caller's request. It is read as it arrives, whether the request
// can be sent yet or not: the end of the caller's connection stands behind the body, and
// net/http hears it only once the body was read. What was read may be sent again as long
// as all of it was kept. Readers of abandoned attempts may still be reading.
type replayBody struct {
	source io.Reader
	begin  sync.Once
	begun  atomic.Bool // set once the source is read
	limit  int         // bytes that are kept at most
	// rate bounds the bytes of bodies that are read in a second; nil means no bound.
	rate *rate.Limiter
	// shared counts what all bodies of the host keep; nil means no common bound.
	shared *atomic.Int64

	// over ends with close.
	over context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	changed *sync.Cond
	// kept are the bytes from offset start to offset end.
	kept       []byte
	start, end int64
	newest     *attemptBody // of the attempt that began last
	err        error        // that ended the source, or io.EOF
	closed     bool
}

// newReplayBody keeps up to limit bytes.
func newReplayBody(source io.Reader, limit int) *replayBody {
	b := &replayBody{source: source, limit: limit}
	b.changed = sync.NewCond(&b.mu)
	b.over, b.stop = context.WithCancel(context.Background())
	return b
}

// fill begins to read the source. It reads on until the source ends, close is called, or
// limit bytes wait for the attempts.
func (b *replayBody) fill() {
	b.begin.Do(func() {
		b.begun.Store(true)
		go func() {
			part := fillBuffers.Get().(*[]byte)
			defer fillBuffers.Put(part)
			for {
				n, err := b.source.Read(*part)
				if !b.add((*part)[:n], err) || b.pause(n) != nil {
					return
				}
			}
		}()
	})
}

// pause waits until the rate allows to read on after n bytes.
func (b *replayBody) pause(n int) error {
	if b.rate == nil || n == 0 {
		return nil
	}
	return b.rate.WaitN(b.over, n)
}

// add takes what was read from the source and reports whether to read on.
func (b *replayBody) add(p []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.full(len(p)) && !b.closed && (b.newest == nil || b.newest.at < b.end) {
		b.changed.Wait()
	}
	if b.closed {
		return false
	}
	if b.full(len(p)) {
		b.drop()
	}
	b.keep(p)
	b.err = err
	b.changed.Broadcast()
	return err == nil
}

// progress returns how much was read from the source, and whether that is all.
func (b *replayBody) progress() (read int64, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end, b.err == io.EOF
}

// full reports whether n more bytes are too many to keep. The caller holds b.mu, as for keep
// and drop.
func (b *replayBody) full(n int) bool {
	limit := b.limit
	if b.newest == nil {
		limit = min(limit, maxWaiting)
	}
	return len(b.kept) > 0 && (len(b.kept)+n > limit || b.shared != nil && b.shared.Load()+int64(n) > maxShared)
}

func (b *replayBody) keep(p []byte) {
	b.kept = append(b.kept, p...)
	b.end += int64(len(p))
	b.count(len(p))
}

// drop forgets what is kept.
func (b *replayBody) drop() {
	b.count(-len(b.kept))
	b.start, b.kept = b.end, b.kept[:0]
}

func (b *replayBody) count(n int) {
	if b.shared != nil {
		b.shared.Add(int64(n))
	}
}

// close ends all reading; the request is over. It may be called on nil.
func (b *replayBody) close() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.stop()
	b.drop()
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

// reader returns the body from its start for one attempt.
func (b *replayBody) reader() io.Reader {
	b.fill()
	a := &attemptBody{body: b}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.newest = a
	b.changed.Broadcast()
	return a
}

// attemptBody reads the body for one attempt.
type attemptBody struct {
	body *replayBody
	at   int64
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case a.at < b.start:
			return 0, io.ErrUnexpectedEOF // a newer attempt read what this one lacks
		case a.at < b.end:
			n := copy(p, b.kept[a.at-b.start:])
			a.at += int64(n)
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
