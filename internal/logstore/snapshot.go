package logstore

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/replication"
)

// loadSnapshot reads the newest snapshot; older ones are left over from a crash.
func loadSnapshot(dir string) (replication.Snapshot, error) {
	var snapshot replication.Snapshot
	numbers, err := numberedFiles(dir, snapshotPrefix)
	if err != nil || len(numbers) == 0 {
		return snapshot, err
	}
	path := numberedName(dir, snapshotPrefix, numbers[len(numbers)-1])
	data, err := os.ReadFile(path)
	if err != nil {
		return snapshot, errors.Trace(err)
	}
	payload, size, err := nextRecord(data)
	if err == nil && size != len(data) {
		err = fmt.Errorf("%d bytes follow the record", len(data)-size)
	}
	if err == nil {
		err = replication.Unmarshal(payload, &snapshot)
	}
	if err == nil && snapshot.Index != numbers[len(numbers)-1] {
		err = fmt.Errorf("the snapshot is of entry %d", snapshot.Index)
	}
	if err != nil {
		return snapshot, fmt.Errorf("%w: snapshot %s: %v", ErrDamaged, path, err)
	}
	return snapshot, nil
}

// SaveSnapshot makes the snapshot durable, then begins a segment with what
// remains of the log and deletes everything older. A crash in between leaves
// files that replay gives the same state.
func (s *Store) SaveSnapshot(snapshot replication.Snapshot) error {
	if s.err != nil {
		return s.err
	}
	if snapshot.Index <= s.tail.base {
		return s.fail(fmt.Errorf("snapshot of entry %d is not newer than that of entry %d", snapshot.Index, s.tail.base))
	}
	data, err := encodeRecord(snapshot)
	if err != nil {
		return s.fail(err)
	}
	if err := writeAtomically(s.opts.create, numberedName(s.dir, snapshotPrefix, snapshot.Index), data); err != nil {
		return s.fail(err)
	}
	return s.trim(snapshot, s.tail.after(snapshot.Index, snapshot.Term))
}

// trim begins a segment with what remains of the log after the snapshot and
// deletes everything older.
func (s *Store) trim(snapshot replication.Snapshot, rest []replication.Entry) error {
	if err := s.beginSegment(); err != nil {
		return s.fail(err)
	}
	if err := s.write(logRecord{HardState: s.hard, Reset: true, Base: snapshot.Index, Entries: rest}); err != nil {
		return err
	}
	s.tail = &tail{base: snapshot.Index, entries: rest}
	return s.deleteOlder(snapshot.Index)
}

// deleteOlder removes the segments before the active one, older snapshots and
// unfinished files.
func (s *Store) deleteOlder(index uint64) error {
	active := s.segments[len(s.segments)-1]
	for _, n := range s.segments[:len(s.segments)-1] {
		if err := os.Remove(numberedName(s.dir, segmentPrefix, n)); err != nil {
			return s.fail(err)
		}
	}
	s.segments = []uint64{active}
	snapshots, err := numberedFiles(s.dir, snapshotPrefix)
	if err != nil {
		return s.fail(err)
	}
	for _, n := range snapshots {
		if n < index {
			if err := os.Remove(numberedName(s.dir, snapshotPrefix, n)); err != nil {
				return s.fail(err)
			}
		}
	}
	return s.removeTemporary()
}

func (s *Store) removeTemporary() error {
	names, err := os.ReadDir(s.dir)
	if err != nil {
		return s.fail(err)
	}
	for _, entry := range names {
		if strings.HasSuffix(entry.Name(), ".tmp") {
			if err := os.Remove(filepath.Join(s.dir, entry.Name())); err != nil {
				return s.fail(err)
			}
		}
	}
	return nil
}
