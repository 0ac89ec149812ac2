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
	// joinInterval is the time between two rounds of a replica that is no voter, and
	// settledInterval that of one that is.
	joinInterval    = 100 * time.Millisecond
	settledInterval = 500 * time.Millisecond
	// helloTimeout bounds one hello. It leaves time for a connection between data
	// centres.
	helloTimeout = 250 * time.Millisecond
	// candidateFor is how long the leader remembers a replica that asked to join.
	candidateFor = time.Second
	// memberInterval is the time between two looks at the members.
	memberInterval = 100 * time.Millisecond
	// changeTimeout bounds one change of the members.
	changeTimeout = 2 * time.Second
	// completeWithin is how long after its election a leader refuses operators while
	// the group has too few voters. A deployment with fewer control hosts than its
	// settings ask for must serve in the end.
	completeWithin = 5 * time.Second
)

// joinLoop makes this replica a voter: it forms a group with the other seeds, or
// asks the leader of an existing group to be admitted.
func (h *ControlHost) joinLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := settledInterval
		if !h.settled() {
			h.joinOnce(ctx)
			wait = joinInterval
		}
		pause(ctx, wait)
	}
}

func (h *ControlHost) settled() bool {
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
	heard, leader := h.greet(ctx, own, h.knownAddresses(own, seeds))
	if leader != "" && !slices.Contains(h.knownAddresses(own, seeds), leader) {
		h.greet(ctx, own, []string{leader})
	}
	founders := membership.Founders(own, seeds, heard, h.settings.Deployment.Form)
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

// knownAddresses returns the peer addresses of all other control hosts that this
// one knows.
func (h *ControlHost) knownAddresses(own membership.Hello, seeds []string) []string {
	out := slices.Clone(seeds)
	for _, id := range own.Members {
		out = append(out, id.Host())
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return a == h.settings.Deployment.PeerAddress })
}

// greet says hello to all addresses at once and returns the answers by address,
// and the address of the leader that one of them named.
func (h *ControlHost) greet(ctx context.Context, own membership.Hello, addresses []string) (heard map[string]membership.Hello, leader string) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	heard = map[string]membership.Hello{}
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
			heard[address] = hello
			if reply.Leader != "" {
				leader = replication.ReplicaID(reply.Leader).Host()
			}
		})
	}
	wg.Wait()
	return heard, leader
}

func (h *ControlHost) handleHello(_ context.Context, hello wire.ReplicaHello) (wire.ReplicaHelloReply, error) {
	id := replication.ReplicaID(hello.Replica)
	if id.Host() == string(id) {
		return wire.ReplicaHelloReply{}, errors.Errorf("replica %q is not HOST/INCARNATION", hello.Replica)
	}
	if _, member := h.replica.member(id); !member {
		h.mu.Lock()
		h.candidates[id] = h.clock.Now()
		h.mu.Unlock()
	}
	own := h.ownHello()
	reply := wire.ReplicaHelloReply{Replica: string(own.Replica), Empty: own.Empty, Leader: string(h.replica.node.Load().Status().Leader)}
	for _, m := range own.Members {
		reply.Members = append(reply.Members, string(m))
	}
	return reply, nil
}

// memberLoop keeps the group at its number of voters while this replica leads.
func (h *ControlHost) memberLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, memberInterval)
		s := h.replica.node.Load().Status()
		if !s.IsLeader || !h.clock.Now().Before(s.LeaseUntil) {
			continue
		}
		change, due := membership.Plan(h.membershipView(s))
		if !due {
			continue
		}
		err := h.change(ctx, change)
		h.logger.Info("member change", zap.Uint8("kind", uint8(change.Kind)), zap.String("replica", string(change.ID)), logging.Error(err))
		h.record("members-changed", string(change.ID), fmt.Sprint(change.Kind))
	}
}

func (h *ControlHost) membershipView(s replication.Status) membership.View {
	v := membership.View{Own: s.ID, Voters: h.settings.Deployment.Voters()}
	committed := uint64(0)
	for _, m := range s.Members {
		if m.ID == s.ID {
			committed = m.Match
		}
	}
	for _, m := range s.Members {
		v.Members = append(v.Members, membership.Member{ID: m.ID, Voter: m.Voter, Silent: m.Silent,
			CaughtUp: m.Match > 0 && m.Match+catchUpLag >= committed})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for id, at := range h.candidates {
		_, member := h.replica.member(id)
		if member || now.Sub(at) > candidateFor {
			delete(h.candidates, id)
			continue
		}
		v.Candidates = append(v.Candidates, id)
	}
	return v
}

// catchUpLag is the number of entries that may be on their way to a learner that
// counts as caught up; the promotion itself waits for them.
const catchUpLag = 64

func (h *ControlHost) change(ctx context.Context, c membership.Change) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
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

// notComplete says why operators have to wait: until the group has all its voters,
// what it acknowledges would not survive the losses that are to be tolerated.
func (h *ControlHost) notComplete() string {
	s := h.replica.node.Load().Status()
	voters := 0
	for _, m := range s.Members {
		if m.Voter {
			voters++
		}
	}
	if want := h.settings.Deployment.Voters(); voters < want && h.clock.Now().Sub(s.ElectedAt) < completeWithin {
		return fmt.Sprintf("the control group has %d of %d voters", voters, want)
	}
	return ""
}
