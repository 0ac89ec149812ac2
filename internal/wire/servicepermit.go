package wire

// Methods of the permits for services without keys.
const (
	MethodServicePermitRequest = "service_permit.ask"  // ServicePermitRequest -> ServicePermitReply
	MethodServicePermitRelease = "service_permit.done" // notification, ServicePermitRelease
)

// ServicePermitRequest requests a permit to send one request to some backend server of a service
// without keys, or polls for the decision on an earlier request.
type ServicePermitRequest struct {
	Service string `json:"service"`
	Route   string `json:"route"`
	// DataCentre is that of the asking host.
	DataCentre string `json:"data_centre"`
	// ID is chosen by the asking host and unique among all hosts.
	ID uint64 `json:"id"`
	// IsPoll is true when the host polls for the decision on an earlier request.
	IsPoll bool `json:"again,omitempty"`
	// Rank is the priority of the request; 0 is the highest.
	Rank int `json:"rank,omitempty"`
	// TargetMs is the time until the latency target of the request, LeftMs that until its
	// deadline, in milliseconds from the sending.
	TargetMs int64 `json:"target_ms"`
	LeftMs   int64 `json:"left_ms"`
	// ServiceMs is the mean service time of such requests that the asking host knows.
	ServiceMs int64 `json:"service_ms"`
	// RemoteMs is how much longer a server of the own data centre may take and still be
	// preferred.
	RemoteMs int64 `json:"remote_ms"`
	// PollMs is how long the reply may be delayed.
	PollMs int64 `json:"poll_ms"`
	// Excluded are the servers that the host cannot use, Connected some of those to which it has
	// an idle connection.
	Excluded  []string `json:"excluded,omitempty"`
	Connected []string `json:"connected,omitempty"`
}

// ServicePermitReply is the reply to ServicePermitRequest.
type ServicePermitReply struct {
	State PermitState `json:"state"`
	// Backend and Born name the process that the request may be sent to, if it is granted.
	Backend string `json:"backend,omitempty"`
	Born    int64  `json:"born,omitempty"`
	// WaitMs is the time after which a refused caller may retry.
	WaitMs int64  `json:"wait_ms,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// ServicePermitRelease reports the end of a request with a permit, and what its answer said
// about the server, or withdraws a permit request.
type ServicePermitRelease struct {
	Service string `json:"service"`
	Route   string `json:"route,omitempty"`
	ID      uint64 `json:"id"`
	// WorkMs is how long the server worked on the request; zero if it did not run it.
	WorkMs int64 `json:"work_ms,omitempty"`
	// Failed means a fault of the server, Refused that it turned the request away.
	Failed  bool `json:"failed,omitempty"`
	Refused bool `json:"refused,omitempty"`
	// PauseMs is the pause that the server asked for.
	PauseMs int64         `json:"pause_ms,omitempty"`
	Load    *ReportedLoad `json:"load,omitempty"`
}

// ReportedLoad is the load that a backend server reported with an answer.
type ReportedLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots,omitempty"`
	// SlowdownPercent is the service time of that moment relative to the usual one.
	SlowdownPercent int `json:"slowdown_percent,omitempty"`
	// AgeMs is the time between the answer and the sending of this message.
	AgeMs int64 `json:"age_ms,omitempty"`
}
