package daemon

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a host that never asks the leader, because it takes the name of
// the leader's host for an address: from each replica it must reach the leader at
// the next attempt when told its name, and within three when told nothing.
func TestNextReplicaReachesTheLeader(t *testing.T) {
	is := is.New(t)
	d := &Daemon{replicas: []string{"a1", "a2", "a3"}, byHost: map[string]string{"h1": "a1", "h2": "a2", "h3": "a3"}}
	for attempt := range 3 {
		is.Equal(d.nextReplica("a1", "h2", attempt), "a2")
		seen := map[string]bool{}
		for next := range 3 {
			seen[d.nextReplica("a1", "unknown", attempt+next)] = true
		}
		is.Equal(len(seen), 3)
	}
	is.Equal(d.nextReplica("a2", "h2", 2), "a3") // it refuses but names itself
}
