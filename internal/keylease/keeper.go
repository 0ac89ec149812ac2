package keylease

import (
	"time"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// Config sets the length of leases.
type Config struct {
	// Hold is the lease that each answer grants. It is the same for all, so that a
	// new leader knows when the leases of earlier ones are over.
	Hold time.Duration
	// MaxClockDrift is how much slower the clock of a backend server may run.
	MaxClockDrift float64
	// ReturnGap is the shortest time between two heartbeats that together show that a
	// process whose loss was recorded lives.
	ReturnGap time.Duration
	// MaxRanges bounds the ranges of one answer, because backend servers take no
	// larger one. Slices beyond it are not granted until others have moved.
	MaxRanges int
}

// span is the time after which a granted lease is surely over.
func (c Config) span() time.Duration {
	return c.Hold + time.Duration(float64(c.Hold)*c.MaxClockDrift)
}

// Keeper remembers the heartbeats that one leader answered. It is not safe for
// concurrent use.
type Keeper struct {
	cfg Config
	// since is when this leader was elected: leases of earlier leaders began before.
	since   time.Time
	holders map[table.BackendRef]*holder
	// freed are slices on the move that their old owner surely gave up, with the
	// epoch that it had. tokens are for owners that were granted slices since, with
	// the epoch that they have.
	freed  map[sliceKey]freed
	tokens map[sliceKey]freed
	// returning are the first signs of processes whose loss was recorded.
	returning map[table.BackendRef]sign
}

type sliceKey struct {
	service string
	start   uint64
}

type freed struct {
	epoch    uint64
	handover string
}

// holder is one process of a backend server.
type holder struct {
	born     int64
	sequence uint64
	heard    time.Time // last heartbeat
	// granted is the last answer with a lease.
	granted time.Time
	// condemned is set once its loss was decided. It gets no lease any more: the
	// commit of the loss may be on its way.
	condemned bool
	// omitted are the slices on the move that an answer left out, with the sequence
	// of the first heartbeat answered so and the epoch.
	omitted map[uint64]omission
}

type omission struct {
	epoch    uint64
	sequence uint64
}

// NewKeeper returns the memory of a leader that was elected at since.
func NewKeeper(cfg Config, since time.Time) *Keeper {
	return &Keeper{cfg: cfg, since: since, holders: map[table.BackendRef]*holder{}, freed: map[sliceKey]freed{}, tokens: map[sliceKey]freed{},
		returning: map[table.BackendRef]sign{}}
}

// repeatTime is how long after its first receipt a heartbeat that comes again is
// answered as the first one was: a backend server waits a second for an answer, and
// the host that it called passes its heartbeat on more than once in that time.
const repeatTime = time.Second

// Observe takes in a heartbeat. It reports whether it is the newest of its process,
// or that one once more; an older one renews and moves nothing.
func (k *Keeper) Observe(now time.Time, hb *wire.Heartbeat, slices []table.Slice) (newest bool) {
	ref := table.BackendRef{Service: hb.Service, Name: hb.Backend}
	h := k.holders[ref]
	switch {
	case h == nil || h.born < hb.Born:
		h = &holder{born: hb.Born, granted: k.since, omitted: map[uint64]omission{}}
		k.holders[ref] = h
	case h.condemned, h.born > hb.Born, hb.Sequence < h.sequence:
		return false
	case hb.Sequence == h.sequence:
		return now.Sub(h.heard) <= repeatTime
	}
	h.sequence, h.heard = hb.Sequence, now
	k.noteFreed(h, hb, slices)
	return true
}

// noteFreed finds the moving slices that the process has given up: an answer left
// them out, and a heartbeat after it does not list them.
func (k *Keeper) noteFreed(h *holder, hb *wire.Heartbeat, slices []table.Slice) {
	moving := map[uint64]bool{}
	for _, s := range slices {
		if s.State != table.SliceReleasing {
			continue
		}
		moving[s.Start] = true
		o, ok := h.omitted[s.Start]
		if ok && o.epoch == s.Epoch && hb.Sequence > o.sequence && !overlaps(hb.Holds, s) {
			key := sliceKey{hb.Service, s.Start}
			if old, known := k.freed[key]; !known || old.epoch != s.Epoch {
				k.freed[key] = freed{epoch: s.Epoch, handover: tokenFor(hb.Released, s)}
			}
		}
	}
	for start := range h.omitted {
		if !moving[start] {
			delete(h.omitted, start)
		}
	}
}

func overlaps(ranges []wire.KeyRange, s table.Slice) bool {
	for _, r := range ranges {
		if r.First <= s.Last && s.Start <= r.Last {
			return true
		}
	}
	return false
}

func tokenFor(released []wire.KeyRange, s table.Slice) string {
	for _, r := range released {
		if r.First <= s.Start && s.Last <= r.Last {
			return r.Handover
		}
	}
	return ""
}

// Freed returns the slices on the move to a backend server whose old owners gave
// them up, so that they may be granted.
func (k *Keeper) Freed(service, to string, all func(yield func(table.Slice) bool)) (starts, epochs []uint64) {
	if len(k.freed) == 0 {
		return nil, nil
	}
	all(func(s table.Slice) bool {
		if s.State == table.SliceReleasing && s.Next == to {
			if f, ok := k.freed[sliceKey{service, s.Start}]; ok && f.epoch == s.Epoch {
				starts, epochs = append(starts, s.Start), append(epochs, s.Epoch)
			}
		}
		return true
	})
	return starts, epochs
}

// Granted keeps the token of slices that were granted, under their new epoch,
// until their new owner lists them.
func (k *Keeper) Granted(service string, starts []uint64, epoch uint64) {
	for _, start := range starts {
		key := sliceKey{service, start}
		if f, ok := k.freed[key]; ok {
			delete(k.freed, key)
			k.tokens[key] = freed{epoch: epoch, handover: f.handover}
		}
	}
}

// Grant returns the ranges that the answer to the newest heartbeat of a backend
// server lists, given the slices that it owns, and counts its lease from now. It
// grants nothing to a process that is older or whose loss was decided.
func (k *Keeper) Grant(now time.Time, hb *wire.Heartbeat, slices []table.Slice) (holds []wire.KeyRange, ok bool) {
	h := k.holders[table.BackendRef{Service: hb.Service, Name: hb.Backend}]
	if h == nil || h.condemned || h.born != hb.Born || h.sequence != hb.Sequence {
		return nil, false
	}
	h.granted = now
	out, tokens := []wire.KeyRange{}, 0
	for _, s := range slices {
		if s.State == table.SliceReleasing {
			if o, ok := h.omitted[s.Start]; !ok || o.epoch != s.Epoch {
				h.omitted[s.Start] = omission{epoch: s.Epoch, sequence: hb.Sequence}
			}
			continue
		}
		delete(h.omitted, s.Start)
		r := wire.KeyRange{First: s.Start, Last: s.Last, Epoch: s.Epoch, Handover: k.token(hb, s)}
		if r.Handover != "" {
			if tokens++; tokens > k.cfg.MaxRanges/tokensPerRange {
				r.Handover = ""
			}
		}
		if next := appendRange(out, r); len(next) <= k.cfg.MaxRanges {
			out = next
		}
	}
	return out, true
}

// tokensPerRange keeps the tokens, which nearly double a range, to a part of the
// answer. A slice without its token is slow at first.
const tokensPerRange = 4

// token returns the token of a slice until its owner lists the slice.
func (k *Keeper) token(hb *wire.Heartbeat, s table.Slice) string {
	key := sliceKey{hb.Service, s.Start}
	f, ok := k.tokens[key]
	if !ok || f.epoch != s.Epoch {
		return ""
	}
	for _, r := range hb.Holds {
		if r.First <= s.Start && s.Last <= r.Last && r.Epoch == s.Epoch {
			delete(k.tokens, key)
			return ""
		}
	}
	return f.handover
}

// appendRange merges a range with the one before if nothing tells them apart.
func appendRange(out []wire.KeyRange, r wire.KeyRange) []wire.KeyRange {
	if n := len(out); n > 0 {
		last := &out[n-1]
		if last.Last+1 == r.First && last.Epoch == r.Epoch && last.Handover == r.Handover {
			last.Last = r.Last
			return out
		}
	}
	return append(out, r)
}

// Lost reports whether every lease of a process is surely over and it was silent
// for as long.
// From then on the process gets no lease until the table has its loss.
func (k *Keeper) Lost(now time.Time, b *table.Backend) bool {
	if now.Before(k.leaseEnd(b)) {
		return false
	}
	ref := table.BackendRef{Service: b.Service, Name: b.Name}
	if h := k.holders[ref]; h == nil || h.born <= b.Born {
		k.holders[ref] = &holder{born: b.Born, condemned: true, granted: k.since}
	}
	return true
}

// leaseEnd is when the leases of a process are surely over unless it is heard again.
func (k *Keeper) leaseEnd(b *table.Backend) time.Time {
	from := k.since
	h := k.holders[table.BackendRef{Service: b.Service, Name: b.Name}]
	if h != nil && h.born == b.Born && !h.condemned {
		if h.granted.After(from) {
			from = h.granted
		}
		if h.heard.After(from) {
			from = h.heard
		}
	}
	return from.Add(k.cfg.span())
}

// Heard returns when the newest heartbeat of a process arrived.
func (k *Keeper) Heard(b *table.Backend) (time.Time, bool) {
	h := k.holders[table.BackendRef{Service: b.Service, Name: b.Name}]
	if h == nil || h.born != b.Born || h.heard.IsZero() {
		return time.Time{}, false
	}
	return h.heard, true
}

// Forget drops what is remembered of processes that the table knows no more.
func (k *Keeper) Forget(t *table.Table) {
	for ref, h := range k.holders {
		if b := t.Backend(ref.Service, ref.Name); b == nil || b.Lost || b.Born > h.born {
			delete(k.holders, ref)
		}
	}
	for ref := range k.returning {
		if b := t.Backend(ref.Service, ref.Name); b == nil || !b.Lost {
			delete(k.returning, ref)
		}
	}
	for _, remembered := range []map[sliceKey]freed{k.freed, k.tokens} {
		for key, f := range remembered {
			s, ok := t.Lookup(key.service, key.start)
			if !ok || s.Start != key.start || s.Epoch != f.epoch {
				delete(remembered, key)
			}
		}
	}
}
