package httpanswer

import (
	"net/http"
	"strconv"
	"strings"
)

// noLength marks a head without a Content-Length.
const noLength = -1

// headFields are the parts of a head that delimit the body.
type headFields struct {
	status  int
	http10  bool
	length  int64
	chunked bool
}

// Status codes that an answer may have.
const (
	minStatus = 100
	maxStatus = 599
)

// parseStatusLine reads "HTTP/1.1 200 reason"; the reason and the space before it may be
// missing.
func parseStatusLine(line string) (headFields, error) {
	h := headFields{length: noLength}
	version, rest, _ := strings.Cut(line, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return h, malformed("the version is not HTTP/1.0 or HTTP/1.1")
	}
	h.http10 = version == "HTTP/1.0"
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 || status < minStatus || status > maxStatus {
		return h, malformed("the status is not %d to %d", minStatus, maxStatus)
	}
	if !isText(reason) {
		return h, malformed("a control byte in the status line")
	}
	h.status = int(status)
	return h, nil
}

// parseField splits a line of a head or a trailer.
func parseField(line string) (name, value string, err error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return "", "", malformed("the name of a field is no token") // a fold begins with a blank
	}
	value = strings.Trim(value, " \t")
	if !isText(value) {
		return "", "", malformed("a control byte in field %s", name)
	}
	return name, value, nil
}

func (h *headFields) addField(line string) error {
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		if h.length != noLength {
			return malformed("two lengths")
		}
		h.length, err = parseLength(value)
	case strings.EqualFold(name, "Transfer-Encoding"):
		if h.chunked || !strings.EqualFold(value, "chunked") {
			return malformed("a transfer encoding other than chunked")
		}
		h.chunked = true
	}
	return err
}

func parseLength(value string) (int64, error) {
	n, err := strconv.ParseUint(value, 10, 63) // accepts digits only
	if err != nil {
		return 0, malformed("the length is no number")
	}
	return int64(n), nil
}

// checkFraming refuses heads with more than one framing.
func (h *headFields) checkFraming() error {
	switch {
	case h.chunked && h.length != noLength:
		return malformed("a length beside a transfer encoding")
	case h.chunked && h.http10:
		return malformed("a transfer encoding in HTTP/1.0")
	case (h.status < http.StatusOK || h.status == http.StatusNoContent) && (h.chunked || h.length > 0):
		return malformed("a body with status %d", h.status)
	}
	return nil
}

// mayHaveBody reports whether the answer has a body unless the request was a HEAD.
func (h *headFields) mayHaveBody() bool {
	return h.status >= http.StatusOK && h.status != http.StatusNoContent && h.status != http.StatusNotModified
}

// maxChunkDigits keeps the size of a chunk within an int64.
const maxChunkDigits = 15

// parseChunkSize reads a chunk size; extensions after a semicolon are ignored.
func parseChunkSize(line string) (int64, error) {
	digits, extension, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(digits, 16, 63) // accepts digits only
	if err != nil || len(digits) > maxChunkDigits || !isText(extension) {
		return 0, malformed("the size of a chunk is no hexadecimal number")
	}
	return int64(n), nil
}

func checkTrailer(line string) error {
	name, _, err := parseField(line)
	if err != nil {
		return err
	}
	if strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding") {
		return malformed("field %s in a trailer", name)
	}
	return nil
}

// isToken reports whether s is a token (RFC 9110, 5.6.2).
func isToken(s string) bool {
	for _, b := range []byte(s) {
		alphanumeric := '0' <= b && b <= '9' || 'a' <= b|0x20 && b|0x20 <= 'z'
		if !alphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return s != ""
}

// isText reports whether s has no control bytes other than tabs.
func isText(s string) bool {
	for _, b := range []byte(s) {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}
