package daemon

import (
	"context"
	"crypto/rand"
	"net"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/controlapi"
	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/wire"
)

const (
	// callTime bounds a call of a backend server or operator. They move on to another
	// host after a second.
	callTime = 850 * time.Millisecond
	// largeCommand is the size from which a command gets largeCallTime: operators wait
	// longer for large bodies.
	largeCommand  = 16 << 10
	largeCallTime = 4 * time.Second
	// minLeaderPause and maxLeaderPause bound the pause after a leader could not be
	// reached or could not decide. It doubles each time.
	minLeaderPause = 30 * time.Millisecond
	maxLeaderPause = 480 * time.Millisecond
)

// operateTime returns how long a command may take.
func operateTime(encoded []byte) time.Duration {
	if len(encoded) >= largeCommand {
		return largeCallTime
	}
	return callTime
}

// onLeader calls the leader, here or on another host, until the answer is final
// or the time is over. A leader that does not answer is not asked again: it has the call,
// and more calls are what keeps a busy one from answering. The call goes on to the next
// leader as soon as the replica of this host knows it.
func onLeader[P, R any](ctx context.Context, h *ControlHost, most time.Duration, method string, params P,
	local func(context.Context, P) (R, error), final func(R) bool) (reply R, err error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	err = errors.WithType(errors.New("no leader is known"), controlapi.ErrUnavailable)
	wait := minLeaderPause
	for ctx.Err() == nil {
		leader, term := h.leaders.get()
		if leader.address == "" {
			awaitChange(ctx, term, most)
			continue
		}
		try, end := during(ctx, term)
		if leader.own {
			reply, err = local(try, params)
		} else {
			reply, err = forward[P, R](try, h, leader.address, method, params)
		}
		end()
		if err == nil && final(reply) {
			return reply, nil
		}
		awaitChange(ctx, term, wait)
		wait = min(2*wait, maxLeaderPause)
	}
	return reply, err
}

// awaitChange waits for the end of a term, for most at most.
func awaitChange(ctx, term context.Context, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-term.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
}

func forward[P, R any](ctx context.Context, h *ControlHost, address, method string, params P) (reply R, err error) {
	err = h.client.Call(ctx, address, method, params, &reply)
	return reply, err
}

func heartbeatFinal(r wire.HeartbeatReply) bool { return r.Acked || r.Refused }

// Heartbeat implements controlapi.API.
func (h *ControlHost) Heartbeat(ctx context.Context, hb wire.Heartbeat) wire.HeartbeatReply {
	reply, err := onLeader(ctx, h, callTime, wire.MethodHeartbeat, hb, h.handleHeartbeat, heartbeatFinal)
	if err != nil {
		reply.Reason = err.Error()
	}
	if !reply.Acked {
		h.logger.Info("heartbeat not acknowledged", zap.String("backend", hb.Backend), zap.String("service", hb.Service),
			zap.Uint64("sequence", hb.Sequence), zap.Bool("leaving", hb.Leaving), zap.String("reason", reply.Reason))
	}
	return reply
}

// Deregister implements controlapi.API.
func (h *ControlHost) Deregister(ctx context.Context, d wire.Deregister) wire.HeartbeatReply {
	reply, err := onLeader(ctx, h, callTime, wire.MethodDeregister, d, h.handleDeregister, heartbeatFinal)
	if err != nil {
		reply.Reason = err.Error()
	}
	return reply
}

// HeartbeatAddress implements controlapi.API. All control hosts serve on the same
// port.
func (h *ControlHost) HeartbeatAddress(leader string) string {
	if leader == "" {
		return ""
	}
	return net.JoinHostPort(hostOf(leader), portOf(h.settings.Listen.Control))
}

// PatchItems implements controlapi.API.
func (h *ControlHost) PatchItems(ctx context.Context, patch []items.Item) error {
	return h.operate(ctx, "items patched", &command.Command{PatchItems: &command.PatchItems{Items: patch}}, zap.Int("items", len(patch)))
}

// DrainDataCentre implements controlapi.API.
func (h *ControlHost) DrainDataCentre(ctx context.Context, name string, out bool) error {
	drain := &command.Drain{RequestID: rand.Text(), Kind: command.DrainDataCentre, Name: name, Out: out}
	return h.operate(ctx, "data centre drained or restored", &command.Command{Drain: drain}, zap.String("data_centre", name), zap.Bool("out", out))
}

// operate commits an operator's command. Every command may be committed twice:
// versions or request ids tell a repetition.
func (h *ControlHost) operate(ctx context.Context, what string, c *command.Command, fields ...zap.Field) error {
	encoded, err := c.Encode()
	if err != nil {
		return errors.WithType(err, controlapi.ErrRefused)
	}
	applied := func(r wire.ProposalReply) bool { return r.Status == wire.ProposalApplied && r.Result != nil }
	reply, err := onLeader(ctx, h, operateTime(encoded), wire.MethodOperate, wire.Proposal{Command: encoded}, h.handleOperate, applied)
	switch {
	case err != nil:
		err = errors.WithType(err, controlapi.ErrUnavailable)
	case !applied(reply):
		err = errors.WithType(errors.Errorf("%s: %s", reply.Status, reply.Reason), controlapi.ErrUnavailable)
	case reply.Result.Code != command.ResultOK:
		err = errors.WithType(errors.New(reply.Result.Detail), controlapi.ErrRefused)
	default:
		fields = append(fields, zap.Uint64("revision", reply.Result.Revision), zap.String("result", reply.Result.Detail))
	}
	h.logger.Info(what, append(fields, logging.Error(err))...)
	return err
}

// ReadItems implements controlapi.API. The leader says how new the state must be, and this
// host reads its own: a configuration of 1,700 routes takes 0.15 s of processor time from
// host to host.
func (h *ControlHost) ReadItems(ctx context.Context) ([]items.Item, error) {
	return h.readItems(ctx, callTime)
}

func (h *ControlHost) readItems(ctx context.Context, most time.Duration) ([]items.Item, error) {
	began := h.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	reply, err := onLeader(ctx, h, most, wire.MethodReadRevision, wire.ReadRevision{}, h.handleReadRevision, func(r wire.ReadRevisionReply) bool { return r.OK })
	if err == nil && !reply.OK {
		err = errors.New(reply.Reason)
	}
	var list []items.Item
	if err == nil {
		list, err = h.state.ItemsAt(ctx, reply.Revision)
	}
	h.logger.Info("items read", zap.Int("items", len(list)), zap.Uint64("revision", reply.Revision), zap.Duration("took", h.clock.Now().Sub(began)), logging.Error(err))
	return list, errors.WithType(err, controlapi.ErrUnavailable)
}
