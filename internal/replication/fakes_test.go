package replication

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

var errDisk = errors.New("disk failed")

// memoryStore is a Storage in memory. Its syncs can be made to fail, which
// loses what was to be synced.
type memoryStore struct {
	identity         Identity
	durable          Persisted
	failSync, failed bool
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
	at := slices.IndexFunc(p.Entries, func(e Entry) bool { return e.Index == snap.Index && e.Term == snap.Term })
	if p.Snapshot, p.Entries = snap, p.Entries[at+1:]; at < 0 {
		p.Entries = nil
	}
	return s.sync(p)
}

// journal is a state machine that keeps every command. Its snapshots begin with
// pad separators, because replicas may encode the same state differently.
type journal struct {
	commands []string
	pad      int
}

func (j *journal) Apply(_ uint64, command []byte) []byte {
	j.commands = append(j.commands, string(command))
	return []byte(fmt.Sprint(len(j.commands)))
}

func (j *journal) Snapshot() ([]byte, error) {
	return []byte(strings.Repeat("\n", j.pad) + strings.Join(j.commands, "\n")), nil
}

func (j *journal) Restore(_ uint64, snapshot []byte) error {
	j.commands = strings.Fields(string(snapshot))
	return nil
}
