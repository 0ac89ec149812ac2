package replication

import (
	"slices"
)

// memoryLog holds the entries after a compacted prefix, and the member lists
// that are in force at each of them.
type memoryLog struct {
	baseIndex uint64 // last compacted entry
	baseTerm  uint64
	entries   []Entry
	synced    uint64 // last entry that is durable
	configs   []config
	// marks tells the commands that readers must not miss, and marked is at or after the
	// index of the last of them that is in the log or its snapshot, or was until it was
	// truncated.
	marks  func(command []byte) bool
	marked uint64
}

// config is the member list in force from index on.
type config struct {
	index   uint64
	members []Member
}

func newMemoryLog(s Snapshot, entries []Entry, marks func(command []byte) bool) (*memoryLog, error) {
	l := &memoryLog{baseIndex: s.Index, baseTerm: s.Term, configs: []config{{s.Index, s.Members}}, marks: marks, marked: s.Index}
	if err := CheckEntries(s.Index, entries); err != nil {
		return nil, err
	}
	if err := l.append(entries); err != nil {
		return nil, err
	}
	l.synced = l.lastIndex()
	return l, nil
}

func (l *memoryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index; false if it is not held.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *memoryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends at index and term is at least as
// complete as this one.
func (l *memoryLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.lastIndex()
}

// between returns the entries in (after, to].
func (l *memoryLog) between(after, to uint64) []Entry {
	if to <= after {
		return nil
	}
	return slices.Clip(l.entries[after-l.baseIndex : to-l.baseIndex])
}

// batch returns entries after index, up to about maxBytes.
func (l *memoryLog) batch(after uint64, maxBytes int) []Entry {
	all := l.between(after, l.lastIndex())
	size := 0
	for i, e := range all {
		size += len(e.Data) + entryOverheadBytes
		if size > maxBytes && i > 0 {
			return slices.Clip(all[:i])
		}
	}
	return all
}

// append adds entries that follow the last one.
func (l *memoryLog) append(entries []Entry) error {
	for _, e := range entries {
		if e.Kind == EntryMembers {
			members, err := DecodeMembers(e.Data)
			if err != nil {
				return err
			}
			l.configs = append(l.configs, config{e.Index, members})
		}
		if e.Kind == EntryCommand && (l.marks == nil || l.marks(e.Data)) {
			l.marked = e.Index
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// truncate drops the entries after index. Slices handed out before keep their
// content, because the shortened slice has no spare capacity.
func (l *memoryLog) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.baseIndex])
	l.synced = min(l.synced, index)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index > index {
		l.configs = slices.Clip(l.configs[:len(l.configs)-1])
	}
}

// compact drops the entries up to index, which must be held.
func (l *memoryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm = index, term
	for len(l.configs) > 1 && l.configs[1].index <= index {
		l.configs = l.configs[1:]
	}
}

// configAt returns the member list in force at index.
func (l *memoryLog) configAt(index uint64) []Member {
	for i := len(l.configs) - 1; i > 0; i-- {
		if l.configs[i].index <= index {
			return l.configs[i].members
		}
	}
	return l.configs[0].members
}

func (l *memoryLog) config() config { return l.configs[len(l.configs)-1] }
