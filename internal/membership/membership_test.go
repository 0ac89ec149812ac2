package membership

import (
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/replication"
)

func id(host, incarnation string) replication.ReplicaID {
	return replication.MakeReplicaID(host, incarnation)
}

// Guards against two groups, and against founders with different member lists.
func TestFounders(t *testing.T) {
	seeds := []string{"a", "b", "c"}
	empty := func(host string) Hello { return Hello{Replica: id(host, "1"), Empty: true} }
	all := map[string]Hello{"a": empty("a"), "b": empty("b"), "c": empty("c")}
	founded := empty("b")
	founded.Empty, founded.Members = false, []replication.ReplicaID{id("c", "1"), id("a", "1"), id("b", "1")}
	foreign := founded
	foreign.Members = []replication.ReplicaID{id("a", "0"), id("b", "1"), id("c", "1")}
	for name, c := range map[string]struct {
		own   Hello
		heard map[string]Hello
		want  int
	}{
		"all empty":                      {empty("a"), all, 3},
		"one not heard":                  {empty("a"), map[string]Hello{"b": empty("b")}, 0},
		"another founded it already":     {empty("a"), map[string]Hello{"b": founded, "c": empty("c")}, 3},
		"a group without this replica":   {empty("a"), map[string]Hello{"b": foreign, "c": empty("c")}, 0},
		"a host that is no seed":         {empty("d"), all, 0},
		"a replica with a log":           {Hello{Replica: id("a", "1")}, all, 0},
		"an answer of another replica":   {empty("a"), map[string]Hello{"b": empty("c"), "c": empty("c")}, 0},
		"a group that changed meanwhile": {empty("a"), map[string]Hello{"b": foreign, "c": founded}, 0},
	} {
		got := Founders(c.own, seeds, c.heard, true)
		if len(got) != c.want {
			t.Errorf("%s: %v", name, got)
		}
		if name == "all empty" {
			c.want = 0
		}
		// Guards against a founder that is restarted before it has its log, without leave
		// to form a group, and then never takes part: the group has no majority.
		if got := Founders(c.own, seeds, c.heard, false); len(got) != c.want {
			t.Errorf("%s, without leave to form a group: %v", name, got)
		}
	}
}

func member(host, incarnation string, voter bool, silent time.Duration) Member {
	return Member{ID: id(host, incarnation), Voter: voter, Silent: silent, CaughtUp: silent < time.Second}
}

// Guards against a group that shrinks before a replacement is there, one that is
// not filled up, and one that replaces a member that only restarts.
func TestPlan(t *testing.T) {
	five := []Member{member("a", "1", true, 0), member("b", "1", true, 0), member("c", "1", true, 0), member("d", "1", true, 0)}
	with := func(more ...Member) []Member { return append(append([]Member{}, five...), more...) }
	for name, c := range map[string]struct {
		members    []Member
		candidates []replication.ReplicaID
		kind       replication.ChangeKind
		host       string
	}{
		"nothing to do":                     {with(member("e", "1", true, 0)), nil, 0, ""},
		"a candidate is admitted":           {five, []replication.ReplicaID{id("e", "1")}, replication.ChangeAddLearner, "e/1"},
		"a learner fills the group up":      {with(member("e", "1", false, 0)), nil, replication.ChangePromote, "e/1"},
		"a learner that lags waits":         {with(Member{ID: id("e", "1")}), nil, 0, ""},
		"a voter that restarts is kept":     {with(member("e", "1", true, time.Second), member("f", "1", false, 0)), nil, 0, ""},
		"a lost voter is replaced":          {with(member("e", "1", true, 3*time.Second), member("f", "1", false, 0)), nil, replication.ChangePromote, "f/1"},
		"then it is removed":                {with(member("e", "1", true, 3*time.Second), member("f", "1", true, 0)), nil, replication.ChangeRemove, "e/1"},
		"a lost voter alone is kept":        {with(member("e", "1", true, time.Minute)), nil, 0, ""},
		"a wiped voter is replaced sooner":  {with(member("e", "1", true, time.Second), member("e", "2", false, 0)), nil, replication.ChangePromote, "e/2"},
		"and removed":                       {with(member("e", "1", true, time.Second), member("e", "2", true, 0)), nil, replication.ChangeRemove, "e/1"},
		"a learner that is gone is dropped": {with(member("e", "1", true, 0), member("f", "1", false, time.Minute)), nil, replication.ChangeRemove, "f/1"},
	} {
		got, ok := Plan(View{Own: id("a", "1"), Members: c.members, Candidates: c.candidates, Voters: 5})
		if ok != (c.kind != 0) || got.Kind != c.kind || string(got.ID) != c.host {
			t.Errorf("%s: got %v %v", name, got, ok)
		}
	}
}
