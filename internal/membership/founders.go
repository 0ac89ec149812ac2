package membership

import (
	"slices"

	"github.com/agatestep/agatestep/internal/replication"
)

// Hello describes the replica of a control host to the other control hosts.
type Hello struct {
	Replica replication.ReplicaID
	// Empty means that the replica holds no log.
	Empty bool
	// Members are the members of its group as far as it knows.
	Members []replication.ReplicaID
}

// Founders returns the initial members of the group that this replica forms, or nil.
// hellos holds the answers of other control hosts by peer address, which is the host in
// their replica ids. All founders compute the same list: the replicas of all seeds,
// provided that none of them belongs to another group. If the others have formed the
// group already, a founder joins them as long as it is in their list. Without mayForm it
// does only that: this is for a founder that restarted before it had its log.
func Founders(own Hello, seeds []string, hellos map[string]Hello, mayForm bool) []replication.ReplicaID {
	if !own.Empty || !slices.Contains(seeds, own.Replica.Host()) {
		return nil
	}
	var founders []replication.ReplicaID
	for _, seed := range seeds {
		hello, ok := hellos[seed]
		if seed == own.Replica.Host() {
			hello, ok = own, true
		}
		if !ok || hello.Replica.Host() != seed {
			return nil
		}
		founders = append(founders, hello.Replica)
	}
	slices.Sort(founders)
	allowed := mayForm
	for _, hello := range hellos {
		if len(hello.Members) == 0 {
			continue
		}
		members := slices.Clone(hello.Members)
		slices.Sort(members)
		if !slices.Equal(members, founders) {
			return nil
		}
		allowed = true
	}
	if !allowed {
		return nil
	}
	return founders
}
