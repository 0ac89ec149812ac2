package daemon

import (
	"context"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/allowance"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/gateway"
	"github.com/agatestep/agatestep/internal/replication"
	"github.com/agatestep/agatestep/internal/session"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/timeline"
	"github.com/agatestep/agatestep/internal/wire"
)

// roleAdmin implements the administration API of a host with one role.
type roleAdmin struct {
	*process
	currentTable func() *table.Table
	session      *session.Session                // nil on control hosts
	replica      *replica                        // nil on entry hosts
	gateway      *gateway.Gateway                // nil on control hosts
	allowanceUse func(limit int) []allowance.Use // nil on entry hosts
	// hosts returns the hosts whose timelines are merged.
	hosts                  func() []table.Host
	proposeOperatorCommand func(context.Context, wire.Proposal) (wire.ProposalReply, error)
}

var _ admin.Daemon = (*roleAdmin)(nil)

func (h *EntryHost) adminDaemon() *roleAdmin {
	hosts := func() []table.Host { return h.session.Table().Hosts() }
	propose := func(ctx context.Context, p wire.Proposal) (reply wire.ProposalReply, err error) {
		err = h.client.Call(ctx, h.session.Leader(), wire.MethodOperatorCommand, p, &reply)
		return reply, err
	}
	return &roleAdmin{process: h.process, currentTable: h.session.Table, session: h.session, gateway: h.gateway, hosts: hosts, proposeOperatorCommand: propose}
}

func (h *ControlHost) adminDaemon() *roleAdmin {
	hosts := func() []table.Host {
		out := h.state.Table().Hosts()
		for _, address := range h.memberAddresses() {
			if address != h.settings.Deployment.PeerAddress {
				out = append(out, table.Host{Name: address, PeerAddress: address})
			}
		}
		return out
	}
	propose := func(ctx context.Context, p wire.Proposal) (wire.ProposalReply, error) {
		applied := func(r wire.ProposalReply) bool { return r.Status == wire.ProposalApplied }
		return callLeader(ctx, h, commandTimeout(p.Command), wire.MethodOperatorCommand, p, h.handleOperatorCommand, applied)
	}
	return &roleAdmin{process: h.process, currentTable: h.state.Table, replica: h.replica, hosts: hosts, proposeOperatorCommand: propose, allowanceUse: h.leader.AllowanceUse}
}

// ProposeOperatorCommand implements admin.Daemon.
func (a *roleAdmin) ProposeOperatorCommand(ctx context.Context, cmd *command.Command, waitMs int64) (wire.ProposalReply, error) {
	encoded, err := cmd.Encode()
	if err != nil {
		return wire.ProposalReply{Status: wire.ProposalDropped}, errors.Trace(err)
	}
	reply, err := a.proposeOperatorCommand(ctx, wire.Proposal{Command: encoded, WaitInForce: waitMs > 0, WaitMs: waitMs})
	if err == nil && reply.Status != wire.ProposalApplied {
		err = errors.Annotate(ErrNoLeader, reply.Reason)
	}
	return reply, err
}

// Table implements admin.Daemon.
func (a *roleAdmin) Table() *table.Table { return a.currentTable() }

// SessionValid implements admin.Daemon.
func (a *roleAdmin) SessionValid() bool { return a.session != nil && a.session.Valid() }

// Status implements admin.Daemon.
func (a *roleAdmin) Status() admin.Status {
	status := a.status(a.currentTable(), a.session, a.replica)
	if a.allowanceUse == nil || status.Control == nil {
		return status
	}
	for _, u := range a.allowanceUse(maxAllowancesShown) {
		status.Control.Allowances = append(status.Control.Allowances, admin.AllowanceStatus{Organisation: u.Organisation, Rate: u.Limit.Rate, Burst: u.Limit.Burst,
			Used: u.PerSecond, Refused: u.RefusedPerSecond, Lent: u.Lent, Available: u.Available})
	}
	return status
}

// maxAllowancesShown bounds the size of a status.
const maxAllowancesShown = 100

// MergedTimeline implements admin.Daemon.
func (a *roleAdmin) MergedTimeline(ctx context.Context, since timeline.Stamp) ([]timeline.Event, []string) {
	return a.timelineAll(ctx, a.hosts(), since)
}

// ReplicaIdentity implements admin.Daemon.
func (a *roleAdmin) ReplicaIdentity() (admin.ReplicaIdentity, error) {
	if a.replica == nil {
		return admin.ReplicaIdentity{}, errors.New(noReplicaMessage)
	}
	return a.replica.identity(), nil
}

// Bootstrap implements admin.Daemon.
func (a *roleAdmin) Bootstrap(request admin.BootstrapRequest) error {
	if a.replica == nil {
		return errors.NewNotValid(nil, noReplicaMessage)
	}
	return a.replica.bootstrap(request)
}

// ReplaceReplica implements admin.Daemon. The leader admits and replaces replicas
// by itself; operators can still do so manually on the leader.
func (a *roleAdmin) ReplaceReplica(ctx context.Context, request admin.ReplaceRequest) error {
	if a.replica == nil {
		return errors.NewNotValid(nil, noReplicaMessage)
	}
	if s := a.replica.node.Load().Status(); !s.IsLeader {
		return errors.NewNotValid(nil, "this replica does not lead; the leader is "+string(replication.ReplicaID(s.Leader)))
	}
	return a.replica.replace(ctx, request)
}
