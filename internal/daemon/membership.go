package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/membership"
	"github.com/agatestep/agatestep/internal/replication"
	"github.com/agatestep/agatestep/internal/wire"
)

const (
	// joinInterval is the time between two attempts of a replica that is no voter to join,
	// and voterCheckInterval the time between two checks of one that is.
	joinInterval       = 100 * time.Millisecond
	voterCheckInterval = 500 * time.Millisecond
	// helloTimeout bounds one round of hellos. It leaves time to connect to another data
	// centre.
	helloTimeout = 250 * time.Millisecond
	// candidateTTL is how long a replica remains a candidate after its last hello.
	candidateTTL = time.Second
	// memberCheckInterval is the time between two checks of the members.
	memberCheckInterval = 100 * time.Millisecond
	// memberStepTimeout bounds one membership change.
	memberStepTimeout = 2 * time.Second
	// incompleteGroupGrace is how long after its election a leader refuses operators'
	// commands while the group has too few voters. It is limited, because a deployment with
	// fewer control hosts than its settings ask for must still accept commands.
	incompleteGroupGrace = 5 * time.Second
)

// joinLoop makes this replica a voter: it forms a group with the other seeds, or
// asks the leader of an existing group to be admitted.
func (h *ControlHost) joinLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := voterCheckInterval
		if !h.isVoterWithLeader() {
			h.joinOnce(ctx)
			wait = joinInterval
		}
		pause(ctx, wait)
	}
}

func (h *ControlHost) isVoterWithLeader() bool {
	s := h.replica.node.Load().Status()
	own, ok := h.replica.member(s.ID)
	return ok && own.Voter && s.Leader != ""
}

func (h *ControlHost) ownHello() membership.Hello {
	s := h.replica.node.Load().Status()
	hello := membership.Hello{Replica: h.replica.store.Identity().ID(), Empty: len(s.Members) == 0 && s.LastIndex == 0}
	for _, m := range s.Members {
		hello.Members = append(hello.Members, m.ID)
	}
	return hello
}

func (h *ControlHost) joinOnce(ctx context.Context) {
	own := h.ownHello()
	seeds := *h.seeds.Load()
	replies, leader := h.exchangeHellos(ctx, own, h.knownAddresses(own, seeds))
	if leader != "" && !slices.Contains(h.knownAddresses(own, seeds), leader) {
		h.exchangeHellos(ctx, own, []string{leader})
	}
	founders := membership.Founders(own, seeds, replies, h.settings.Deployment.FormGroup)
	if founders == nil {
		return
	}
	request := admin.BootstrapRequest{Group: h.settings.Control.Group}
	for _, id := range founders {
		request.Members = append(request.Members, admin.ReplicaIdentity{Replica: string(id)})
	}
	err := h.replica.bootstrap(request)
	h.logger.Info("control group formed", zap.Any("founders", founders), logging.Error(err))
	h.record("bootstrapped", request.Group, fmt.Sprint(founders))
}

// knownAddresses returns the peer addresses of all other control hosts that this host
// knows.
func (h *ControlHost) knownAddresses(own membership.Hello, seeds []string) []string {
	out := slices.Clone(seeds)
	for _, id := range own.Members {
		out = append(out, id.Host())
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return a == h.settings.Deployment.PeerAddress })
}

// exchangeHellos sends a hello to all addresses concurrently and returns the replies by
// address, and the address of the leader if a reply names one.
func (h *ControlHost) exchangeHellos(ctx context.Context, own membership.Hello, addresses []string) (replies map[string]membership.Hello, leader string) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	replies = map[string]membership.Hello{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			var reply wire.ReplicaHelloReply
			request := wire.ReplicaHello{Replica: string(own.Replica), Empty: own.Empty}
			if err := h.client.Call(ctx, address, wire.MethodReplicaHello, request, &reply); err != nil {
				h.logger.Debug("hello not answered", zap.String("address", address), logging.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			hello := membership.Hello{Replica: replication.ReplicaID(reply.Replica), Empty: reply.Empty}
			for _, m := range reply.Members {
				hello.Members = append(hello.Members, replication.ReplicaID(m))
			}
			replies[address] = hello
			if reply.Leader != "" {
				leader = replication.ReplicaID(reply.Leader).Host()
			}
		})
	}
	wg.Wait()
	return replies, leader
}

func (h *ControlHost) handleHello(_ context.Context, hello wire.ReplicaHello) (wire.ReplicaHelloReply, error) {
	id := replication.ReplicaID(hello.Replica)
	if id.Host() == string(id) {
		return wire.ReplicaHelloReply{}, errors.Errorf("replica %q is not HOST/INCARNATION", hello.Replica)
	}
	if _, member := h.replica.member(id); !member {
		h.mu.Lock()
		h.joinCandidates[id] = h.clock.Now()
		h.mu.Unlock()
	}
	own := h.ownHello()
	reply := wire.ReplicaHelloReply{Replica: string(own.Replica), Empty: own.Empty, Leader: string(h.replica.node.Load().Status().Leader)}
	for _, m := range own.Members {
		reply.Members = append(reply.Members, string(m))
	}
	return reply, nil
}

// memberLoop adds, promotes and removes members while this replica leads, to keep the
// group at its number of voters.
func (h *ControlHost) memberLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, memberCheckInterval)
		s := h.replica.node.Load().Status()
		if !s.IsLeader || !h.clock.Now().Before(s.LeaseUntil) {
			continue
		}
		change, due := membership.Plan(h.membershipView(s))
		if !due {
			continue
		}
		err := h.applyMemberChange(ctx, change)
		h.logger.Info("member change", zap.Uint8("kind", uint8(change.Kind)), zap.String("replica", string(change.ID)), logging.Error(err))
		h.record("members-changed", string(change.ID), fmt.Sprint(change.Kind))
	}
}

func (h *ControlHost) membershipView(s replication.Status) membership.View {
	v := membership.View{Self: s.ID, TargetVoters: h.settings.Deployment.VoterCount()}
	committed := uint64(0)
	for _, m := range s.Members {
		if m.ID == s.ID {
			committed = m.Match
		}
	}
	for _, m := range s.Members {
		v.Members = append(v.Members, membership.Member{ID: m.ID, Voter: m.Voter, SilentFor: m.SilentFor,
			CaughtUp: m.Match > 0 && m.Match+catchUpLag >= committed})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for id, at := range h.joinCandidates {
		_, member := h.replica.member(id)
		if member || now.Sub(at) > candidateTTL {
			delete(h.joinCandidates, id)
			continue
		}
		v.Candidates = append(v.Candidates, id)
	}
	return v
}

// catchUpLag is the number of entries that a learner may lag behind and still count as
// caught up; the promotion itself waits for them.
const catchUpLag = 64

func (h *ControlHost) applyMemberChange(ctx context.Context, c membership.Change) error {
	ctx, cancel := context.WithTimeout(ctx, memberStepTimeout)
	defer cancel()
	node := h.replica.node.Load()
	switch c.Kind {
	case replication.ChangeAddLearner:
		return node.AddLearner(ctx, c.ID)
	case replication.ChangePromote:
		return node.Promote(ctx, c.ID)
	default:
		return node.Remove(ctx, c.ID)
	}
}

// missingVotersReason returns why operators have to wait, or "" if they need not. Until
// the group has all its voters, commands that it acknowledges might not survive the number
// of lost hosts that the deployment is to tolerate.
func (h *ControlHost) missingVotersReason() string {
	s := h.replica.node.Load().Status()
	voters := 0
	for _, m := range s.Members {
		if m.Voter {
			voters++
		}
	}
	if want := h.settings.Deployment.VoterCount(); voters < want && h.clock.Now().Sub(s.ElectedAt) < incompleteGroupGrace {
		return fmt.Sprintf("the control group has %d of %d voters", voters, want)
	}
	return ""
}
