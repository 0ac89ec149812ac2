package membership

import (
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/replication"
)

func id(host, incarnation string) replication.ReplicaID {
	return replication.MakeReplicaID(host, incarnation)
}

// Guards against forming two groups, and against founders with different member lists.
func TestFounders(t *testing.T) {
	seeds := []string{"a", "b", "c"}
	emptyReplica := func(host string) Hello { return Hello{Replica: id(host, "1"), Empty: true} }
	allEmpty := map[string]Hello{"a": emptyReplica("a"), "b": emptyReplica("b"), "c": emptyReplica("c")}
	groupMember := emptyReplica("b")
	groupMember.Empty, groupMember.Members = false, []replication.ReplicaID{id("c", "1"), id("a", "1"), id("b", "1")}
	otherGroup := groupMember
	otherGroup.Members = []replication.ReplicaID{id("a", "0"), id("b", "1"), id("c", "1")}
	for name, c := range map[string]struct {
		own   Hello
		heard map[string]Hello
		want  int
	}{
		"all empty":                      {emptyReplica("a"), allEmpty, 3},
		"one has not answered":           {emptyReplica("a"), map[string]Hello{"b": emptyReplica("b")}, 0},
		"another formed it already":      {emptyReplica("a"), map[string]Hello{"b": groupMember, "c": emptyReplica("c")}, 3},
		"a group without this replica":   {emptyReplica("a"), map[string]Hello{"b": otherGroup, "c": emptyReplica("c")}, 0},
		"a host that is no seed":         {emptyReplica("d"), allEmpty, 0},
		"a replica with a log":           {Hello{Replica: id("a", "1")}, allEmpty, 0},
		"an answer of another replica":   {emptyReplica("a"), map[string]Hello{"b": emptyReplica("c"), "c": emptyReplica("c")}, 0},
		"a group that changed meanwhile": {emptyReplica("a"), map[string]Hello{"b": otherGroup, "c": groupMember}, 0},
	} {
		got := Founders(c.own, seeds, c.heard, true)
		if len(got) != c.want {
			t.Errorf("%s: %v", name, got)
		}
		if name == "all empty" {
			c.want = 0
		}
		// Guards against a founder that restarts before it has its log and then, because it
		// may not form a group, never joins, which leaves the group without a majority.
		if got := Founders(c.own, seeds, c.heard, false); len(got) != c.want {
			t.Errorf("%s, without permission to form a group: %v", name, got)
		}
	}
}

func member(host, incarnation string, voter bool, silent time.Duration) Member {
	return Member{ID: id(host, incarnation), Voter: voter, SilentFor: silent, CaughtUp: silent < time.Second}
}

// Guards against a group that removes a voter before its replacement is promoted, one that
// stays below its target number of voters, and one that replaces a member which only
// restarts.
func TestPlan(t *testing.T) {
	fourVoters := []Member{member("a", "1", true, 0), member("b", "1", true, 0), member("c", "1", true, 0), member("d", "1", true, 0)}
	fourVotersAnd := func(more ...Member) []Member { return append(append([]Member{}, fourVoters...), more...) }
	for name, c := range map[string]struct {
		members    []Member
		candidates []replication.ReplicaID
		kind       replication.ChangeKind
		host       string
	}{
		"nothing to do":                               {fourVotersAnd(member("e", "1", true, 0)), nil, 0, ""},
		"a candidate is admitted":                     {fourVoters, []replication.ReplicaID{id("e", "1")}, replication.ChangeAddLearner, "e/1"},
		"a learner fills a free place":                {fourVotersAnd(member("e", "1", false, 0)), nil, replication.ChangePromote, "e/1"},
		"a learner that lags waits":                   {fourVotersAnd(Member{ID: id("e", "1")}), nil, 0, ""},
		"a voter that restarts is kept":               {fourVotersAnd(member("e", "1", true, time.Second), member("f", "1", false, 0)), nil, 0, ""},
		"a lost voter is replaced":                    {fourVotersAnd(member("e", "1", true, 3*time.Second), member("f", "1", false, 0)), nil, replication.ChangePromote, "f/1"},
		"a lost voter with a replacement is removed":  {fourVotersAnd(member("e", "1", true, 3*time.Second), member("f", "1", true, 0)), nil, replication.ChangeRemove, "e/1"},
		"a lost voter alone is kept":                  {fourVotersAnd(member("e", "1", true, time.Minute)), nil, 0, ""},
		"a wiped voter is replaced sooner":            {fourVotersAnd(member("e", "1", true, time.Second), member("e", "2", false, 0)), nil, replication.ChangePromote, "e/2"},
		"a wiped voter with a replacement is removed": {fourVotersAnd(member("e", "1", true, time.Second), member("e", "2", true, 0)), nil, replication.ChangeRemove, "e/1"},
		"a lost learner is removed":                   {fourVotersAnd(member("e", "1", true, 0), member("f", "1", false, time.Minute)), nil, replication.ChangeRemove, "f/1"},
	} {
		got, ok := Plan(View{Self: id("a", "1"), Members: c.members, Candidates: c.candidates, TargetVoters: 5})
		if ok != (c.kind != 0) || got.Kind != c.kind || string(got.ID) != c.host {
			t.Errorf("%s: got %v %v", name, got, ok)
		}
	}
}
