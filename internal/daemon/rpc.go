package daemon

import (
	"context"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/replication"
	"github.com/agatestep/agatestep/internal/timeline"
	"github.com/agatestep/agatestep/internal/wire"
)

// noReplicaMessage is the error of a host without a control replica.
const noReplicaMessage = "this host runs no control replica"

func (d *Daemon) registerMethods() {
	d.peerServer.Register(wire.MethodAnnounce, peer.Handle(d.handleAnnounce))
	d.peerServer.Register(wire.MethodTimelineRead, peer.Handle(d.handleTimeline))
	if d.leader == nil {
		return
	}
	d.peerServer.RegisterOrdered(wire.MethodReplicationStep, peer.Handle(d.handleReplicationMessage))
	d.peerServer.Register(wire.MethodSessionRenew, peer.Handle(d.handleRenew))
	d.peerServer.Register(wire.MethodTableWatch, peer.Handle(d.handleWatch))
	d.peerServer.Register(wire.MethodTableBarrier, peer.Handle(d.replica.handleBarrier))
	d.peerServer.Register(wire.MethodPropose, peer.Handle(d.handlePropose))
	d.peerServer.Register(wire.MethodOperatorCommand, peer.Handle(d.handlePropose))
	d.peerServer.Register(wire.MethodReplace, peer.Handle(d.handleReplace))
}

func (d *Daemon) handleReplicationMessage(_ context.Context, step wire.ReplicationStep) (struct{}, error) {
	m, err := replication.Decode(step.Message)
	if err != nil {
		return struct{}{}, errors.Trace(err)
	}
	d.replica.node.Load().Receive(m)
	return struct{}{}, nil
}

func (d *Daemon) handleRenew(ctx context.Context, request wire.SessionRenew) (wire.SessionReply, error) {
	processMetrics.renewals.Add(1)
	return d.leader.Renew(ctx, request), nil
}

func (d *Daemon) handleWatch(ctx context.Context, request wire.TableWatch) (wire.TableReply, error) {
	return d.leader.Watch(ctx, request), nil
}

func (d *Daemon) handlePropose(ctx context.Context, proposal wire.Proposal) (wire.ProposalReply, error) {
	processMetrics.proposals.Add(1)
	return d.leader.Propose(ctx, proposal), nil
}

func (d *Daemon) handleReplace(ctx context.Context, request wire.ReplaceReplica) (wire.ReplaceReply, error) {
	status := d.replica.Status()
	if !status.IsLeader {
		return wire.ReplaceReply{Leader: status.LeaderHost, Reason: "this replica does not lead"}, nil
	}
	err := d.replica.replace(ctx, admin.ReplaceRequest{
		Old: request.Old, New: admin.ReplicaIdentity{Replica: request.New},
	})
	if err != nil {
		return wire.ReplaceReply{Reason: err.Error(), Refused: errors.Is(err, errors.NotValid)}, nil
	}
	d.record("replica-replaced", request.New, "replaces "+request.Old)
	return wire.ReplaceReply{Done: true}, nil
}

func (d *Daemon) handleAnnounce(ctx context.Context, a wire.Announcement) (wire.AnnounceReply, error) {
	return d.dispatcher.Announce(ctx, a), nil
}

// relayAnnounce forwards an announcement to a host, the dispatcher of the backend server.
func (d *Daemon) relayAnnounce(ctx context.Context, host string, a wire.Announcement) (wire.AnnounceReply, error) {
	var reply wire.AnnounceReply
	h := d.session.Table().Host(host)
	if h == nil {
		return reply, errors.NotFoundf("host %q in the routing table", host)
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.Timing.AnnounceInterval)
	defer cancel()
	err := d.client.Call(ctx, h.PeerAddress, wire.MethodAnnounce, a, &reply)
	return reply, errors.Trace(err)
}

func (p *process) handleTimeline(_ context.Context, request wire.TimelineRead) (admin.TimelineReply, error) {
	return admin.TimelineReply{Events: p.events.Since(timeline.Stamp(request.Since))}, nil
}
