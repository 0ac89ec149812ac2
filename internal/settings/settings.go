package settings

import "time"

// Settings are the settings of one daemon.
type Settings struct {
	// Host is the unique name of this host: lower-case letters, digits and
	// hyphens. Required.
	Host string `yaml:"host"`
	// DataCentre is the data centre of this host. Required.
	DataCentre string `yaml:"data_centre"`
	// Region is the region of the data centre. Default: default.
	Region string `yaml:"region"`
	// DataCentres optionally lists every data centre of the deployment. Without it, a
	// host knows only its own data centre and those of the replicas, and may accept a
	// bad placement of the replicas.
	DataCentres []string `yaml:"data_centres"`
	// Listen gives the addresses of the daemon. Required.
	Listen Listen `yaml:"listen"`
	// Control names the control group and its replicas. Required.
	Control Control `yaml:"control"`
	// Deployment is set where each host has one role and hosts discover the control
	// group through seeds. It replaces control.replicas.
	Deployment Deployment `yaml:"deployment"`
	// DataFolder is where a control replica stores its log. A relative path is
	// resolved against the folder of the settings file. Required on hosts that
	// control.replicas lists.
	DataFolder string `yaml:"data_folder"`
	// Timing sets leases, intervals and timeouts. The values must be the same
	// on all hosts of a deployment.
	Timing Timing `yaml:"timing"`
	// Limits bounds the resources that callers can use on this host.
	Limits Limits `yaml:"limits"`
	// Shutdown sets the delay and the timeout of a graceful shutdown.
	Shutdown Shutdown `yaml:"shutdown"`
	// Memory sets how the garbage collector trades CPU time for memory.
	Memory Memory `yaml:"memory"`
	// Log sets what is logged and how.
	Log Log `yaml:"log"`
	// TLS protects the peer and relay connections between daemons. Required.
	TLS TLS `yaml:"tls"`
	// Admin protects the administration API. Required.
	Admin Admin `yaml:"admin"`
}

// Listen gives the addresses of the daemon, each as IP:port. Other hosts
// connect to them, so unspecified addresses such as 0.0.0.0 and port 0 are
// rejected. No two may be equal.
type Listen struct {
	// Traffic serves requests of callers over HTTP.
	Traffic string `yaml:"traffic"`
	// Backends receives the announcements of backend servers over HTTP.
	Backends string `yaml:"backends"`
	// Peer serves other daemons over jsonrpc2.
	Peer string `yaml:"peer"`
	// Relay receives requests that other entry hosts relay, over HTTP.
	Relay string `yaml:"relay"`
	// Admin serves the administration API and metrics.
	Admin string `yaml:"admin"`
	// Readiness serves the load balancer's health checks. For the role entry only.
	Readiness string `yaml:"readiness"`
	// Control serves backend servers and operators. For the role control only.
	Control string `yaml:"control"`
}

// Control names the control group and its replicas.
type Control struct {
	// Group is the name of the control group. Replicas reject messages and data
	// folders of another group.
	Group string `yaml:"group"`
	// Replicas are the hosts that run the replicated log, 1 to 7. Three, in
	// three data centres, is usual. Every other host reaches the group through
	// their peer addresses.
	Replicas []Replica `yaml:"replicas"`
}

// Replica is a host that runs the replicated log.
type Replica struct {
	// Host is the name of the host.
	Host string `yaml:"host"`
	// DataCentre is the data centre of the host.
	DataCentre string `yaml:"data_centre"`
	// Peer is the peer address of the host, as IP:port.
	Peer string `yaml:"peer"`
}

// Timing sets leases, intervals and timeouts.
type Timing struct {
	// Tick is the unit of the control group's timeouts; leaders send heartbeats
	// every 2 ticks. 1ms to 1s, default 25ms.
	Tick time.Duration `yaml:"tick"`
	// ElectionTicksMin is the shortest election timeout in ticks and bounds the
	// leader lease. At least 4, default 12.
	ElectionTicksMin int `yaml:"election_ticks_min"`
	// ElectionTicksMax is the longest election timeout in ticks. Above
	// election_ticks_min and at most 1000, default 24.
	ElectionTicksMax int `yaml:"election_ticks_max"`
	// SessionTTL is how long an entry host may route after it last renewed its
	// session with the leader. At least the longest election timeout plus
	// renew_interval, so that sessions survive a change of leader. Default 1s.
	SessionTTL time.Duration `yaml:"session_ttl"`
	// RenewInterval is the time between renewals of the session. At most a third
	// of session_ttl, default 200ms.
	RenewInterval time.Duration `yaml:"renew_interval"`
	// BackendLeaseTTL is how long a backend server may run requests after its last
	// announcement. At most session_ttl, default 1s.
	BackendLeaseTTL time.Duration `yaml:"backend_lease_ttl"`
	// AnnounceInterval is the time between announcements that hosts tell backend
	// servers to use. At most a third of backend_lease_ttl, default 200ms.
	AnnounceInterval time.Duration `yaml:"announce_interval"`
	// MaxClockDrift bounds the difference in rate between the clocks of two hosts,
	// as a fraction. Above 0 and at most 0.1, default 0.01.
	MaxClockDrift float64 `yaml:"max_clock_drift"`
	// WatchTimeout is the longest time that the leader holds a long poll for changes
	// of the routing table. 10ms to session_ttl, default 500ms.
	WatchTimeout time.Duration `yaml:"watch_poll"`
}

// ElectionTimeoutMin returns the shortest election timeout.
func (t Timing) ElectionTimeoutMin() time.Duration { return time.Duration(t.ElectionTicksMin) * t.Tick }

// ElectionTimeoutMax returns the longest election timeout.
func (t Timing) ElectionTimeoutMax() time.Duration { return time.Duration(t.ElectionTicksMax) * t.Tick }

// Limits bounds the resources that callers can use on one host.
type Limits struct {
	// HeaderBytes limits the size of the headers of a request. 4096 to 1048576,
	// default 65536.
	HeaderBytes int `yaml:"header_bytes"`
	// BodyBytes limits the size of the body of a request; a service file may set a
	// lower limit. At least 1, default 1073741824 (1 GiB).
	BodyBytes int64 `yaml:"body_bytes"`
	// Connections limits the open connections of callers. At least 1, default 10000.
	Connections int `yaml:"connections"`
	// InFlight limits the requests of callers in flight. At least 1, default 5000.
	InFlight int `yaml:"in_flight"`
	// QueuePerBackend limits the queue of requests for one backend server. With 0,
	// every request that cannot run at once is refused. Default 64.
	QueuePerBackend int `yaml:"queue_per_backend"`
	// LinkMbps is the bandwidth of the host's network link in megabits per second;
	// request bodies may use a part of it. 0 means no limit. Default 0.
	LinkMbps float64 `yaml:"link_mbps"`
	// PipelinedRequests is the number of idempotent requests of one connection that
	// an entry host serves side by side. 0 or 1 means one after the other. At most
	// 64, default 0.
	PipelinedRequests int `yaml:"pipelined_requests"`
}

// Shutdown sets the delay and the timeout of a graceful shutdown.
type Shutdown struct {
	// Delay is the minimum time between the first failing health check and the
	// closing of the listeners. Meanwhile new requests are refused with the verdict
	// not-run, and the load balancer detects that this host is leaving. 0s to 1m,
	// default 2s.
	Delay time.Duration `yaml:"delay"`
	// Timeout is the longest time that a shutdown waits for requests in flight. 1s
	// to 1h, default 30s.
	Timeout time.Duration `yaml:"timeout"`
}

// Memory sets how the garbage collector trades CPU time for memory.
type Memory struct {
	// GCPercent is the heap growth, in percent, that triggers a garbage collection,
	// as GOGC. 10 to 1000, default 100.
	GCPercent int `yaml:"gc_percent"`
	// LimitMB is the memory that the process may use, in megabytes; the garbage
	// collector runs more often near it. 0 means no limit. Default 0.
	LimitMB int `yaml:"limit_mb"`
}

// Log sets what is logged and how.
type Log struct {
	// Level is the minimum level that is logged: debug, info, warn or error.
	// Default info.
	Level string `yaml:"level"`
	// Format is json or console. Default json.
	Format string `yaml:"format"`
	// LinesPerSecond is the maximum number of lines written per second; further
	// lines are dropped and counted. At least 1, default 1000.
	LinesPerSecond int `yaml:"lines_per_second"`
}

// The TLS modes.
const (
	TLSMutual = "mutual"
	TLSOff    = "off"
)

// TLS protects the connections between daemons.
type TLS struct {
	// Mode is mutual, where both sides present a certificate of the same
	// authority, or off. Required; there is no default.
	Mode string `yaml:"mode"`
	// CertFile, KeyFile and CAFile are PEM files. Relative paths are resolved against
	// the folder of the settings file. Required with mutual, rejected with off.
	CertFile string `yaml:"cert_file"`
	// KeyFile is the private key of the certificate.
	KeyFile string `yaml:"key_file"`
	// CAFile holds the certificates of the authority that signed those of all daemons.
	CAFile string `yaml:"ca_file"`
}

// Admin protects the administration API. Exactly one field must be given.
type Admin struct {
	// TokenFile holds the bearer token that requests must carry. A relative path is
	// resolved against the folder of the settings file.
	TokenFile string `yaml:"token_file"`
	// Insecure serves the administration API without a token when true.
	Insecure bool `yaml:"insecure"`
}

// IsReplica reports whether this host is a control replica.
func (s *Settings) IsReplica() bool {
	for _, r := range s.Control.Replicas {
		if r.Host == s.Host {
			return true
		}
	}
	return false
}
