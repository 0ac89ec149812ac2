package gateway

import (
	"io"
	"sync"
	"sync/atomic"
)

// replayBody is the body of a caller's request, which is sent while it arrives and
// may be sent again as long as all of it was kept. Readers of abandoned attempts
// may still be reading.
type replayBody struct {
	mu     sync.Mutex
	source io.Reader
	kept   []byte
	limit  int
	err    error
	// dropped is set once the start of the body is kept no more.
	dropped atomic.Bool
	offset  int64 // bytes read from source
}

// newReplayBody keeps up to limit bytes.
func newReplayBody(source io.Reader, limit int) *replayBody {
	return &replayBody{source: source, limit: limit}
}

// replayable reports whether the body can be sent from its start.
func (b *replayBody) replayable() bool {
	if b == nil {
		return true
	}
	return !b.dropped.Load()
}

// reader returns the body from its start for one attempt.
func (b *replayBody) reader() io.Reader { return &attemptBody{body: b} }

// attemptBody reads the body for one attempt.
type attemptBody struct {
	body *replayBody
	at   int64
}

// Read implements io.Reader. It holds the lock while it waits for the caller, so
// that bytes reach the body once whichever attempt reads them.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.at < b.offset {
		if b.dropped.Load() {
			return 0, io.ErrUnexpectedEOF // a newer attempt read what this one lacks
		}
		n := copy(p, b.kept[a.at:])
		a.at += int64(n)
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.err = err
	b.offset += int64(n)
	a.at += int64(n)
	if !b.dropped.Load() {
		if len(b.kept)+n > b.limit {
			b.dropped.Store(true)
			b.kept = nil
		} else {
			b.kept = append(b.kept, p[:n]...)
		}
	}
	return n, err
}
