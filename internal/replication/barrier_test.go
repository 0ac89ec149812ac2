package replication

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/freshness"
)

// reader receives the group's state and the barriers of single replicas over a network
// that delays both by up to 3 s.
type reader struct {
	s               *sim
	confirmations   freshness.Confirmations
	revision        uint64
	answersInFlight map[time.Duration][]freshness.BarrierAnswer
	statesInFlight  map[time.Duration]uint64 // revisions by arrival time
	// barrierCommits are the committed entries that barriers cover, with the time at which
	// a replica first knew that they were committed.
	barrierCommits []commitRecord
	scannedIndex   uint64
	latestAsOf     time.Time // latest time as of which the state was claimed to be current
}

type commitRecord struct {
	at    time.Duration
	index uint64
}

// isTestBarrierCommand selects some of the commands of the simulation.
func isTestBarrierCommand(command []byte) bool {
	return strings.ContainsAny(string(command[len(command)-1:]), "12357")
}

func newReader(s *sim) *reader {
	return &reader{s: s, answersInFlight: map[time.Duration][]freshness.BarrierAnswer{}, statesInFlight: map[time.Duration]uint64{}}
}

func (r *reader) delay() time.Duration { return time.Duration(1+r.s.rng.IntN(3000)) * time.Millisecond }

// step requests barriers and states at random, processes what arrives, and checks the
// claim about the age of the state.
func (r *reader) step() {
	s := r.s
	for ; r.scannedIndex < s.maxCommitted; r.scannedIndex++ {
		if o, ok := s.committed[r.scannedIndex+1]; ok && o.Kind == EntryCommand && isTestBarrierCommand(o.Data) {
			r.barrierCommits = append(r.barrierCommits, commitRecord{s.now, r.scannedIndex + 1})
		}
	}
	for _, h := range s.hosts {
		if h.driver == nil || h.frozenUntil > s.now || s.rng.IntN(40) > 0 {
			continue
		}
		b := h.driver.barrier.Load()
		a := freshness.BarrierAnswer{SentAt: time.Unix(0, int64(s.now-time.Duration(s.rng.IntN(200))*time.Millisecond)), Replica: string(b.Replica), Barrier: b.Index}
		for _, v := range b.Voters {
			a.Voters = append(a.Voters, string(v))
		}
		arrives := s.now + r.delay()
		r.answersInFlight[arrives] = append(r.answersInFlight[arrives], a)
		at := s.now + r.delay()
		r.statesInFlight[at] = max(r.statesInFlight[at], h.driver.applied)
	}
	for _, a := range r.answersInFlight[s.now] {
		r.confirmations.Add(a)
	}
	delete(r.answersInFlight, s.now)
	r.revision = max(r.revision, r.statesInFlight[s.now])
	delete(r.statesInFlight, s.now)
	r.checkAsOf()
}

func (r *reader) checkAsOf() {
	asOf := r.confirmations.AsOf(r.revision)
	if asOf.IsZero() {
		return
	}
	if asOf.After(r.latestAsOf) {
		r.latestAsOf = asOf
	}
	for i := len(r.barrierCommits) - 1; i >= 0 && r.barrierCommits[i].index > r.revision; i-- {
		commit := r.barrierCommits[i]
		r.s.failIf(commit.at < time.Duration(asOf.UnixNano()), "a state of revision %d counts as the newest at %v, but command %d was committed at %v",
			r.revision, time.Duration(asOf.UnixNano()), commit.index, commit.at)
	}
}

// Guards against a host that considers its table current although it lacks an acknowledged
// change, after lost and late messages, elections, partitions, pauses, lost disks and
// membership changes. The check does not involve the leader.
func TestMajorityBarriersBoundStateAge(t *testing.T) {
	first := envInt("REPLICATION_SEED", 1)
	for seed := first; seed < first+envInt("REPLICATION_SEEDS", 20); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, uint64(seed), 3+2*(seed%2))
			s.isBarrierCommand = isTestBarrierCommand // for replicas that restart; at first, barriers cover all commands
			r := newReader(s)
			s.afterStep = r.step
			s.runWithFaults(20 * time.Second)
			s.healAndCheck()
			s.failIf(r.latestAsOf.Before(time.Unix(10, 0)), "the state was not confirmed as of any time after the first 10 s")
		})
	}
}
