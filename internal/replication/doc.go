// Package replication keeps a replicated log among a few replicas and applies
// it to a state machine.
//
// Core is the consensus protocol (Raft) as a deterministic state machine:
// messages, ticks and proposals go in; messages, entries to sync and entries to
// apply come out. It uses no clock, network or disk, and its randomness comes
// from a seed. Node drives a Core with one goroutine, which owns the core and
// the replicated state machine.
//
// The protocol has pre-vote, check-quorum, a leader lease, read index,
// snapshots, learners, single-step membership changes and leadership transfer.
// A replica is identified by its host and the incarnation of its data folder;
// messages to another incarnation are ignored, so a replica that lost its disk
// cannot vote under its previous identity.
package replication
