package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/control"
	"github.com/agatestep/agatestep/internal/logstore"
	"github.com/agatestep/agatestep/internal/replication"
)

// replica is the control replica of a host: its store, its replicated log and the state
// that the log is applied to.
type replica struct {
	store  *logstore.Store
	state  *control.State
	config replication.Config

	mu   sync.Mutex // serialises bootstrap and stop
	node atomic.Pointer[replication.Node]
}

// openReplica opens the data folder and starts the replicated log. With an empty folder
// the replica stays passive until it becomes a member.
func openReplica(folder, group, host string, config replication.Config, state *control.State) (*replica, error) {
	store, err := logstore.Open(folder, logstore.Options{Group: group, Host: host})
	if err != nil {
		return nil, errors.Annotate(err, "opening the data folder")
	}
	config.GroupID = group
	config.Host = host
	config.ID = store.Identity().ID()
	config.Storage = measuredStore{store}
	config.StateMachine = measuredState{state}
	config.BarrierCovers = command.MayWithdraw
	r := &replica{store: store, state: state, config: config}
	if err := r.start(); err != nil {
		_ = store.Close()
		return nil, errors.Trace(err)
	}
	return r, nil
}

func (r *replica) start() error {
	node, err := replication.Start(r.config)
	if err != nil {
		return errors.Annotate(err, "starting the control replica")
	}
	r.node.Store(node)
	return nil
}

// failure returns the error that stopped the replica, or nil. It waits for a running
// bootstrap, which replaces the passive node.
func (r *replica) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Load().Status().Err
}

func (r *replica) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.Load().Stop()
	_ = r.store.Close()
}

// Propose implements control.Proposer.
func (r *replica) Propose(ctx context.Context, data []byte) (uint64, []byte, error) {
	index, result, err := r.node.Load().Propose(ctx, data)
	return index, result, proposalError(err)
}

// proposalError converts the errors that prove that a command is not in the log; after
// any other error it may be.
func proposalError(err error) error {
	var notLeader replication.ErrNotLeader
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notLeader):
		return errors.WithType(err, control.ErrNotLeader)
	case errors.Is(err, replication.ErrProposalDropped), errors.Is(err, replication.ErrStopped):
		return errors.WithType(err, control.ErrNotAppended)
	default:
		return err
	}
}

// Status implements control.Proposer.
func (r *replica) Status() control.LeaderStatus {
	s := r.node.Load().Status()
	return control.LeaderStatus{
		IsLeader:   s.IsLeader,
		LeaderHost: s.Leader.Host(),
		Term:       s.Term,
		LeaseUntil: s.LeaseUntil,
		ElectedAt:  s.ElectedAt,
	}
}

func (r *replica) identity() admin.ReplicaIdentity {
	id := r.store.Identity()
	return admin.ReplicaIdentity{
		Replica: string(id.ID()), Host: id.Host, Group: id.Group,
		Empty: len(r.node.Load().Status().Members) == 0,
	}
}

// bootstrap makes the empty replica a founding member. It does nothing on a replica
// that already has exactly these members.
func (r *replica) bootstrap(request admin.BootstrapRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	members, err := r.foundingMembers(request)
	if err != nil {
		return errors.Trace(err)
	}
	if current := r.node.Load().Status().Members; len(current) > 0 {
		return checkSameMembers(current, members)
	}
	r.node.Load().Stop()
	bootstrapErr := replication.Bootstrap(r.store, request.Group, members)
	if err := r.start(); err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(bootstrapErr, "bootstrap")
}

func (r *replica) foundingMembers(request admin.BootstrapRequest) ([]replication.Member, error) {
	if request.Group != r.store.Identity().Group {
		return nil, errors.NewNotValid(nil, fmt.Sprintf("group %q differs from control.group of this replica, %q",
			request.Group, r.store.Identity().Group))
	}
	var members []replication.Member
	for _, m := range request.Members {
		members = append(members, replication.Member{ID: replication.ReplicaID(m.Replica), Voter: true})
	}
	return members, nil
}

func checkSameMembers(current []replication.MemberStatus, wanted []replication.Member) error {
	for _, m := range wanted {
		if !slices.ContainsFunc(current, func(c replication.MemberStatus) bool { return c.ID == m.ID }) {
			return errors.NewNotValid(nil, fmt.Sprintf("this replica already belongs to a group without %q; "+
				"an emptied data folder is admitted with replace-replica", m.ID))
		}
	}
	if len(current) != len(wanted) {
		return errors.NewNotValid(nil, fmt.Sprintf("%d members were given, but the group has %d", len(wanted), len(current)))
	}
	return nil
}

// Bounds of the replacement of a replica.
const (
	memberChangePause   = 100 * time.Millisecond
	memberChangeTimeout = 60 * time.Second
)

// replace adds a new replica as a learner, waits until it has caught up, makes it a voter
// and only then removes the old one. It may be repeated.
func (r *replica) replace(ctx context.Context, request admin.ReplaceRequest) error {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	newID, oldID := replication.ReplicaID(request.New.Replica), replication.ReplicaID(request.Old)
	if err := r.checkReplacement(newID, oldID); err != nil {
		return errors.Trace(err)
	}
	if _, known := r.member(newID); !known {
		if err := r.retryMemberChange(ctx, func(n *replication.Node) error { return n.AddLearner(ctx, newID) }); err != nil {
			return errors.Annotatef(err, "admitting learner %s", newID)
		}
	}
	// The members that this replica knows may not be committed, so neither of the next
	// steps is skipped; a change that was already made is confirmed.
	if err := r.retryMemberChange(ctx, func(n *replication.Node) error { return n.Promote(ctx, newID) }); err != nil {
		return errors.Annotatef(err, "promoting learner %s", newID)
	}
	if oldID != "" {
		if err := r.retryMemberChange(ctx, func(n *replication.Node) error { return n.Remove(ctx, oldID) }); err != nil {
			return errors.Annotatef(err, "removing replica %s", oldID)
		}
	}
	return nil
}

func (r *replica) checkReplacement(newID, oldID replication.ReplicaID) error {
	current, known := r.member(newID)
	if newID == "" || (!known && newID.Host() == string(newID)) {
		return errors.NewNotValid(nil, fmt.Sprintf("new replica %q must be HOST/INCARNATION", newID))
	}
	if newID == oldID {
		return errors.NewNotValid(nil, fmt.Sprintf("replica %q cannot replace itself", oldID))
	}
	// The old replica is removed last, so it can only be missing when a repeated
	// request finds that the new one is a voter. Otherwise its name is a mistake, and
	// the lost replica would stay a member.
	if _, member := r.member(oldID); oldID != "" && !member && !current.Voter {
		return errors.NewNotValid(nil, fmt.Sprintf("replica %q is no member of the group", oldID))
	}
	return nil
}

func (r *replica) member(id replication.ReplicaID) (replication.MemberStatus, bool) {
	for _, m := range r.node.Load().Status().Members {
		if m.ID == id {
			return m, true
		}
	}
	return replication.MemberStatus{}, false
}

// retryMemberChange retries a membership change until it is committed. It retries changes
// that are dropped, or refused because the learner lags, an earlier change is in progress or
// the quorum is at risk.
func (r *replica) retryMemberChange(ctx context.Context, attempt func(*replication.Node) error) error {
	for {
		err := attempt(r.node.Load())
		retry := errors.Is(err, replication.ErrNotCaughtUp) || errors.Is(err, replication.ErrChangeInProgress) ||
			errors.Is(err, replication.ErrQuorumAtRisk) || errors.Is(err, replication.ErrProposalDropped)
		if err == nil || !retry {
			return err
		}
		pause(ctx, memberChangePause)
		if ctx.Err() != nil {
			return errors.Annotate(err, "gave up waiting")
		}
	}
}
