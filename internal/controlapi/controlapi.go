// Package controlapi defines the API of a control host for adapters of a platform's
// protocol. Any control host serves it; those that are not the leader forward the calls, or
// redirect their callers.
package controlapi

import (
	"context"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/wire"
)

// Errors of operators' calls.
const (
	// ErrRefused means that the call violates a rule and that any host would refuse it.
	// Nothing has changed.
	ErrRefused = errors.ConstError("refused")
	// ErrUnavailable means that the outcome is unknown; the call may be retried.
	ErrUnavailable = errors.ConstError("no leader confirmed the call in time")
)

// RedirectError means that the caller must send the call to another host itself. Nothing
// has changed.
type RedirectError struct {
	Address string // IP:port of the listener for calls on the leader
}

// Error implements error.
func (e *RedirectError) Error() string { return "the leader at " + e.Address + " serves this call" }

// API serves backend servers and operators.
type API interface {
	// Heartbeat and Deregister handle the heartbeats and deregistrations of backend
	// servers.
	Heartbeat(ctx context.Context, hb wire.Heartbeat) wire.HeartbeatReply
	Deregister(ctx context.Context, d wire.Deregister) wire.HeartbeatReply
	// HeartbeatAddress returns the address that receives heartbeats on the host that a
	// reply names as the leader, or an empty string.
	HeartbeatAddress(leader string) string
	// PatchItems sets and removes configuration items. It applies all of the patch or
	// nothing.
	PatchItems(ctx context.Context, patch []items.Item) error
	// ReadItems returns the items in force with the operators' documents.
	ReadItems(ctx context.Context) ([]items.Item, error)
	// DrainDataCentre takes a data centre out of service, or restores it. The call has no
	// version, so that a host cannot tell an old one, which waited somewhere, from a new one.
	// It is therefore not forwarded: hosts that are not the leader return a RedirectError.
	DrainDataCentre(ctx context.Context, name string, out bool) error
}
