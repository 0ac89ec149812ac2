package daemon

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/wire"
)

// Bounds of one proposal that a daemon submits to the leader.
const (
	proposeTimeout    = 2 * time.Second
	proposeRetryPause = 25 * time.Millisecond
)

// ErrNoLeader reports that no control replica accepted a command in time.
var ErrNoLeader = errors.ConstError("no leader of the control group answered in time")

// propose submits a command of this host to the leader. Commands of hosts are
// idempotent, so every failure is retried until ctx ends.
func (d *Daemon) propose(ctx context.Context, cmd *command.Command) (*command.Result, error) {
	reply, err := d.submitToLeader(ctx, wire.MethodPropose, cmd, 0)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return reply.Result, nil
}

// ProposeOperatorCommand submits an operator's command to the leader and waits up to waitMs
// milliseconds until its revision is in force. It returns ErrNoLeader when no replica
// accepted the command in time.
func (d *Daemon) ProposeOperatorCommand(ctx context.Context, cmd *command.Command, waitMs int64) (wire.ProposalReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout+time.Duration(waitMs)*time.Millisecond+leaderChangeGrace)
	defer cancel()
	reply, err := d.submitToLeader(ctx, wire.MethodOperatorCommand, cmd, waitMs)
	if err == nil && reply.Result.Code == command.ResultOK {
		d.recordOperatorCommand(cmd, reply.Result)
	}
	return reply, err
}

// recordOperatorCommand records an operator's command, so that the timeline shows it
// before its effects.
func (d *Daemon) recordOperatorCommand(cmd *command.Command, result *command.Result) {
	switch {
	case cmd.Publish != nil:
		detail := fmt.Sprintf("request %s, revision %d", cmd.Publish.RequestID, result.Revision)
		for _, name := range slices.Sorted(maps.Keys(result.Versions)) {
			d.record("published", name, fmt.Sprintf("version %d, %s", result.Versions[name], detail))
		}
	case cmd.Drain != nil:
		kind := "restored"
		if cmd.Drain.Out {
			kind = "drained"
		}
		d.record(kind, cmd.Drain.Name, fmt.Sprintf("%s, request %s, revision %d", cmd.Drain.Kind, cmd.Drain.RequestID, result.Revision))
	}
}

// leaderChangeGrace is the extra time for an operator's command, so that it survives one
// change of leader.
const leaderChangeGrace = 3 * time.Second

func (d *Daemon) submitToLeader(ctx context.Context, method string, cmd *command.Command, waitMs int64) (wire.ProposalReply, error) {
	encoded, err := cmd.Encode()
	if err != nil {
		return wire.ProposalReply{Status: wire.ProposalDropped}, errors.Trace(err)
	}
	waitUntil := d.clock.Now().Add(time.Duration(waitMs) * time.Millisecond)
	outcome := wire.ProposalReply{Status: wire.ProposalDropped}
	address := d.session.Leader()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		left := max(waitUntil.Sub(d.clock.Now()).Milliseconds(), 0)
		proposal := wire.Proposal{Command: encoded, WaitInForce: left > 0, WaitMs: left}
		reply, err := d.proposeTo(ctx, address, method, proposal)
		if err == nil && reply.Status == wire.ProposalApplied && !leaseLostWhileWaiting(reply, left) {
			return reply, nil
		}
		outcome = leastCertain(outcome, reply, err)
		address = d.nextReplica(address, reply.Leader, attempt)
		pause(ctx, proposeRetryPause)
	}
	return outcome, errors.Annotate(ErrNoLeader, string(outcome.Status))
}

// leaseLostWhileWaiting reports whether the leader lost its lease before it could say
// whether the revision is in force. The next leader replies to the same command with the
// original result and continues the wait.
func leaseLostWhileWaiting(reply wire.ProposalReply, leftMs int64) bool {
	return leftMs > 0 && reply.Result.Code == command.ResultOK && !reply.InForce && len(reply.Pending) == 0
}

func (d *Daemon) proposeTo(ctx context.Context, address, method string, proposal wire.Proposal) (wire.ProposalReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout+time.Duration(proposal.WaitMs)*time.Millisecond)
	defer cancel()
	var reply wire.ProposalReply
	err := d.client.Call(ctx, address, method, proposal, &reply)
	if errors.Is(err, peer.ErrNotConnected) {
		return wire.ProposalReply{Status: wire.ProposalDropped}, nil
	}
	return reply, err
}

// leastCertain returns the less certain of two statuses: once an attempt may have been
// applied, a later definite refusal no longer proves that the command had no effect.
func leastCertain(previous, reply wire.ProposalReply, err error) wire.ProposalReply {
	applied := reply.Status == wire.ProposalApplied || reply.Status == wire.ProposalUnknown
	if err != nil || applied || previous.Status == wire.ProposalUnknown {
		return wire.ProposalReply{Status: wire.ProposalUnknown}
	}
	return reply
}

// nextReplica returns the address of the replica to try next: the leader's host that a
// replica hinted at, or else the next one in turn. A replica's hint at itself is ignored.
func (d *Daemon) nextReplica(current, hint string, attempt int) string {
	if address, ok := d.replicaAddressByHost[hint]; ok && address != current {
		return address
	}
	return d.replicaAddresses[attempt%len(d.replicaAddresses)]
}

// pause waits for the duration d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
