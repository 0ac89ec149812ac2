package pack

import (
	"bytes"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// Guards against encodings that are altered by packing and against malformed bytes that
// crash a host.
func TestPackRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, data := range [][]byte{{}, []byte("short"), bytes.Repeat([]byte("route "), 10_000)} {
		packed, err := Pack(data)
		is.NoErr(err)
		is.True(len(packed) <= len(data)/10+minCompressBytes)
		got, err := Unpack(packed)
		is.NoErr(err)
		is.True(bytes.Equal(got, data))
	}
	for _, bad := range [][]byte{nil, {2, 3}, {1, 255, 255}} {
		_, err := Unpack(bad)
		is.True(errors.Is(err, ErrInvalid))
	}
}
