package replication

import (
	"errors"
	"fmt"
)

// Errors of proposals, reads and membership changes.
var (
	// ErrStopped means that the node had stopped before it took the request;
	// nothing was committed.
	ErrStopped = errors.New("replication: node is stopped")
	// ErrProposalDropped means that the proposal is not and will not be committed.
	ErrProposalDropped = errors.New("replication: proposal dropped, not committed")
	// ErrOutcomeUnknown means that the proposal may or may not be committed.
	ErrOutcomeUnknown = errors.New("replication: outcome of the proposal is unknown")
	// ErrTooLarge means that a command exceeds MaxCommandBytes; it is not
	// committed.
	ErrTooLarge = fmt.Errorf("replication: command exceeds %d bytes", MaxCommandBytes)
	// ErrChangeInProgress means that an earlier membership change is not yet
	// committed, or that the leader has not yet committed an entry of its term.
	ErrChangeInProgress = errors.New("replication: another membership change is in progress")
	// ErrNotCaughtUp means that a learner lacks committed entries or has not
	// answered lately.
	ErrNotCaughtUp = errors.New("replication: learner has not caught up")
	// ErrQuorumAtRisk means that, after the change, no majority of the voters
	// would be answering.
	ErrQuorumAtRisk = errors.New("replication: change would leave the group without an answering majority")
	// ErrUnknownReplica means that the replica is not a suitable member.
	ErrUnknownReplica = errors.New("replication: replica is not a suitable member of the group")
	// ErrTransferFailed means that leadership did not pass to the chosen replica.
	ErrTransferFailed = errors.New("replication: leadership was not transferred")
	// ErrNotEmpty means that Bootstrap was called on a store that has state.
	ErrNotEmpty = errors.New("replication: store is not empty")
)

// errReadNotConfirmed is wrapped with the context's error of a read.
var errReadNotConfirmed = errors.New("replication: read not confirmed")

// ErrNotLeader means that this replica is not the leader; the request had no
// effect. Leader and Host are empty when no leader is known.
type ErrNotLeader struct {
	Leader ReplicaID
	Host   string
}

// Error implements error.
func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "replication: not the leader, and no leader is known"
	}
	return fmt.Sprintf("replication: not the leader; the leader is %s on host %s", e.Leader, e.Host)
}

func notLeader(leader ReplicaID) error {
	return ErrNotLeader{Leader: leader, Host: leader.Host()}
}

// stoppedBy wraps ErrStopped with the reason why the replica stopped taking part.
func stoppedBy(cause error) error { return fmt.Errorf("%w: %w", ErrStopped, cause) }
