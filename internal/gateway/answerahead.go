package gateway

import (
	"io"
	"sync"
	"time"

	"github.com/agatestep/agatestep/internal/heldbytes"
)

// segmentBytes is the number of bytes of a response that are accounted for at once.
const segmentBytes = 16 << 10

// smallSegmentBytes is the number of bytes of a response that are read without being accounted
// for, once the caller has taken all before, if the account is full: each response goes on.
const smallSegmentBytes = 2 << 10

// heldRetryInterval is how often a response that does not fit into the account of held bytes
// tries again: nothing signals that another holder has become stalled.
const heldRetryInterval = 100 * time.Millisecond

// segment is a part of a response; its first n bytes were read.
type segment struct {
	bytes   []byte
	n       int
	counted bool // in the account
}

var segments = sync.Pool{New: func() any { return &segment{bytes: make([]byte, segmentBytes), counted: true} }}

// answerAhead reads a response as it arrives while its caller takes it more slowly: a backend
// server may cut off a response that is left unread.
type answerAhead struct {
	source    io.Reader
	interrupt func() // ends a read of the source
	account   *heldbytes.Account
	holder    *heldbytes.Holder
	now       func() time.Time
	taken     chan struct{} // has an element after the caller has taken a segment
	stopped   chan struct{} // closed when the caller takes no more
	done      chan struct{} // closed when nothing reads the response any more

	mu      sync.Mutex
	changed *sync.Cond
	read    []*segment // not taken yet; the last one may still grow
	err     error      // that ended the response, or io.EOF
}

// copyAnswer writes the body of a response to the caller. With an account of held bytes, it is
// read as it arrives.
func (g *Gateway) copyAnswer(out *responseWriter, c *call, resp *bufferedResponse) error {
	if g.cfg.Held == nil {
		_, err := io.Copy(out, resp.Body)
		return err
	}
	a := newAnswerAhead(resp.Body, resp.Interrupt, g.cfg.Held, c.held.answer, g.cfg.Clock.Now)
	return a.copyTo(out)
}

func newAnswerAhead(source io.Reader, interrupt func(), account *heldbytes.Account, holder *heldbytes.Holder, now func() time.Time) *answerAhead {
	a := &answerAhead{source: source, interrupt: interrupt, account: account, holder: holder, now: now,
		taken: make(chan struct{}, 1), stopped: make(chan struct{}), done: make(chan struct{})}
	a.changed = sync.NewCond(&a.mu)
	return a
}

// copyTo copies the source to the caller. It returns once nothing reads the source any more.
func (a *answerAhead) copyTo(out io.Writer) error {
	go a.fill()
	err := a.writeTo(out)
	if err != nil {
		a.interrupt()
	}
	close(a.stopped)
	<-a.done
	a.discard()
	return err
}

// fill reads the response to its end.
func (a *answerAhead) fill() {
	defer close(a.done)
	for {
		s := a.newSegment()
		if s == nil || a.fillSegment(s) != nil {
			return
		}
	}
}

// newSegment waits until another segment may be held. It returns nil if the caller takes no
// more.
func (a *answerAhead) newSegment() *segment {
	for {
		changed := a.account.Changed()
		if a.holder.Reserve(a.now(), segmentBytes) {
			s := segments.Get().(*segment)
			s.n = 0
			return s
		}
		if a.allTaken() {
			return &segment{bytes: make([]byte, smallSegmentBytes)}
		}
		timer := time.NewTimer(heldRetryInterval)
		select {
		case <-changed:
		case <-a.taken:
		case <-timer.C:
		case <-a.stopped:
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

func (a *answerAhead) allTaken() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.read) == 0
}

// fillSegment reads one segment and returns the error that ended the response.
func (a *answerAhead) fillSegment(s *segment) error {
	added := false
	for filled := 0; filled < len(s.bytes); {
		n, err := a.source.Read(s.bytes[filled:])
		filled += n
		a.mu.Lock()
		s.n, a.err = filled, err
		if !added {
			a.read, added = append(a.read, s), true
		}
		a.changed.Signal()
		a.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// writeTo writes the response until its end, and returns an error if it was not written whole.
func (a *answerAhead) writeTo(out io.Writer) error {
	for offset := 0; ; {
		p, err := a.next(offset)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		n, err := out.Write(p)
		if err != nil {
			return err
		}
		a.holder.Progress(a.now())
		if offset += n; offset == a.firstSize() {
			offset = 0
			a.drop()
		}
	}
}

// next waits for bytes behind the first offset bytes of the first segment.
func (a *answerAhead) next(offset int) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if len(a.read) > 0 && a.read[0].n > offset {
			return a.read[0].bytes[offset:a.read[0].n], nil
		}
		if a.err != nil {
			return nil, a.err
		}
		a.changed.Wait()
	}
}

// firstSize returns the size of the first segment.
func (a *answerAhead) firstSize() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.read[0].bytes)
}

// drop releases the first segment.
func (a *answerAhead) drop() {
	a.mu.Lock()
	s := a.read[0]
	a.read = a.read[1:]
	a.mu.Unlock()
	if s.counted {
		segments.Put(s)
		a.holder.Release(segmentBytes)
	}
	select {
	case a.taken <- struct{}{}:
	default:
	}
}

// discard releases what was not taken. Nothing reads the response any more.
func (a *answerAhead) discard() {
	for len(a.read) > 0 {
		a.drop()
	}
}
