package logstore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/agatestep/agatestep/internal/replication"
)

// A record is a header of magic, payload length, payload checksum and header
// checksum (little-endian uint32 each), followed by the payload in msgpack. The
// header has its own checksum so that a damaged length is not mistaken for a
// record that the end of the file cuts short.
const (
	headerBytes    = 16
	recordMagic    = 0x4c475431
	maxRecordBytes = 1 << 30
	// sectorBytes is the unit that a disk writes atomically.
	sectorBytes = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errTruncated = errors.New("record is cut short")
	errCorrupt   = errors.New("record has a wrong checksum")
)

// logRecord is the payload of a record of the log: one Append.
type logRecord struct {
	HardState replication.HardState `msgpack:"h"`
	// Reset is set in the first record of a segment that log compaction started:
	// the log then restarts after the entry at Base.
	Reset   bool                `msgpack:"r,omitempty"`
	Base    uint64              `msgpack:"b,omitempty"`
	Entries []replication.Entry `msgpack:"e,omitempty"`
}

// encodeRecord returns a record with the encoding of v as its payload.
func encodeRecord(v any) ([]byte, error) {
	payload, err := replication.Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxRecordBytes {
		return nil, fmt.Errorf("record of %d bytes exceeds the limit of %d", len(payload), maxRecordBytes)
	}
	out := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(out[0:], recordMagic)
	binary.LittleEndian.PutUint32(out[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[8:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(out[12:], crc32.Checksum(out[:12], castagnoli))
	return append(out, payload...), nil
}

// parseHeader returns the payload length and true if data begins with a valid
// header.
func parseHeader(data []byte) (int, bool) {
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != recordMagic ||
		binary.LittleEndian.Uint32(data[12:]) != crc32.Checksum(data[:12], castagnoli) {
		return 0, false
	}
	n := binary.LittleEndian.Uint32(data[4:])
	return int(n), n <= maxRecordBytes
}

// decodeRecord returns the payload of the record that data begins with, and the
// size of the record. Its errors are errTruncated and errCorrupt.
func decodeRecord(data []byte) (payload []byte, size int, err error) {
	if len(data) < headerBytes {
		return nil, 0, errTruncated
	}
	n, ok := parseHeader(data)
	if !ok {
		return nil, 0, errCorrupt
	}
	size = headerBytes + n
	if size > len(data) {
		return nil, 0, errTruncated
	}
	payload = data[headerBytes:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, size, errCorrupt
	}
	return payload, size, nil
}

// isTorn reports whether the invalid record at offset can be the result of a
// write that a crash interrupted. Each record is synced before the next is
// written, so a torn record is the last one, and it is either cut short or has a
// sector that was never written and reads as zeros.
func isTorn(data []byte, offset int) bool {
	rest := data[offset:]
	if n, ok := parseHeader(rest); ok {
		size := headerBytes + n
		return size > len(rest) || size == len(rest) && hasZeroSector(data, offset)
	}
	for i := 1; i+headerBytes <= len(rest); i++ {
		if n, ok := parseHeader(rest[i:]); ok && i+headerBytes+n <= len(rest) {
			return false // a later record follows
		}
	}
	return len(rest) < headerBytes || hasZeroSector(data, offset)
}

// hasZeroSector reports whether the part of any sector that lies in
// data[offset:] is all zeros.
func hasZeroSector(data []byte, offset int) bool {
	for start := offset; start < len(data); {
		end := min((start/sectorBytes+1)*sectorBytes, len(data))
		if len(bytes.Trim(data[start:end], "\x00")) == 0 {
			return true
		}
		start = end
	}
	return false
}
