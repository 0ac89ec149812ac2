package upstream

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

func newInput(text string, largeHeads *atomic.Int64) *responseInput {
	return &responseInput{r: strings.NewReader(text), remaining: noLimit, largeHeads: largeHeads}
}

// Guards against a head that is too large and accepted, a proper one that is refused, and a
// body whose lines count as a head.
func TestHeadLimits(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	fields := func(n int, text string) string { return strings.Repeat(text, n) }
	long := "A: " + strings.Repeat("x", maxHeadBytes/16) + "\r\n"
	for name, c := range map[string]struct {
		text    string
		refused bool
	}{
		"as many lines as allowed":   {status + fields(maxHeadLines-2, "A: b\r\n") + "\r\n", false},
		"one line more":              {status + fields(maxHeadLines-1, "A: b\r\n") + "\r\n", true},
		"lines that end without CR":  {status + fields(maxHeadLines-1, "A: b\n") + "\n", true},
		"long lines":                 {status + fields(15, long) + "\r\n", false},
		"too many long lines":        {status + fields(16, long) + "\r\n", true},
		"a line without end":         {status + strings.Repeat("x", maxHeadBytes), true},
		"lines in the body":          {status + "\r\n" + fields(10*maxHeadLines, "\r\n"), false},
		"a carriage return in a row": {status + "\r\r\n" + fields(maxHeadLines, "A: b\r\n"), true},
	} {
		for _, chunked := range []bool{false, true} {
			var total atomic.Int64
			in := newInput(c.text, &total)
			if chunked {
				in.r = iotest.OneByteReader(in.r)
			}
			err := in.beginHead(nil)
			if err == nil {
				_, err = io.Copy(io.Discard, struct{ io.Reader }{in})
			}
			if (err == errTooMuchData) != c.refused || in.exceeded != c.refused {
				t.Errorf("%s, byte by byte %v: error %v", name, chunked, err)
			}
			in.release()
			if total.Load() != 0 {
				t.Errorf("%s: %d bytes stay counted", name, total.Load())
			}
		}
	}
}

// Guards against a faulty server whose large heads use up the memory of the host, or take the
// responses of other servers with them.
func TestLargeHeadsAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	var total atomic.Int64
	accepted, inputs := 0, []*responseInput{}
	for range 2 * maxLargeHeadBytes / maxHeadBytes {
		in := newInput("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", maxHeadBytes/2), &total)
		is.NoErr(in.beginHead(nil))
		if _, err := io.Copy(io.Discard, struct{ io.Reader }{in}); err == nil {
			accepted++
		}
		inputs = append(inputs, in)
	}
	is.True(accepted > 0 && accepted*(maxHeadBytes/2-smallHeadBytes) <= maxLargeHeadBytes)
	small := newInput("HTTP/1.1 200 OK\r\nA: b\r\n\r\n", &total)
	is.NoErr(small.beginHead(nil))
	_, err := io.Copy(io.Discard, struct{ io.Reader }{small})
	is.NoErr(err)
	for _, in := range inputs {
		in.release()
	}
	is.Equal(total.Load(), int64(0))
}
