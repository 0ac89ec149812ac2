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

func entry(index uint64) []replication.Entry {
	return []replication.Entry{{Index: index, Term: 1, Kind: replication.EntryCommand, Data: bytes.Repeat([]byte("command "), 70)}}
}

// fill appends n entries and returns the path and content of the first segment.
func fill(t *testing.T, dir string, n uint64) (path string, data []byte) {
	is, s := is.New(t), mustOpen(t, dir, Options{Group: "g", Host: "h"})
	defer s.Close()
	for i := range n {
		is.NoErr(s.Append(replication.HardState{Term: 1}, entry(i+1)))
	}
	path = numberedName(dir, segmentPrefix, 1)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	return path, data
}

// Guards against a torn end that stops the replica or loses earlier records,
// and against damage that passes for a torn end: without the end or some
// sectors of the last record, the others remain; changed bytes refuse to open.
func TestTornTailAndDamage(t *testing.T) {
	is, dir := is.New(t), t.TempDir()
	path, data := fill(t, dir, 3)
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
	for _, at := range []int{0, last / 2} { // a header with the sector around it
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
func TestOpenRefuses(t *testing.T) {
	is, dir := is.New(t), t.TempDir()
	path, _ := fill(t, dir, 1)
	check := func(o Options, want error) {
		t.Helper()
		_, err := Open(dir, o)
		is.True(errors.Is(err, want))
	}
	check(Options{Group: "other", Host: "h"}, ErrForeign)
	check(Options{Group: "g", Host: "other"}, ErrForeign)
	s := mustOpen(t, dir, testOptions)
	check(testOptions, ErrLocked)
	is.NoErr(s.Append(replication.HardState{Term: 1}, entry(2)))
	is.NoErr(s.Close())
	is.True(errors.Is(s.Append(replication.HardState{}, nil), ErrClosed))
	is.NoErr(os.Remove(path))
	check(testOptions, ErrDamaged)
	is.NoErr(os.Remove(filepath.Join(dir, identityName)))
	check(testOptions, ErrDamaged)
}

// Guards against a store that goes on after a failed write, a full disk or a
// failed sync, or that cannot be opened and continued afterwards with all it
// had confirmed. Snapshots reach beyond the log, as those from a leader may.
func TestFailedWriteStopsStore(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
		for left := 3; left < 24; left++ { // the first two operations write the identity
			is, dir, confirmed := is.New(t), t.TempDir(), uint64(0)
			o, _ := testFiles(left, cause)
			s, err := mustOpen(t, dir, o), error(nil)
			for i := 0; err == nil; i++ {
				next := confirmed + 1
				if i%4 < 3 {
					err = s.Append(replication.HardState{Term: 1}, entry(next))
				} else {
					next += 5
					err = s.SaveSnapshot(replication.Snapshot{Index: next, Term: 1, Members: []replication.Member{{ID: "h/1"}}})
				}
				if err == nil {
					confirmed = next
				}
			}
			is.True(errors.Is(err, cause))
			is.True(errors.Is(s.Append(replication.HardState{Term: 1}, entry(confirmed+1)), ErrFailed))
			is.NoErr(s.Close())
			for range 3 {
				s = mustOpen(t, dir, testOptions)
				state, err := s.Load()
				is.NoErr(err)
				last := state.Snapshot.Index + uint64(len(state.Entries))
				is.True(last >= confirmed)
				is.NoErr(s.Append(state.HardState, entry(last+1)))
				is.NoErr(s.Close())
				confirmed = last + 1
			}
		}
	}
}

// Guards against a record reader that panics or returns other than the payload.
func FuzzRecord(f *testing.F) {
	seed, err := encodeRecord(logRecord{Entries: entry(1)})
	is.New(f).NoErr(err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, size, err := nextRecord(data)
		is.New(t).True(err != nil || size <= len(data) && len(payload)+headerBytes == size)
		isTorn(data, 0)
		_ = replication.Unmarshal(data, &logRecord{})
	})
}
