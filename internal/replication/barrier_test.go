package replication

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/confirm"
)

// reader follows the group's state late and asks single replicas for their barriers, over
// a network that delays both by up to some seconds.
type reader struct {
	s             *sim
	confirmations confirm.Confirmations
	revision      uint64
	onWay         map[time.Duration][]confirm.Answer
	states        map[time.Duration]uint64 // revisions that arrive
	// marked are the highest marked committed entries by the time at which some replica
	// first knew that they are committed.
	marked []commitment
	looked uint64
	proved time.Time // the latest claim
}

type commitment struct {
	at    time.Duration
	index uint64
}

// isMarked tells a part of the commands of the simulation.
func isMarked(command []byte) bool {
	return strings.ContainsAny(string(command[len(command)-1:]), "12357")
}

func newReader(s *sim) *reader {
	return &reader{s: s, onWay: map[time.Duration][]confirm.Answer{}, states: map[time.Duration]uint64{}}
}

func (r *reader) delay() time.Duration { return time.Duration(1+r.s.rng.IntN(3000)) * time.Millisecond }

// step asks now and then, takes in what arrives, and checks the claim about its state.
func (r *reader) step() {
	s := r.s
	for ; r.looked < s.top; r.looked++ {
		if o, ok := s.committed[r.looked+1]; ok && o.Kind == EntryCommand && isMarked(o.Data) {
			r.marked = append(r.marked, commitment{s.now, r.looked + 1})
		}
	}
	for _, h := range s.hosts {
		if h.driver == nil || h.frozen > s.now || s.rng.IntN(40) > 0 {
			continue
		}
		b := h.driver.barrier.Load()
		a := confirm.Answer{Asked: time.Unix(0, int64(s.now-time.Duration(s.rng.IntN(200))*time.Millisecond)), Replica: string(b.Replica), Barrier: b.Index}
		for _, v := range b.Voters {
			a.Voters = append(a.Voters, string(v))
		}
		arrives := s.now + r.delay()
		r.onWay[arrives] = append(r.onWay[arrives], a)
		at := s.now + r.delay()
		r.states[at] = max(r.states[at], h.driver.applied)
	}
	for _, a := range r.onWay[s.now] {
		r.confirmations.Add(a)
	}
	delete(r.onWay, s.now)
	r.revision = max(r.revision, r.states[s.now])
	delete(r.states, s.now)
	r.check()
}

func (r *reader) check() {
	asOf := r.confirmations.AsOf(r.revision)
	if asOf.IsZero() {
		return
	}
	if asOf.After(r.proved) {
		r.proved = asOf
	}
	for i := len(r.marked) - 1; i >= 0 && r.marked[i].index > r.revision; i-- {
		m := r.marked[i]
		r.s.failIf(m.at < time.Duration(asOf.UnixNano()), "a state of revision %d counts as the newest at %v, but command %d was committed at %v",
			r.revision, time.Duration(asOf.UnixNano()), m.index, m.at)
	}
}

// Guards against a host that takes its table for current although a change was
// acknowledged that it lacks: after lost and late messages, elections, cuts, pauses, lost
// disks and changes of members, without any part of a leader in it.
func TestBarriersOfAMajorityBoundTheAgeOfAState(t *testing.T) {
	first := envInt("REPLICATION_SEED", 1)
	for seed := first; seed < first+envInt("REPLICATION_SEEDS", 20); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, uint64(seed), 3+2*(seed%2))
			s.marks = isMarked // of replicas that start again; at first all commands are marked
			r := newReader(s)
			s.each = r.step
			s.chaos(20 * time.Second)
			s.heal()
			s.failIf(r.proved.Before(time.Unix(10, 0)), "nothing was proved of the later part")
		})
	}
}
