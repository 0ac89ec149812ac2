package logstore

import (
	"os"
	"reflect"
	"strings"
	"testing"

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

// volatileFile loses on a crash what was not synced.
type volatileFile struct {
	file
	path            string
	written, synced int64
}

func (f *volatileFile) Write(p []byte) (int, error) {
	f.written += int64(len(p))
	return f.file.Write(p)
}

func (f *volatileFile) Sync() error {
	f.synced = f.written
	return nil
}

// model is a Storage without a disk.
type model struct{ replication.Persisted }

func (m *model) append(hs replication.HardState, entries []replication.Entry) {
	m.HardState = hs
	if len(entries) > 0 {
		kept := m.Entries[:entries[0].Index-m.Snapshot.Index-1]
		m.Entries = append(kept[:len(kept):len(kept)], entries...)
	}
}

func (m *model) save(s replication.Snapshot) {
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

// drawSnapshot draws a snapshot within the log, or beyond it as a follower gets it.
func (m *model) drawSnapshot(t *rapid.T) replication.Snapshot {
	at := rapid.IntRange(1, len(m.Entries)+2).Draw(t, "at")
	s := replication.Snapshot{Index: m.Snapshot.Index + uint64(at), Term: m.HardState.Term,
		Members: []replication.Member{{ID: "h/1", Voter: true}}, Data: []byte("state")}
	if at <= len(m.Entries) && rapid.Bool().Draw(t, "own") {
		s.Term = m.Entries[at-1].Term
	}
	return s
}

func (m *model) equal(t *rapid.T, s *Store) {
	got, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	want := m.Persisted
	if len(got.Entries) == 0 && len(want.Entries) == 0 {
		got.Entries, want.Entries = nil, nil
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("store has %+v, want %+v", got, want)
	}
}

// Guards against any difference between the store and a plain model, over
// appends, overwrites, snapshots, segment changes, reopening, and crashes that
// lose what was not synced.
func TestStoreEqualsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "logstore")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		var files []*volatileFile
		o := testOptions
		o.create = func(path string) (file, error) {
			f, err := createFile(path)
			files = append(files, &volatileFile{file: f, path: strings.TrimSuffix(path, ".tmp")})
			return files[len(files)-1], err
		}
		s, m := mustOpen(t, dir, o), &model{}
		defer func() { s.Close() }()
		identity := s.Identity()
		crash := func(t *rapid.T) {
			s.Close()
			for _, f := range files {
				if err := os.Truncate(f.path, f.synced); err != nil && !os.IsNotExist(err) {
					t.Fatal(err)
				}
			}
			if s = mustOpen(t, dir, o); s.Identity() != identity {
				t.Fatalf("identity changed from %v to %v", identity, s.Identity())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				entries := m.drawEntries(t)
				hs := replication.HardState{Term: m.HardState.Term + 1, Vote: "h/1", Commit: m.Snapshot.Index}
				if err := s.Append(hs, entries); err != nil {
					t.Fatal(err)
				}
				m.append(hs, entries)
			},
			"snapshot": func(t *rapid.T) {
				snapshot, restore := m.drawSnapshot(t), []func() error{}
				for _, n := range s.segments { // a crash during the deletion leaves some
					if path := numberedName(dir, segmentPrefix, n); rapid.Bool().Draw(t, "left") {
						os.Link(path, path+".tmp-left")
						restore = append(restore, func() error { return os.Rename(path+".tmp-left", path) })
					}
				}
				if err := s.SaveSnapshot(snapshot); err != nil {
					t.Fatal(err)
				}
				m.save(snapshot)
				for _, f := range restore {
					if err := f(); err != nil {
						t.Fatal(err)
					}
				}
				crash(t)
			},
			"crash": crash,
			"":      func(t *rapid.T) { m.equal(t, s) },
		})
	})
}
