package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/replication"
	"github.com/agatestep/agatestep/internal/session"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/timeline"
	"github.com/agatestep/agatestep/internal/wire"
)

var _ admin.Daemon = (*Daemon)(nil)

// Table returns the routing table of this host.
func (d *Daemon) Table() *table.Table { return d.session.Table() }

// SessionValid reports whether this host's session is valid, so that it may route by
// its table.
func (d *Daemon) SessionValid() bool { return d.session.Valid() }

// Status returns the status of this daemon and of the deployment as its table shows it.
func (d *Daemon) Status() admin.Status {
	return d.status(d.session.Table(), d.session, d.replica)
}

// status returns the status of a process, with table t. The session and the replica
// are nil on hosts without one.
func (p *process) status(t *table.Table, s *session.Session, r *replica) admin.Status {
	status := admin.Status{
		Host: p.settings.Host, DataCentre: p.settings.DataCentre,
		Session:        p.sessionStatus(t, s),
		Services:       []admin.ServiceStatus{},
		Backends:       []admin.BackendStatus{},
		Hosts:          []admin.HostStatus{},
		DataCentresOut: append([]string{}, t.Drained()...),
	}
	for _, h := range t.Hosts() {
		status.Hosts = append(status.Hosts, admin.HostStatus{
			Host: h.Name, DataCentre: h.DataCentre, Admin: h.AdminAddress, Out: h.Draining,
		})
	}
	for _, s := range t.Services() {
		status.Services = append(status.Services, admin.ServiceStatus{
			Service: s.File.Service, Team: s.File.Team, Version: s.File.Version,
			Revision: s.Revision, Keyed: s.File.Keyed(), Slices: t.SliceCount(s.File.Service),
		})
		status.Backends = append(status.Backends, backendStatuses(t, s.File.Service)...)
	}
	status.Control = p.controlStatus(r)
	return status
}

func (p *process) sessionStatus(t *table.Table, s *session.Session) admin.SessionStatus {
	if s == nil {
		return admin.SessionStatus{Revision: t.Revision()}
	}
	left := s.ValidUntil().Sub(p.clock.Now())
	return admin.SessionStatus{
		Valid: left > 0, RemainingMs: max(left, 0).Milliseconds(),
		Revision: t.Revision(), Leader: s.Leader(),
	}
}

func backendStatuses(t *table.Table, service string) []admin.BackendStatus {
	var out []admin.BackendStatus
	for _, b := range t.Backends(service) {
		out = append(out, admin.BackendStatus{
			Service: service, Backend: b.Name, DataCentre: b.DataCentre, Address: b.Address,
			Dispatcher: b.Dispatcher, Standby: b.StandbyDispatcher,
			Slices: len(t.SlicesOf(service, b.Name)), Lost: b.Lost, Out: b.Draining,
		})
	}
	return out
}

func (p *process) controlStatus(r *replica) *admin.ControlStatus {
	if r == nil {
		return nil
	}
	s := r.node.Load().Status()
	out := &admin.ControlStatus{
		Replica: string(s.ID), Group: p.settings.Control.Group, Leader: string(s.Leader),
		Term: s.Term, Leading: s.IsLeader, Applied: s.Applied, Members: []admin.MemberStatus{},
	}
	if s.Err != nil {
		out.Error = s.Err.Error()
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, admin.MemberStatus{
			Replica: string(m.ID), Host: m.Host, Voter: m.Voter, Match: m.Match,
		})
	}
	return out
}

// LocalTimeline returns the timeline events of this process since a stamp.
func (p *process) LocalTimeline(since timeline.Stamp) []timeline.Event { return p.events.Since(since) }

// timelineReadTimeout bounds the read of one process's timeline, so that a lost host
// does not delay the reply.
const timelineReadTimeout = time.Second

// MergedTimeline returns the merged timeline events of all hosts in the table and the
// names of those that could not be read.
func (d *Daemon) MergedTimeline(ctx context.Context, since timeline.Stamp) ([]timeline.Event, []string) {
	return d.timelineAll(ctx, d.session.Table().Hosts(), since)
}

func (p *process) timelineAll(ctx context.Context, hosts []table.Host, since timeline.Stamp) ([]timeline.Event, []string) {
	histories := make([][]timeline.Event, len(hosts)+1)
	histories[len(hosts)] = p.events.Since(since)
	failed := make([]bool, len(hosts))
	var wg sync.WaitGroup
	for i, h := range hosts {
		if h.Name == p.settings.Host {
			continue
		}
		wg.Go(func() {
			events, err := p.readTimeline(ctx, h.PeerAddress, since)
			histories[i], failed[i] = events, err != nil
		})
	}
	wg.Wait()
	var unreachable []string
	for i, h := range hosts {
		if failed[i] {
			unreachable = append(unreachable, h.Name)
		}
	}
	return timeline.Merge(histories...), unreachable
}

func (p *process) readTimeline(ctx context.Context, address string, since timeline.Stamp) ([]timeline.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, timelineReadTimeout)
	defer cancel()
	var reply admin.TimelineReply
	err := p.client.Call(ctx, address, wire.MethodTimelineRead, wire.TimelineRead{Since: uint64(since)}, &reply)
	return reply.Events, errors.Trace(err)
}

// ReplicaIdentity returns the identity of this host's control replica. It returns an
// error when the host runs none.
func (d *Daemon) ReplicaIdentity() (admin.ReplicaIdentity, error) {
	if d.replica == nil {
		return admin.ReplicaIdentity{}, errors.New(noReplicaMessage)
	}
	return d.replica.identity(), nil
}

// Bootstrap makes the empty replica of this host a founding member of the control
// group. It returns a NotValid error when the request does not fit this host.
func (d *Daemon) Bootstrap(request admin.BootstrapRequest) error {
	if d.replica == nil {
		return errors.NewNotValid(nil, noReplicaMessage)
	}
	if err := d.checkFoundingMembers(request.Members); err != nil {
		return errors.Trace(err)
	}
	if err := d.replica.bootstrap(request); err != nil {
		return errors.Trace(err)
	}
	d.record("bootstrapped", request.Group, "")
	return nil
}

// checkFoundingMembers returns an error unless the members are on exactly the hosts
// that control.replicas lists. A list that lacks a host would found a group without
// it, and a group of a single member loses everything with its disk.
func (d *Daemon) checkFoundingMembers(members []admin.ReplicaIdentity) error {
	var given, listed []string
	for _, m := range members {
		given = append(given, replication.ReplicaID(m.Replica).Host())
	}
	for _, r := range d.settings.Control.Replicas {
		listed = append(listed, r.Host)
	}
	slices.Sort(given)
	slices.Sort(listed)
	if !slices.Equal(given, listed) {
		return errors.NewNotValid(nil, fmt.Sprintf("founding members %q differ from the hosts of control.replicas, %q", given, listed))
	}
	return nil
}

// ReplaceReplica asks the leader to replace a control replica, and retries until it is
// done or memberChangeTimeout is over. It may be repeated. It returns a NotValid error
// when the leader refuses.
func (d *Daemon) ReplaceReplica(ctx context.Context, request admin.ReplaceRequest) error {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	address, lastAnswer := d.session.Leader(), ""
	for attempt := 0; ctx.Err() == nil; attempt++ {
		var reply wire.ReplaceReply
		err := d.client.Call(ctx, address, wire.MethodReplace,
			wire.ReplaceReplica{Old: request.Old, New: request.New.Replica}, &reply)
		switch {
		case err != nil:
			lastAnswer = err.Error()
		case reply.Done:
			return nil
		case reply.Refused:
			return errors.NewNotValid(nil, reply.Reason)
		default:
			lastAnswer = reply.Reason
		}
		address = d.nextReplica(address, reply.Leader, attempt)
		pause(ctx, memberChangePause)
	}
	return errors.Errorf("the replacement did not finish in time; it may be repeated (last answer: %s)", lastAnswer)
}
