package daemon

import (
	"expvar"
	"sync/atomic"
	"time"

	"github.com/agatestep/agatestep/internal/entry"
	"github.com/agatestep/agatestep/internal/latency"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

type (
	sliceLoads   = wire.SliceLoads
	routingTable = table.Table
)

// daemonMetrics holds the metrics of the process. expvar publishes a name only once
// per process, so daemons in the same process share them.
type daemonMetrics struct {
	entry    *entry.Counters
	revision *expvar.Int // revision of the routing table
	// tableAsOf returns when the routing table was last known to be the leader's newest,
	// and watchDelays holds how long table watches and their replies were in transit.
	tableAsOf   atomic.Pointer[func() time.Time]
	watchDelays *latency.Histograms
	renewals    *expvar.Int   // session renewals handled
	proposals   *expvar.Int   // proposals handled
	abandoned   *expvar.Int   // calls dropped because their callers had disconnected
	events      *expvar.Map   // timeline events, by kind
	callTraffic *peer.Traffic // calls to other hosts and their bytes, by method
}

var processMetrics = newDaemonMetrics()

func newDaemonMetrics() *daemonMetrics {
	c := &daemonMetrics{
		entry:       &entry.Counters{},
		revision:    expvar.NewInt("agatestep_table_revision"),
		renewals:    expvar.NewInt("agatestep_session_renewals"),
		proposals:   expvar.NewInt("agatestep_proposals"),
		abandoned:   expvar.NewInt("agatestep_abandoned_calls"),
		events:      expvar.NewMap("agatestep_events"),
		watchDelays: latency.New(),
		callTraffic: peer.NewTraffic(),
	}
	expvar.Publish("agatestep_call_bytes", c.callTraffic)
	c.entry.Publish("agatestep_entry")
	expvar.Publish("agatestep_table_age_ms", expvar.Func(c.tableAgeMs))
	expvar.Publish("agatestep_watch_way_ms", c.watchDelays)
	return c
}

// tableAgeMs returns the age of the routing table in milliseconds, or -1 before the first
// table.
func (c *daemonMetrics) tableAgeMs() any {
	asOf := c.tableAsOf.Load()
	if asOf == nil || (*asOf)().IsZero() {
		return -1
	}
	return time.Since((*asOf)()).Milliseconds()
}

func (c *daemonMetrics) recordWatch(delay time.Duration) { c.watchDelays.Record("answered", delay) }
