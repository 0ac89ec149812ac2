package httpanswer

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
)

// MalformedError means that bytes are no answer in the protocol.
type MalformedError struct{ detail string }

// Error implements the error interface.
func (e *MalformedError) Error() string { return "no answer in the protocol: " + e.detail }

func malformed(format string, args ...any) error {
	return &MalformedError{detail: fmt.Sprintf(format, args...)}
}

// maxLineBytes bounds one line of a head or a chunk size. The connections have lower limits
// of their own for a whole head.
const maxLineBytes = 1 << 20

// state is the part of an answer that the next byte belongs to.
type state uint8

const (
	atStatusLine state = iota
	inHeader
	inBody // with a length
	atChunkSize
	inChunk
	atChunkEnd
	inTrailer
	inUnframedBody // ends with the connection
	inTunnel       // after 101 Switching Protocols
)

// Checker follows the answers on one connection. The zero value expects an answer to a GET.
// It is safe for concurrent use.
type Checker struct {
	// FramedOnly refuses answers that end with their connection.
	FramedOnly bool

	mu        sync.Mutex
	state     state
	toHead    bool // the request was a HEAD, whose answer has no body
	head      headFields
	line      []byte // start of a line whose end has not arrived
	remaining int64  // bytes of the body or chunk
	err       error
}

// Begin declares that the next answer is for a request with this method.
func (c *Checker) Begin(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.toHead = method == http.MethodHead
}

// Idle reports whether all answers so far are complete, so that the connection may be used
// for another request.
func (c *Checker) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && c.state == atStatusLine && len(c.line) == 0
}

// Err returns the error after which nothing is passed on, or nil.
func (c *Checker) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Scan returns how many bytes of p may be passed on. The error is set if there are none.
func (c *Checker) Scan(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := 0
	for passed < len(p) && c.err == nil {
		n, err := c.step(p[passed:])
		c.err = err
		passed += n
	}
	if passed > 0 {
		return passed, nil
	}
	return 0, c.err
}

// end returns how the answer stands when the connection ends.
func (c *Checker) end() (complete, unframed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unframed = c.state == inUnframedBody || c.state == inTunnel
	return !unframed && c.state == atStatusLine && len(c.line) == 0, unframed
}

// step consumes bytes of one part of the answer.
func (c *Checker) step(p []byte) (int, error) {
	switch c.state {
	case inUnframedBody, inTunnel:
		return len(p), nil
	case inBody, inChunk:
		return c.skipBody(p), nil
	}
	end := bytes.IndexByte(p, '\n')
	n := end + 1
	if end < 0 {
		n = len(p)
	}
	if len(c.line)+n > maxLineBytes {
		return 0, malformed("a line has over %d bytes", maxLineBytes)
	}
	if end < 0 {
		c.line = append(c.line, p...)
		return n, nil
	}
	line := p[:n]
	if len(c.line) > 0 {
		line = append(c.line, line...)
		c.line = nil
	}
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return 0, malformed("a line ends without a carriage return")
	}
	if err := c.acceptLine(string(line[:len(line)-2])); err != nil {
		return 0, err
	}
	return n, nil
}

func (c *Checker) skipBody(p []byte) int {
	n := min(c.remaining, int64(len(p)))
	c.remaining -= n
	if c.remaining == 0 && c.state == inBody {
		c.state = atStatusLine
	} else if c.remaining == 0 {
		c.state = atChunkEnd
	}
	return int(n)
}

func (c *Checker) acceptLine(line string) (err error) {
	switch c.state {
	case atStatusLine:
		c.head, err = parseStatusLine(line)
		c.state = inHeader
	case inHeader:
		if line == "" {
			return c.endHead()
		}
		err = c.head.addField(line)
	case atChunkSize:
		c.remaining, err = parseChunkSize(line)
		c.state = inChunk
		if c.remaining == 0 {
			c.state = inTrailer
		}
	case atChunkEnd:
		if line != "" {
			err = malformed("a chunk is longer than its size")
		}
		c.state = atChunkSize
	case inTrailer:
		if line == "" {
			c.state = atStatusLine
			return nil
		}
		err = checkTrailer(line)
	}
	return err
}

// endHead selects how the body is delimited (RFC 9112, 6.3).
func (c *Checker) endHead() error {
	h := &c.head
	if err := h.checkFraming(); err != nil {
		return err
	}
	switch {
	case h.status == http.StatusSwitchingProtocols:
		c.state = inTunnel
	case !h.mayHaveBody() || c.toHead:
		c.state = atStatusLine
	case h.chunked:
		c.state = atChunkSize
	case h.length > 0:
		c.state, c.remaining = inBody, h.length
	case h.length == 0:
		c.state = atStatusLine
	case c.FramedOnly:
		return malformed("the body has no length, and the end of the connection cannot be checked")
	default:
		c.state = inUnframedBody
	}
	return nil
}
