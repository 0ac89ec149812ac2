package admin

import (
	"context"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/timeline"
	"github.com/agatestep/agatestep/internal/wire"
)

// Daemon is the process that serves the API, as the handlers use it.
type Daemon interface {
	// ProposeOperatorCommand sends an operator's command to the leader. With a positive waitMs it
	// waits up to that many milliseconds until the resulting revision is in force.
	ProposeOperatorCommand(ctx context.Context, cmd *command.Command, waitMs int64) (wire.ProposalReply, error)
	// Table returns the routing table of the daemon.
	Table() *table.Table
	// SessionValid reports whether the daemon may route by its table now.
	SessionValid() bool
	Status() Status
	// LocalTimeline returns the events of this process that are later than since.
	LocalTimeline(since timeline.Stamp) []timeline.Event
	// MergedTimeline returns the events of all processes that are later than since, in
	// one order, and the hosts that did not respond.
	MergedTimeline(ctx context.Context, since timeline.Stamp) ([]timeline.Event, []string)
	// ReplicaIdentity identifies the control replica of this host. It fails on a
	// host without one.
	ReplicaIdentity() (ReplicaIdentity, error)
	// Bootstrap makes the control replica of this host a member of a new group. A
	// NotValid error means that the request breaks a rule and nothing changed.
	Bootstrap(request BootstrapRequest) error
	// ReplaceReplica replaces a member of the control group. A NotValid error means
	// that the request breaks a rule and nothing changed.
	ReplaceReplica(ctx context.Context, request ReplaceRequest) error
}

// Status describes one daemon and the state of the system as it sees it.
type Status struct {
	Host       string          `json:"host"`
	DataCentre string          `json:"data_centre"`
	Session    SessionStatus   `json:"session"`
	Control    *ControlStatus  `json:"control,omitempty"`
	Services   []ServiceStatus `json:"services"`
	Backends   []BackendStatus `json:"backend_servers"`
	Hosts      []HostStatus    `json:"hosts"`
	// DataCentresOut are the data centres that operators have drained.
	DataCentresOut []string `json:"data_centres_out"`
}

// SessionStatus describes the session of the daemon with the control group.
type SessionStatus struct {
	Valid       bool   `json:"valid"`
	RemainingMs int64  `json:"left_ms"`
	Revision    uint64 `json:"revision"`
	Leader      string `json:"leader"`
}

// ControlStatus describes the control replica that runs in the daemon.
type ControlStatus struct {
	Replica string `json:"replica"`
	Group   string `json:"group"`
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Leading bool   `json:"leading"`
	Applied uint64 `json:"applied"`
	// Error is the failure that stopped the replica, such as a failed sync.
	Error   string         `json:"error,omitempty"`
	Members []MemberStatus `json:"members"`
	// Allowances are those that are used most. Only the leader has them.
	Allowances []AllowanceStatus `json:"allowances,omitempty"`
}

// AllowanceStatus is what all hosts together use of the allowance of an organisation.
type AllowanceStatus struct {
	Organisation string  `json:"organisation"`
	Rate         float64 `json:"rate"`
	Burst        float64 `json:"burst"`
	// Used and Refused are requests per second, averaged over some seconds.
	Used    float64 `json:"used"`
	Refused float64 `json:"refused"`
	// Lent is what entry hosts hold or have not yet reported, Available what is left now.
	Lent      int     `json:"lent"`
	Available float64 `json:"available"`
}

// MemberStatus describes one member of the control group.
type MemberStatus struct {
	Replica string `json:"replica"`
	Host    string `json:"host"`
	Voter   bool   `json:"voter"`
	Match   uint64 `json:"match,omitempty"`
}

// ServiceStatus describes one published service.
type ServiceStatus struct {
	Service  string `json:"service"`
	Team     string `json:"team"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	Keyed    bool   `json:"keyed"`
	Slices   int    `json:"slices"`
}

// BackendStatus describes one backend server.
type BackendStatus struct {
	Service    string `json:"service"`
	Backend    string `json:"backend_server"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Dispatcher string `json:"dispatcher"`
	Standby    string `json:"standby_dispatcher"`
	Slices     int    `json:"slices"`
	Lost       bool   `json:"lost"`
	Out        bool   `json:"out"`
}

// HostStatus describes one entry host.
type HostStatus struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Admin      string `json:"admin"`
	Out        bool   `json:"out"`
}

// ReplicaIdentity identifies the control replica of a host by its data folder.
type ReplicaIdentity struct {
	Replica string `json:"replica"`
	Host    string `json:"host"`
	Group   string `json:"group"`
	// Empty is true while the data folder holds no log: the replica is not yet a
	// member of a group.
	Empty bool `json:"empty"`
}

// BootstrapRequest forms a new control group from empty replicas.
type BootstrapRequest struct {
	Group   string            `json:"group"`
	Members []ReplicaIdentity `json:"members"`
}

// ReplaceRequest replaces one control replica by another. If Old is empty, the new
// replica is added and none is removed.
type ReplaceRequest struct {
	Old string          `json:"old"`
	New ReplicaIdentity `json:"new"`
}

// PublishRequest publishes service files.
type PublishRequest struct {
	RequestID string         `json:"request_id"`
	Files     []command.File `json:"files"`
	WaitMs    int64          `json:"wait_ms"`
}

// DrainRequest drains a data centre or a backend server, or restores it.
type DrainRequest struct {
	RequestID string            `json:"request_id"`
	Kind      command.DrainKind `json:"kind"`
	Name      string            `json:"name"`
	Out       bool              `json:"out"`
	Version   uint64            `json:"version"`
	WaitMs    int64             `json:"wait_ms"`
}

// OperateReply answers a command of an operator.
type OperateReply struct {
	Result  *command.Result `json:"result"`
	InForce bool            `json:"in_force"`
	Pending []string        `json:"pending,omitempty"`
}

// CheckRequest asks to validate service files together with the published ones.
type CheckRequest struct {
	Files []command.File `json:"files"`
}

// CheckReply lists the problems found; none means that the files may be published.
type CheckReply struct {
	Problems []string `json:"problems"`
}

// ExplainRequest describes a request whose route is to be explained; the request
// is not sent.
type ExplainRequest struct {
	Method  string            `json:"method"`
	Host    string            `json:"host"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
}

// ExplainReply describes where a request would be routed.
type ExplainReply struct {
	Revision   uint64 `json:"revision"`
	Service    string `json:"service"`
	Idempotent bool   `json:"idempotent"`
	Key        string `json:"key,omitempty"`
	Slice      string `json:"slice,omitempty"`
	State      string `json:"state,omitempty"`
	Owner      string `json:"owner,omitempty"`
	// Candidates are the backend servers of a service that is not sharded by key.
	Candidates []string `json:"candidates,omitempty"`
	Dispatcher string   `json:"dispatcher,omitempty"`
	// Refusal is the reason for which the request would be refused with the verdict
	// not-run; it is empty when the request would be sent.
	Refusal string `json:"refusal,omitempty"`
	// Entry is the explanation of an entry host of a deployment with roles, by its own state.
	Entry *EntryExplanation `json:"entry,omitempty"`
}

// EntryExplanation is where an entry host would send a request now. Times are in milliseconds.
type EntryExplanation struct {
	TableAgeMs   int64  `json:"table_age_ms"`
	Route        string `json:"route,omitempty"`
	RouteVersion uint64 `json:"route_version,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	// Priority is that of the organisation if it has one, else that of the route; 0 is first.
	Priority int                 `json:"priority"`
	Services []ServiceCandidates `json:"services,omitempty"`
	// Status is the HTTP status of the refusal, if the request would be refused.
	Status int `json:"status,omitempty"`
}

// ServiceCandidates are the backend servers that a request could be sent to for one of the
// services of its route, the first choice at the front.
type ServiceCandidates struct {
	Service string            `json:"service"`
	Weight  float64           `json:"weight"`
	Keyed   bool              `json:"keyed"`
	Epoch   uint64            `json:"epoch,omitempty"`
	Servers []ServerCandidate `json:"servers,omitempty"`
	Refusal string            `json:"refusal,omitempty"`
}

// ServerCandidate is one backend server of ServiceCandidates.
type ServerCandidate struct {
	Name        string  `json:"name"`
	DataCentre  string  `json:"data_centre"`
	WaitMs      int64   `json:"wait_ms"`
	WorkMs      int64   `json:"work_ms"`
	Slowdown    float64 `json:"slowdown"`
	FailureRate float64 `json:"failure_rate"`
	InFlight    int     `json:"in_flight"`
	// Unusable is why the server would not be used now; PermitHosts are asked for a permit.
	Unusable    string   `json:"unusable,omitempty"`
	PermitHosts []string `json:"permit_hosts,omitempty"`
}

// TimelineReply holds events in the order of their stamps.
type TimelineReply struct {
	Events []timeline.Event `json:"events"`
	// Unreachable names the hosts whose events are missing.
	Unreachable []string `json:"unreachable,omitempty"`
}

// ErrorReply is the body of every response whose status is not 200.
type ErrorReply struct {
	Error string `json:"error"`
	// Outcome is "not-run" when nothing changed and "may-have-run" when the
	// command may have been applied; a retry with the same request id is safe.
	Outcome  string   `json:"outcome"`
	Problems []string `json:"problems,omitempty"`
}
