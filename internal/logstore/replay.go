package logstore

import (
	"fmt"
	"os"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/replication"
)

// replay accumulates the hard state and the log from the segments.
type replay struct {
	hardState replication.HardState
	tail      logTail
}

// readState rebuilds the durable state from the disk. compacted is false if the
// process crashed after it saved the snapshot and before it compacted the log.
func (s *Store) readState() (state replication.Persisted, compacted bool, err error) {
	if state.Snapshot, err = loadSnapshot(s.dir); err != nil {
		return state, false, err
	}
	first, err := s.firstSegment()
	if err != nil {
		return state, false, err
	}
	var r replay
	for i := first; i < len(s.segments); i++ {
		if i > first && s.segments[i] != s.segments[i-1]+1 {
			return state, false, fmt.Errorf("%w: segment %016x is missing", ErrDamaged, s.segments[i-1]+1)
		}
		if err := s.replaySegment(s.segments[i], i == len(s.segments)-1, &r); err != nil {
			return state, false, err
		}
	}
	state.HardState = r.hardState
	snapshot := state.Snapshot
	switch {
	case r.tail.base > snapshot.Index:
		return state, false, fmt.Errorf("%w: the log begins after entry %d, but the snapshot ends at entry %d", ErrDamaged, r.tail.base, snapshot.Index)
	case r.tail.base == snapshot.Index:
		state.Entries = r.tail.entries
		return state, true, nil
	}
	state.Entries = r.tail.entriesAfter(snapshot.Index, snapshot.Term)
	return state, false, nil
}

// firstSegment returns the position of the segment where replay begins: the
// last one that log compaction started, since a crash may have left some of the
// segments before it undeleted.
func (s *Store) firstSegment() (int, error) {
	for i := len(s.segments) - 1; i >= 0; i-- {
		data, err := os.ReadFile(numberedPath(s.dir, segmentPrefix, s.segments[i]))
		if err != nil {
			return 0, errors.Trace(err)
		}
		payload, _, err := decodeRecord(data)
		var rec logRecord
		if err == nil && replication.Unmarshal(payload, &rec) == nil && rec.Reset {
			return i, nil
		}
	}
	if len(s.segments) > 0 && s.segments[0] != 1 {
		return 0, fmt.Errorf("%w: segment %016x is missing", ErrDamaged, 1)
	}
	return 0, nil
}

func (s *Store) replaySegment(number uint64, last bool, r *replay) error {
	path := numberedPath(s.dir, segmentPrefix, number)
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Trace(err)
	}
	offset := 0
	for offset < len(data) {
		payload, size, err := decodeRecord(data[offset:])
		if err != nil {
			if !last || !isTorn(data, offset) {
				return fmt.Errorf("%w: segment %s at byte %d: %v", ErrDamaged, path, offset, err)
			}
			return truncateTornEnd(path, int64(offset))
		}
		var rec logRecord
		if err := replication.Unmarshal(payload, &rec); err != nil {
			return fmt.Errorf("%w: segment %s at byte %d: %v", ErrDamaged, path, offset, err)
		}
		if err := r.add(rec); err != nil {
			return fmt.Errorf("%w: segment %s at byte %d: %v", ErrDamaged, path, offset, err)
		}
		offset += size
	}
	return nil
}

func (r *replay) add(rec logRecord) error {
	r.hardState = rec.HardState
	if rec.Reset {
		r.tail = logTail{base: rec.Base}
	}
	if err := r.tail.check(rec.Entries); err != nil {
		return err
	}
	r.tail.add(rec.Entries)
	return nil
}

// truncateTornEnd removes a torn record at the end of a segment, so that it
// cannot be mistaken for damage once further records follow it.
func truncateTornEnd(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return errors.Annotatef(err, "truncating the torn end of %s", path)
	}
	return errors.Annotatef(f.Sync(), "syncing %s", path)
}
