package replication

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal returns the msgpack form that messages and stored records share.
// Fields have short names and zero values are left out, so that a replica of
// another version can read the data as long as names keep their meaning.
func Marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	return buf.Bytes(), err
}

// Unmarshal reads the form that Marshal writes. It first walks over the data
// without decoding: the library allocates arrays by their stated length, and a
// few damaged bytes would otherwise claim all memory.
func Unmarshal(data []byte, v any) error {
	r := bytes.NewReader(data)
	if err := msgpack.NewDecoder(r).Skip(); err != nil {
		return err
	}
	if r.Len() > 0 {
		return errors.New("trailing bytes")
	}
	return msgpack.Unmarshal(data, v)
}
