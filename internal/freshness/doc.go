// Package freshness tells a reader of the replicated state how old its copy can be at most.
// It relies on the answers of a majority of the control replicas, not on a leader, a lease
// or the clock of another host: see replication.Barrier for why that is enough.
package freshness
