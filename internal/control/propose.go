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
	// recheckInterval is how often a wait looks for sessions that expired; acks wake it at once.
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
	if err != nil || c.Count() != 1 {
		return wire.ProposalReply{Status: wire.ProposalDropped, Reason: "the proposal is not a command"}
	}
	if c.HandedOver != nil {
		l.noteOrderly()
	}
	if reply, done := l.heldAlready(c); done {
		return reply
	}
	encoded, err := l.proposeOnce(ctx, req.Command)
	if err != nil {
		return l.failedProposal(err)
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

// heldAlready answers a patch that changes nothing without the log: operators send a
// patch again until they get an answer, and a large one again and again would keep
// the log busy. What the state holds is committed, so the answer is true on any
// replica.
func (l *Leader) heldAlready(c *command.Command) (reply wire.ProposalReply, done bool) {
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

// proposalTime bounds a proposal that several callers wait for.
const proposalTime = 10 * time.Second

// proposeOnce proposes a command. Calls with the same command share one proposal
// while it is on its way.
func (l *Leader) proposeOnce(ctx context.Context, data []byte) ([]byte, error) {
	outcome := l.proposals.DoChan(string(data), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposalTime)
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

// noteOrderly is called before an orderly change of dispatcher is proposed.
func (l *Leader) noteOrderly() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orderly = l.cfg.Clock.Now()
}

func (l *Leader) failedProposal(err error) wire.ProposalReply {
	reply := wire.ProposalReply{Status: wire.ProposalUnknown, Leader: l.cfg.Proposer.Status().LeaderHost, Reason: err.Error()}
	switch {
	case errors.Is(err, ErrNotLeader):
		reply.Status = wire.ProposalNotLeader
	case errors.Is(err, ErrDropped):
		reply.Status = wire.ProposalDropped
	}
	return reply
}

// awaitInForce waits until a revision is in force and says so in reply, or says
// why it cannot tell.
func (l *Leader) awaitInForce(ctx context.Context, revision uint64, wait time.Duration, reply *wire.ProposalReply) {
	if wait <= 0 {
		wait = defaultInForceWait
	}
	deadline := l.cfg.Clock.Now().Add(wait)
	for {
		wake, done := l.checkInForce(revision, deadline, reply)
		if done {
			return
		}
		recheck := time.NewTimer(recheckInterval)
		select {
		case <-ctx.Done():
			recheck.Stop()
			reply.Reason = fmt.Sprintf("stopped waiting: %v", ctx.Err())
			return
		case <-wake:
		case <-recheck.C:
		}
		recheck.Stop()
	}
}

// checkInForce looks once. It reports done when the answer is final.
func (l *Leader) checkInForce(revision uint64, deadline time.Time, reply *wire.ProposalReply) (wake <-chan struct{}, done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, st, ok := l.lead()
	if !ok {
		reply.Reason = notLeading(st) + "; whether the revision is in force is unknown"
		return nil, true
	}
	reply.Pending = l.pending(revision, r)
	if len(reply.Pending) == 0 && !r.inGrace() {
		reply.InForce, reply.Reason = true, ""
		return nil, true
	}
	reply.Reason = "not every host has acknowledged the revision"
	if r.inGrace() {
		reply.Reason = "sessions of an earlier leader may not be over"
	}
	return l.wake, !r.now.Before(deadline)
}

// pending names the hosts that may route by an older revision: those with a live
// session that have not acknowledged this one and, during the grace after an
// election, those that have not renewed yet. The caller holds l.mu.
func (l *Leader) pending(revision uint64, r leadership) []string {
	var out []string
	for _, name := range sortedNames(l.sessions) {
		if s := l.sessions[name]; s.live(r.now) && s.applied < revision {
			out = append(out, name)
		}
	}
	if !r.inGrace() {
		return out
	}
	for _, h := range l.cfg.State.Table().Hosts() {
		if l.sessions[h.Name] == nil {
			out = append(out, h.Name)
		}
	}
	return out
}

// maxGather bounds the wait for further changes.
const maxGather = 150 * time.Millisecond

// gather waits for further changes before a watch is answered.
func (l *Leader) gather(ctx context.Context) error {
	wait := min(time.Duration(len(l.cfg.State.Table().Hosts()))*l.cfg.Gather, maxGather)
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

// Watch returns what changed since the revision of a host's table, and waits for
// a change for at most the poll time when there is none. A host that confirms the age of
// its table by itself is answered by any replica, all others by the leader only.
func (l *Leader) Watch(ctx context.Context, req wire.TableWatch) wire.TableReply {
	received := l.cfg.Clock.Now()
	reply := l.watch(ctx, req)
	reply.HeldMs = l.cfg.Clock.Now().Sub(received).Milliseconds()
	return reply
}

// maxAnswerBytes is the size of an answer to a watch up to which further deltas are
// added: a tenth of a second on a link of a few megabits.
const maxAnswerBytes = 48 << 10

// addDeltas adds the deltas that follow those of an answer. A host that is behind
// would have to ask for each of them.
func (l *Leader) addDeltas(reply *wire.TableReply) {
	size := len(reply.Delta) + len(reply.Snapshot)
	for size < maxAnswerBytes {
		delta, _, revision := l.cfg.State.Changes(reply.Revision)
		if delta == nil {
			return
		}
		reply.More = append(reply.More, delta)
		reply.Revision = revision
		size += len(delta)
	}
}

func (l *Leader) watch(ctx context.Context, req wire.TableWatch) wire.TableReply {
	timeout := time.NewTimer(l.cfg.Poll)
	defer timeout.Stop()
	if !req.Any {
		l.awaitLeader(ctx)
	}
	for {
		if !req.Any {
			// A leader that was cut off, or elected just now, may lack what another one has
			// acknowledged.
			if err := l.establish(ctx); err != nil {
				return wire.TableReply{Leader: l.cfg.Proposer.Status().LeaderHost, Reason: err.Error()}
			}
		}
		st := l.cfg.Proposer.Status()
		began := l.cfg.Clock.Now()
		changed := l.cfg.State.Changed()
		delta, snapshot, revision := l.cfg.State.Changes(req.Revision)
		if delta != nil || snapshot != nil {
			reply := wire.TableReply{Revision: revision, Delta: delta, Snapshot: snapshot, Leader: st.LeaderHost}
			l.addDeltas(&reply)
			reply.Current = l.cfg.State.Table().Revision()
			l.cfg.Worked("watch answer", l.cfg.Clock.Now().Sub(began))
			return reply
		}
		select {
		case <-changed:
			if err := l.gather(ctx); err != nil {
				return wire.TableReply{Revision: revision, Leader: st.LeaderHost, Reason: err.Error()}
			}
		case <-timeout.C:
			return wire.TableReply{Revision: revision, Current: revision, Leader: st.LeaderHost}
		case <-ctx.Done():
			return wire.TableReply{Revision: revision, Leader: st.LeaderHost, Reason: ctx.Err().Error()}
		}
	}
}
