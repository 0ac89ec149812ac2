package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/agatestep/agatestep/internal/replication"
)

const (
	// voterLostAfter is how long a voter must have sent no message before a learner
	// replaces it. It is longer than a restart or an election.
	voterLostAfter = 2 * time.Second
	// learnerLostAfter is how long a learner must have sent no message before it is
	// removed.
	learnerLostAfter = 10 * time.Second
)

// Member is a member of the group as its leader sees it.
type Member struct {
	ID        replication.ReplicaID
	Voter     bool
	SilentFor time.Duration // time since its last message; zero for the leader
	// CaughtUp means that the member holds the committed entries, or nearly all of them.
	CaughtUp bool
}

// View is the leader's view of the group.
type View struct {
	Self    replication.ReplicaID
	Members []Member
	// Candidates are replicas that requested admission and are not members.
	Candidates   []replication.ReplicaID
	TargetVoters int
}

// Change is a membership change of one replica.
type Change struct {
	Kind replication.ChangeKind
	ID   replication.ReplicaID
}

// Plan returns the next change, if one is due. A lost voter is removed only after
// another replica was promoted in its place, so that the group never has fewer voters
// than before. A voter whose host runs another replica has lost its disk and is replaced
// after a quarter of voterLostAfter.
func Plan(v View) (Change, bool) {
	voters := 0
	for _, m := range v.Members {
		if m.Voter {
			voters++
		}
	}
	replaceable := replaceableVoters(v)
	if voters > v.TargetVoters && len(replaceable) > 0 {
		return Change{replication.ChangeRemove, replaceable[0].ID}, true
	}
	if learner, ok := readyLearner(v); ok && (voters < v.TargetVoters || len(replaceable) > 0) {
		return Change{replication.ChangePromote, learner}, true
	}
	for _, m := range v.Members {
		if !m.Voter && (superseded(v, m) || m.SilentFor >= learnerLostAfter) {
			return Change{replication.ChangeRemove, m.ID}, true
		}
	}
	if len(v.Candidates) > 0 {
		return Change{replication.ChangeAddLearner, slices.Min(v.Candidates)}, true
	}
	return Change{}, false
}

// replaceableVoters returns the voters that may be replaced: first those whose
// host lost its disk, then by the time since their last message, longest first.
func replaceableVoters(v View) []Member {
	var out []Member
	for _, m := range v.Members {
		if m.Voter && m.ID != v.Self && (superseded(v, m) || m.SilentFor >= voterLostAfter) {
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
		return cmp.Compare(b.SilentFor, a.SilentFor)
	})
	return out
}

// superseded reports whether another replica runs on the host of a member, which
// means that the member lost its disk and never returns.
func superseded(v View, m Member) bool {
	if m.SilentFor < voterLostAfter/4 {
		return false // the member still answers; the other replica's message is old
	}
	for _, other := range v.Members {
		if other.ID != m.ID && other.ID.Host() == m.ID.Host() && other.SilentFor < m.SilentFor {
			return true
		}
	}
	return slices.ContainsFunc(v.Candidates, func(id replication.ReplicaID) bool { return id.Host() == m.ID.Host() })
}

func readyLearner(v View) (replication.ReplicaID, bool) {
	for _, m := range v.Members {
		if !m.Voter && m.CaughtUp && m.SilentFor < voterLostAfter/4 {
			return m.ID, true
		}
	}
	return "", false
}
