package replication

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// driver connects a Core with storage, transport, state machine and clock. It
// is used by one goroutine only; Node adds that goroutine.
type driver struct {
	cfg              Config
	core             *Core
	applied          uint64
	snapshotIndex    uint64 // of the last saved snapshot
	snapshotInterval uint64 // number of entries from that snapshot to the next
	rand             *rand.Rand
	rounds           []roundStart
	electedAt        time.Time
	waiters          map[uint64]waiter // by log index
	reads            map[uint64]*request
	nextRead         uint64
	changes          []*request // membership changes to retry at the next tick
	transfers        []*request
	notified         struct {
		leader ReplicaID
		term   uint64
	}
	err    error
	status atomic.Pointer[Status]
	// barrier covers everything that the messages sent so far acknowledge.
	barrier atomic.Pointer[Barrier]
	loop    loopProgress

	counters counters
}

// roundStart is the start time of a heartbeat round on the leader's clock.
type roundStart struct {
	round uint64
	at    time.Time
}

// waiter is a request whose entry is in the log of this leader.
type waiter struct {
	term uint64
	req  *request
}

func newDriver(cfg Config) (*driver, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	state, err := cfg.Storage.Load()
	if err != nil {
		return nil, errors.Annotate(err, "loading the replicated log")
	}
	core, err := NewCore(cfg.coreConfig(), state)
	if err != nil {
		return nil, err
	}
	d := &driver{cfg: cfg, core: core, waiters: map[uint64]waiter{}, reads: map[uint64]*request{},
		rand: rand.New(rand.NewPCG(cfg.Seed, 2))}
	d.notified.term = core.term
	d.scheduleSnapshot()
	if s := state.Snapshot; s.Index > 0 {
		if err := cfg.StateMachine.Restore(s.Index, s.Data); err != nil {
			return nil, errors.Annotatef(err, "restoring the snapshot at index %d", s.Index)
		}
		d.applied, d.snapshotIndex = s.Index, s.Index
	}
	d.publishBarrier()
	d.process()
	return d, d.err
}

// tick advances the core's timers and retries waiting membership changes.
func (d *driver) tick() {
	if d.err != nil {
		return
	}
	d.core.Tick()
	waiting := d.changes
	d.changes = nil
	for _, req := range waiting {
		d.startChange(req)
	}
}

func (d *driver) step(m Message) {
	if d.err == nil {
		d.counters.messagesReceived.Add(1)
		d.fail(d.core.Step(m))
	}
}

// fail stops the replica from taking part, because the content of its disk, or
// whether its log agrees with the group's, is no longer certain.
func (d *driver) fail(err error) {
	if err != nil && d.err == nil {
		d.err = errors.Annotate(err, "replica stopped taking part")
	}
}

// process does the core's pending work and publishes the status.
func (d *driver) process() {
	defer d.loop.enter(StageWaiting)
	for d.err == nil {
		rd := d.core.Ready()
		d.recordRoundStart()
		if rd.empty() {
			break
		}
		d.loop.enter(StageSend)
		d.publishBarrier()
		d.sendAll(rd.Early)
		d.loop.enter(StageStore)
		if err := d.persist(rd); err != nil {
			d.fail(err)
			break
		}
		d.loop.enter(StageSend)
		d.sendAll(rd.Messages)
		d.core.Advance(rd)
		d.loop.enter(StageApply)
		d.apply(rd)
	}
	d.loop.enter(StagePublish)
	d.resolvePending()
	d.publish()
}

func (d *driver) sendAll(messages []Message) {
	d.counters.messagesSent.Add(uint64(len(messages)))
	for _, m := range messages {
		d.cfg.Transport.Send(m)
	}
}

func (d *driver) persist(rd Ready) error {
	if rd.Snapshot != nil {
		if err := d.cfg.Storage.SaveSnapshot(*rd.Snapshot); err != nil {
			return err
		}
	}
	if !rd.Sync {
		return nil
	}
	d.counters.syncs.Add(1)
	d.counters.entriesSynced.Add(uint64(len(rd.Entries)))
	return d.cfg.Storage.Append(rd.HardState, rd.Entries)
}

// recordRoundStart records when the current heartbeat round began. It runs
// before the round's messages are sent, so a lease never starts later than its
// heartbeat.
func (d *driver) recordRoundStart() {
	round := d.core.round
	if n := len(d.rounds); n == 0 || d.rounds[n-1].round < round {
		d.rounds = append(d.rounds, roundStart{round, d.cfg.Clock.Now()})
	}
}

// leaseUntil returns the end of the lease, or zero if none is held.
func (d *driver) leaseUntil() time.Time {
	round := d.core.leaseRound()
	for len(d.rounds) > 1 && d.rounds[0].round < round {
		d.rounds = d.rounds[1:]
	}
	if round == 0 || d.rounds[0].round != round {
		return time.Time{}
	}
	return d.rounds[0].at.Add(d.cfg.leaseWindow())
}

func (d *driver) apply(rd Ready) {
	if s := rd.Snapshot; s != nil {
		if err := d.cfg.StateMachine.Restore(s.Index, s.Data); err != nil {
			d.fail(errors.Annotatef(err, "restoring the snapshot at index %d", s.Index))
			return
		}
		d.applied, d.snapshotIndex = s.Index, s.Index
		d.counters.snapshotsRestored.Add(1)
	}
	d.counters.entriesApplied.Add(uint64(len(rd.Committed)))
	for _, e := range rd.Committed {
		var result []byte
		if e.Kind == EntryCommand {
			result = d.cfg.StateMachine.Apply(e.Index, e.Data)
		}
		d.applied = e.Index
		if w, ok := d.waiters[e.Index]; ok {
			delete(d.waiters, e.Index)
			if w.term == e.Term {
				w.req.finish(outcome{index: e.Index, result: result})
			} else {
				w.req.finish(outcome{err: ErrProposalDropped})
			}
		}
	}
	for _, r := range rd.Reads {
		d.reads[r.ID].finish(outcome{index: r.Index})
		delete(d.reads, r.ID)
	}
	d.maybeSnapshot()
}

// scheduleSnapshot lengthens the interval between snapshots at random by up to a
// quarter, so that the replicas do not all pause for them at the same entry.
func (d *driver) scheduleSnapshot() {
	d.snapshotInterval = d.cfg.SnapshotEvery + d.rand.Uint64N(d.cfg.SnapshotEvery/4+1)
}

// maybeSnapshot saves the state once enough entries were applied since the last
// snapshot. KeepEntries before it stay in memory for lagging followers.
func (d *driver) maybeSnapshot() {
	if d.applied-d.snapshotIndex < d.snapshotInterval {
		return
	}
	data, err := d.cfg.StateMachine.Snapshot()
	if err != nil {
		d.fail(errors.Annotate(err, "taking a snapshot"))
		return
	}
	s := d.core.snapshotAt(d.applied)
	s.Data = data
	if err := d.cfg.Storage.SaveSnapshot(s); err != nil {
		d.fail(err)
		return
	}
	d.snapshotIndex = s.Index
	d.scheduleSnapshot()
	d.counters.snapshotsSaved.Add(1)
	d.core.Compact(s, d.cfg.KeepEntries)
}

// publish makes the status visible to other goroutines.
func (d *driver) publish() {
	c := d.core
	s := &Status{ID: d.cfg.ID, Leader: c.leader, Term: c.term, IsLeader: c.role == leader,
		Applied: d.applied, LastIndex: c.log.lastIndex(), Err: d.err}
	if s.IsLeader && d.electedAt.IsZero() {
		d.electedAt = d.cfg.Clock.Now()
		d.counters.elections.Add(1)
	} else if !s.IsLeader {
		d.electedAt = time.Time{}
	}
	s.ElectedAt = d.electedAt
	if d.err != nil {
		s.IsLeader, s.Leader, s.ElectedAt = false, "", time.Time{}
	} else if s.IsLeader {
		s.LeaseUntil = d.leaseUntil()
	}
	for _, m := range c.members() {
		member := MemberStatus{ID: m.ID, Host: m.ID.Host(), Voter: m.Voter}
		if p := c.progress[m.ID]; p != nil && s.IsLeader {
			member.Match = p.match
			if m.ID != d.cfg.ID {
				member.SilentFor = time.Duration(p.ticksSinceMessage) * d.cfg.Tick
			}
		}
		s.Members = append(s.Members, member)
	}
	d.status.Store(s)
	if d.notified.leader != s.Leader || d.notified.term != s.Term {
		d.notified.leader, d.notified.term = s.Leader, s.Term
		if d.cfg.OnLeaderChange != nil {
			d.cfg.OnLeaderChange(s.Leader, s.Term)
		}
	}
}

// currentStatus returns the published status, without the lease if it has expired.
func (d *driver) currentStatus() Status {
	s := *d.status.Load()
	if !s.LeaseUntil.After(d.cfg.Clock.Now()) {
		s.LeaseUntil = time.Time{}
	}
	return s
}
