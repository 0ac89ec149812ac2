// Package pack compresses encoded tables and commands, some of which are sent over links
// of a few megabits per second.
package pack

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
)

const (
	// minCompressBytes is the size from which an encoding is compressed: smaller ones fit
	// into a few packets.
	minCompressBytes = 1 << 10
	// maxUnpackedBytes limits the size that an encoding may expand to.
	maxUnpackedBytes = 1 << 30
)

// ErrInvalid means that the bytes were not returned by Pack.
const ErrInvalid = errors.ConstError("invalid packing")

// Pack compresses an encoding unless it is small. The first byte of the result is 0 for
// uncompressed and 1 for DEFLATE.
func Pack(encoded []byte) ([]byte, error) {
	if len(encoded) < minCompressBytes {
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

// Unpack returns the encoding that Pack was given. The error is ErrInvalid if packed is
// malformed.
func Unpack(packed []byte) ([]byte, error) {
	switch {
	case len(packed) > 0 && packed[0] == 0:
		return packed[1:], nil
	case len(packed) > 0 && packed[0] == 1:
		r := flate.NewReader(bytes.NewReader(packed[1:]))
		out, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
		if err != nil {
			return nil, errors.Annotatef(ErrInvalid, "unpacking: %v", err)
		}
		return out, nil
	}
	return nil, errors.Annotate(ErrInvalid, "unknown packing")
}
