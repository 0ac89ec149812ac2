package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// MaxMessageBytes bounds one message in either direction. A snapshot of the
// routing table is the largest message; 460,000 slices take some 20 MB.
const MaxMessageBytes = 64 << 20

// ErrMessageTooLarge reports a message over MaxMessageBytes.
var ErrMessageTooLarge = errors.New("message exceeds the size limit")

// lengthPrefixCodec prefixes each JSON object with its length in bytes as an
// unsigned varint.
type lengthPrefixCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (lengthPrefixCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := marshal(obj)
	if err != nil {
		return errors.Trace(err)
	}
	if len(data) > MaxMessageBytes {
		return errors.Trace(ErrMessageTooLarge)
	}
	frame := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(data)), uint64(len(data)))
	_, err = stream.Write(append(frame, data...))
	return errors.Trace(err)
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (lengthPrefixCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err // not wrapped, so that the connection recognises io.EOF
	}
	if length > MaxMessageBytes {
		return errors.Trace(ErrMessageTooLarge)
	}
	data, err := io.ReadAll(io.LimitReader(stream, int64(length)))
	if err != nil {
		return errors.Trace(err)
	}
	if uint64(len(data)) < length {
		return io.ErrUnexpectedEOF
	}
	return errors.Trace(unmarshal(data, v))
}

// marshal and unmarshal call the JSON methods of the library's messages directly, which
// saves a pass over the bytes.
func marshal(v any) ([]byte, error) {
	if m, ok := v.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(v)
}

func unmarshal(data []byte, v any) error {
	if m, ok := v.(json.Unmarshaler); ok {
		return m.UnmarshalJSON(data)
	}
	return json.Unmarshal(data, v)
}

// envelope wraps each message with the sender's hybrid logical clock.
type envelope struct {
	Clock uint64 `json:"clock"`
	// Body is the message as a JSON string. The library decodes parameters and results into
	// maps and encodes these again before it passes them on, which takes several times as
	// long for a nested message.
	Body string `json:"body"`
}
