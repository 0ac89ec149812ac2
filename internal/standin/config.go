package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/service"
)

// Config configures a stand-in. Its fields are the flags of
// cmd/agatestep-standin, by way of the kong tags.
type Config struct {
	Backend    string `required:"" help:"Name of the backend server, unique within the service."`
	Service    string `required:"" help:"Name of the service."`
	DataCentre string `default:"default" help:"Data centre of the backend server."`
	// Listen is the IP:port to serve on; port 0 takes a free port.
	Listen string `default:"127.0.0.1:0" help:"IP:port to serve on; port 0 takes a free port."`
	// Entries are the IP:port of the backends listeners of entry hosts.
	Entries      []string `name:"entry" help:"IP:port of the backends listener of an entry host; repeatable."`
	ChecksOrders bool     `help:"Refuse stale orders and requests, and check the lease before a commit."`

	Slots       int `default:"4" help:"Requests that run at once."`
	Queue       int `default:"0" help:"Requests that wait for a slot before the server sheds load."`
	Connections int `default:"128" help:"Connections that the server accepts at once."`

	WorkTime       time.Duration `default:"0s" help:"Time that each request works."`
	ConnectionCost time.Duration `default:"0s" help:"Extra work time of the first request of a connection."`
	ProbeCost      time.Duration `default:"0s" help:"Time that a health probe occupies a slot."`

	// ColdFor is how long the server is cold after its start.
	ColdFor   time.Duration `default:"0s" help:"Time that the server is cold after its start."`
	ColdLimit int           `default:"1" help:"Requests that run at once while the server is cold; it sheds the rest."`
	ColdSlow  float64       `default:"4" help:"Factor on the work time while the server is cold."`

	Interval        time.Duration `default:"200ms" help:"Time between announcements, unless the reply gives another."`
	AnnounceTimeout time.Duration `default:"300ms" help:"Time limit of one attempt to announce."`
	ReportLag       time.Duration `default:"0s" help:"Age of the load reports."`
	DrainQuiet      time.Duration `default:"1s" help:"Time without a new request after which a drain is complete."`

	KeyHeader      string `help:"Header that carries the key."`
	KeyQuery       string `help:"Query parameter that carries the key."`
	KeyPathSegment *int   `help:"0-based path segment after the path prefix that carries the key."`
	PathPrefix     string `default:"/" help:"Path prefix that key-path-segment counts from."`

	Control    bool   `help:"Serve the control path, which switches failures on and off."`
	RecordFile string `help:"File to append executions to, as JSON lines."`
	// MaxExecutions bounds the executions kept in memory; later ones are only
	// counted in Stats.Unrecorded and written to RecordFile.
	MaxExecutions int `default:"1000000" help:"Executions kept in memory."`

	// Work, if set, runs instead of a wait for WorkTime.
	Work func(ctx context.Context, r *http.Request) error `kong:"-"`
	// Clock is the server's own clock; nil means the clock of the machine.
	Clock clock.Clock `kong:"-"`
}

// setDefaults gives unset fields the defaults of the kong tags.
func (c *Config) setDefaults() {
	setDefault(&c.DataCentre, "default")
	setDefault(&c.Listen, "127.0.0.1:0")
	setDefault(&c.Slots, 4)
	setDefault(&c.Connections, 128)
	setDefault(&c.ColdLimit, 1)
	setDefault(&c.ColdSlow, 4)
	setDefault(&c.Interval, 200*time.Millisecond)
	setDefault(&c.AnnounceTimeout, 300*time.Millisecond)
	setDefault(&c.DrainQuiet, time.Second)
	setDefault(&c.PathPrefix, "/")
	setDefault(&c.MaxExecutions, 1_000_000)
	if c.Clock == nil {
		c.Clock = clock.Real{}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c *Config) validate() error {
	switch {
	case c.Backend == "" || c.Service == "":
		return errors.NotValidf("stand-in without backend and service names")
	case c.Slots < 1 || c.Queue < 0 || c.Connections < 1 || c.ColdLimit < 1 || c.ColdSlow < 1:
		return errors.NotValidf("slots, connections, cold limit or cold factor below 1, or a queue below 0")
	case c.Interval < 0 || c.AnnounceTimeout < 0 || c.WorkTime < 0 || c.ConnectionCost < 0 || c.ProbeCost < 0:
		return errors.NotValidf("negative duration")
	}
	return nil
}

// keySource returns where requests carry their key, or nil.
func (c *Config) keySource() *service.KeySource {
	source := &service.KeySource{Header: c.KeyHeader, Query: c.KeyQuery, PathSegment: -1}
	if c.KeyPathSegment != nil {
		source.PathSegment = *c.KeyPathSegment
	}
	if source.Header == "" && source.Query == "" && source.PathSegment < 0 {
		return nil
	}
	return source
}
