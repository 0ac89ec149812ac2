package control

import (
	"time"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/fleet"
)

// SessionStatus describes the session of an entry host for operators.
type SessionStatus struct {
	Host     string
	Instance string
	Live     bool
	// Remaining is the time until the session expires unless it is renewed.
	Remaining time.Duration
	Applied   uint64 // revision of the host's table
}

// Sessions returns the sessions that this leader knows, sorted by host, or nil
// when this process does not hold the leader lease.
func (l *Leader) Sessions() []SessionStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	proof, _, ok := l.verifyLease()
	if !ok {
		return nil
	}
	out := []SessionStatus{}
	for _, host := range sortedNames(l.sessions) {
		s := l.sessions[host]
		out = append(out, SessionStatus{
			Host:      host,
			Instance:  s.instance,
			Live:      s.live(proof.now),
			Remaining: max(0, s.expires.Sub(proof.now)),
			Applied:   s.applied,
		})
	}
	return out
}

// Published describes, for operators, a service file in force.
type Published struct {
	Service   string
	File      command.File
	Version   uint64
	Revision  uint64
	RequestID string // of the publish
}

// DrainStatus describes a data centre or backend server that was taken out of service
// at least once. The next drain or restore of it builds on Version.
type DrainStatus struct {
	Kind      command.DrainKind
	Name      string
	Out       bool
	Version   uint64
	RequestID string // of the last command about it
}

// operatorView is what operators have put in force, as of one revision.
type operatorView struct {
	published []Published
	drains    []DrainStatus
}

// storeOperatorView publishes what operators have put in force to other goroutines
// than the one that applies commands.
func (s *State) storeOperatorView() {
	v := &operatorView{}
	for _, name := range sortedNames(s.sources) {
		src := s.sources[name]
		v.published = append(v.published, Published{
			Service:   name,
			File:      command.File{Name: src.Name, Content: src.Content},
			Version:   src.file.Version,
			Revision:  src.Revision,
			RequestID: src.RequestID,
		})
	}
	for _, d := range s.fleet.Drains() {
		v.drains = append(v.drains, drainStatus(d))
	}
	s.acceptedView.Store(v)
}

func drainStatus(d fleet.Drain) DrainStatus {
	return DrainStatus{Kind: d.Kind, Name: d.Name, Out: d.Out, Version: d.Version, RequestID: d.RequestID}
}

// Published returns the service files in force, sorted by service. The caller
// must not change the result.
func (s *State) Published() []Published { return s.acceptedView.Load().published }

// Drains returns the drain records, sorted by kind and name. The caller must not
// change the result.
func (s *State) Drains() []DrainStatus { return s.acceptedView.Load().drains }
