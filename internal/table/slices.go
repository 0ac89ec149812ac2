package table

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// slicesPerChunk is the number of slices that a full rebuild puts into one chunk.
// Changing a slice copies its chunk, so smaller chunks make deltas cheaper but the
// list of chunks longer.
const slicesPerChunk = 128

// packedSlice is a slice in compact form, with name ids of the service's nameIndex.
type packedSlice struct {
	start   uint64
	epoch   uint64
	owner   uint32
	next    uint32
	standby uint32
	state   SliceState
}

// sliceSet holds the slices of one service, sorted by start, in chunks. Tables share
// chunks, so a chunk in a table never changes.
type sliceSet struct {
	chunkStarts []uint64 // start of the first slice of each chunk
	chunks      [][]packedSlice
	count       int
}

// find returns the position of the slice that holds hash.
func (s *sliceSet) find(hash uint64) (chunk, at int, ok bool) {
	lo, hi := 0, len(s.chunkStarts)
	for lo < hi {
		if mid := int(uint(lo+hi) >> 1); s.chunkStarts[mid] > hash {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	if lo == 0 {
		return 0, 0, false
	}
	return lo - 1, findSlice(s.chunks[lo-1], s.chunkStarts[lo-1], s.lastHashOfChunk(lo-1), hash), true
}

// lastHashOfChunk returns the last hash of a chunk.
func (s *sliceSet) lastHashOfChunk(chunk int) uint64 {
	if chunk+1 < len(s.chunkStarts) {
		return s.chunkStarts[chunk+1] - 1
	}
	return math.MaxUint64
}

// findSlice returns the index of the slice that holds hash, in a chunk of hashes from
// first, which is at most hash, to last. Slices have similar sizes, so the search
// starts at the index that hash would have if all sizes were equal: a binary search
// from the middle reads three times as many cache lines.
func findSlice(chunk []packedSlice, first, last, hash uint64) int {
	n := len(chunk)
	width := max((last-first)/uint64(n), 1)
	at := int(min((hash-first)/width, uint64(n-1)))
	lo, hi := 0, n // chunk[lo] starts at or before hash, chunk[hi] after it
	if chunk[at].start <= hash {
		lo = at
		for step := 1; lo+step < n; step *= 2 {
			if chunk[lo+step].start > hash {
				hi = lo + step
				break
			}
			lo += step
		}
	} else {
		hi = at
		for step := 1; hi-step > 0; step *= 2 {
			if chunk[hi-step].start <= hash {
				lo = hi - step
				break
			}
			hi -= step
		}
	}
	for hi-lo > 1 {
		if mid := int(uint(lo+hi) >> 1); chunk[mid].start > hash {
			hi = mid
		} else {
			lo = mid
		}
	}
	return lo
}

// lastHash returns the last hash of the slice at a position.
func (s *sliceSet) lastHash(chunk, at int) uint64 {
	if packed := s.chunks[chunk]; at+1 < len(packed) {
		return packed[at+1].start - 1
	}
	return s.lastHashOfChunk(chunk)
}

// withChanges returns a set in which changes, sorted by start, replace the slices
// with the same start and are inserted otherwise. It copies only the chunks that
// change.
func (s *sliceSet) withChanges(changes []packedSlice) sliceSet {
	out := sliceSet{
		chunkStarts: make([]uint64, 0, len(s.chunkStarts)+len(changes)/slicesPerChunk+1),
		chunks:      make([][]packedSlice, 0, len(s.chunks)+len(changes)/slicesPerChunk+1),
	}
	if len(s.chunks) == 0 {
		out.appendSlices(changes)
		return out
	}
	for c, old := range s.chunks {
		n := len(changes)
		if c+1 < len(s.chunkStarts) {
			end := s.chunkStarts[c+1]
			n = sort.Search(len(changes), func(i int) bool { return changes[i].start >= end })
		}
		if n == 0 {
			out.appendChunk(old)
			continue
		}
		out.appendSlices(mergeSlices(old, changes[:n]))
		changes = changes[n:]
	}
	return out
}

// appendChunk appends a chunk without copying it.
func (s *sliceSet) appendChunk(chunk []packedSlice) {
	s.chunkStarts = append(s.chunkStarts, chunk[0].start)
	s.chunks = append(s.chunks, chunk)
	s.count += len(chunk)
}

// appendSlices appends slices as one chunk, or as several when there are more than
// 2*slicesPerChunk.
func (s *sliceSet) appendSlices(packed []packedSlice) {
	if len(packed) == 0 {
		return
	}
	if len(packed) <= 2*slicesPerChunk {
		s.appendChunk(packed)
		return
	}
	for part := range slices.Chunk(packed, slicesPerChunk) {
		s.appendChunk(slices.Clone(part))
	}
}

// mergeSlices merges two lists sorted by start into a new one. A slice in changes
// replaces the one in old with the same start.
func mergeSlices(old, changes []packedSlice) []packedSlice {
	out := make([]packedSlice, 0, len(old)+len(changes))
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

// sortAndDedupe sorts slices by start and keeps the last one of each start.
func sortAndDedupe(packed []packedSlice) []packedSlice {
	if isStrictlyAscending(packed) {
		return packed
	}
	slices.SortStableFunc(packed, func(a, b packedSlice) int { return cmp.Compare(a.start, b.start) })
	out := packed[:0]
	for i, e := range packed {
		if i+1 < len(packed) && packed[i+1].start == e.start {
			continue
		}
		out = append(out, e)
	}
	return out
}

func isStrictlyAscending(packed []packedSlice) bool {
	for i := 1; i < len(packed); i++ {
		if packed[i].start <= packed[i-1].start {
			return false
		}
	}
	return true
}

// nameIndex assigns ids to the names that slices refer to. Id 0 is the empty name.
type nameIndex struct {
	byID   []string
	sorted []uint32 // ids sorted by name
}

func newNameIndex() nameIndex { return nameIndex{byID: []string{""}, sorted: []uint32{0}} }

// find returns the id of name and its position in sorted. For an unknown name, ok is
// false and at is the position to insert it at.
func (n *nameIndex) find(name string) (id uint32, at int, ok bool) {
	at, ok = slices.BinarySearchFunc(n.sorted, name, func(id uint32, name string) int {
		return cmp.Compare(n.byID[id], name)
	})
	if ok {
		id = n.sorted[at]
	}
	return id, at, ok
}

// intern returns the id of name, which it adds when it is new. It copies the lists
// then, because other tables share the old ones.
func (n *nameIndex) intern(name string) uint32 {
	id, at, ok := n.find(name)
	if ok {
		return id
	}
	id = uint32(len(n.byID))
	n.byID = append(slices.Clip(n.byID), name)
	n.sorted = slices.Insert(slices.Clone(n.sorted), at, id)
	return id
}
