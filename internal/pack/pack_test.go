package pack

import (
	"bytes"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// Guards against tables that change on their way and against packed bytes that
// crash a host.
func TestPack(t *testing.T) {
	is := is.New(t)
	for _, data := range [][]byte{{}, []byte("short"), bytes.Repeat([]byte("route "), 10_000)} {
		packed, err := Pack(data)
		is.NoErr(err)
		is.True(len(packed) <= len(data)/10+compressFrom)
		got, err := Unpack(packed)
		is.NoErr(err)
		is.True(bytes.Equal(got, data))
	}
	for _, bad := range [][]byte{nil, {2, 3}, {1, 255, 255}} {
		_, err := Unpack(bad)
		is.True(errors.Is(err, ErrInvalid))
	}
}
