package replication

import (
	"slices"
)

// memoryLog holds the entries after the compacted prefix, and the member list
// in force at each of them.
type memoryLog struct {
	baseIndex   uint64 // index of the last compacted entry
	baseTerm    uint64
	entries     []Entry
	synced      uint64 // index of the last durable entry
	memberships []membership
	// isBarrierCommand reports whether barriers cover a command, which readers must then
	// not miss. barrierIndex is at or after the index of every such command that is in the
	// log or its snapshot, or was in the log before a truncation.
	isBarrierCommand func(command []byte) bool
	barrierIndex     uint64
}

// membership is the member list in force from index on.
type membership struct {
	index   uint64
	members []Member
}

func newMemoryLog(s Snapshot, entries []Entry, isBarrierCommand func(command []byte) bool) (*memoryLog, error) {
	l := &memoryLog{baseIndex: s.Index, baseTerm: s.Term, memberships: []membership{{s.Index, s.Members}}, isBarrierCommand: isBarrierCommand, barrierIndex: s.Index}
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

// term returns the term of the entry at index, or false if the log does not
// hold it.
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

// batch returns the entries after an index, up to about maxBytes but at least one if
// there is any.
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
			l.memberships = append(l.memberships, membership{e.Index, members})
		}
		if e.Kind == EntryCommand && (l.isBarrierCommand == nil || l.isBarrierCommand(e.Data)) {
			l.barrierIndex = e.Index
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// truncate drops the entries after index. Slices returned earlier keep their
// content, because the shortened slice has no spare capacity.
func (l *memoryLog) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.baseIndex])
	l.synced = min(l.synced, index)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index > index {
		l.memberships = slices.Clip(l.memberships[:len(l.memberships)-1])
	}
}

// compact drops the entries up to index, which the log must hold.
func (l *memoryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm = index, term
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
}

// membersAt returns the member list in force at index.
func (l *memoryLog) membersAt(index uint64) []Member {
	for i := len(l.memberships) - 1; i > 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].members
		}
	}
	return l.memberships[0].members
}

func (l *memoryLog) latestMembership() membership { return l.memberships[len(l.memberships)-1] }
