package control

import (
	"sync"

	"github.com/agatestep/agatestep/internal/pack"
	"github.com/agatestep/agatestep/internal/table"
)

// The delta horizon: what is kept to answer hosts that are behind.
const (
	// maxHistory is the number of revisions whose deltas are kept.
	maxHistory = 1024
	// maxHistorySlices bounds the slice changes that are kept. Beyond it, a
	// snapshot is hardly larger than the deltas, and the deltas of a table of
	// 460,000 slices would take several times the memory of the table.
	maxHistorySlices = 1 << 18
)

// history keeps the last deltas and encoded answers. Nothing is encoded under its
// lock, because Apply takes it too: a snapshot of 460,000 slices takes 0.2 s.
type history struct {
	mu       sync.Mutex
	deltas   []*table.Delta // consecutive
	slices   int
	revision uint64
	answers  map[uint64][]byte // encoded deltas to revision, by base
	large    map[uint64][]byte // encoded large deltas, by base

	encoding   sync.Mutex // held while a snapshot is encoded, so that it is done once
	snapshot   []byte
	snapshotAt uint64 // revision of snapshot
}

func newHistory() *history { return &history{answers: map[uint64][]byte{}, large: map[uint64][]byte{}} }

// largeChanges is the number of changes from which a delta is passed on alone. Its
// encoding is made once for all hosts; as part of a sum of deltas it would be
// encoded again for each host and each revision that follows.
const largeChanges = 200

func isLarge(d *table.Delta) bool { return len(d.Items)+d.SliceCount() >= largeChanges }

// add records the delta that led to the next revision.
func (h *history) add(d *table.Delta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deltas = append(h.deltas, d)
	h.slices += d.SliceCount()
	drop := 0
	for len(h.deltas)-drop > maxHistory || h.slices > maxHistorySlices {
		h.slices -= h.deltas[drop].SliceCount()
		drop++
	}
	for _, d := range h.deltas[:drop] {
		delete(h.large, d.Base)
	}
	clear(h.deltas[:drop]) // the array is reallocated by a later append only
	h.deltas = h.deltas[drop:]
	h.renew(d.Revision)
}

// reset forgets everything, after a restored snapshot.
func (h *history) reset(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deltas, h.slices = nil, 0
	h.snapshot, h.snapshotAt = nil, 0
	clear(h.large)
	h.renew(revision)
}

func (h *history) renew(revision uint64) {
	h.revision = revision
	clear(h.answers)
}

// changes returns the packed way from revision since to t, the current table, or
// to a somewhat older one from which a delta leads on. A large delta comes alone.
func (h *history) changes(since uint64, t *table.Table) (delta, snapshot []byte, revision uint64) {
	if since >= t.Revision() {
		return nil, nil, t.Revision()
	}
	if delta, to := h.delta(since, t.Revision()); delta != nil {
		return delta, nil, to
	}
	h.encoding.Lock()
	defer h.encoding.Unlock()
	if old, at := h.usable(since); old != nil {
		return nil, old, at
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
	h.snapshot, h.snapshotAt = snapshot, t.Revision()
	return nil, snapshot, t.Revision()
}

// usable returns the last encoded snapshot if it is newer than since and within
// the delta horizon.
func (h *history) usable(since uint64) ([]byte, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.snapshot == nil || h.snapshotAt <= since || (h.snapshotAt != h.revision && len(h.from(h.snapshotAt)) == 0) {
		return nil, 0
	}
	return h.snapshot, h.snapshotAt
}

// from returns the deltas after a revision, or nil when it is past the horizon.
func (h *history) from(since uint64) []*table.Delta {
	for i, d := range h.deltas {
		if d.Base == since {
			return h.deltas[i:]
		}
	}
	return nil
}

// delta returns the encoded sum of the deltas from since to a revision, or nil. It
// ends before a large delta, or after one that it begins with.
func (h *history) delta(since, to uint64) (encoded []byte, end uint64) {
	h.mu.Lock()
	if known := h.large[since]; known != nil {
		defer h.mu.Unlock()
		return known, h.from(since)[0].Revision
	}
	parts := append([]*table.Delta(nil), h.from(since)...)
	parts, alone := upToLarge(parts, to)
	if len(parts) == 0 {
		h.mu.Unlock()
		return nil, 0
	}
	end = parts[len(parts)-1].Revision
	if h.revision == end && h.answers[since] != nil {
		defer h.mu.Unlock()
		return h.answers[since], end
	}
	h.mu.Unlock()
	if alone {
		return h.encodeLarge(parts[0]), end
	}
	encoded = encodeSum(since, parts)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.revision == end && encoded != nil {
		h.answers[since] = encoded
	}
	return encoded, end
}

// upToLarge returns the deltas up to a revision that are passed on together. alone
// is set if that is one large delta.
func upToLarge(deltas []*table.Delta, to uint64) (parts []*table.Delta, alone bool) {
	for i, d := range deltas {
		switch {
		case d.Revision > to:
			return deltas[:i], false
		case isLarge(d) && i == 0:
			return deltas[:1], true
		case isLarge(d):
			return deltas[:i], false
		}
	}
	return deltas, false
}

// encodeLarge encodes a large delta once.
func (h *history) encodeLarge(d *table.Delta) []byte {
	h.encoding.Lock()
	defer h.encoding.Unlock()
	h.mu.Lock()
	known := h.large[d.Base]
	h.mu.Unlock()
	if known != nil {
		return known
	}
	encoded := encodeSum(d.Base, []*table.Delta{d})
	h.mu.Lock()
	defer h.mu.Unlock()
	if encoded != nil && len(h.from(d.Base)) > 0 {
		h.large[d.Base] = encoded
	}
	return encoded
}

// encodeSum returns the packed sum of deltas, or nil if it cannot be encoded; the
// host gets a snapshot instead.
func encodeSum(since uint64, parts []*table.Delta) []byte {
	b := table.NewBuilder(since)
	for _, d := range parts {
		b.Add(d)
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
