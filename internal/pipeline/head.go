package pipeline

import (
	"bufio"
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// lineState is where a scan for the end of a head stands.
type lineState uint8

const (
	inLine       lineState = iota
	atLineStart            // behind "\n"
	atLineReturn           // behind "\n\r"
)

// scanBlankLine returns the number of bytes of p up to the end of the first blank line, and
// whether there is one.
func (s *lineState) scanBlankLine(p []byte) (n int, found bool) {
	for n < len(p) {
		if *s == inLine {
			i := bytes.IndexByte(p[n:], '\n')
			if i < 0 {
				return len(p), false
			}
			n += i + 1
			*s = atLineStart
			continue
		}
		b := p[n]
		n++
		switch {
		case b == '\n':
			*s = atLineStart
			return n, true
		case b == '\r' && *s == atLineStart:
			*s = atLineReturn
		default:
			*s = inLine
		}
	}
	return n, false
}

// headLength returns the length of the head that p begins with, or 0 if p holds no whole head.
func headLength(p []byte) int {
	state := inLine
	if n, found := state.scanBlankLine(p); found {
		return n
	}
	return 0
}

// errNotPlain is the error of a head that is not read ahead. net/http serves or refuses the
// request in its turn.
const errNotPlain = errors.ConstError("not a plain request without a body")

// parseHead parses the head of a request that may be begun ahead. It accepts less than
// net/http does, so that net/http refuses nothing that was begun.
func parseHead(head []byte) (*http.Request, error) {
	if !plainBytes(head) {
		return nil, errNotPlain
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !plainRequest(r) || !validHost(r.Host) {
		return nil, errNotPlain
	}
	for name := range r.Header {
		if !isToken(name) { // ReadRequest accepts a blank before the colon
			return nil, errNotPlain
		}
	}
	return r, nil
}

// plainBytes reports whether a head consists of lines that end with CRLF, without folded lines
// and control characters.
func plainBytes(head []byte) bool {
	for i, b := range head {
		switch {
		case b == '\r':
			if i+1 == len(head) || head[i+1] != '\n' {
				return false
			}
		case b == '\n':
			folded := i+1 < len(head) && (head[i+1] == ' ' || head[i+1] == '\t')
			if i == 0 || head[i-1] != '\r' || folded {
				return false
			}
		case b < ' ' && b != '\t' || b >= 0x7f:
			return false
		}
	}
	return true
}

// plainRequest reports whether further requests may be begun behind r before it is answered.
func plainRequest(r *http.Request) bool {
	plainMethod := r.Method == http.MethodGet || r.Method == http.MethodHead
	if !plainMethod || r.Proto != "HTTP/1.1" || !strings.HasPrefix(r.RequestURI, "/") {
		return false
	}
	length, hasLength := r.Header["Content-Length"]
	if r.ContentLength != 0 || len(r.TransferEncoding) > 0 || hasLength && !slices.Equal(length, []string{"0"}) {
		return false
	}
	for _, name := range []string{"Transfer-Encoding", "Expect", "Upgrade", "Trailer"} {
		if _, ok := r.Header[name]; ok {
			return false
		}
	}
	return true
}

// isToken reports whether a field name is a token as RFC 9110 defines it.
func isToken(name string) bool {
	for _, b := range []byte(name) {
		if !isAlphanumeric(b) && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return name != ""
}

func isAlphanumeric(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
}

// validHost reports whether a host is a name or an address, with or without a port.
func validHost(host string) bool {
	for _, b := range []byte(host) {
		if !isAlphanumeric(b) && !strings.ContainsRune("-._:[]", rune(b)) {
			return false
		}
	}
	return host != ""
}

// sameRequest reports whether two requests have the same head.
func sameRequest(a, b *http.Request) bool {
	return a.Method == b.Method && a.RequestURI == b.RequestURI && a.Host == b.Host && a.Proto == b.Proto &&
		a.ContentLength == b.ContentLength && a.Close == b.Close && maps.EqualFunc(a.Header, b.Header, slices.Equal)
}
