package logstore

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	jujuerrors "github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/replication"
)

const (
	identityName   = "identity.json"
	lockName       = "lock"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	// DefaultSegmentBytes is the size at which a new segment is started. Each
	// segment is read into memory as a whole when the store is opened.
	DefaultSegmentBytes = 4 << 20
)

// Errors of Open and of writes.
var (
	// ErrLocked means that another process holds the lock of the folder.
	ErrLocked = errors.New("folder is in use by another process")
	// ErrWrongReplica means that the folder belongs to another group or host.
	ErrWrongReplica = errors.New("folder belongs to another replica")
	// ErrDamaged means that stored data is damaged elsewhere than at the torn
	// end of the log. The replica must be replaced.
	ErrDamaged = errors.New("stored data is damaged")
	// ErrFailed means that an earlier write or sync failed.
	ErrFailed = errors.New("store refuses writes after a failed write")
	// ErrClosed means that the store was closed.
	ErrClosed = errors.New("store is closed")
)

// Options configures a store.
type Options struct {
	Group        string // group id; a folder of another group is refused
	Host         string // host name; a folder of another host is refused
	SegmentBytes int64  // zero means DefaultSegmentBytes

	create createFunc // replaced by tests
	open   openFunc   // of a file that exists; replaced by tests
}

// Store is the disk storage of one replica. It is not safe for concurrent use. Its
// lock prevents a second process from opening the folder.
type Store struct {
	dir          string
	opts         Options
	identity     replication.Identity
	lock         *os.File
	segments     []uint64
	active       file
	activeBytes  int64
	bytesWritten int64
	hardState    replication.HardState
	tail         *logTail
	err          error
}

var _ replication.Storage = (*Store)(nil)

// Open opens the store in dir, which is created if absent, and locks it.
func Open(dir string, o Options) (*Store, error) {
	if o.Group == "" || o.Host == "" || strings.Contains(o.Host, "/") {
		return nil, fmt.Errorf("logstore: group id %q and host %q must be set, and the host must not contain a slash", o.Group, o.Host)
	}
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if o.create == nil {
		o.create = createFile
	}
	if o.open == nil {
		o.open = openFile
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, jujuerrors.Annotate(err, "logstore")
	}
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, jujuerrors.Annotate(err, "logstore")
	}
	s := &Store{dir: dir, opts: o, lock: lock}
	if err := s.open(); err != nil {
		s.Close()
		return nil, jujuerrors.Annotate(err, "logstore")
	}
	return s, nil
}

func (s *Store) open() error {
	var err error
	if s.identity, err = loadIdentity(s.dir, s.opts); err != nil {
		return err
	}
	if s.segments, err = numberedFiles(s.dir, segmentPrefix); err != nil {
		return err
	}
	state, compacted, err := s.readState()
	if err != nil {
		return err
	}
	if err := s.syncExisting(); err != nil {
		return err
	}
	s.hardState = state.HardState
	s.tail = &logTail{base: state.Snapshot.Index, entries: state.Entries}
	if compacted {
		return nil
	}
	return s.compactLog(state.Snapshot, state.Entries)
}

// syncExisting syncs what was read. An earlier process may have been killed between a write and its
// sync; what it wrote counts as durable from now on, and further records follow it.
func (s *Store) syncExisting() error {
	for _, prefix := range []string{segmentPrefix, snapshotPrefix} {
		numbers, err := numberedFiles(s.dir, prefix)
		if err != nil {
			return err
		}
		for _, n := range numbers {
			if err := s.syncFile(numberedPath(s.dir, prefix, n)); err != nil {
				return err
			}
		}
	}
	return syncFolder(s.dir)
}

func (s *Store) syncFile(path string) error {
	f, err := s.opts.open(path)
	if err != nil {
		return jujuerrors.Trace(err)
	}
	defer f.Close()
	return jujuerrors.Annotatef(f.Sync(), "syncing %s", path)
}

// Identity returns the identity that was made when the folder was first opened.
func (s *Store) Identity() replication.Identity { return s.identity }

// Load reads the durable state from the disk.
func (s *Store) Load() (replication.Persisted, error) {
	if s.err != nil {
		return replication.Persisted{}, s.err
	}
	state, _, err := s.readState()
	return state, jujuerrors.Annotate(err, "logstore")
}

// Append writes one record with the hard state and the entries and syncs it.
func (s *Store) Append(hs replication.HardState, entries []replication.Entry) error {
	if err := s.tail.check(entries); err != nil {
		return s.fail(err)
	}
	if err := s.write(logRecord{HardState: hs, Entries: entries}); err != nil {
		return err
	}
	s.hardState = hs
	s.tail.add(entries)
	return nil
}

// write appends a record to the active segment, or to a new one when that is
// full, and syncs it.
func (s *Store) write(rec logRecord) error {
	if s.err != nil {
		return s.err
	}
	data, err := encodeRecord(rec)
	if err != nil {
		return s.fail(err)
	}
	if s.active == nil || s.activeBytes >= s.opts.SegmentBytes {
		if err := s.startSegment(); err != nil {
			return s.fail(err)
		}
	}
	if _, err := s.active.Write(data); err != nil {
		return s.fail(err)
	}
	if err := s.active.Sync(); err != nil {
		return s.fail(err)
	}
	s.activeBytes += int64(len(data))
	s.bytesWritten += int64(len(data))
	return nil
}

// startSegment creates a new active segment. The folder is synced before the
// first record is written, so that the segment cannot vanish after that record
// was confirmed.
func (s *Store) startSegment() error {
	next := uint64(1)
	if n := len(s.segments); n > 0 {
		next = s.segments[n-1] + 1
	}
	f, err := s.opts.create(numberedPath(s.dir, segmentPrefix, next))
	if err != nil {
		return err
	}
	if s.active != nil {
		s.active.Close()
	}
	s.active, s.activeBytes = f, 0
	s.segments = append(s.segments, next)
	return syncFolder(s.dir)
}

// fail records the first error, after which the store refuses reads and writes,
// and returns it.
func (s *Store) fail(err error) error {
	if s.err == nil {
		s.err = fmt.Errorf("logstore: %w: %w", ErrFailed, err)
	}
	return s.err
}

// BytesWritten returns the number of bytes written to the log since Open.
func (s *Store) BytesWritten() int64 { return s.bytesWritten }

// Close releases the lock of the folder. It flushes nothing: all confirmed data
// is synced already.
func (s *Store) Close() error {
	if s.lock == nil {
		return nil
	}
	if s.active != nil {
		s.active.Close()
	}
	if s.err == nil {
		s.err = ErrClosed
	}
	err := s.lock.Close() // releases the lock
	s.lock = nil
	return jujuerrors.Trace(err)
}

// logTail holds the stored entries after the last snapshot, which is at base. Their
// terms decide which of them remain after the next snapshot; see entriesAfter.
type logTail struct {
	base    uint64
	entries []replication.Entry
}

// check returns an error for entries that would leave a gap or that begin at or
// before the snapshot.
func (t *logTail) check(entries []replication.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= t.base || first > t.base+uint64(len(t.entries))+1 {
		return fmt.Errorf("entry %d does not continue the log of entries %d to %d", first, t.base+1, t.base+uint64(len(t.entries)))
	}
	return replication.CheckEntries(first-1, entries)
}

func (t *logTail) add(entries []replication.Entry) {
	if len(entries) > 0 {
		t.entries = append(t.entries[:entries[0].Index-t.base-1], entries...)
	}
}

// entriesAfter returns the entries that remain after a snapshot at index and
// term: none unless the log holds an entry with that index and term.
func (t *logTail) entriesAfter(index, term uint64) []replication.Entry {
	at := index - t.base
	if index <= t.base || at > uint64(len(t.entries)) || t.entries[at-1].Term != term {
		return nil
	}
	return slices.Clone(t.entries[at:])
}
