package replication

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const simClockDrift = 0.1

// sim runs drivers in simulated time, one millisecond per step, on a network
// that loses, delays and duplicates messages and cuts links, and checks
// invariants in each step.
type sim struct {
	t                     *testing.T
	rng                   *rand.Rand
	now                   time.Duration
	hosts                 []*simHost
	network               map[time.Duration][]Message
	cutLinks              map[[2]string]bool
	lossRate              float64
	proposalsPaused       bool
	maxDelayMS            int                  // usual limit of delays; 1 also makes timeouts short, so that leases follow each other closely
	committed             map[uint64]observed  // as first seen on any replica
	maxCommitted          uint64               // highest committed index
	leaders               map[uint64]ReplicaID // by term
	mayVote               map[ReplicaID]bool
	pendingCalls, history []*simCall // calls without an outcome, and all calls
	logicalClock          int64      // orders calls and outcomes
	plannedChanges        []func() *simCall
	pendingChange         *simCall
	afterStep             func()                    // called after each step, if set
	isBarrierCommand      func(command []byte) bool // passed to replicas when they start
}

type observed struct {
	Entry
	seenTerm uint64 // of the replica that was first seen to have it committed
}

type simHost struct {
	s                                *sim
	name                             string
	clockRate                        float64 // of the local clock
	store                            *memoryStore
	state                            *commandLog
	driver                           *driver // nil while down
	restartAt, frozenUntil, nextTick time.Duration
	maxLeaseEnd                      time.Time // latest end of a lease ever reported, on the local clock
	checkedIndex                     uint64    // last committed entry that was checked
}

// simCall is a request and its outcome.
type simCall struct {
	*request
	host                 *simHost
	driver               *driver
	out                  outcome
	appliedCount         int // number of applied commands that the outcome shows
	callTime, returnTime int64
}

func newSim(t *testing.T, seed uint64, size int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 7)), network: map[time.Duration][]Message{}, cutLinks: map[[2]string]bool{},
		committed: map[uint64]observed{}, leaders: map[uint64]ReplicaID{}, mayVote: map[ReplicaID]bool{}, maxDelayMS: 1 + 5*min(1, int(seed%3))}
	var members []Member
	for i := range size {
		h := &simHost{s: s, name: fmt.Sprint("h", i), clockRate: 1 + simClockDrift*float64(i%3-1), store: newMemoryStore(fmt.Sprint("h", i), "0")}
		if s.maxDelayMS == 1 && i > 0 {
			h.clockRate = 1 + simClockDrift
		}
		s.hosts, members = append(s.hosts, h), append(members, Member{ID: h.id(), Voter: true})
		s.mayVote[h.id()] = true
	}
	for _, h := range s.hosts {
		if err := Bootstrap(h.store, "g", members); err != nil {
			t.Fatal(err)
		}
		h.start()
	}
	return s
}

func (s *sim) failIf(failed bool, format string, args ...any) {
	if s.t.Helper(); failed {
		s.t.Fatalf("%v: %s", s.now, fmt.Sprintf(format, args...))
	}
}

func (h *simHost) id() ReplicaID { return h.store.identity.ID() }

// Now implements clock.Clock.
func (h *simHost) Now() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(h.s.now) * h.clockRate))
}

// Send implements Transport.
func (h *simHost) Send(m Message) {
	s, p := h.s, h.store.durable
	s.failIf((m.Type == MessageVoteReply || m.Type == MessagePreVoteReply) && !m.Reject && !s.mayVote[m.From], "%s voted before it was promoted", m.From)
	last := p.Snapshot.Index + uint64(len(p.Entries))
	s.failIf(!m.Reject && (m.Type == MessageVoteReply && p.HardState.Vote != m.To || m.Type == MessageAppendReply && last < m.Index), "%s sent %+v before it was durable", h.name, m)
	for range 1 + s.rng.IntN(33)/32 {
		delay := 1 + s.rng.IntN(s.maxDelayMS)
		if s.lossRate > 0 && s.rng.IntN(20) == 0 {
			delay += s.rng.IntN(500)
		}
		if at := s.now + time.Duration(delay)*time.Millisecond; s.rng.Float64() >= s.lossRate {
			s.network[at] = append(s.network[at], m)
		}
	}
}

func (h *simHost) start() {
	h.state, h.checkedIndex, h.store.failSync, h.store.failed = &commandLog{leadingSeparators: h.s.rng.IntN(50)}, 0, false, false
	cfg := Config{GroupID: "g", Seed: h.s.rng.Uint64(), Storage: h.store, Transport: h, StateMachine: h.state,
		Clock: h, MaxClockDrift: simClockDrift, SnapshotEvery: 30, BarrierCovers: h.s.isBarrierCommand}
	if h.s.maxDelayMS == 1 {
		cfg.ElectionTicksMax = DefaultElectionTicksMin + 1
	}
	d, err := newDriver(cfg)
	if err != nil {
		h.s.t.Fatal(err)
	}
	d.core.maxAppend = 200
	h.driver, h.nextTick = d, h.s.now+time.Duration(h.s.rng.IntN(int(DefaultTick)))
}

func (h *simHost) crash() {
	h.driver = nil
	h.restartAt = h.s.now + time.Duration(1+h.s.rng.IntN(400))*time.Millisecond
}

// step advances the simulated time by one millisecond.
func (s *sim) step() {
	s.now += time.Millisecond
	due := s.network[s.now]
	delete(s.network, s.now)
	for _, m := range due {
		h := s.hosts[slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == m.To.Host() })]
		if h.frozenUntil > s.now {
			s.network[h.frozenUntil] = append(s.network[h.frozenUntil], m)
		} else if h.driver != nil && !s.cutLinks[[2]string{m.From.Host(), h.name}] {
			h.driver.step(m)
			h.run()
		}
	}
	for _, h := range s.hosts {
		if h.driver == nil && h.restartAt <= s.now {
			h.start()
		}
		if h.driver != nil && h.frozenUntil <= s.now && h.nextTick <= s.now {
			h.nextTick = max(h.nextTick+time.Duration(float64(DefaultTick)/h.clockRate), s.now) // a ticker drops missed ticks
			h.driver.tick()
			h.run()
		}
	}
	s.pendingCalls = slices.DeleteFunc(s.pendingCalls, (*simCall).finished)
	s.checkLeases()
	if s.afterStep != nil {
		s.afterStep()
	}
}

// run lets the driver work and checks what it did.
func (h *simHost) run() {
	h.driver.process()
	if err := h.driver.err; err != nil {
		h.s.failIf(!errors.Is(err, errDisk), "%s: %v", h.name, err)
		h.crash()
		return
	}
	h.checkCommitted()
	if st := h.driver.currentStatus(); st.IsLeader {
		h.checkLeader(st)
	}
}

// checkCommitted compares newly committed entries with those of other replicas.
func (h *simHost) checkCommitted() {
	c, s := h.driver.core, h.s
	for h.checkedIndex = max(h.checkedIndex, c.log.baseIndex); h.checkedIndex < c.commit; h.checkedIndex++ {
		e := c.log.entries[h.checkedIndex-c.log.baseIndex]
		s.maxCommitted = max(s.maxCommitted, e.Index)
		known, ok := s.committed[e.Index]
		if !ok {
			known = observed{e, c.term}
			s.committed[e.Index] = known
		}
		s.failIf(known.Term != e.Term || string(known.Data) != string(e.Data), "%s committed %v, another replica committed %v", h.name, e, known)
	}
}

// checkLeader verifies that a leader is the only one of its term, that its log
// holds what was committed in earlier terms, and that with a lease it has
// applied everything that was committed.
func (h *simHost) checkLeader(st Status) {
	s, c := h.s, h.driver.core
	s.failIf(!st.LeaseUntil.IsZero() && st.Applied < s.maxCommitted, "%s has a lease but applied only %d of %d committed entries", h.name, st.Applied, s.maxCommitted)
	if st.LeaseUntil.After(h.maxLeaseEnd) {
		h.maxLeaseEnd = st.LeaseUntil
	}
	first, known := s.leaders[st.Term]
	s.failIf(known && first != h.id(), "%s and %s both lead term %d", first, h.id(), st.Term)
	s.leaders[st.Term] = h.id()
	for i := c.log.baseIndex + 1; !known && i <= s.maxCommitted; i++ {
		o, ok := s.committed[i]
		s.failIf(ok && o.seenTerm < st.Term && !c.log.matches(i, o.Term), "leader %s of term %d lacks committed entry %d", h.name, st.Term, i)
	}
}

// checkLeases verifies that at most one lease is running, including leases of
// replicas that crashed or stepped down since: others may still rely on them.
func (s *sim) checkLeases() {
	holder := ""
	for _, h := range s.hosts {
		if h.maxLeaseEnd.After(h.Now()) {
			s.failIf(holder != "", "%s and %s both hold a lease", holder, h.name)
			holder = h.name
		}
	}
}

// checkLogMatching verifies that logs which agree at an index agree before it.
func (s *sim) checkLogMatching(a, b *simHost) {
	x, y, agree := a.driver.core.log, b.driver.core.log, false
	for i := min(x.lastIndex(), y.lastIndex()); i > max(x.baseIndex, y.baseIndex); i-- {
		e, f := x.entries[i-x.baseIndex-1], y.entries[i-y.baseIndex-1]
		same := e.Term == f.Term && string(e.Data) == string(f.Data)
		s.failIf(!same && (agree || e.Term == f.Term), "logs of %s and %s disagree at %d", a.name, b.name, i)
		agree = same
	}
}

// call sends a request to the leader, or else to any replica that is up.
func (s *sim) call(kind requestKind, data string, change ChangeKind, id ReplicaID) *simCall {
	h := s.leader()
	if h == nil {
		return nil
	}
	s.logicalClock++
	s.mayVote[id] = s.mayVote[id] || change == ChangePromote
	c := &simCall{request: newRequest(context.Background(), kind), host: h, driver: h.driver, callTime: s.logicalClock, out: outcome{err: ErrOutcomeUnknown}}
	c.data, c.changeKind, c.id = []byte(data), change, id
	h.driver.handleRequests([]*request{c.request})
	s.pendingCalls, s.history = append(s.pendingCalls, c), append(s.history, c)
	h.run()
	return c
}

// finished reports whether the call has an outcome or its process has ended.
func (c *simCall) finished() bool {
	select {
	case c.out = <-c.done:
	default:
		return c.host.driver != c.driver
	}
	c.host.s.logicalClock++
	c.returnTime, c.appliedCount = c.host.s.logicalClock, len(c.host.state.commands)
	fmt.Sscan(string(c.out.result), &c.appliedCount)
	return true
}

func (s *sim) leader() (found *simHost) {
	for _, i := range s.rng.Perm(len(s.hosts)) {
		h := s.hosts[i]
		if h.driver != nil && h.frozenUntil <= s.now && (found == nil || h.driver.core.role == leader) {
			found = h
		}
	}
	return found
}

var errDisk = errors.New("disk failed")

// memoryStore is a Storage in memory. Its syncs can be made to fail, which
// loses the unsynced data.
type memoryStore struct {
	identity         Identity
	durable          Persisted
	failSync, failed bool
}

func newMemoryStore(host, incarnation string) *memoryStore {
	return &memoryStore{identity: Identity{Group: "g", Host: host, Incarnation: incarnation}}
}

func (s *memoryStore) Identity() Identity { return s.identity }

func (s *memoryStore) Load() (Persisted, error) { return s.durable, nil }

func (s *memoryStore) sync(pending Persisted) error {
	if s.failed = s.failed || s.failSync; s.failed {
		return errDisk
	}
	s.durable = pending
	return nil
}

func (s *memoryStore) Append(hs HardState, entries []Entry) error {
	p := s.durable
	p.HardState = hs
	if len(entries) > 0 {
		p.Entries = append(slices.Clone(p.Entries[:entries[0].Index-p.Snapshot.Index-1]), entries...)
	}
	return s.sync(p)
}

func (s *memoryStore) SaveSnapshot(snap Snapshot) error {
	p := s.durable
	at := slices.IndexFunc(p.Entries, func(e Entry) bool { return e.Index == snap.Index && e.Term == snap.Term })
	if p.Snapshot, p.Entries = snap, p.Entries[at+1:]; at < 0 {
		p.Entries = nil
	}
	return s.sync(p)
}

// commandLog is a state machine that keeps every command. Its snapshots begin
// with leadingSeparators line breaks, because replicas may encode the same state
// differently.
type commandLog struct {
	commands          []string
	leadingSeparators int
}

func (l *commandLog) Apply(_ uint64, command []byte) []byte {
	l.commands = append(l.commands, string(command))
	return []byte(fmt.Sprint(len(l.commands)))
}

func (l *commandLog) Snapshot() ([]byte, error) {
	return []byte(strings.Repeat("\n", l.leadingSeparators) + strings.Join(l.commands, "\n")), nil
}

func (l *commandLog) Restore(_ uint64, snapshot []byte) error {
	l.commands = strings.Fields(string(snapshot))
	return nil
}
