// Package controlapi is what an adapter for a platform's protocol may ask of a
// control host. Any control host serves it; those that do not lead pass it on.
package controlapi

import (
	"context"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/wire"
)

// Errors of operators' calls.
const (
	// ErrRefused means that a rule refuses the call, wherever it is sent. Nothing
	// changed.
	ErrRefused = errors.ConstError("refused")
	// ErrUnavailable means that the outcome is open; the call may be repeated.
	ErrUnavailable = errors.ConstError("no leader confirmed the call in time")
)

// API serves backend servers and operators.
type API interface {
	// Heartbeat and Deregister take what backend servers say of themselves.
	Heartbeat(ctx context.Context, hb wire.Heartbeat) wire.HeartbeatReply
	Deregister(ctx context.Context, d wire.Deregister) wire.HeartbeatReply
	// HeartbeatAddress returns the address for heartbeats of the host that a reply
	// names as the leader, or an empty string.
	HeartbeatAddress(leader string) string
	// PatchItems sets and removes configuration items, all or none.
	PatchItems(ctx context.Context, patch []items.Item) error
	// ReadItems returns the items in force with the operators' documents.
	ReadItems(ctx context.Context) ([]items.Item, error)
	// DrainDataCentre takes a data centre out of service, or restores it.
	DrainDataCentre(ctx context.Context, name string, out bool) error
}
