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

// session is the leader's record of an entry host that may route requests.
type session struct {
	instance string
	expires  time.Time // on this process's clock, drift margin included
	applied  uint64
}

func (s *session) live(now time.Time) bool { return s != nil && now.Before(s.expires) }

// renewalStep is the next step of a renewal.
type renewalStep uint8

const (
	stepRefuse renewalStep = iota
	stepGrant
	stepJoin // commits HostJoined, then decides again
	stepClose
)

// Renew opens, renews or closes the session of an entry host. A host must call Watch
// before it opens a session, because a session is granted only for a routing table
// that contains all accepted operator commands.
func (l *Leader) Renew(ctx context.Context, req wire.SessionRenew) wire.SessionReply {
	if err := l.establishTerm(ctx); err != nil {
		return l.refusal(err.Error())
	}
	host := req.Host
	host.Instance = req.Instance
	next, reply := l.decideRenewal(&req, &host, 0)
	switch next {
	case stepClose:
		return l.closeSession(ctx, host.Host)
	case stepJoin:
		defer l.finishJoin(host.Host)
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
	l.recordOrderlyHandOver()
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

// decideRenewal returns the next step of a renewal, and grants the session if it is
// admitted. joined is the revision of the HostJoined that was committed for this
// renewal, or 0.
func (l *Leader) decideRenewal(req *wire.SessionRenew, host *command.HostJoined, joined uint64) (renewalStep, wire.SessionReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	proof, st, ok := l.verifyLease()
	if !ok {
		return stepRefuse, l.refusal(notLeaderReason(st))
	}
	next, reason := l.admitRenewal(req, host, joined, proof)
	switch next {
	case stepRefuse:
		return next, l.refusal(reason)
	case stepClose:
		l.sessions[host.Host] = &session{instance: req.Instance, expires: proof.now}
		l.notifySessionsChanged()
		return next, wire.SessionReply{}
	case stepJoin:
		if joined == 0 {
			l.joining[host.Host]++
		}
		return next, wire.SessionReply{}
	}
	l.grantSession(req, host.Host, proof)
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

// grantSession records a session. The leader counts its length from the time of proof, at
// which the lease was verified. The caller holds l.mu.
func (l *Leader) grantSession(req *wire.SessionRenew, host string, proof leaseProof) {
	old := l.sessions[host]
	l.sessions[host] = &session{instance: req.Instance, expires: proof.now.Add(l.maxSessionDuration()), applied: req.Applied}
	l.loads.addReports(req.Loads, l.cfg.State.Table())
	if old == nil || old.applied != req.Applied {
		l.notifySessionsChanged()
	}
}

// admitRenewal applies the admission rules for sessions and returns the next step, or
// the reason of a refusal. The caller holds l.mu.
func (l *Leader) admitRenewal(req *wire.SessionRenew, host *command.HostJoined, joined uint64, proof leaseProof) (renewalStep, string) {
	record, known := l.cfg.State.host(host.Host)
	present := known && !record.Absent
	s := l.sessions[host.Host]
	switch {
	case req.Instance == "" || host.Host == "":
		return stepRefuse, "a renewal must name the host and its instance"
	case !l.termEstablished:
		return stepRefuse, "the leader was elected just now"
	case slices.Contains(record.Past, req.Instance):
		return stepRefuse, fmt.Sprintf("instance %s was replaced by a newer process of host %s", req.Instance, host.Host)
	case s.live(proof.now) && s.instance != req.Instance, present && record.Instance != req.Instance:
		return stepRefuse, "the session of another instance of this host is not over"
	case req.Closing && present:
		return stepClose, ""
	case req.Closing:
		return stepRefuse, "there is no session to close"
	}
	if s.live(proof.now) && present && !hostChanged(record, host) {
		return stepGrant, ""
	}
	return l.admitNewSession(req, host, joined, proof)
}

// admitNewSession applies the rules for a host without a live session, or whose
// request differs from its committed record. The caller holds l.mu.
func (l *Leader) admitNewSession(req *wire.SessionRenew, host *command.HostJoined, joined uint64, proof leaseProof) (renewalStep, string) {
	record, known := l.cfg.State.host(host.Host)
	present := known && !record.Absent
	s := l.sessions[host.Host]
	justJoined := present && joined != 0 && record.Joined == joined
	// A host in the state without a session here may have one of an earlier leader
	// until the grace period ends. Afterwards its HostLost must be committed first.
	earlierSession := s == nil && proof.inGrace()
	if present && !s.live(proof.now) && !justJoined && !earlierSession {
		return stepRefuse, "the session has expired and is being closed"
	}
	if required := l.cfg.State.OperatorRevision(); !s.live(proof.now) && req.Applied < required {
		return stepRefuse, fmt.Sprintf(
			"the routing table of revision %d is older than the accepted configuration of revision %d; watch the table first", req.Applied, required)
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

// finishJoin ends what began with stepJoin: while its HostJoined is in flight, a host is
// not taken for expired.
func (l *Leader) finishJoin(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.joining[host]--; l.joining[host] <= 0 {
		delete(l.joining, host)
	}
}
