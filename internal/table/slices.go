package table

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// chunkSlices is the number of slices that a full rebuild puts into one chunk. A
// change copies one chunk, so smaller chunks make deltas cheaper and the index
// of chunks longer.
const chunkSlices = 128

// entry is a slice in its compact form; names are ids of the service's dictionary.
type entry struct {
	start   uint64
	epoch   uint64
	owner   uint32
	next    uint32
	standby uint32
	state   SliceState
}

// sliceSet holds the slices of one service, sorted by start. Chunks are shared
// between tables and never written after they are published.
type sliceSet struct {
	firsts []uint64 // start of the first slice of each chunk
	chunks [][]entry
	count  int
}

// find returns the position of the slice that holds hash.
func (s *sliceSet) find(hash uint64) (chunk, at int, ok bool) {
	lo, hi := 0, len(s.firsts)
	for lo < hi {
		if mid := int(uint(lo+hi) >> 1); s.firsts[mid] > hash {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	if lo == 0 {
		return 0, 0, false
	}
	return lo - 1, findEntry(s.chunks[lo-1], s.firsts[lo-1], s.end(lo-1), hash), true
}

// end returns the last hash of a chunk.
func (s *sliceSet) end(chunk int) uint64 {
	if chunk+1 < len(s.firsts) {
		return s.firsts[chunk+1] - 1
	}
	return math.MaxUint64
}

// findEntry returns the index of the entry that holds hash. The entries begin at
// first, which is at most hash, and end at end. Slices have similar sizes, so it starts at the index that
// the hash would have if all sizes were equal: a binary search from the middle
// reads three times as many cache lines.
func findEntry(entries []entry, first, end, hash uint64) int {
	n := len(entries)
	width := max((end-first)/uint64(n), 1)
	at := int(min((hash-first)/width, uint64(n-1)))
	lo, hi := 0, n // entries[lo] starts at or before hash, entries[hi] after it
	if entries[at].start <= hash {
		lo = at
		for step := 1; lo+step < n; step *= 2 {
			if entries[lo+step].start > hash {
				hi = lo + step
				break
			}
			lo += step
		}
	} else {
		hi = at
		for step := 1; hi-step > 0; step *= 2 {
			if entries[hi-step].start <= hash {
				lo = hi - step
				break
			}
			hi -= step
		}
	}
	for hi-lo > 1 {
		if mid := int(uint(lo+hi) >> 1); entries[mid].start > hash {
			hi = mid
		} else {
			lo = mid
		}
	}
	return lo
}

// last returns the last hash of the slice at a position.
func (s *sliceSet) last(chunk, at int) uint64 {
	if entries := s.chunks[chunk]; at+1 < len(entries) {
		return entries[at+1].start - 1
	}
	return s.end(chunk)
}

// put returns a set in which changes, sorted by start, replace the entries with
// the same start and are inserted otherwise. It copies only the chunks it changes.
func (s *sliceSet) put(changes []entry) sliceSet {
	out := sliceSet{
		firsts: make([]uint64, 0, len(s.firsts)+len(changes)/chunkSlices+1),
		chunks: make([][]entry, 0, len(s.chunks)+len(changes)/chunkSlices+1),
	}
	if len(s.chunks) == 0 {
		out.add(changes)
		return out
	}
	for c, old := range s.chunks {
		n := len(changes)
		if c+1 < len(s.firsts) {
			end := s.firsts[c+1]
			n = sort.Search(len(changes), func(i int) bool { return changes[i].start >= end })
		}
		if n == 0 {
			out.share(old)
			continue
		}
		out.add(mergeEntries(old, changes[:n]))
		changes = changes[n:]
	}
	return out
}

// share appends a chunk without copying it.
func (s *sliceSet) share(entries []entry) {
	s.firsts = append(s.firsts, entries[0].start)
	s.chunks = append(s.chunks, entries)
	s.count += len(entries)
}

// add appends entries, cut into chunks when they are too many for one.
func (s *sliceSet) add(entries []entry) {
	if len(entries) == 0 {
		return
	}
	if len(entries) <= 2*chunkSlices {
		s.share(entries)
		return
	}
	for part := range slices.Chunk(entries, chunkSlices) {
		s.share(slices.Clone(part))
	}
}

// mergeEntries merges two sorted lists into a new one; changes win.
func mergeEntries(old, changes []entry) []entry {
	out := make([]entry, 0, len(old)+len(changes))
	for _, e := range old {
		for len(changes) > 0 && changes[0].start < e.start {
			out, changes = append(out, changes[0]), changes[1:]
		}
		if len(changes) > 0 && changes[0].start == e.start {
			e, changes = changes[0], changes[1:]
		}
		out = append(out, e)
	}
	return append(out, changes...)
}

// sortEntries sorts entries by start and keeps the last of those with the same start.
func sortEntries(entries []entry) []entry {
	if ascending(entries) {
		return entries
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(a.start, b.start) })
	out := entries[:0]
	for i, e := range entries {
		if i+1 < len(entries) && entries[i+1].start == e.start {
			continue
		}
		out = append(out, e)
	}
	return out
}

func ascending(entries []entry) bool {
	for i := 1; i < len(entries); i++ {
		if entries[i].start <= entries[i-1].start {
			return false
		}
	}
	return true
}

// names is a dictionary of the names that slices refer to. Id 0 is the empty name.
type names struct {
	byID   []string
	sorted []uint32 // ids sorted by name
}

func newNames() names { return names{byID: []string{""}, sorted: []uint32{0}} }

func (n *names) find(name string) (id uint32, at int, ok bool) {
	at, ok = slices.BinarySearchFunc(n.sorted, name, func(id uint32, name string) int {
		return cmp.Compare(n.byID[id], name)
	})
	if ok {
		id = n.sorted[at]
	}
	return id, at, ok
}

// intern returns the id of name and copies the dictionary when the name is new,
// because other tables share the old one.
func (n *names) intern(name string) uint32 {
	id, at, ok := n.find(name)
	if ok {
		return id
	}
	id = uint32(len(n.byID))
	n.byID = append(slices.Clip(n.byID), name)
	n.sorted = slices.Insert(slices.Clone(n.sorted), at, id)
	return id
}
