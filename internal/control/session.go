package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/fleet"
	"github.com/agatestep/agatestep/internal/wire"
)

// session is the leader's record of an entry host that may route.
type session struct {
	instance string
	expires  time.Time // by this process's clock, drift margin included
	applied  uint64
}

func (s *session) live(now time.Time) bool { return s != nil && now.Before(s.expires) }

// step is what a renewal needs next.
type step uint8

const (
	stepRefuse step = iota
	stepGrant
	stepJoin // commit HostJoined, then decide again
	stepClose
)

// Renew opens or renews the session of an entry host, or closes it. A host must
// call Watch before it has a session, because a session is opened only for a
// routing table that contains all accepted operator commands.
func (l *Leader) Renew(ctx context.Context, req wire.SessionRenew) wire.SessionReply {
	if err := l.establish(ctx); err != nil {
		return l.refusal(err.Error())
	}
	host := req.Host
	host.Instance = req.Instance
	next, reply := l.decideRenewal(&req, &host, 0)
	switch next {
	case stepClose:
		return l.closeSession(ctx, host.Host)
	case stepJoin:
		defer l.joined(host.Host)
		res, err := l.commit(ctx, command.Command{HostJoined: &host})
		if err != nil {
			return l.refusal(fmt.Sprintf("recording the host: %v", err))
		}
		if res.Code != command.ResultOK {
			return l.refusal(res.Detail)
		}
		if next, reply = l.decideRenewal(&req, &host, res.Revision); next != stepGrant && next != stepRefuse {
			return l.refusal("the record of the host changed meanwhile")
		}
	}
	return reply
}

func (l *Leader) closeSession(ctx context.Context, host string) wire.SessionReply {
	l.mu.Lock()
	term := l.term
	l.mu.Unlock()
	l.noteOrderly()
	record, _ := l.cfg.State.host(host)
	_, err := l.commit(ctx, command.Command{HostLost: &command.HostLost{
		Host: host, Planned: true, Joined: record.Joined, Term: term,
	}})
	if err != nil {
		return l.refusal(fmt.Sprintf("closing the session: %v", err))
	}
	return wire.SessionReply{Closed: true}
}

// refusal returns a reply without a grant.
func (l *Leader) refusal(reason string) wire.SessionReply {
	return wire.SessionReply{
		Leader:   l.cfg.Proposer.Status().LeaderHost,
		Reason:   reason,
		Revision: l.cfg.State.Table().Revision(),
	}
}

// decideRenewal decides on a renewal by what is known now, and grants it where
// the rules allow. joined is the revision of the HostJoined that was committed for
// this renewal, or 0.
func (l *Leader) decideRenewal(req *wire.SessionRenew, host *command.HostJoined, joined uint64) (step, wire.SessionReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, st, ok := l.lead()
	if !ok {
		return stepRefuse, l.refusal(notLeading(st))
	}
	next, reason := l.admit(req, host, joined, r)
	switch next {
	case stepRefuse:
		return next, l.refusal(reason)
	case stepClose:
		l.sessions[host.Host] = &session{instance: req.Instance, expires: r.now}
		l.notify()
		return next, wire.SessionReply{}
	case stepJoin:
		if joined == 0 {
			l.joining[host.Host]++
		}
		return next, wire.SessionReply{}
	}
	l.grant(req, host.Host, r)
	var replicas []string
	if l.cfg.Replicas != nil {
		replicas = l.cfg.Replicas()
	}
	return next, wire.SessionReply{
		Replicas: replicas,
		Granted:  true,
		TTLMs:    l.cfg.SessionTTL.Milliseconds(),
		Leader:   st.LeaderHost,
		Revision: l.cfg.State.Table().Revision(),
	}
}

// grant records a session; the leader counts it from the receipt of the renewal.
func (l *Leader) grant(req *wire.SessionRenew, host string, r leadership) {
	old := l.sessions[host]
	l.sessions[host] = &session{instance: req.Instance, expires: r.now.Add(l.sessionSpan()), applied: req.Applied}
	l.loads.add(req.Loads, l.cfg.State.Table())
	if old == nil || old.applied != req.Applied {
		l.notify()
	}
}

// admit holds the rules of sessions. The caller holds l.mu.
func (l *Leader) admit(req *wire.SessionRenew, host *command.HostJoined, joined uint64, r leadership) (step, string) {
	record, known := l.cfg.State.host(host.Host)
	present := known && !record.Absent
	s := l.sessions[host.Host]
	switch {
	case req.Instance == "" || host.Host == "":
		return stepRefuse, "a renewal must name the host and its instance"
	case !l.fresh:
		return stepRefuse, "the leader was elected just now"
	case slices.Contains(record.Past, req.Instance):
		return stepRefuse, fmt.Sprintf("instance %s was replaced by a newer process of host %s", req.Instance, host.Host)
	case s.live(r.now) && s.instance != req.Instance, present && record.Instance != req.Instance:
		return stepRefuse, "the session of another instance of this host is not over"
	case req.Closing && present:
		return stepClose, ""
	case req.Closing:
		return stepRefuse, "there is no session to close"
	}
	if s.live(r.now) && present && !hostChanged(record, host) {
		return stepGrant, ""
	}
	return l.admitNew(req, host, joined, r)
}

// admitNew holds the rules for a host without a session, or with another record
// than the one committed. The caller holds l.mu.
func (l *Leader) admitNew(req *wire.SessionRenew, host *command.HostJoined, joined uint64, r leadership) (step, string) {
	record, known := l.cfg.State.host(host.Host)
	present := known && !record.Absent
	s := l.sessions[host.Host]
	justJoined := present && joined != 0 && record.Joined == joined
	// Without a session, a host in the state has one of an earlier leader while
	// that may last. Afterwards its HostLost must be committed first.
	earlier := s == nil && r.inGrace()
	if present && !s.live(r.now) && !justJoined && !earlier {
		return stepRefuse, "the session has expired and is being closed"
	}
	if need := l.cfg.State.OperatorRevision(); !s.live(r.now) && req.Applied < need {
		return stepRefuse, fmt.Sprintf(
			"the routing table of revision %d is older than the accepted configuration of revision %d; watch the table first", req.Applied, need)
	}
	if !present || hostChanged(record, host) {
		return stepJoin, ""
	}
	return stepGrant, ""
}

func hostChanged(record fleet.Host, host *command.HostJoined) bool {
	return record.DataCentre != host.DataCentre || record.PeerAddress != host.PeerAddress ||
		record.RelayAddress != host.RelayAddress || record.BackendsAddress != host.BackendsAddress ||
		record.AdminAddress != host.AdminAddress
}

// joined ends the protection of a host against being taken for expired while its
// HostJoined is on its way.
func (l *Leader) joined(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.joining[host]--; l.joining[host] <= 0 {
		delete(l.joining, host)
	}
}
