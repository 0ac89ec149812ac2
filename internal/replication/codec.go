package replication

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal returns the msgpack encoding that messages and stored records share.
// Fields are encoded by name and most zero values are omitted, so that a replica
// of another version can read the data as long as names keep their meaning.
func Marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	return buf.Bytes(), err
}

// Unmarshal decodes the encoding of Marshal. It first walks over the data
// without decoding: the library allocates arrays by their declared length, so
// that a few damaged bytes could otherwise exhaust the memory. Trailing bytes
// are an error.
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
