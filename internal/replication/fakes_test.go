package replication

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
)

var errDisk = errors.New("disk failed")

// memoryStore is a Storage in memory. Writes stay in pending until the sync at
// the end of each call, which can be made to fail.
type memoryStore struct {
	identity Identity
	durable  Persisted
	failSync bool // the next sync fails and its data is lost
	failed   bool
}

func newMemoryStore(host, incarnation string) *memoryStore {
	return &memoryStore{identity: Identity{Group: "g", Host: host, Incarnation: incarnation}}
}

func (s *memoryStore) Identity() Identity { return s.identity }

func (s *memoryStore) Load() (Persisted, error) { return s.durable, nil }

func (s *memoryStore) sync(pending Persisted) error {
	if s.failed = s.failed || s.failSync; s.failed {
		return errDisk
	}
	s.durable = pending
	return nil
}

func (s *memoryStore) Append(hs HardState, entries []Entry) error {
	p := s.durable
	p.HardState = hs
	if len(entries) > 0 {
		p.Entries = append(slices.Clone(p.Entries[:entries[0].Index-p.Snapshot.Index-1]), entries...)
	}
	return s.sync(p)
}

func (s *memoryStore) SaveSnapshot(snap Snapshot) error {
	p := s.durable
	at := snap.Index - p.Snapshot.Index
	if at <= uint64(len(p.Entries)) && p.Entries[at-1].Term == snap.Term {
		p.Entries = p.Entries[at:]
	} else {
		p.Entries = nil
	}
	p.Snapshot = snap
	return s.sync(p)
}

// journal is a state machine that keeps every command.
type journal struct {
	mu       sync.Mutex
	commands []string
}

func (j *journal) Apply(index uint64, command []byte) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commands = append(j.commands, fmt.Sprintf("%d:%s", index, command))
	return []byte(fmt.Sprint(len(j.commands)))
}

func (j *journal) all() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.commands)
}

func (j *journal) Snapshot() ([]byte, error) { return []byte(strings.Join(j.all(), "\n")), nil }

func (j *journal) Restore(_ uint64, snapshot []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.commands = nil; len(snapshot) > 0 {
		j.commands = strings.Split(string(snapshot), "\n")
	}
	return nil
}
