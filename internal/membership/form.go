package membership

import (
	"slices"

	"github.com/agatestep/agatestep/internal/replication"
)

// Hello is what a control host says of its replica.
type Hello struct {
	Replica replication.ReplicaID
	// Empty means that the replica holds no log.
	Empty bool
	// Members are the members of its group as it knows them.
	Members []replication.ReplicaID
}

// Founders returns the members with which this replica founds a group, or nil.
// All founders compute the same list: the replicas of all seeds, none of which
// holds a log of another group. A founder that finds the others ahead of it joins
// them, as long as it is in their list. Without form it does only that: it was named
// as a founder and restarted before it had its log.
func Founders(own Hello, seeds []string, heard map[string]Hello, form bool) []replication.ReplicaID {
	if !own.Empty || !slices.Contains(seeds, own.Replica.Host()) {
		return nil
	}
	var founders []replication.ReplicaID
	for _, seed := range seeds {
		hello, ok := heard[seed]
		if seed == own.Replica.Host() {
			hello, ok = own, true
		}
		if !ok || hello.Replica.Host() != seed {
			return nil
		}
		founders = append(founders, hello.Replica)
	}
	slices.Sort(founders)
	founded := form
	for _, hello := range heard {
		if len(hello.Members) == 0 {
			continue
		}
		members := slices.Clone(hello.Members)
		slices.Sort(members)
		if !slices.Equal(members, founders) {
			return nil
		}
		founded = true
	}
	if !founded {
		return nil
	}
	return founders
}
