// Package pack compresses encoded tables and commands, some of which pass links of a
// few megabits a second.
package pack

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
)

const (
	// compressFrom is the size from which an encoding is compressed: smaller ones fit
	// into a few packets.
	compressFrom = 1 << 10
	// maxDecompressed bounds what an encoding may expand to.
	maxDecompressed = 1 << 30
)

// ErrInvalid means that bytes are not what Pack returned.
const ErrInvalid = errors.ConstError("invalid packing")

// Pack compresses an encoding. The first byte tells whether and how.
func Pack(encoded []byte) ([]byte, error) {
	if len(encoded) < compressFrom {
		return append([]byte{0}, encoded...), nil
	}
	buf := bytes.NewBuffer([]byte{1})
	w, err := flate.NewWriter(buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return buf.Bytes(), nil
}

// Unpack returns what Pack was given.
func Unpack(packed []byte) ([]byte, error) {
	switch {
	case len(packed) > 0 && packed[0] == 0:
		return packed[1:], nil
	case len(packed) > 0 && packed[0] == 1:
		r := flate.NewReader(bytes.NewReader(packed[1:]))
		out, err := io.ReadAll(io.LimitReader(r, maxDecompressed))
		if err != nil {
			return nil, errors.Annotatef(ErrInvalid, "unpacking: %v", err)
		}
		return out, nil
	}
	return nil, errors.Annotate(ErrInvalid, "unknown packing")
}
