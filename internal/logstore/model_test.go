package logstore

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatestep/agatestep/internal/replication"
)

var testOptions = Options{Group: "g", Host: "h", SegmentBytes: 300}

func mustOpen(t rapid.TB, dir string, o Options) *Store {
	t.Helper()
	s, err := Open(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// testFile records how much of it was written and synced, so that a crash can
// drop unsynced data. Each operation decrements opsUntilFailure; the one that
// reaches zero fails, and a failing write is written in part.
type testFile struct {
	file
	path            string
	opsUntilFailure *int
	err             error
	written, synced int64
}

func (f *testFile) fails() bool { *f.opsUntilFailure--; return *f.opsUntilFailure == 0 }

func (f *testFile) Write(p []byte) (int, error) {
	if f.fails() {
		n, _ := f.file.Write(p[:len(p)/2])
		return n, f.err
	}
	f.written += int64(len(p))
	return f.file.Write(p)
}

func (f *testFile) Sync() error {
	if f.fails() {
		return f.err
	}
	f.synced = f.written
	return nil
}

// testFiles returns options that create test files, and the list of these files.
func testFiles(opsUntilFailure int, err error) (Options, *[]*testFile) {
	o, files := testOptions, &[]*testFile{}
	o.create = func(path string) (file, error) {
		f, openErr := createFile(path)
		*files = append(*files, &testFile{file: f, path: strings.TrimSuffix(path, ".tmp"), opsUntilFailure: &opsUntilFailure, err: err})
		return (*files)[len(*files)-1], openErr
	}
	return o, files
}

// model is the expected durable state, kept in memory.
type model struct{ replication.Persisted }

func (m *model) append(hs replication.HardState, entries []replication.Entry) {
	m.HardState = hs
	if len(entries) > 0 {
		kept := m.Entries[:entries[0].Index-m.Snapshot.Index-1]
		m.Entries = append(kept[:len(kept):len(kept)], entries...)
	}
}

func (m *model) saveSnapshot(s replication.Snapshot) {
	var rest []replication.Entry
	for i, e := range m.Entries {
		if e.Index == s.Index && e.Term == s.Term {
			rest = m.Entries[i+1:]
		}
	}
	m.Snapshot, m.Entries = s, rest
}

// drawEntries draws entries that continue or overwrite the model's log.
func (m *model) drawEntries(t *rapid.T) []replication.Entry {
	first := m.Snapshot.Index + 1 + uint64(rapid.IntRange(0, len(m.Entries)).Draw(t, "keep"))
	var entries []replication.Entry
	for i := range rapid.IntRange(0, 4).Draw(t, "count") {
		entries = append(entries, replication.Entry{Index: first + uint64(i), Term: m.HardState.Term + 1,
			Kind: replication.EntryCommand, Data: rapid.SliceOfN(rapid.Byte(), 1, 60).Draw(t, "data")})
	}
	return entries
}

// drawSnapshot draws a snapshot within the log, or beyond its end as a follower
// may receive from the leader.
func (m *model) drawSnapshot(t *rapid.T) replication.Snapshot {
	at := rapid.IntRange(1, len(m.Entries)+2).Draw(t, "at")
	s := replication.Snapshot{Index: m.Snapshot.Index + uint64(at), Term: m.HardState.Term,
		Members: []replication.Member{{ID: "h/1", Voter: true}}, Data: []byte("state")}
	if at <= len(m.Entries) && rapid.Bool().Draw(t, "own") {
		s.Term = m.Entries[at-1].Term
	}
	return s
}

// Guards against any difference between the store and an in-memory model, over
// appends, overwrites, snapshots, segment changes, reopening, and crashes that
// lose unsynced data.
func TestStoreEqualsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "logstore")
		is := is.New(t)
		is.NoErr(err)
		defer os.RemoveAll(dir)
		o, files := testFiles(0, nil)
		s, m := mustOpen(t, dir, o), &model{}
		defer func() { s.Close() }()
		identity := s.Identity()
		crash := func(t *rapid.T) {
			s.Close()
			for _, f := range *files {
				err := os.Truncate(f.path, f.synced)
				is.True(err == nil || os.IsNotExist(err))
			}
			s = mustOpen(t, dir, o)
			is.Equal(s.Identity(), identity)
		}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				entries := m.drawEntries(t)
				hs := replication.HardState{Term: m.HardState.Term + 1, Vote: "h/1", Commit: m.Snapshot.Index}
				is.NoErr(s.Append(hs, entries))
				m.append(hs, entries)
			},
			"snapshot": func(t *rapid.T) {
				snapshot, left := m.drawSnapshot(t), []string{}
				for _, n := range s.segments { // a crash during the deletion leaves some
					if path := numberedPath(dir, segmentPrefix, n); rapid.Bool().Draw(t, "left") {
						is.NoErr(os.Link(path, path+".tmp-left"))
						left = append(left, path)
					}
				}
				is.NoErr(s.SaveSnapshot(snapshot))
				m.saveSnapshot(snapshot)
				for _, path := range left {
					is.NoErr(os.Rename(path+".tmp-left", path))
				}
				crash(t)
			},
			"crash": crash,
			"": func(t *rapid.T) {
				got, err := s.Load()
				is.NoErr(err)
				if len(got.Entries)+len(m.Entries) == 0 {
					got.Entries = m.Entries // nil or empty
				}
				if !reflect.DeepEqual(got, m.Persisted) {
					t.Fatalf("store has %+v, want %+v", got, m.Persisted)
				}
			},
		})
	})
}
