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

// promisedIn is the bound of the simulation: a host acts by no table that was not
// confirmed for so long.
const promisedIn = 1200 * time.Millisecond

// simulated is a control group and one entry host without a network: messages arrive
// after any time, in any order, or never, and control hosts are paused and cut off.
type simulated struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	session *Session
	clock   interface{ Advance(time.Duration) }
	// logs are the last entries of the control hosts' logs, and applied what they know to
	// be committed. Each entry is a change that withdraws something.
	logs, applied [5]uint64
	paused        [5]time.Time
	last          uint64 // last entry that was acknowledged
	acked         []time.Time
	due           map[time.Time][]func()
	acts, stops   int
}

func (s *simulated) later(most time.Duration, f func()) {
	at := s.now.Add(10*time.Millisecond + time.Duration(s.rng.Int64N(int64(most/(10*time.Millisecond))))*10*time.Millisecond)
	s.due[at] = append(s.due[at], f)
}

// change commits an entry at a random majority and acknowledges it at once. The others,
// and the news that it is committed, come later.
func (s *simulated) change() {
	index := s.last + 1
	order := s.rng.Perm(5)
	for i, r := range order {
		if i < 3 {
			s.logs[r] = index
			continue
		}
		s.later(3*time.Second, func() { s.logs[r] = max(s.logs[r], index) })
	}
	s.last = index
	s.acked = append(s.acked, s.now)
	for _, r := range order {
		s.later(2*time.Second, func() { s.applied[r] = max(s.applied[r], index); s.logs[r] = max(s.logs[r], index) })
	}
}

func (s *simulated) running(r int) bool { return !s.now.Before(s.paused[r]) }

// ask lets the host ask all control hosts for their barriers.
func (s *simulated) ask() {
	sent := s.now
	names := []string{"r0", "r1", "r2", "r3", "r4"}
	for r := range 5 {
		s.later(1500*time.Millisecond, func() {
			if !s.running(r) || s.rng.IntN(5) == 0 {
				return
			}
			reply := wire.BarrierReply{Replica: names[r], Barrier: s.logs[r], Group: 7, Voters: names}
			s.later(1500*time.Millisecond, func() { s.session.confirmed(names[r], sent, reply) })
		})
	}
}

// watch lets a control host answer with what it has applied, however old that is by the
// time it arrives.
func (s *simulated) watch() {
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
	s.later(2*time.Second, func() {
		if s.session.Table().Revision() == from {
			is.New(s.t).NoErr(s.session.apply(answer{TableReply: wire.TableReply{Delta: encoded, Current: to, HeldMs: s.rng.Int64N(5000)}, sent: s.now}))
		}
	})
}

// check fails if the host may act by a table without a change that was acknowledged for
// longer than promised.
func (s *simulated) check() {
	if s.now.Sub(s.session.AsOf()) > promisedIn {
		s.stops++
		return
	}
	s.acts++
	if have := s.session.Table().Revision(); have < s.last {
		if late := s.now.Sub(s.acked[have]); late > promisedIn { // of the first change that it lacks
			s.t.Fatalf("%v: the host acts by revision %d; %d was acknowledged %v before", s.now, have, have+1, late)
		}
	}
}

func (s *simulated) step() {
	s.now = s.now.Add(10 * time.Millisecond)
	s.clock.Advance(10 * time.Millisecond)
	for _, f := range s.due[s.now] {
		f()
	}
	delete(s.due, s.now)
	tick := s.now.UnixMilli() / 10
	switch {
	case tick%40 == 0:
		s.ask()
	case tick%15 == 0:
		s.watch()
	}
	if s.rng.IntN(60) == 0 {
		s.change()
	}
	if s.rng.IntN(300) == 0 {
		s.paused[s.rng.IntN(5)] = s.now.Add(time.Duration(s.rng.IntN(8)) * time.Second)
	}
	s.check()
}

// Changes that withdraw a route or a server are acknowledged as soon as they are
// committed. Guards against a host that acts without such a change later than promised,
// whatever delays the news: slow or lost messages, pauses, a group without a leader.
func TestNoHostActsWithoutAnAcknowledgedChange(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			_, session, l := newSession(t)
			session.cfg.ConfirmInterval = 400 * time.Millisecond
			s := &simulated{t: t, rng: rand.New(rand.NewPCG(seed, 11)), now: l.clock.Now(), session: session, clock: l.clock, due: map[time.Time][]func(){}}
			for range 12000 { // two minutes
				s.step()
			}
			if s.acts == 0 || s.stops == 0 {
				t.Errorf("the host could act at %d moments and not at %d; the test needs both", s.acts, s.stops)
			}
		})
	}
}

// Guards against an entry host that has no news because it follows one control host that
// is silent or cut off from the others, and against one that asks for a large change on a
// crowded link again and again.
func TestTablesAreAskedForElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		silent, cutOff, onWay bool
		turned                int64
	}{
		"all answer":                   {false, false, false, 0},
		"one is silent":                {true, false, false, 1},
		"one is cut off":               {false, true, false, 1},
		"a large change is on its way": {false, false, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is, s, l := newSession(t)
			s.cfg.ConfirmInterval, s.cfg.FollowAny = 400*time.Millisecond, true
			control := []string{"a1", "a2", "a3"}
			s.learn(control)
			source := permit.Order(control, "h9")[0]
			is.Equal(s.source(), source)
			for range 5 {
				for i, address := range control {
					barrier := uint64(3)
					switch {
					case address == source && c.silent:
						continue
					case address != source && c.cutOff, c.onWay:
						barrier = 4
					}
					s.confirmed(address, l.clock.Now(), wire.BarrierReply{Replica: voters[i], Barrier: barrier, Group: 7, Voters: voters})
				}
				if s.Table().Revision() == 0 {
					watch(t, s, l, 3)
				}
				l.clock.Advance(400 * time.Millisecond)
				s.reviewSource()
			}
			is.Equal(s.turns.Load(), c.turned)
			is.Equal(s.source() == source, c.turned == 0)
		})
	}
}
