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

// planChanges queues membership changes, which the group executes one by one.
func (s *sim) planChanges(ids []ReplicaID, kinds ...ChangeKind) {
	for i, kind := range kinds {
		s.plannedChanges = append(s.plannedChanges, func() *simCall { return s.call(requestChange, "", kind, ids[i]) })
	}
}

// wipeDisk gives the host an empty disk with a new incarnation, plans the
// membership changes that replace the old one, and restarts the host.
func (s *sim) wipeDisk(h *simHost) {
	old := h.id()
	h.store = newMemoryStore(h.name, fmt.Sprint(s.now))
	s.planChanges([]ReplicaID{h.id(), h.id(), old}, ChangeAddLearner, ChangePromote, ChangeRemove)
	h.crash()
}

// advancePlan starts the next planned change, or retries the last one if it
// failed.
func (s *sim) advancePlan() {
	if c := s.pendingChange; c != nil && slices.Contains(s.pendingCalls, c) {
		return
	} else if c != nil && c.out.err == nil {
		s.plannedChanges = s.plannedChanges[1:]
	}
	if s.pendingChange = nil; len(s.plannedChanges) > 0 {
		s.pendingChange = s.plannedChanges[0]()
	}
}

func (s *sim) isolate(h *simHost) {
	for _, o := range s.hosts {
		s.cutLinks[[2]string{h.name, o.name}], s.cutLinks[[2]string{o.name, h.name}] = true, true
	}
}

// injectFault injects one random fault.
func (s *sim) injectFault() {
	h, other := s.hosts[s.rng.IntN(len(s.hosts))], s.hosts[s.rng.IntN(len(s.hosts))]
	if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
		h = l
	}
	switch id, kind := h.id(), s.rng.IntN(12); {
	case kind == 0:
		h.crash()
	case kind == 1:
		for _, o := range s.hosts { // one host, or a power cut of several
			o.store.failSync = o == h || s.rng.IntN(2) == 0
		}
	case kind == 2:
		h.frozenUntil = s.now + time.Duration(s.rng.IntN(900))*time.Millisecond
	case kind == 3:
		s.cutLinks[[2]string{h.name, other.name}] = true
	case kind == 4:
		s.isolate(h)
	case kind == 5:
		s.lossRate = max(0, s.rng.Float64()*0.3-0.1)
	case kind == 6:
		s.call(requestTransfer, "", 0, other.id())
	case kind == 7:
		s.proposalsPaused = !s.proposalsPaused
	case kind == 8 && len(s.plannedChanges) == 0:
		s.wipeDisk(h)
	case kind == 9 && len(s.plannedChanges) == 0:
		s.planChanges([]ReplicaID{id, id, id}, ChangeRemove, ChangeAddLearner, ChangePromote)
	default:
		clear(s.cutLinks)
	}
}

func (s *sim) propose() { s.call(requestPropose, fmt.Sprint("c", s.logicalClock), 0, "") }

func (s *sim) runWithFaults(d time.Duration) {
	for end := s.now + d; s.now < end; s.step() {
		if s.rng.IntN(150) == 0 {
			s.injectFault()
		}
		if !s.proposalsPaused && s.rng.IntN(10) == 0 {
			s.propose()
		}
		if s.rng.IntN(8) == 0 {
			s.call(requestRead, "", 0, "")
		}
		if s.now%(20*time.Millisecond) == 0 {
			s.advancePlan()
		}
		a, b := s.hosts[s.rng.IntN(len(s.hosts))], s.hosts[s.rng.IntN(len(s.hosts))]
		if s.now%(50*time.Millisecond) == 0 && a.driver != nil && b.driver != nil {
			s.checkLogMatching(a, b)
		}
	}
}

// runWithProposals runs the simulation for d with a command every 10 ms.
func (s *sim) runWithProposals(d time.Duration) {
	for end := s.now + d; s.now < end; s.step() {
		if s.now%(10*time.Millisecond) == 0 {
			s.propose()
		}
	}
}

// healAndCheck ends all faults, waits until a new command is applied everywhere
// and checks the history.
func (s *sim) healAndCheck() {
	clear(s.cutLinks)
	s.lossRate = 0
	for _, h := range s.hosts {
		h.frozenUntil, h.store.failSync = 0, false
	}
	for i, top := 0, s.maxCommitted; i < 10000; i++ {
		s.step()
		s.advancePlan()
		if i%200 == 0 {
			s.propose()
		}
		behind := slices.ContainsFunc(s.hosts, func(h *simHost) bool { return h.driver == nil || h.driver.applied < max(s.maxCommitted, top+2) })
		if len(s.plannedChanges) == 0 && !behind {
			s.checkHistory()
			return
		}
	}
	s.failIf(true, "the healed group did not converge; %d membership changes are left", len(s.plannedChanges))
}

// checkHistory verifies that all replicas have the same state, that it holds
// every acknowledged command and no refused one, and that the history of
// commands and reads is linearizable.
func (s *sim) checkHistory() {
	final := s.hosts[0].state.commands
	for _, h := range s.hosts {
		s.checkLogMatching(h, s.hosts[0])
		s.failIf(!slices.Equal(h.state.commands, final), "states of %s and %s differ", h.name, s.hosts[0].name)
	}
	var ops []porcupine.Operation
	for _, c := range s.history {
		op := porcupine.Operation{Input: c.kind, Call: c.callTime, Output: c.appliedCount, Return: c.returnTime}
		at := slices.Index(final, string(c.data)) + 1
		unknown, command := c.out.err == ErrOutcomeUnknown, c.kind == requestPropose
		s.failIf(command && !unknown && (at > 0) != (c.out.err == nil), "command %q has outcome %v, but position %d", c.data, c.out.err, at)
		if command && unknown && at > 0 {
			op.Output, op.Return = at, math.MaxInt64
		}
		if command && at > 0 || c.kind == requestRead && c.out.err == nil {
			ops = append(ops, op)
		}
	}
	s.failIf(!porcupine.CheckOperations(counterModel, ops), "history of %d operations is not linearizable", len(ops))
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
			s.runWithFaults(15 * time.Second)
			s.healAndCheck()
		})
	}
}

// Guards against a replica that increments its term while it is partitioned and
// deposes a working leader when it returns, and against a leader that receives
// no replies but keeps others from being elected.
func TestElectionsAfterPartitions(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(t, seed, 3)
		s.healAndCheck()
		l, term := s.leader(), s.leader().driver.core.term
		for _, h := range s.hosts {
			if h != l {
				s.isolate(h)
			}
			s.runWithProposals(3 * time.Second)
			s.healAndCheck()
			now := s.leader()
			s.failIf(now != l || l.driver.core.term != term, "seed %d: %s led term %d, now %s leads term %d", seed, l.name, term, now.name, now.driver.core.term)
		}
		for _, h := range s.hosts {
			s.cutLinks[[2]string{h.name, l.name}] = h != l
		}
		s.runWithProposals(3 * time.Second)
		now := s.leader()
		s.failIf(now == l || now.driver.core.role != leader, "seed %d: no other replica leads although %s gets no answers", seed, l.name)
	}
}

// Guards against a replica that uses the identity it had before it lost its
// disk: it must neither accept entries nor vote until it is added again.
func TestWipedReplicaIsIgnoredUntilReadded(t *testing.T) {
	s := newSim(t, 1, 3)
	s.healAndCheck()
	wiped := s.hosts[slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.driver.core.role != leader })]
	s.wipeDisk(wiped)
	for range 3 {
		s.runWithProposals(time.Second)
		if l := s.leader(); l != wiped {
			l.crash()
		}
	}
	c := wiped.driver.core
	s.failIf(c.log.lastIndex() > 0 || c.term > 0, "the wiped replica reached entry %d and term %d", c.log.lastIndex(), c.term)
	s.healAndCheck() // admits it as a learner, promotes it and removes the old one
}
