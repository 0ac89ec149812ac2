package keylease

import (
	"time"

	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// Config sets the length of leases.
type Config struct {
	// LeaseDuration is the length of the lease that each reply grants. It is the same
	// on all leaders, so that a new leader knows when the leases of earlier ones have
	// expired.
	LeaseDuration time.Duration
	// MaxClockDrift is how much slower the clock of a backend server may run, as a
	// fraction.
	MaxClockDrift float64
	// MinRecoveryGap is the shortest time between two heartbeats that together show that
	// a process whose loss was recorded is alive.
	MinRecoveryGap time.Duration
	// MaxRanges bounds the ranges of one reply, because backend servers accept no
	// larger one. Slices beyond it are not granted until others have moved.
	MaxRanges int
}

// maxLeaseDuration is the time after which a granted lease has expired on every clock.
func (c Config) maxLeaseDuration() time.Duration {
	return c.LeaseDuration + time.Duration(float64(c.LeaseDuration)*c.MaxClockDrift)
}

// Tracker records the heartbeats and leases of one leader. It is not safe for
// concurrent use.
type Tracker struct {
	cfg Config
	// electedAt is when this leader was elected: earlier leaders granted their leases
	// before.
	electedAt time.Time
	processes map[table.BackendRef]*process
	// released holds the moving slices that their old owners have released, with the epochs
	// of the old owners. handoverTokens holds the tokens of slices that were then granted to
	// their next owners, with the epochs of the next owners.
	released       map[sliceKey]releasedSlice
	handoverTokens map[sliceKey]releasedSlice
	// recovering holds the first heartbeats of processes whose loss was recorded.
	recovering map[table.BackendRef]recoveryAttempt
}

type sliceKey struct {
	service string
	start   uint64
}

// releasedSlice is a slice that its old owner has released, with the handover token that
// the old owner passes to the next one.
type releasedSlice struct {
	epoch    uint64
	handover string
}

// process is one process of a backend server.
type process struct {
	born          int64
	sequence      uint64
	lastHeartbeat time.Time // when the newest heartbeat was received
	// lastGrant is when the last lease was granted, or the election before that.
	lastGrant time.Time
	// lossDecided is set once its loss was decided. From then on it gets no lease,
	// because the commit of the loss may be in flight.
	lossDecided bool
	// omitted holds the moving slices that a reply left out, by start.
	omitted map[uint64]omission
}

// omission records that a reply left out a moving slice.
type omission struct {
	epoch    uint64 // of the slice
	sequence uint64 // of the first heartbeat that got such a reply
}

// NewTracker returns the Tracker of a leader that was elected at electedAt.
func NewTracker(cfg Config, electedAt time.Time) *Tracker {
	return &Tracker{cfg: cfg, electedAt: electedAt, processes: map[table.BackendRef]*process{}, released: map[sliceKey]releasedSlice{}, handoverTokens: map[sliceKey]releasedSlice{},
		recovering: map[table.BackendRef]recoveryAttempt{}}
}

// retryWindow is how long after its first receipt a repeated heartbeat is answered like
// the first one: a backend server waits a second for a reply, and the host that it called
// may forward its heartbeat more than once in that time.
const retryWindow = time.Second

// Observation is what a heartbeat showed.
type Observation struct {
	// Newest is set if the heartbeat is the newest of its process or a retry of that one;
	// an older heartbeat renews and releases nothing.
	Newest bool
	// Released is the number of moving slices that the process has released by this
	// heartbeat.
	Released int
}

// Observe records a heartbeat.
func (tr *Tracker) Observe(now time.Time, hb *wire.Heartbeat, slices []table.Slice) Observation {
	ref := table.BackendRef{Service: hb.Service, Name: hb.Backend}
	p := tr.processes[ref]
	switch {
	case p == nil || p.born < hb.Born:
		p = &process{born: hb.Born, lastGrant: tr.electedAt, omitted: map[uint64]omission{}}
		tr.processes[ref] = p
	case p.lossDecided, p.born > hb.Born, hb.Sequence < p.sequence:
		return Observation{}
	case hb.Sequence == p.sequence:
		return Observation{Newest: now.Sub(p.lastHeartbeat) <= retryWindow}
	}
	p.sequence, p.lastHeartbeat = hb.Sequence, now
	return Observation{Newest: true, Released: tr.detectReleased(p, hb, slices)}
}

// EarlierLeasesEnd returns when the leases that earlier leaders granted have certainly
// expired. Until then, a heartbeat that does not list a key is no proof that its sender
// does not hold it: it may have been delayed since before an earlier leader granted the
// key. Only the heartbeats that this leader has answered are in a known order with its
// grants.
func (tr *Tracker) EarlierLeasesEnd() time.Time { return tr.electedAt.Add(tr.cfg.maxLeaseDuration()) }

// detectReleased records the moving slices that the process has released: a reply left
// them out, and a heartbeat after that reply does not list them. It returns their number.
// The records count from EarlierLeasesEnd on.
func (tr *Tracker) detectReleased(p *process, hb *wire.Heartbeat, slices []table.Slice) (released int) {
	moving := map[uint64]bool{}
	for _, s := range slices {
		if s.State != table.SliceReleasing {
			continue
		}
		moving[s.Start] = true
		key := sliceKey{hb.Service, s.Start}
		old, known := tr.released[key]
		known = known && old.epoch == s.Epoch
		if overlaps(hb.Held, s) {
			// An earlier heartbeat that did not list the slice was sent before the grant.
			if known {
				delete(tr.released, key)
			}
			continue
		}
		o, ok := p.omitted[s.Start]
		if ok && o.epoch == s.Epoch && hb.Sequence > o.sequence && !known {
			tr.released[key] = releasedSlice{epoch: s.Epoch, handover: releasedToken(hb.Released, s)}
			released++
		}
	}
	for start := range p.omitted {
		if !moving[start] {
			delete(p.omitted, start)
		}
	}
	return released
}

func overlaps(ranges []wire.KeyRange, s table.Slice) bool {
	for _, r := range ranges {
		if r.First <= s.Last && s.Start <= r.Last {
			return true
		}
	}
	return false
}

// releasedToken returns the handover token of the released range that contains s, or "".
func releasedToken(released []wire.KeyRange, s table.Slice) string {
	for _, r := range released {
		if r.First <= s.Start && s.Last <= r.Last {
			return r.Handover
		}
	}
	return ""
}

// ReleasedTo returns the slices moving to a backend server that their old owners have
// released, so that they may be granted.
func (tr *Tracker) ReleasedTo(now time.Time, service, to string, all func(yield func(table.Slice) bool)) (starts, epochs []uint64) {
	if len(tr.released) == 0 || now.Before(tr.EarlierLeasesEnd()) {
		return nil, nil
	}
	all(func(s table.Slice) bool {
		if s.State == table.SliceReleasing && s.Next == to {
			if record, ok := tr.released[sliceKey{service, s.Start}]; ok && record.epoch == s.Epoch {
				starts, epochs = append(starts, s.Start), append(epochs, s.Epoch)
			}
		}
		return true
	})
	return starts, epochs
}

// RecordGrant keeps the handover tokens of granted slices under their new epoch until
// the new owner lists the slices.
func (tr *Tracker) RecordGrant(service string, starts []uint64, epoch uint64) {
	for _, start := range starts {
		key := sliceKey{service, start}
		if record, ok := tr.released[key]; ok {
			delete(tr.released, key)
			tr.handoverTokens[key] = releasedSlice{epoch: epoch, handover: record.handover}
		}
	}
}

// Grant returns the ranges for the reply to the newest heartbeat of a backend server,
// given the slices that it owns, and records that a lease was granted at now. It grants
// nothing to an older process or one whose loss was decided.
func (tr *Tracker) Grant(now time.Time, hb *wire.Heartbeat, slices []table.Slice) (holds []wire.KeyRange, ok bool) {
	p := tr.processes[table.BackendRef{Service: hb.Service, Name: hb.Backend}]
	if p == nil || p.lossDecided || p.born != hb.Born || p.sequence != hb.Sequence {
		return nil, false
	}
	p.lastGrant = now
	out, tokens := []wire.KeyRange{}, 0
	for _, s := range slices {
		if s.State == table.SliceReleasing {
			if o, ok := p.omitted[s.Start]; !ok || o.epoch != s.Epoch {
				p.omitted[s.Start] = omission{epoch: s.Epoch, sequence: hb.Sequence}
			}
			continue
		}
		delete(p.omitted, s.Start)
		r := wire.KeyRange{First: s.Start, Last: s.Last, Epoch: s.Epoch, Handover: tr.pendingToken(hb, s)}
		if r.Handover != "" {
			if tokens++; tokens > tr.cfg.MaxRanges/rangesPerToken {
				r.Handover = ""
			}
		}
		if next := appendRange(out, r); len(next) <= tr.cfg.MaxRanges {
			out = next
		}
	}
	return out, true
}

// rangesPerToken limits handover tokens, which nearly double the size of a range, to one
// for every fourth range that a reply may have. A slice that is granted without its token
// is slow at first.
const rangesPerToken = 4

// pendingToken returns the handover token of a slice until its owner lists the slice.
func (tr *Tracker) pendingToken(hb *wire.Heartbeat, s table.Slice) string {
	key := sliceKey{hb.Service, s.Start}
	record, ok := tr.handoverTokens[key]
	if !ok || record.epoch != s.Epoch {
		return ""
	}
	for _, r := range hb.Held {
		if r.First <= s.Start && s.Last <= r.Last && r.Epoch == s.Epoch {
			delete(tr.handoverTokens, key)
			return ""
		}
	}
	return record.handover
}

// appendRange appends a range, or merges it with an adjacent previous one of the same
// epoch and token.
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

// DecideLoss reports whether every lease of a process has certainly expired and it has
// sent no heartbeat for that long. If so, the process gets no lease until the table has
// its loss.
func (tr *Tracker) DecideLoss(now time.Time, b *table.Backend) bool {
	if now.Before(tr.leaseEnd(b)) {
		return false
	}
	ref := table.BackendRef{Service: b.Service, Name: b.Name}
	if p := tr.processes[ref]; p == nil || p.born <= b.Born {
		tr.processes[ref] = &process{born: b.Born, lossDecided: true, lastGrant: tr.electedAt}
	}
	return true
}

// leaseEnd returns when the leases of a process have certainly expired unless it sends
// another heartbeat.
func (tr *Tracker) leaseEnd(b *table.Backend) time.Time {
	from := tr.electedAt
	p := tr.processes[table.BackendRef{Service: b.Service, Name: b.Name}]
	if p != nil && p.born == b.Born && !p.lossDecided {
		if p.lastGrant.After(from) {
			from = p.lastGrant
		}
		if p.lastHeartbeat.After(from) {
			from = p.lastHeartbeat
		}
	}
	return from.Add(tr.cfg.maxLeaseDuration())
}

// LastHeartbeat returns when the newest heartbeat of a process was received.
func (tr *Tracker) LastHeartbeat(b *table.Backend) (time.Time, bool) {
	p := tr.processes[table.BackendRef{Service: b.Service, Name: b.Name}]
	if p == nil || p.born != b.Born || p.lastHeartbeat.IsZero() {
		return time.Time{}, false
	}
	return p.lastHeartbeat, true
}

// Prune drops the records of processes that are no longer in the table, were lost or
// were replaced, and of slices that changed.
func (tr *Tracker) Prune(t *table.Table) {
	for ref, p := range tr.processes {
		if b := t.Backend(ref.Service, ref.Name); b == nil || b.Lost || b.Born > p.born {
			delete(tr.processes, ref)
		}
	}
	for ref := range tr.recovering {
		if b := t.Backend(ref.Service, ref.Name); b == nil || !b.Lost {
			delete(tr.recovering, ref)
		}
	}
	for _, records := range []map[sliceKey]releasedSlice{tr.released, tr.handoverTokens} {
		for key, record := range records {
			s, ok := t.Lookup(key.service, key.start)
			if !ok || s.Start != key.start || s.Epoch != record.epoch {
				delete(records, key)
			}
		}
	}
}
