package daemon

import (
	"context"
	"crypto/rand"
	"net"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/controlapi"
	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/wire"
)

const (
	// callTimeout bounds a call of a backend server or operator. They try another host
	// after a second.
	callTimeout = 850 * time.Millisecond
	// largeCommandBytes is the size from which a command gets largeCallTimeout: operators
	// wait longer for large bodies.
	largeCommandBytes = 16 << 10
	largeCallTimeout  = 4 * time.Second
	// minLeaderBackoff and maxLeaderBackoff bound the backoff after a leader could not be
	// reached or could not decide. It doubles each time.
	minLeaderBackoff = 30 * time.Millisecond
	maxLeaderBackoff = 480 * time.Millisecond
)

// errNoLeaderKnown means that this host knew no leader during the whole call.
var errNoLeaderKnown = errors.WithType(errors.New("no leader is known"), controlapi.ErrUnavailable)

// commandTimeout returns how long an operator's encoded command may take.
func commandTimeout(encoded []byte) time.Duration {
	if len(encoded) >= largeCommandBytes {
		return largeCallTimeout
	}
	return callTimeout
}

// callLeader calls the leader, locally or on another host, until the reply is final or
// the timeout ends. While a leader has not replied, it is not called again: it has the
// call, and more calls would keep a busy leader from replying. The call moves to the next
// leader as soon as this host's replica knows it.
func callLeader[P, R any](ctx context.Context, h *ControlHost, timeout time.Duration, method string, params P,
	callLocal func(context.Context, P) (R, error), isFinal func(R) bool) (reply R, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = errNoLeaderKnown
	backoff := minLeaderBackoff
	for ctx.Err() == nil {
		leader, leaderChange := h.knownLeader.get()
		if leader.address == "" {
			awaitLeaderChange(ctx, leaderChange, timeout)
			continue
		}
		attemptCtx, endAttempt := mergeContexts(ctx, leaderChange)
		if leader.isThisHost {
			reply, err = callLocal(attemptCtx, params)
		} else {
			reply, err = callHost[P, R](attemptCtx, h, leader.address, method, params)
		}
		endAttempt()
		if err == nil && isFinal(reply) {
			return reply, nil
		}
		awaitLeaderChange(ctx, leaderChange, backoff)
		backoff = min(2*backoff, maxLeaderBackoff)
	}
	return reply, err
}

// awaitLeaderChange waits until leaderChange or ctx ends, or for the timeout.
func awaitLeaderChange(ctx, leaderChange context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-leaderChange.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
}

func callHost[P, R any](ctx context.Context, h *ControlHost, address, method string, params P) (reply R, err error) {
	err = h.client.Call(ctx, address, method, params, &reply)
	return reply, err
}

func isFinalHeartbeatReply(r wire.HeartbeatReply) bool { return r.Acked || r.Refused }

// Heartbeat implements controlapi.API.
func (h *ControlHost) Heartbeat(ctx context.Context, hb wire.Heartbeat) wire.HeartbeatReply {
	reply, err := callLeader(ctx, h, callTimeout, wire.MethodHeartbeat, hb, h.handleHeartbeat, isFinalHeartbeatReply)
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
	reply, err := callLeader(ctx, h, callTimeout, wire.MethodDeregister, d, h.handleDeregister, isFinalHeartbeatReply)
	if err != nil {
		reply.Reason = err.Error()
	}
	return reply
}

// HeartbeatAddress implements controlapi.API. All control hosts use the same port.
func (h *ControlHost) HeartbeatAddress(leader string) string {
	if leader == "" {
		return ""
	}
	return net.JoinHostPort(hostOf(leader), portOf(h.settings.Listen.Control))
}

// PatchItems implements controlapi.API.
func (h *ControlHost) PatchItems(ctx context.Context, patch []items.Item) error {
	return h.commitOperatorCommand(ctx, "items patched", &command.Command{PatchItems: &command.PatchItems{Items: patch}}, zap.Int("items", len(patch)))
}

// DrainDataCentre implements controlapi.API.
func (h *ControlHost) DrainDataCentre(ctx context.Context, name string, out bool) error {
	c := &command.Command{Drain: &command.Drain{RequestID: rand.Text(), Kind: command.DrainDataCentre, Name: name, Out: out}}
	encoded, err := c.Encode()
	if err != nil {
		return errors.WithType(err, controlapi.ErrRefused)
	}
	reply, err := h.commitAsLeader(ctx, wire.Proposal{Command: encoded}, h.handleOperatorCommand)
	return h.operatorOutcome("data centre drained or restored", reply, err, zap.String("data_centre", name), zap.Bool("out", out))
}

// commitAsLeader commits an operator's command that has no version, if this host is the
// leader, and returns a RedirectError otherwise. It commits nothing for a caller that has
// disconnected while the call waited.
func (h *ControlHost) commitAsLeader(ctx context.Context, proposal wire.Proposal,
	commit func(context.Context, wire.Proposal) (wire.ProposalReply, error)) (reply wire.ProposalReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = errNoLeaderKnown
	for backoff := minLeaderBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxLeaderBackoff) {
		leader, leaderChange := h.knownLeader.get()
		switch {
		case leader.address == "":
		case !leader.isThisHost:
			return reply, &controlapi.RedirectError{Address: h.HeartbeatAddress(leader.address)}
		case callerconn.Disconnected(ctx):
			return reply, errors.New("the caller has disconnected")
		default:
			attemptCtx, endAttempt := mergeContexts(ctx, leaderChange)
			reply, err = commit(attemptCtx, proposal)
			endAttempt()
			if err == nil && isApplied(reply) {
				return reply, nil
			}
		}
		awaitLeaderChange(ctx, leaderChange, backoff)
	}
	return reply, err
}

// commitOperatorCommand commits an operator's command and logs the result. A command may
// be committed twice: versions identify a duplicate.
func (h *ControlHost) commitOperatorCommand(ctx context.Context, logMessage string, c *command.Command, fields ...zap.Field) error {
	encoded, err := c.Encode()
	if err != nil {
		return errors.WithType(err, controlapi.ErrRefused)
	}
	reply, err := callLeader(ctx, h, commandTimeout(encoded), wire.MethodOperatorCommand, wire.Proposal{Command: encoded}, h.handleOperatorCommand, isApplied)
	return h.operatorOutcome(logMessage, reply, err, fields...)
}

func isApplied(r wire.ProposalReply) bool { return r.Status == wire.ProposalApplied && r.Result != nil }

// operatorOutcome returns the outcome of an operator's command and logs it.
func (h *ControlHost) operatorOutcome(logMessage string, reply wire.ProposalReply, err error, fields ...zap.Field) error {
	var redirect *controlapi.RedirectError
	switch {
	case errors.As(err, &redirect):
	case err != nil:
		err = errors.WithType(err, controlapi.ErrUnavailable)
	case !isApplied(reply):
		err = errors.WithType(errors.Errorf("%s: %s", reply.Status, reply.Reason), controlapi.ErrUnavailable)
	case reply.Result.Code != command.ResultOK:
		err = errors.WithType(errors.New(reply.Result.Detail), controlapi.ErrRefused)
	default:
		fields = append(fields, zap.Uint64("revision", reply.Result.Revision), zap.String("result", reply.Result.Detail))
	}
	h.logger.Info(logMessage, append(fields, logging.Error(err))...)
	return err
}

// ReadItems implements controlapi.API. The leader returns the revision to read, and this
// host reads its own replica at that revision: a transfer of a configuration of 1,700 routes
// between hosts takes 0.15 s of processor time.
func (h *ControlHost) ReadItems(ctx context.Context) ([]items.Item, error) {
	return h.readItems(ctx, callTimeout)
}

func (h *ControlHost) readItems(ctx context.Context, timeout time.Duration) ([]items.Item, error) {
	began := h.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := callLeader(ctx, h, timeout, wire.MethodReadRevision, wire.ReadRevision{}, h.handleReadRevision, func(r wire.ReadRevisionReply) bool { return r.OK })
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
