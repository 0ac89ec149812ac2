package upstream

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// Limits of what a backend server may send before the body of its response. A parsed head
// takes up to twenty times the memory of its bytes, so they apply to the bytes as they arrive.
const (
	// maxHeadBytes and maxHeadLines bound the head of one response.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
	// maxLargeHeadBytes bounds the heads of all responses in flight together. The first
	// smallHeadBytes of each do not count, so that a faulty server does not impair others.
	maxLargeHeadBytes = 8 << 20
	smallHeadBytes    = 4 << 10
	// maxInputBytes bounds all input of a request before the body of its response: interim
	// responses, heads, and the bodies of responses to other requests.
	maxInputBytes = 1 << 20
)

// errTooMuchData means that a server sent more than the limits allow.
var errTooMuchData = errors.New("the server sent too many bytes that are no answer")

// noLimit removes the bound on the input before a body.
const noLimit = -1

// responseInput reads from a connection and fails with errTooMuchData once a limit is
// exceeded. It is not safe for concurrent use.
type responseInput struct {
	r         io.Reader
	remaining int // bytes before the body, or noLimit
	inHead    bool
	head      headSize
	// largeHeads counts the bytes of the large heads of all connections, and counted what
	// this connection has added to it.
	largeHeads *atomic.Int64
	counted    int
	exceeded   bool
}

// headSize is the size of the part of a head that has arrived.
type headSize struct {
	bytes, lines int
	lineBytes    int  // of the last line, which is incomplete
	lineIsCR     bool // the last line is a single carriage return so far
}

// beginHead starts the head of the next response, whose first bytes were read already.
func (in *responseInput) beginHead(buffered []byte) error {
	in.inHead, in.head = true, headSize{}
	return in.scan(buffered)
}

// release removes the head of a request that has ended from the count of all connections.
func (in *responseInput) release() {
	in.largeHeads.Add(int64(-in.counted))
	in.counted, in.inHead, in.exceeded = 0, false, false
}

// Read implements io.Reader.
func (in *responseInput) Read(p []byte) (int, error) {
	if in.exceeded || in.remaining == 0 {
		return 0, in.fail()
	}
	if in.remaining != noLimit {
		p = p[:min(len(p), in.remaining)]
	}
	n, err := in.r.Read(p)
	if in.remaining != noLimit {
		in.remaining -= n
	}
	if scanErr := in.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

func (in *responseInput) fail() error {
	in.exceeded = true
	return errTooMuchData
}

// scan counts the bytes of the head in p.
func (in *responseInput) scan(p []byte) error {
	if !in.inHead {
		return nil
	}
	in.inHead = !in.head.add(p)
	in.countLargeHead()
	if in.head.bytes > maxHeadBytes || in.head.lines > maxHeadLines || in.largeHeads.Load() > maxLargeHeadBytes && in.counted > 0 {
		return in.fail()
	}
	return nil
}

// countLargeHead adds what the head has beyond smallHeadBytes to the count of all connections.
func (in *responseInput) countLargeHead() {
	if large := in.head.bytes - smallHeadBytes; large > in.counted {
		in.largeHeads.Add(int64(large - in.counted))
		in.counted = large
	}
}

// add adds the next bytes of the input and reports whether the head ends in them. It ends with
// an empty line.
func (h *headSize) add(p []byte) (complete bool) {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.bytes += len(p)
			h.addToLine(p)
			return false
		}
		h.addToLine(p[:end])
		h.bytes, h.lines = h.bytes+end+1, h.lines+1
		if h.lineBytes == 0 || h.lineIsCR {
			return true
		}
		h.lineBytes, h.lineIsCR = 0, false
		p = p[end+1:]
	}
	return false
}

func (h *headSize) addToLine(p []byte) {
	h.lineIsCR = h.lineBytes == 0 && len(p) == 1 && p[0] == '\r' || len(p) == 0 && h.lineIsCR
	h.lineBytes += len(p)
}
