package control

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/wire"
)

// Bounds of a wait until a revision is in force.
const (
	defaultInForceWait = 10 * time.Second
	// recheckInterval is how often a wait checks for expired sessions; renewals wake it at once.
	recheckInterval = 20 * time.Millisecond
)

// commit proposes a command and returns its result.
func (l *Leader) commit(ctx context.Context, c command.Command) (*command.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return nil, errors.Trace(err)
	}
	_, encoded, err := l.cfg.Proposer.Propose(ctx, data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return command.DecodeResult(encoded)
}

// Propose commits a command of a daemon or an operator and, if asked, waits
// until its revision is in force.
func (l *Leader) Propose(ctx context.Context, req wire.Proposal) wire.ProposalReply {
	c, err := command.Decode(req.Command)
	if err != nil || c.CountSet() != 1 {
		return wire.ProposalReply{Status: wire.ProposalDropped, Reason: "the proposal is not a command"}
	}
	if c.HandedOver != nil {
		l.recordOrderlyHandOver()
	}
	if reply, done := l.answerNoOpPatch(c); done {
		return reply
	}
	encoded, err := l.proposeShared(ctx, req.Command)
	if err != nil {
		return l.proposalFailure(err)
	}
	res, err := command.DecodeResult(encoded)
	if err != nil {
		return wire.ProposalReply{Status: wire.ProposalUnknown, Reason: err.Error()}
	}
	reply := wire.ProposalReply{Status: wire.ProposalApplied, Leader: l.cfg.Proposer.Status().LeaderHost, Result: res}
	if req.WaitInForce && res.Code == command.ResultOK {
		l.awaitInForce(ctx, res.Revision, time.Duration(req.WaitMs)*time.Millisecond, &reply)
	}
	return reply
}

// answerNoOpPatch answers a patch that changes nothing without proposing it: operators
// retry a patch until they get an answer, and retries of a large one would keep the log
// busy. Everything in the state is committed, so any replica may answer.
func (l *Leader) answerNoOpPatch(c *command.Command) (reply wire.ProposalReply, done bool) {
	if c.PatchItems == nil {
		return reply, false
	}
	set := l.cfg.State.Items()
	if _, changed := set.Apply(c.PatchItems.Items); len(changed) > 0 || len(set.Validate(c.PatchItems.Items)) > 0 {
		return reply, false
	}
	return wire.ProposalReply{Status: wire.ProposalApplied, Leader: l.cfg.Proposer.Status().LeaderHost,
		Result: &command.Result{Code: command.ResultOK, Detail: noHigherVersion, Revision: l.cfg.State.Table().Revision()}}, true
}

// sharedProposalTimeout bounds a proposal that several calls wait for.
const sharedProposalTimeout = 10 * time.Second

// proposeShared proposes a command. Concurrent calls with the same command share one
// proposal.
func (l *Leader) proposeShared(ctx context.Context, data []byte) ([]byte, error) {
	outcome := l.proposals.DoChan(string(data), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sharedProposalTimeout)
		defer cancel()
		_, encoded, err := l.cfg.Proposer.Propose(ctx, data)
		return encoded, err
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err() // the outcome is unknown
	case o := <-outcome:
		encoded, _ := o.Val.([]byte)
		return encoded, o.Err
	}
}

// recordOrderlyHandOver is called before an orderly change of dispatcher is proposed.
func (l *Leader) recordOrderlyHandOver() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastOrderlyHandOver = l.cfg.Clock.Now()
}

func (l *Leader) proposalFailure(err error) wire.ProposalReply {
	reply := wire.ProposalReply{Status: wire.ProposalUnknown, Leader: l.cfg.Proposer.Status().LeaderHost, Reason: err.Error()}
	switch {
	case errors.Is(err, ErrNotLeader):
		reply.Status = wire.ProposalNotLeader
	case errors.Is(err, ErrNotAppended):
		reply.Status = wire.ProposalDropped
	}
	return reply
}

// awaitInForce waits until a revision is in force and sets the outcome in reply, or the
// reason why it is not known to be in force.
func (l *Leader) awaitInForce(ctx context.Context, revision uint64, wait time.Duration, reply *wire.ProposalReply) {
	if wait <= 0 {
		wait = defaultInForceWait
	}
	deadline := l.cfg.Clock.Now().Add(wait)
	for {
		changed, done := l.checkInForce(revision, deadline, reply)
		if done {
			return
		}
		recheck := time.NewTimer(recheckInterval)
		select {
		case <-ctx.Done():
			recheck.Stop()
			reply.Reason = fmt.Sprintf("stopped waiting: %v", ctx.Err())
			return
		case <-changed:
		case <-recheck.C:
		}
		recheck.Stop()
	}
}

// checkInForce checks once whether a revision is in force and fills reply. done is set when
// the reply is final; otherwise changed is closed by the next change of sessions.
func (l *Leader) checkInForce(revision uint64, deadline time.Time, reply *wire.ProposalReply) (changed <-chan struct{}, done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	proof, st, ok := l.verifyLease()
	if !ok {
		reply.Reason = notLeaderReason(st) + "; whether the revision is in force is unknown"
		return nil, true
	}
	reply.Pending = l.unacknowledgedHosts(revision, proof)
	if len(reply.Pending) == 0 && !proof.inGrace() {
		reply.InForce, reply.Reason = true, ""
		return nil, true
	}
	reply.Reason = "not every host has acknowledged the revision"
	if proof.inGrace() {
		reply.Reason = "sessions of an earlier leader may not be over"
	}
	return l.sessionsChanged, !proof.now.Before(deadline)
}

// unacknowledgedHosts returns the hosts that may route by an older revision: those with
// a live session that have not acknowledged this one and, during the grace period after
// an election, those that have not renewed yet. The caller holds l.mu.
func (l *Leader) unacknowledgedHosts(revision uint64, proof leaseProof) []string {
	var out []string
	for _, name := range sortedNames(l.sessions) {
		if s := l.sessions[name]; s.live(proof.now) && s.applied < revision {
			out = append(out, name)
		}
	}
	if !proof.inGrace() {
		return out
	}
	for _, h := range l.cfg.State.Table().Hosts() {
		if l.sessions[h.Name] == nil {
			out = append(out, h.Name)
		}
	}
	return out
}

// maxBatchWait bounds the wait for further changes.
const maxBatchWait = 150 * time.Millisecond

// awaitBatch waits for further changes before a watch is answered, so that one reply
// carries several.
func (l *Leader) awaitBatch(ctx context.Context) error {
	wait := min(time.Duration(len(l.cfg.State.Table().Hosts()))*l.cfg.BatchWaitPerHost, maxBatchWait)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Watch returns the changes since the revision of a host's table. When there are none, it
// waits for a change for at most the poll time. A host that confirms the age of its table
// by itself is answered by any replica, all others by the leader only.
func (l *Leader) Watch(ctx context.Context, req wire.TableWatch) wire.TableReply {
	received := l.cfg.Clock.Now()
	reply := l.watch(ctx, req)
	reply.HeldMs = l.cfg.Clock.Now().Sub(received).Milliseconds()
	return reply
}

// maxWatchReplyBytes is the size of a watch reply up to which further deltas are
// added: a tenth of a second on a link of a few megabits per second.
const maxWatchReplyBytes = 48 << 10

// addDeltas adds the following deltas to a watch reply. Otherwise a host that lags
// behind would have to ask for each of them.
func (l *Leader) addDeltas(reply *wire.TableReply) {
	size := len(reply.Delta) + len(reply.Snapshot)
	for size < maxWatchReplyBytes {
		delta, _, revision := l.cfg.State.ChangesSince(reply.Revision)
		if delta == nil {
			return
		}
		reply.More = append(reply.More, delta)
		reply.Revision = revision
		size += len(delta)
	}
}

func (l *Leader) watch(ctx context.Context, req wire.TableWatch) wire.TableReply {
	timeout := time.NewTimer(l.cfg.MaxWatchWait)
	defer timeout.Stop()
	if !req.AnyReplica {
		l.awaitLeader(ctx)
	}
	for {
		if !req.AnyReplica {
			// A leader that is partitioned, or was just elected, may lack commands that
			// another leader has acknowledged.
			if err := l.establishTerm(ctx); err != nil {
				return wire.TableReply{Leader: l.cfg.Proposer.Status().LeaderHost, Reason: err.Error()}
			}
		}
		st := l.cfg.Proposer.Status()
		started := l.cfg.Clock.Now()
		changed := l.cfg.State.Changed()
		delta, snapshot, revision := l.cfg.State.ChangesSince(req.Revision)
		if delta != nil || snapshot != nil {
			reply := wire.TableReply{Revision: revision, Delta: delta, Snapshot: snapshot, Leader: st.LeaderHost}
			l.addDeltas(&reply)
			reply.Current = l.cfg.State.Table().Revision()
			l.cfg.RecordWork("watch answer", l.cfg.Clock.Now().Sub(started))
			return reply
		}
		select {
		case <-changed:
			if err := l.awaitBatch(ctx); err != nil {
				return wire.TableReply{Revision: revision, Leader: st.LeaderHost, Reason: err.Error()}
			}
		case <-timeout.C:
			return wire.TableReply{Revision: revision, Current: revision, Leader: st.LeaderHost}
		case <-ctx.Done():
			return wire.TableReply{Revision: revision, Leader: st.LeaderHost, Reason: ctx.Err().Error()}
		}
	}
}
