package logstore

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/replication"
)

// loadSnapshot reads the newest snapshot; older ones are leftovers of a crash.
func loadSnapshot(dir string) (replication.Snapshot, error) {
	var snapshot replication.Snapshot
	numbers, err := numberedFiles(dir, snapshotPrefix)
	if err != nil || len(numbers) == 0 {
		return snapshot, err
	}
	path := numberedPath(dir, snapshotPrefix, numbers[len(numbers)-1])
	data, err := os.ReadFile(path)
	if err != nil {
		return snapshot, errors.Trace(err)
	}
	payload, size, err := decodeRecord(data)
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

// SaveSnapshot makes the snapshot durable, then starts a segment with the
// remaining entries and deletes all older files. After a crash in between,
// replay of the files gives the same state.
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
	if err := writeAtomically(s.opts.create, numberedPath(s.dir, snapshotPrefix, snapshot.Index), data); err != nil {
		return s.fail(err)
	}
	return s.compactLog(snapshot, s.tail.entriesAfter(snapshot.Index, snapshot.Term))
}

// compactLog starts a segment with the entries that remain after the snapshot
// and deletes all older files.
func (s *Store) compactLog(snapshot replication.Snapshot, remaining []replication.Entry) error {
	if err := s.startSegment(); err != nil {
		return s.fail(err)
	}
	if err := s.write(logRecord{HardState: s.hardState, Reset: true, Base: snapshot.Index, Entries: remaining}); err != nil {
		return err
	}
	s.tail = &logTail{base: snapshot.Index, entries: remaining}
	return s.deleteObsolete(snapshot.Index)
}

// deleteObsolete removes the segments before the active one, the snapshots
// before index and temporary files.
func (s *Store) deleteObsolete(index uint64) error {
	active := s.segments[len(s.segments)-1]
	for _, n := range s.segments[:len(s.segments)-1] {
		if err := os.Remove(numberedPath(s.dir, segmentPrefix, n)); err != nil {
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
			if err := os.Remove(numberedPath(s.dir, snapshotPrefix, n)); err != nil {
				return s.fail(err)
			}
		}
	}
	return s.removeTemporaryFiles()
}

func (s *Store) removeTemporaryFiles() error {
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
