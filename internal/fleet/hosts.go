package fleet

import (
	"net/netip"
	"slices"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
)

// JoinHost registers an entry host that opens a session, fills vacant dispatcher
// roles and moves standby roles to the host. It returns ErrInvalid when a field is
// not valid, the peer address is in use or the session of another instance is not
// over, and ErrStale for an instance that was replaced.
func (f *Fleet) JoinHost(j *command.HostJoined, index uint64) error {
	if err := f.checkHost(j); err != nil {
		return err
	}
	next := &Host{Instance: j.Instance, Host: table.Host{
		Name:            j.Host,
		DataCentre:      j.DataCentre,
		PeerAddress:     j.PeerAddress,
		RelayAddress:    j.RelayAddress,
		BackendsAddress: j.BackendsAddress,
		AdminAddress:    j.AdminAddress,
		Draining:        f.isDataCentreDrained(j.DataCentre),
	}}
	if old := f.hosts[j.Host]; old != nil {
		next.Past = old.Past
		if old.Instance != j.Instance && old.Instance != "" {
			next.Past = appendPast(old.Past, old.Instance)
		}
		next.Joined = old.Joined
		if !old.Absent && old.Host == next.Host && old.Instance == next.Instance {
			return nil
		}
	}
	next.Joined = index
	f.hosts[j.Host] = next
	f.changedHosts[j.Host] = true
	f.assignDispatchers(index, f.sortedBackendRefs()...)
	f.rebalanceStandbys(next)
	return nil
}

func (f *Fleet) checkHost(j *command.HostJoined) error {
	if j.Host == "" || j.DataCentre == "" {
		return invalidf("host %q in data centre %q: both names are required", j.Host, j.DataCentre)
	}
	for _, a := range []struct{ field, address string }{
		{"peer", j.PeerAddress}, {"relay", j.RelayAddress}, {"backends", j.BackendsAddress}, {"admin", j.AdminAddress},
	} {
		if a.address == "" && (a.field == "admin" || a.field == "backends") {
			continue
		}
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			return invalidf("host %s: %s address %q is not IP:port", j.Host, a.field, a.address)
		}
	}
	for name, h := range f.hosts {
		if name != j.Host && !h.Absent && h.PeerAddress == j.PeerAddress {
			return invalidf("host %s: peer address %s belongs to host %s, which has a session", j.Host, j.PeerAddress, name)
		}
	}
	old := f.hosts[j.Host]
	if old == nil || old.Instance == j.Instance {
		return nil
	}
	if slices.Contains(old.Past, j.Instance) {
		return stalef("host %s: instance %s was replaced by %s", j.Host, j.Instance, old.Instance)
	}
	if !old.Absent {
		return invalidf("host %s: the session of instance %s is not over", j.Host, old.Instance)
	}
	return nil
}

// RecordElection records the term of a new leader. It returns ErrStale when a leader of a
// later term was recorded.
func (f *Fleet) RecordElection(term uint64) error {
	if term < f.term {
		return stalef("term %d is over, a leader of term %d was elected since", term, f.term)
	}
	f.term = term
	return nil
}

// HostsChanged reports whether a host changed since the last Flush.
func (f *Fleet) HostsChanged() bool { return len(f.changedHosts) > 0 }

// Hosts returns a copy of all host records, the absent ones included.
func (f *Fleet) Hosts() map[string]Host {
	out := make(map[string]Host, len(f.hosts))
	for name, h := range f.hosts {
		out[name] = *h
	}
	return out
}

// MarkHostLost records that the session of an entry host is over and gives its
// dispatcher roles to the standby dispatchers. It returns ErrStale when the host
// has no session, has joined again, or a leader of a later term was elected.
func (f *Fleet) MarkHostLost(l *command.HostLost, index uint64) error {
	name := l.Host
	h := f.hosts[name]
	switch {
	case h == nil || h.Absent:
		return stalef("host %s has no session", name)
	case l.Joined != 0 && l.Joined != h.Joined:
		return stalef("host %s joined again at revision %d", name, h.Joined)
	case l.Term != 0 && l.Term < f.term:
		return stalef("the loss of host %s was decided in term %d, but a leader of term %d was elected since", name, l.Term, f.term)
	}
	h.Absent, h.LostAt = true, index
	f.changedHosts[name] = true
	leaseOver := f.backendsWithoutLease(l)
	f.assignDispatchers(index, f.sortedBackendRefs()...)
	for _, b := range leaseOver {
		b.LeaseOver = true
	}
	f.evictLostHosts()
	return nil
}

// evictLostHosts removes the record of the host that was lost first when there are
// more than maxLostRecords.
func (f *Fleet) evictLostHosts() {
	absent, oldest := 0, ""
	for name, h := range f.hosts {
		if !h.Absent {
			continue
		}
		if absent == 0 || h.LostAt < f.hosts[oldest].LostAt {
			oldest = name
		}
		absent++
	}
	if absent > maxLostRecords {
		delete(f.hosts, oldest)
	}
}
