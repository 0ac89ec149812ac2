package logstore

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/replication"
)

func testEntries(index uint64) []replication.Entry {
	return []replication.Entry{{Index: index, Term: 1, Kind: replication.EntryCommand, Data: bytes.Repeat([]byte("command "), 70)}}
}

// writeEntries appends n entries and returns the path and content of the first
// segment.
func writeEntries(t *testing.T, dir string, n uint64) (path string, data []byte) {
	is, s := is.New(t), mustOpen(t, dir, Options{Group: "g", Host: "h"})
	defer s.Close()
	for i := range n {
		is.NoErr(s.Append(replication.HardState{Term: 1}, testEntries(i+1)))
	}
	path = numberedPath(dir, segmentPrefix, 1)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	return path, data
}

// Guards against a torn record at the end that prevents opening or loses earlier
// records, and against damage that is taken for a torn record. If the end or a
// sector of the last record is missing, the earlier records remain; if bytes are
// changed, the store refuses to open.
func TestTornTailAndDamage(t *testing.T) {
	is, dir := is.New(t), t.TempDir()
	path, data := writeEntries(t, dir, 3)
	last := len(data) / 3 * 2 // the records have equal sizes
	open := func(content []byte) (entries int, err error) {
		is.NoErr(os.WriteFile(path, content, 0o600))
		s, err := Open(dir, Options{Group: "g", Host: "h"})
		if err != nil {
			return 0, err
		}
		defer s.Close()
		state, err := s.Load()
		return len(state.Entries), err
	}
	for cut := last; cut < len(data); cut++ {
		n, err := open(data[:cut])
		if start := cut / sectorBytes * sectorBytes; err == nil && start >= last {
			content := slices.Clone(data)
			clear(content[start:min(start+sectorBytes, len(data))])
			n, err = open(content)
		}
		if n != 2 || err != nil {
			t.Fatalf("cut at %d of %d: %d entries, %v", cut, len(data), n, err)
		}
	}
	for _, at := range []int{0, last / 2} { // a sector's length of zeros over a record's header
		content := slices.Clone(data)
		clear(content[at : at+sectorBytes])
		_, err := open(content)
		is.True(errors.Is(err, ErrDamaged))
	}
	for at := 0; at < len(data); at += 1 + at%4 {
		content := slices.Clone(data)
		content[at] ^= 0x10
		if _, err := open(content); !errors.Is(err, ErrDamaged) {
			t.Fatalf("byte %d of %d changed: %v", at, len(data), err)
		}
	}
}

// Guards against a store that is opened for the wrong replica, by two processes,
// or without part of its files.
func TestOpenRefusesWrongOrIncompleteFolder(t *testing.T) {
	is, dir := is.New(t), t.TempDir()
	path, _ := writeEntries(t, dir, 1)
	expectError := func(o Options, want error) {
		t.Helper()
		_, err := Open(dir, o)
		is.True(errors.Is(err, want))
	}
	expectError(Options{Group: "other", Host: "h"}, ErrWrongReplica)
	expectError(Options{Group: "g", Host: "other"}, ErrWrongReplica)
	s := mustOpen(t, dir, testOptions)
	expectError(testOptions, ErrLocked)
	is.NoErr(s.Append(replication.HardState{Term: 1}, testEntries(2)))
	is.NoErr(s.Close())
	is.True(errors.Is(s.Append(replication.HardState{}, nil), ErrClosed))
	is.NoErr(os.Remove(path))
	expectError(testOptions, ErrDamaged)
	is.NoErr(os.Remove(filepath.Join(dir, identityName)))
	expectError(testOptions, ErrDamaged)
}

// Guards against a store that continues after a failed write, a full disk or a
// failed sync, or that cannot be reopened and used afterwards with all data that
// it had confirmed. Snapshots reach beyond the log, as those from a leader may.
func TestFailedWriteStopsStore(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
		for opsUntilFailure := 3; opsUntilFailure < 24; opsUntilFailure++ { // the first two operations write the identity
			is, dir, confirmed := is.New(t), t.TempDir(), uint64(0)
			o, _ := testFiles(opsUntilFailure, cause)
			s, err := mustOpen(t, dir, o), error(nil)
			for i := 0; err == nil; i++ {
				next := confirmed + 1
				if i%4 < 3 {
					err = s.Append(replication.HardState{Term: 1}, testEntries(next))
				} else {
					next += 5
					err = s.SaveSnapshot(replication.Snapshot{Index: next, Term: 1, Members: []replication.Member{{ID: "h/1"}}})
				}
				if err == nil {
					confirmed = next
				}
			}
			is.True(errors.Is(err, cause))
			is.True(errors.Is(s.Append(replication.HardState{Term: 1}, testEntries(confirmed+1)), ErrFailed))
			is.NoErr(s.Close())
			for range 3 {
				s = mustOpen(t, dir, testOptions)
				state, err := s.Load()
				is.NoErr(err)
				last := state.Snapshot.Index + uint64(len(state.Entries))
				is.True(last >= confirmed)
				is.NoErr(s.Append(state.HardState, testEntries(last+1)))
				is.NoErr(s.Close())
				confirmed = last + 1
			}
		}
	}
}

// Guards against a record decoder that panics or returns a wrong payload.
func FuzzRecord(f *testing.F) {
	seed, err := encodeRecord(logRecord{Entries: testEntries(1)})
	is.New(f).NoErr(err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, size, err := decodeRecord(data)
		is.New(t).True(err != nil || size <= len(data) && len(payload)+headerBytes == size)
		isTorn(data, 0)
		_ = replication.Unmarshal(data, &logRecord{})
	})
}

// A process is killed while it syncs a record, its successor reads the record and appends more, and
// then power is lost. Guards against a log that has a gap after that: the successor counts the
// record as durable.
func TestRecordReadAtOpenSurvivesLossOfPower(t *testing.T) {
	is, dir := is.New(t), t.TempDir()
	const opsBeforeKill = 8 // the identity and two records, each written and synced, and a third record
	killed, files := testFiles(opsBeforeKill, errors.New("killed"))
	s := mustOpen(t, dir, killed)
	for i := range uint64(2) {
		is.NoErr(s.Append(replication.HardState{Term: 1}, testEntries(i+1)))
	}
	is.True(s.Append(replication.HardState{Term: 1}, testEntries(3)) != nil)
	is.NoErr(s.Close())

	synced := map[string]int64{}
	for _, f := range *files {
		synced[f.path] = f.synced
	}
	next, nextFiles := testFiles(0, nil)
	next.open = func(path string) (file, error) {
		f, err := openFile(path)
		is.NoErr(err)
		info, err := os.Stat(path)
		is.NoErr(err)
		*nextFiles = append(*nextFiles, &testFile{file: f, path: path, opsUntilFailure: new(int), written: info.Size()})
		return (*nextFiles)[len(*nextFiles)-1], nil
	}
	s = mustOpen(t, dir, next)
	is.NoErr(s.Append(replication.HardState{Term: 1}, testEntries(4)))
	is.NoErr(s.Close())
	for _, f := range *nextFiles {
		synced[f.path] = max(synced[f.path], f.synced)
	}
	for path, size := range synced {
		is.NoErr(os.Truncate(path, size))
	}
	state, err := mustOpen(t, dir, testOptions).Load()
	is.NoErr(err)
	is.Equal(len(state.Entries), 4)
}
