package daemon

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/wire"
)

// Bounds of one proposal that a daemon brings to the leader.
const (
	proposeTimeout    = 2 * time.Second
	proposeRetryPause = 25 * time.Millisecond
)

// ErrNoLeader reports that no control replica accepted a command in time.
var ErrNoLeader = errors.ConstError("no leader of the control group answered in time")

// propose brings a command of this host to the leader. Commands of hosts have
// no effect when applied twice, so every failure is answered by trying again
// until ctx ends.
func (d *Daemon) propose(ctx context.Context, cmd *command.Command) (*command.Result, error) {
	reply, err := d.bringToLeader(ctx, wire.MethodPropose, cmd, 0)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return reply.Result, nil
}

// Operate brings a command of an operator to the leader.
func (d *Daemon) Operate(ctx context.Context, cmd *command.Command, waitMs int64) (wire.ProposalReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout+time.Duration(waitMs)*time.Millisecond+operateGrace)
	defer cancel()
	reply, err := d.bringToLeader(ctx, wire.MethodOperate, cmd, waitMs)
	if err == nil && reply.Result.Code == command.ResultOK {
		d.recordOperation(cmd, reply.Result)
	}
	return reply, err
}

// recordOperation lets the time line show what operators did before its effects.
func (d *Daemon) recordOperation(cmd *command.Command, result *command.Result) {
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

// operateGrace lets an operator's command outlive one change of leader.
const operateGrace = 3 * time.Second

func (d *Daemon) bringToLeader(ctx context.Context, method string, cmd *command.Command, waitMs int64) (wire.ProposalReply, error) {
	encoded, err := cmd.Encode()
	if err != nil {
		return wire.ProposalReply{Status: wire.ProposalDropped}, errors.Trace(err)
	}
	waitUntil := d.clock.Now().Add(time.Duration(waitMs) * time.Millisecond)
	last := wire.ProposalReply{Status: wire.ProposalDropped}
	address := d.session.Leader()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		left := max(waitUntil.Sub(d.clock.Now()).Milliseconds(), 0)
		proposal := wire.Proposal{Command: encoded, WaitInForce: left > 0, WaitMs: left}
		reply, err := d.proposeAt(ctx, address, method, proposal)
		if err == nil && reply.Status == wire.ProposalApplied && !lostWhileWaiting(reply, left) {
			return reply, nil
		}
		last = worse(last, reply, err)
		address = d.nextReplica(address, reply.Leader, attempt)
		pause(ctx, proposeRetryPause)
	}
	return last, errors.Annotate(ErrNoLeader, string(last.Status))
}

// lostWhileWaiting reports that the leader lost its lease before it could say
// whether the revision is in force. The same command asked of the next leader
// gives the original result and goes on waiting.
func lostWhileWaiting(reply wire.ProposalReply, leftMs int64) bool {
	return leftMs > 0 && reply.Result.Code == command.ResultOK && !reply.InForce && len(reply.Pending) == 0
}

func (d *Daemon) proposeAt(ctx context.Context, address, method string, proposal wire.Proposal) (wire.ProposalReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout+time.Duration(proposal.WaitMs)*time.Millisecond)
	defer cancel()
	var reply wire.ProposalReply
	err := d.client.Call(ctx, address, method, proposal, &reply)
	return reply, err
}

// worse keeps the least certain status seen: once an attempt may have been
// applied, a later certain refusal no longer proves that nothing happened.
func worse(last, reply wire.ProposalReply, err error) wire.ProposalReply {
	applied := reply.Status == wire.ProposalApplied || reply.Status == wire.ProposalUnknown
	if err != nil || applied || last.Status == wire.ProposalUnknown {
		return wire.ProposalReply{Status: wire.ProposalUnknown}
	}
	return reply
}

// nextReplica follows the hint of a replica, which names the leader's host, or
// goes through all of them. The hint of one that names itself is not followed.
func (d *Daemon) nextReplica(current, hint string, attempt int) string {
	if address, ok := d.byHost[hint]; ok && address != current {
		return address
	}
	return d.replicas[attempt%len(d.replicas)]
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
