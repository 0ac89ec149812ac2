package settings

import "time"

// Settings are the settings of one daemon.
type Settings struct {
	// Host is the unique name of this host: lower-case letters, digits and
	// hyphens. Required.
	Host string `yaml:"host"`
	// DataCentre is the data centre that this host stands in. Required.
	DataCentre string `yaml:"data_centre"`
	// Region is the region of the data centre. Default: default.
	Region string `yaml:"region"`
	// DataCentres optionally lists every data centre of the deployment. It lets
	// a host refuse control replicas that are placed badly although neither the
	// host nor a replica stands in the remaining data centres.
	DataCentres []string `yaml:"data_centres"`
	// Listen gives the addresses of the daemon. Required.
	Listen Listen `yaml:"listen"`
	// Control names the control group and its replicas. Required.
	Control Control `yaml:"control"`
	// Deployment is given where each host has one role and hosts find the control
	// group through seeds. It replaces control.replicas.
	Deployment Deployment `yaml:"deployment"`
	// DataFolder is where a control replica keeps its log. A relative path
	// counts from the folder of the settings file. Required on hosts that
	// control.replicas lists.
	DataFolder string `yaml:"data_folder"`
	// Timing sets leases, intervals and timeouts. The values must be the same
	// on all hosts of a deployment.
	Timing Timing `yaml:"timing"`
	// Limits caps what callers can make this host hold.
	Limits Limits `yaml:"limits"`
	// Shutdown bounds a planned stop.
	Shutdown Shutdown `yaml:"shutdown"`
	// Memory sets how the garbage collector trades processor time for memory.
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
// refused. No two may be equal.
type Listen struct {
	// Traffic serves callers over HTTP.
	Traffic string `yaml:"traffic"`
	// Backends takes the announcements of backend servers over HTTP.
	Backends string `yaml:"backends"`
	// Peer serves other daemons over jsonrpc2.
	Peer string `yaml:"peer"`
	// Relay takes requests that other entry hosts relay, over HTTP.
	Relay string `yaml:"relay"`
	// Admin serves the administration API and metrics.
	Admin string `yaml:"admin"`
	// Readiness answers the load balancer's checks. For the role entry only.
	Readiness string `yaml:"readiness"`
	// Control serves backend servers and operators. For the role control only.
	Control string `yaml:"control"`
}

// Control names the control group and its replicas.
type Control struct {
	// Group is the name of the control group. Replicas refuse messages and data
	// folders of another group.
	Group string `yaml:"group"`
	// Replicas are the hosts that run the replicated log, 1 to 7. Three, in
	// three data centres, is normal. Their peer addresses are also the entry to
	// the group for every other host.
	Replicas []Replica `yaml:"replicas"`
}

// Replica is a host that runs the replicated log.
type Replica struct {
	// Host is the name of the host.
	Host string `yaml:"host"`
	// DataCentre is the data centre that the host stands in.
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
	// SessionTTL is how long an entry host may route after its last renewal with
	// the leader. At least the longest election timeout plus renew_interval, so
	// that sessions survive a change of leader. Default 1s.
	SessionTTL time.Duration `yaml:"session_ttl"`
	// RenewInterval is the time between renewals of the session. At most a third
	// of session_ttl, default 200ms.
	RenewInterval time.Duration `yaml:"renew_interval"`
	// BackendLeaseTTL is how long a backend server may work after its last
	// announcement. At most session_ttl, default 1s.
	BackendLeaseTTL time.Duration `yaml:"backend_lease_ttl"`
	// AnnounceInterval is the time between announcements that backend servers
	// are told to keep. At most a third of backend_lease_ttl, default 200ms.
	AnnounceInterval time.Duration `yaml:"announce_interval"`
	// MaxClockDrift is the largest difference in speed between the clocks of two
	// hosts, as a fraction. Above 0 and at most 0.1, default 0.01.
	MaxClockDrift float64 `yaml:"max_clock_drift"`
	// WatchPoll is the longest time that a request for routing changes waits at
	// the leader. 10ms to session_ttl, default 500ms.
	WatchPoll time.Duration `yaml:"watch_poll"`
}

// ElectionTimeoutMin returns the shortest election timeout.
func (t Timing) ElectionTimeoutMin() time.Duration { return time.Duration(t.ElectionTicksMin) * t.Tick }

// ElectionTimeoutMax returns the longest election timeout.
func (t Timing) ElectionTimeoutMax() time.Duration { return time.Duration(t.ElectionTicksMax) * t.Tick }

// Limits caps what callers can make one host hold.
type Limits struct {
	// HeaderBytes caps the headers of a request. 4096 to 1048576, default 65536.
	HeaderBytes int `yaml:"header_bytes"`
	// BodyBytes caps the body of a request; a service file may set a lower cap.
	// At least 1, default 1073741824 (1 GiB).
	BodyBytes int64 `yaml:"body_bytes"`
	// Connections caps the connections of callers. At least 1, default 10000.
	Connections int `yaml:"connections"`
	// InFlight caps the requests of callers in flight. At least 1, default 5000.
	InFlight int `yaml:"in_flight"`
	// QueuePerBackend caps the requests that wait for one backend server. 0
	// refuses every request that cannot run at once. Default 64.
	QueuePerBackend int `yaml:"queue_per_backend"`
	// LinkMbps is the bandwidth of the host's link in megabits a second, of which
	// request bodies get a part. 0 means that it is no bound. Default 0.
	LinkMbps float64 `yaml:"link_mbps"`
}

// Shutdown bounds a planned stop.
type Shutdown struct {
	// Delay is the least time between the failing health check and the closing
	// of the listeners. During it new requests are refused as not run, and the
	// load balancer notices that this host is leaving. 0s to 1m, default 2s.
	Delay time.Duration `yaml:"delay"`
	// Timeout ends a stop that waits for requests in flight. 1s to 1h, default 30s.
	Timeout time.Duration `yaml:"timeout"`
}

// Memory sets how the garbage collector trades processor time for memory.
type Memory struct {
	// GCPercent is the growth of the heap, in percent, after which garbage is
	// collected. 10 to 1000, default 100.
	GCPercent int `yaml:"gc_percent"`
	// LimitMB is the memory that the process may use, in megabytes; the collector
	// works harder near it. 0 means no limit. Default 0.
	LimitMB int `yaml:"limit_mb"`
}

// Log sets what is logged and how.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	// Default info.
	Level string `yaml:"level"`
	// Format is json or console. Default json.
	Format string `yaml:"format"`
	// LinesPerSecond bounds the lines that are written; further ones are dropped and
	// counted. At least 1, default 1000.
	LinesPerSecond int `yaml:"lines_per_second"`
}

// The TLS modes.
const (
	TLSMutual = "mutual"
	TLSOff    = "off"
)

// TLS protects the connections between daemons.
type TLS struct {
	// Mode is mutual, where both sides show a certificate of the same
	// authority, or off. Required; off must be stated.
	Mode string `yaml:"mode"`
	// CertFile, KeyFile and CAFile are PEM files. Relative paths count from the
	// folder of the settings file. Required with mutual, refused with off.
	CertFile string `yaml:"cert_file"`
	// KeyFile is the private key of the certificate.
	KeyFile string `yaml:"key_file"`
	// CAFile holds the authority that signed the certificates of all daemons.
	CAFile string `yaml:"ca_file"`
}

// Admin protects the administration API. Exactly one field must be given.
type Admin struct {
	// TokenFile holds the token that requests must carry. A relative path counts
	// from the folder of the settings file.
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
