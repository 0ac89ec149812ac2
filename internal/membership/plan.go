package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/agatestep/agatestep/internal/replication"
)

const (
	// replaceAfter is how long a voter must be silent before a learner takes its
	// place. It is longer than a restart or an election.
	replaceAfter = 2 * time.Second
	// dropAfter is how long a learner must be silent before it is removed.
	dropAfter = 10 * time.Second
)

// Member is a member of the group as its leader sees it.
type Member struct {
	ID     replication.ReplicaID
	Voter  bool
	Silent time.Duration // since its last message; zero for the leader
	// CaughtUp means that it holds what is committed.
	CaughtUp bool
}

// View is what the leader knows.
type View struct {
	Own     replication.ReplicaID
	Members []Member
	// Candidates are replicas that asked to be admitted and are no members.
	Candidates []replication.ReplicaID
	// Voters is the number of voters that the group is to have.
	Voters int
}

// Change is one change of the members.
type Change struct {
	Kind replication.ChangeKind
	ID   replication.ReplicaID
}

// Plan returns the next change, if one is due. A lost voter is removed only after
// another replica took its place, so that the group never has fewer voters than
// before; one whose host runs another replica lost its disk and is replaced at once.
func Plan(v View) (Change, bool) {
	voters := 0
	for _, m := range v.Members {
		if m.Voter {
			voters++
		}
	}
	lost := lostVoters(v)
	if voters > v.Voters && len(lost) > 0 {
		return Change{replication.ChangeRemove, lost[0].ID}, true
	}
	if learner, ok := readyLearner(v); ok && (voters < v.Voters || len(lost) > 0) {
		return Change{replication.ChangePromote, learner}, true
	}
	for _, m := range v.Members {
		if !m.Voter && (superseded(v, m) || m.Silent >= dropAfter) {
			return Change{replication.ChangeRemove, m.ID}, true
		}
	}
	if len(v.Candidates) > 0 {
		return Change{replication.ChangeAddLearner, slices.Min(v.Candidates)}, true
	}
	return Change{}, false
}

// lostVoters returns the voters that may be replaced, wiped ones first, then
// those that have been silent for longest.
func lostVoters(v View) []Member {
	var out []Member
	for _, m := range v.Members {
		if m.Voter && m.ID != v.Own && (superseded(v, m) || m.Silent >= replaceAfter) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		if x, y := superseded(v, a), superseded(v, b); x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.Silent, a.Silent)
	})
	return out
}

// superseded reports whether another replica runs on the host of a member: the
// member lost its disk and never returns.
func superseded(v View, m Member) bool {
	if m.Silent < replaceAfter/4 {
		return false // it still answers; the other one's message is late
	}
	for _, other := range v.Members {
		if other.ID != m.ID && other.ID.Host() == m.ID.Host() && other.Silent < m.Silent {
			return true
		}
	}
	return slices.ContainsFunc(v.Candidates, func(id replication.ReplicaID) bool { return id.Host() == m.ID.Host() })
}

func readyLearner(v View) (replication.ReplicaID, bool) {
	for _, m := range v.Members {
		if !m.Voter && m.CaughtUp && m.Silent < replaceAfter/4 {
			return m.ID, true
		}
	}
	return "", false
}
