package control

import (
	"sync"

	"github.com/agatestep/agatestep/internal/table"
)

// The delta horizon: what is kept to answer hosts that are behind.
const (
	// maxHistory is the number of revisions whose deltas are kept.
	maxHistory = 1024
	// maxHistorySlices bounds the slice changes that are kept. Beyond it, a
	// snapshot is hardly larger than the deltas, and the deltas of a table of
	// 460,000 slices would take ten times the memory of the table.
	maxHistorySlices = 1 << 18
)

// history keeps the last deltas and the encoded answers for the current revision.
type history struct {
	mu       sync.Mutex
	deltas   []*table.Delta // consecutive
	slices   int
	revision uint64
	answers  map[uint64][]byte // encoded deltas to revision, by base
	snapshot []byte            // encoded table of revision
}

func newHistory() *history { return &history{answers: map[uint64][]byte{}} }

// add records the delta that led to next.
func (h *history) add(d *table.Delta, next *table.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deltas = append(h.deltas, d)
	h.slices += d.SliceCount()
	drop := 0
	for len(h.deltas)-drop > maxHistory || h.slices > maxHistorySlices {
		h.slices -= h.deltas[drop].SliceCount()
		drop++
	}
	if drop > 0 {
		// Copying every time would cost a kilobyte-sized copy per command; append
		// reallocates once per capacity instead and frees the dropped ones then.
		clear(h.deltas[:drop])
		h.deltas = h.deltas[drop:]
	}
	h.renew(next.Revision())
}

// reset forgets all deltas, after a restored snapshot.
func (h *history) reset(t *table.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deltas, h.slices = nil, 0
	h.renew(t.Revision())
}

func (h *history) renew(revision uint64) {
	h.revision, h.snapshot = revision, nil
	clear(h.answers)
}

// changes returns the encoded way from revision since to t, the current table.
func (h *history) changes(since uint64, t *table.Table) (delta, snapshot []byte, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if since >= t.Revision() {
		return nil, nil, t.Revision()
	}
	if delta := h.delta(since, t.Revision()); delta != nil {
		return delta, nil, t.Revision()
	}
	if h.snapshot != nil && h.revision == t.Revision() {
		return nil, h.snapshot, t.Revision()
	}
	snapshot, err := t.Snapshot()
	if err != nil {
		return nil, nil, since
	}
	if h.revision == t.Revision() {
		h.snapshot = snapshot
	}
	return nil, snapshot, t.Revision()
}

// delta returns the encoded sum of the deltas from since to a revision, or nil.
func (h *history) delta(since, to uint64) []byte {
	if h.revision == to {
		if encoded := h.answers[since]; encoded != nil {
			return encoded
		}
	}
	b := table.NewBuilder(since)
	found := false
	for _, d := range h.deltas {
		if found = found || d.Base == since; found && d.Revision <= to {
			b.Add(d)
		}
	}
	if !found {
		return nil
	}
	encoded, err := b.Delta(to).Encode()
	if err != nil {
		return nil
	}
	if h.revision == to {
		h.answers[since] = encoded
	}
	return encoded
}
