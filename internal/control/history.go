package control

import (
	"sync"

	"github.com/agatestep/agatestep/internal/pack"
	"github.com/agatestep/agatestep/internal/table"
)

// Bounds of the deltas that are kept to update hosts that lag behind.
const (
	// maxHistoryDeltas is the number of revisions whose deltas are kept.
	maxHistoryDeltas = 1024
	// maxHistorySlices bounds the slice changes that are kept. Beyond it, a
	// snapshot is hardly larger than the deltas, and the deltas of a table of
	// 460,000 slices would take several times the memory of the table.
	maxHistorySlices = 1 << 18
)

// history keeps the latest deltas and caches their encodings. Nothing is encoded
// while mu is held, because Apply takes it too: encoding a snapshot of 460,000
// slices takes 0.2 s.
type history struct {
	mu           sync.Mutex
	deltas       []*table.Delta // consecutive
	sliceChanges int
	revision     uint64
	merged       map[uint64][]byte // merged deltas up to revision, by base
	large        map[uint64][]byte // single large deltas, by base

	encodeMu         sync.Mutex // held while a snapshot or a large delta is encoded, so that each is encoded once
	snapshot         []byte
	snapshotRevision uint64 // revision of snapshot
}

func newHistory() *history { return &history{merged: map[uint64][]byte{}, large: map[uint64][]byte{}} }

// largeDeltaChanges is the number of changes from which a delta is sent unmerged. It
// is then encoded once for all hosts; merged with others it would be encoded again
// for each host and each later revision.
const largeDeltaChanges = 200

func isLargeDelta(d *table.Delta) bool { return len(d.Items)+d.SliceCount() >= largeDeltaChanges }

// add records the delta that led to the next revision.
func (h *history) add(d *table.Delta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deltas = append(h.deltas, d)
	h.sliceChanges += d.SliceCount()
	drop := 0
	for len(h.deltas)-drop > maxHistoryDeltas || h.sliceChanges > maxHistorySlices {
		h.sliceChanges -= h.deltas[drop].SliceCount()
		drop++
	}
	for _, d := range h.deltas[:drop] {
		delete(h.large, d.Base)
	}
	clear(h.deltas[:drop]) // frees them although append reallocates the array only later
	h.deltas = h.deltas[drop:]
	h.setRevision(d.Revision)
}

// reset drops all deltas and cached encodings after a snapshot was restored.
func (h *history) reset(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deltas, h.sliceChanges = nil, 0
	h.snapshot, h.snapshotRevision = nil, 0
	clear(h.large)
	h.setRevision(revision)
}

func (h *history) setRevision(revision uint64) {
	h.revision = revision
	clear(h.merged)
}

// changes returns the packed update from revision since to the returned revision: that of
// t, the current table, or an earlier one from which the kept deltas lead on. A large
// delta is not merged with others. If the snapshot cannot be encoded, it returns no
// update.
func (h *history) changes(since uint64, t *table.Table) (delta, snapshot []byte, revision uint64) {
	if since >= t.Revision() {
		return nil, nil, t.Revision()
	}
	if delta, to := h.encodedDelta(since, t.Revision()); delta != nil {
		return delta, nil, to
	}
	h.encodeMu.Lock()
	defer h.encodeMu.Unlock()
	if cached, at := h.cachedSnapshot(since); cached != nil {
		return nil, cached, at
	}
	snapshot, err := t.Snapshot()
	if err == nil {
		snapshot, err = pack.Pack(snapshot)
	}
	if err != nil {
		return nil, nil, since
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.snapshot, h.snapshotRevision = snapshot, t.Revision()
	return nil, snapshot, t.Revision()
}

// cachedSnapshot returns the last encoded snapshot if it is newer than since and the
// deltas after it are still kept.
func (h *history) cachedSnapshot(since uint64) ([]byte, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.snapshot == nil || h.snapshotRevision <= since || (h.snapshotRevision != h.revision && len(h.deltasFrom(h.snapshotRevision)) == 0) {
		return nil, 0
	}
	return h.snapshot, h.snapshotRevision
}

// deltasFrom returns the deltas after a revision, or nil when they are no longer
// kept. The caller holds h.mu.
func (h *history) deltasFrom(since uint64) []*table.Delta {
	for i, d := range h.deltas {
		if d.Base == since {
			return h.deltas[i:]
		}
	}
	return nil
}

// encodedDelta returns the encoded merge of the deltas after since up to revision to, and
// the revision at which it ends. It returns nil if the deltas are no longer kept or cannot
// be encoded. A merge ends before a large delta; one that begins with a large delta
// consists of it alone.
func (h *history) encodedDelta(since, to uint64) (encoded []byte, end uint64) {
	h.mu.Lock()
	if cached := h.large[since]; cached != nil {
		defer h.mu.Unlock()
		return cached, h.deltasFrom(since)[0].Revision
	}
	parts := append([]*table.Delta(nil), h.deltasFrom(since)...)
	parts, single := mergeableDeltas(parts, to)
	if len(parts) == 0 {
		h.mu.Unlock()
		return nil, 0
	}
	end = parts[len(parts)-1].Revision
	if h.revision == end && h.merged[since] != nil {
		defer h.mu.Unlock()
		return h.merged[since], end
	}
	h.mu.Unlock()
	if single {
		return h.encodeLarge(parts[0]), end
	}
	encoded = encodeMerged(since, parts)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.revision == end && encoded != nil {
		h.merged[since] = encoded
	}
	return encoded, end
}

// mergeableDeltas returns the leading deltas, up to revision to, that are sent as one.
// single is set if they are one large delta.
func mergeableDeltas(deltas []*table.Delta, to uint64) (parts []*table.Delta, single bool) {
	for i, d := range deltas {
		switch {
		case d.Revision > to:
			return deltas[:i], false
		case isLargeDelta(d) && i == 0:
			return deltas[:1], true
		case isLargeDelta(d):
			return deltas[:i], false
		}
	}
	return deltas, false
}

// encodeLarge encodes a large delta, or returns its cached encoding.
func (h *history) encodeLarge(d *table.Delta) []byte {
	h.encodeMu.Lock()
	defer h.encodeMu.Unlock()
	h.mu.Lock()
	cached := h.large[d.Base]
	h.mu.Unlock()
	if cached != nil {
		return cached
	}
	encoded := encodeMerged(d.Base, []*table.Delta{d})
	h.mu.Lock()
	defer h.mu.Unlock()
	if encoded != nil && len(h.deltasFrom(d.Base)) > 0 {
		h.large[d.Base] = encoded
	}
	return encoded
}

// encodeMerged returns the packed merge of deltas, or nil if it cannot be encoded; the
// host then gets a snapshot instead.
func encodeMerged(since uint64, parts []*table.Delta) []byte {
	b := table.NewBuilder(since)
	for _, d := range parts {
		b.AddDelta(d)
	}
	encoded, err := b.Delta(parts[len(parts)-1].Revision).Encode()
	if err == nil {
		encoded, err = pack.Pack(encoded)
	}
	if err != nil {
		return nil
	}
	return encoded
}
