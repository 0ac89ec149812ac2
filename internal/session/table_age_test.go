package session

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/pack"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// maxTableAge is the limit in the simulation: a host does not act on a table whose latest
// confirmation is older.
const maxTableAge = 1200 * time.Millisecond

// simulation runs a control group and one entry host without a network: messages arrive
// after a random delay, in any order, or never, and control hosts are paused or cut off.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	session *Session
	clock   interface{ Advance(time.Duration) }
	// logs are the last indexes of the control hosts' logs, and applied the last indexes
	// that they know to be committed. Each entry withdraws a route or a server.
	logs, applied  [5]uint64
	pausedUntil    [5]time.Time
	lastAcked      uint64 // index of the last acknowledged entry
	ackedAt        []time.Time
	scheduled      map[time.Time][]func()
	actions, stops int
}

func (s *simulation) schedule(maxDelay time.Duration, f func()) {
	at := s.now.Add(10*time.Millisecond + time.Duration(s.rng.Int64N(int64(maxDelay/(10*time.Millisecond))))*10*time.Millisecond)
	s.scheduled[at] = append(s.scheduled[at], f)
}

// commitChange commits an entry at a random majority and acknowledges it immediately. The
// other replicas receive it later, and all of them learn later that it is committed.
func (s *simulation) commitChange() {
	index := s.lastAcked + 1
	order := s.rng.Perm(5)
	for i, r := range order {
		if i < 3 {
			s.logs[r] = index
			continue
		}
		s.schedule(3*time.Second, func() { s.logs[r] = max(s.logs[r], index) })
	}
	s.lastAcked = index
	s.ackedAt = append(s.ackedAt, s.now)
	for _, r := range order {
		s.schedule(2*time.Second, func() { s.applied[r] = max(s.applied[r], index); s.logs[r] = max(s.logs[r], index) })
	}
}

func (s *simulation) running(r int) bool { return !s.now.Before(s.pausedUntil[r]) }

// requestBarriers sends the host's barrier requests to all control hosts.
func (s *simulation) requestBarriers() {
	sent := s.now
	names := []string{"r0", "r1", "r2", "r3", "r4"}
	for r := range 5 {
		s.schedule(1500*time.Millisecond, func() {
			if !s.running(r) || s.rng.IntN(5) == 0 {
				return
			}
			reply := wire.BarrierReply{Replica: names[r], Barrier: s.logs[r], Group: 7, Voters: names}
			s.schedule(1500*time.Millisecond, func() { s.session.recordBarrier(names[r], sent, reply) })
		})
	}
}

// sendDelta sends the changes that a control host has applied, however old they are when
// they arrive.
func (s *simulation) sendDelta() {
	r := s.rng.IntN(5)
	from := s.session.Table().Revision()
	to := s.applied[r]
	if to <= from || !s.running(r) {
		return
	}
	encoded, err := table.NewBuilder(from).Delta(to).Encode()
	is.New(s.t).NoErr(err)
	encoded, err = pack.Pack(encoded)
	is.New(s.t).NoErr(err)
	s.schedule(2*time.Second, func() {
		if s.session.Table().Revision() == from {
			is.New(s.t).NoErr(s.session.applyReply(watchReply{TableReply: wire.TableReply{Delta: encoded, Current: to, HeldMs: s.rng.Int64N(5000)}, sent: s.now}))
		}
	})
}

// checkTableAge fails if the host may act on a table that lacks a change acknowledged longer
// than maxTableAge ago.
func (s *simulation) checkTableAge() {
	if s.now.Sub(s.session.TableCurrentAsOf()) > maxTableAge {
		s.stops++
		return
	}
	s.actions++
	if have := s.session.Table().Revision(); have < s.lastAcked {
		if late := s.now.Sub(s.ackedAt[have]); late > maxTableAge { // age of the first change that the table lacks
			s.t.Fatalf("%v: the host acts on revision %d; %d was acknowledged %v before", s.now, have, have+1, late)
		}
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(10 * time.Millisecond)
	s.clock.Advance(10 * time.Millisecond)
	for _, f := range s.scheduled[s.now] {
		f()
	}
	delete(s.scheduled, s.now)
	tick := s.now.UnixMilli() / 10
	switch {
	case tick%40 == 0:
		s.requestBarriers()
	case tick%15 == 0:
		s.sendDelta()
	}
	if s.rng.IntN(60) == 0 {
		s.commitChange()
	}
	if s.rng.IntN(300) == 0 {
		s.pausedUntil[s.rng.IntN(5)] = s.now.Add(time.Duration(s.rng.IntN(8)) * time.Second)
	}
	s.checkTableAge()
}

// Changes that withdraw a route or a server are acknowledged as soon as they are
// committed. Guards against a host that still acts on a table without such a change after
// maxTableAge, whatever delays it: slow or lost messages, pauses, or a group without a
// leader.
func TestHostNeverActsOnTableOlderThanLimit(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			_, session, fake := newSession(t)
			session.cfg.ConfirmInterval = 400 * time.Millisecond
			s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 11)), now: fake.clock.Now(), session: session, clock: fake.clock, scheduled: map[time.Time][]func(){}}
			for range 12000 { // two minutes
				s.step()
			}
			if s.actions == 0 || s.stops == 0 {
				t.Errorf("the host could act at %d moments and not at %d; the test needs both", s.actions, s.stops)
			}
		})
	}
}

// Guards against an entry host that receives no changes because it watches a control host
// that is unresponsive or partitioned from the others, and against one that restarts the
// transfer of a large change on a congested link again and again.
func TestTableSourceSwitches(t *testing.T) {
	for name, c := range map[string]struct {
		silent, partitioned, inFlight bool
		switches                      int64
	}{
		"all answer":                   {false, false, false, 0},
		"one is silent":                {true, false, false, 1},
		"one is partitioned":           {false, true, false, 1},
		"a large change is in transit": {false, false, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is, s, fake := newSession(t)
			s.cfg.ConfirmInterval, s.cfg.WatchAnyReplica = 400*time.Millisecond, true
			control := []string{"a1", "a2", "a3"}
			s.addControlHosts(control)
			initial := permit.RankIssuers(control, "h9")[0]
			is.Equal(s.tableSource(), initial)
			for range 5 {
				for i, address := range control {
					barrier := uint64(3)
					switch {
					case address == initial && c.silent:
						continue
					case address != initial && c.partitioned, c.inFlight:
						barrier = 4
					}
					s.recordBarrier(address, fake.clock.Now(), wire.BarrierReply{Replica: testVoters[i], Barrier: barrier, Group: 7, Voters: testVoters})
				}
				if s.Table().Revision() == 0 {
					watchSnapshot(t, s, fake, 3)
				}
				fake.clock.Advance(400 * time.Millisecond)
				s.checkTableSource()
			}
			is.Equal(s.sourceSwitches.Load(), c.switches)
			is.Equal(s.tableSource() == initial, c.switches == 0)
		})
	}
}
