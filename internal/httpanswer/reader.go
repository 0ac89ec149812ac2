package httpanswer

import (
	"fmt"
	"io"
	"net"
	"syscall"
)

// ErrBrokenOff means that a connection ended in the middle of an answer, or that the end of an
// answer without a length is not known to be its end.
var ErrBrokenOff = fmt.Errorf("the connection ended in the middle of an answer: %w", io.ErrUnexpectedEOF)

// Reader reads answers from a connection.
type Reader struct {
	Checker
	conn net.Conn
}

// NewReader returns a reader of the answers on c.
func NewReader(c net.Conn) *Reader {
	_, hasSocket := rawConn(c)
	return &Reader{conn: c, Checker: Checker{FramedOnly: !hasSocket}}
}

// Read implements io.Reader. It passes on nothing that belongs to no answer, and io.EOF only
// between two answers or at the orderly end of one without a length.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Err(); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(p)
	if n > 0 {
		passed, scanErr := r.Scan(p[:n])
		if scanErr != nil || passed < n {
			return passed, scanErr
		}
	}
	if err == io.EOF {
		err = r.checkEnd()
	}
	return n, err
}

func (r *Reader) checkEnd() error {
	complete, unframed := r.end()
	if complete || unframed && closedInOrder(r.conn) {
		return io.EOF
	}
	return ErrBrokenOff
}

// rawConn returns the socket of a connection. A TLS connection has none: crypto/tls reports the
// end of the TCP connection as the end of the stream.
func rawConn(c net.Conn) (syscall.RawConn, bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := s.SyscallConn()
	return raw, err == nil
}
