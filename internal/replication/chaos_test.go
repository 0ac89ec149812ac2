package replication

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// wipe gives the host an empty disk with a new incarnation, which is to replace
// the old one.
func (s *sim) wipe(h *simHost) {
	old := h.id()
	h.store = newMemoryStore(h.name, fmt.Sprint(s.now))
	s.plan = []change{{ChangeAddLearner, h.id()}, {ChangePromote, h.id()}, {ChangeRemove, old}}
	h.crash()
}

// advancePlan proposes the next planned membership change, and again if it failed.
func (s *sim) advancePlan() {
	if c := s.planned; c != nil {
		if slices.Contains(s.calls, c) {
			return
		}
		if s.planned = nil; c.out.err == nil {
			s.plan = s.plan[1:]
		}
	}
	if len(s.plan) > 0 {
		req := newSimRequest(requestChange)
		req.change, req.id = s.plan[0].kind, s.plan[0].id
		if req.change == ChangePromote {
			s.admitted[req.id] = true
		}
		s.planned = s.call(req)
	}
}

func (s *sim) isolate(h *simHost) {
	for _, o := range s.hosts {
		s.cuts[[2]string{h.name, o.name}], s.cuts[[2]string{o.name, h.name}] = true, true
	}
}

// fault injects one random fault.
func (s *sim) fault() {
	h, other := s.hosts[s.rng.IntN(len(s.hosts))], s.hosts[s.rng.IntN(len(s.hosts))]
	if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
		h = l
	}
	switch s.rng.IntN(12) {
	case 0:
		h.crash()
	case 1:
		for _, o := range s.hosts { // one host, or a power cut of the whole group
			o.store.failSync = o == h || s.rng.IntN(2) == 0
		}
	case 2:
		h.frozen = s.now + time.Duration(s.rng.IntN(900))*time.Millisecond
	case 3:
		s.cuts[[2]string{h.name, other.name}] = true
	case 4:
		s.isolate(h)
	case 5, 6:
		clear(s.cuts)
	case 7:
		s.loss = max(0, s.rng.Float64()*0.3-0.1)
	case 8:
		req := newSimRequest(requestTransfer)
		req.id = other.id()
		s.call(req)
	case 9:
		s.idle = !s.idle
	case 10:
		if len(s.plan) == 0 {
			s.wipe(h)
		}
	case 11:
		if id := h.id(); len(s.plan) == 0 {
			s.plan = []change{{ChangeRemove, id}, {ChangeAddLearner, id}, {ChangePromote, id}}
		}
	}
}

func (s *sim) propose() {
	req := newSimRequest(requestPropose)
	req.data = []byte(fmt.Sprint("c", s.clock))
	s.call(req)
}

func (s *sim) chaos(d time.Duration) {
	for end := s.now + d; s.now < end; s.step() {
		if s.rng.IntN(150) == 0 {
			s.fault()
		}
		if !s.idle && s.rng.IntN(10) == 0 {
			s.propose()
		}
		if s.rng.IntN(40) == 0 {
			s.call(newSimRequest(requestRead))
		}
		if s.now%(20*time.Millisecond) == 0 {
			s.advancePlan()
		}
		if s.now%(500*time.Millisecond) == 0 {
			s.checkLogMatching()
		}
	}
}

// heal ends all faults and waits until a new command is applied everywhere.
func (s *sim) heal() {
	clear(s.cuts)
	s.loss = 0
	for _, h := range s.hosts {
		h.frozen, h.store.failSync = 0, false
	}
	top := s.top
	for range 10000 {
		s.step()
		s.advancePlan()
		if s.now%(200*time.Millisecond) == 0 {
			s.propose()
		}
		behind := slices.ContainsFunc(s.hosts, func(h *simHost) bool { return h.driver == nil || h.driver.applied < max(s.top, top+2) })
		if len(s.plan) == 0 && !behind {
			s.checkLogMatching()
			s.checkHistory()
			return
		}
	}
	s.t.Fatalf("%v: the healed group did not settle; plan %v", s.now, s.plan)
}

// checkHistory verifies that all replicas have the same state, that it holds
// every acknowledged command and no refused one, and that the history of
// commands and reads is linearizable.
func (s *sim) checkHistory() {
	final := s.hosts[0].state.all()
	for _, h := range s.hosts {
		if !slices.Equal(h.state.all(), final) {
			s.t.Fatalf("states of %s and %s differ", h.name, s.hosts[0].name)
		}
	}
	position := map[string]int{}
	for i, line := range final {
		position[line[slices.Index([]byte(line), ':')+1:]] = i + 1
	}
	var ops []porcupine.Operation
	for _, c := range s.history {
		op := porcupine.Operation{Input: c.kind, Call: c.from, Output: c.count, Return: c.to}
		at, applied := position[string(c.data)]
		unknown := c.to == 0 || c.out.err == ErrOutcomeUnknown
		switch {
		case c.kind == requestPropose && unknown && applied:
			op.Output, op.Return = at, math.MaxInt64
		case c.kind == requestPropose && !unknown && applied != (c.out.err == nil):
			s.t.Fatalf("command %q has outcome %v, applied: %t", c.data, c.out.err, applied)
		case c.kind != requestPropose && c.kind != requestRead || unknown || c.out.err != nil:
			continue
		}
		ops = append(ops, op)
	}
	if !porcupine.CheckOperations(counterModel, ops) {
		s.t.Fatalf("history of %d operations is not linearizable", len(ops))
	}
}

// counterModel counts commands; commands and reads return the count.
var counterModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		n := state.(int)
		if input == requestPropose {
			n++
		}
		return output == n, n
	},
}

func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// Guards against lost or diverging entries, two leases at once, two leaders in
// a term, stale reads, false refusals and votes of a wiped replica, under random
// faults. REPLICATION_SEEDS sets the number of seeds, REPLICATION_SEED the first.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	first := envInt("REPLICATION_SEED", 1)
	for seed := first; seed < first+envInt("REPLICATION_SEEDS", 30); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, uint64(seed), 3+2*(seed%2))
			s.chaos(15 * time.Second)
			s.heal()
		})
	}
}

// Guards against a replica that raises terms while it is cut off and deposes a
// working leader when it returns, and against a leader that nobody can answer
// but that keeps others from being elected.
func TestElectionsAfterPartitions(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(t, seed, 3)
		s.heal()
		l, term := s.leader(), s.leader().driver.core.term
		for _, h := range s.hosts {
			if h != l {
				s.isolate(h)
			}
			for end := s.now + 3*time.Second; s.now < end; s.step() {
				if s.now%(10*time.Millisecond) == 0 {
					s.propose()
				}
			}
			s.heal()
			if s.leader() != l || l.driver.core.term != term {
				t.Fatalf("seed %d: %s led term %d, now %s leads term %d", seed, l.name, term, s.leader().name, s.leader().driver.core.term)
			}
		}
		for _, h := range s.hosts {
			s.cuts[[2]string{h.name, l.name}] = h != l
		}
		for end := s.now + 3*time.Second; s.now < end; s.step() {
		}
		if now := s.leader(); now == l || now.driver.core.role != leader {
			t.Fatalf("seed %d: no other replica leads although %s gets no answers", seed, l.name)
		}
	}
}

// Guards against a replica that answers under the name it had before it lost
// its disk: it must neither take entries nor vote until it was added again.
func TestWipedReplicaTakesNoPart(t *testing.T) {
	s := newSim(t, 1, 3)
	s.heal()
	wiped := s.hosts[slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.driver.core.role != leader })]
	s.wipe(wiped)
	for end := s.now + 3*time.Second; s.now < end; s.step() {
		if l := s.leader(); s.now%time.Second == 0 && l != wiped {
			s.propose()
			l.crash()
		}
	}
	if c := wiped.driver.core; c.log.lastIndex() > 0 || c.term > 0 {
		t.Fatalf("the wiped replica reached entry %d and term %d", c.log.lastIndex(), c.term)
	}
	s.heal() // admits it as a learner, promotes it and removes the old one
}
