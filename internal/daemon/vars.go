package daemon

import (
	"expvar"
	"sync/atomic"
	"time"

	"github.com/agatestep/agatestep/internal/entry"
	"github.com/agatestep/agatestep/internal/latency"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

type (
	wireLoads    = wire.SliceLoads
	routingTable = table.Table
)

// processCounters are the counters of the process. A name can be published
// once per process, so daemons that share a process share them.
type processCounters struct {
	entry    *entry.Counters
	revision *expvar.Int // revision of the routing table
	// tableAsOf is when the routing table was last known to be the leader's newest, and
	// watches are the times that watches and their answers were on their way.
	tableAsOf atomic.Pointer[func() time.Time]
	watches   *latency.Histograms
	renewals  *expvar.Int // session renewals handled
	proposals *expvar.Int // proposals handled
	events    *expvar.Map // events of the time line, by kind
}

var counters = newProcessCounters()

func newProcessCounters() *processCounters {
	c := &processCounters{
		entry:     &entry.Counters{},
		revision:  expvar.NewInt("agatestep_table_revision"),
		renewals:  expvar.NewInt("agatestep_session_renewals"),
		proposals: expvar.NewInt("agatestep_proposals"),
		events:    expvar.NewMap("agatestep_events"),
		watches:   latency.New(),
	}
	c.entry.Publish("agatestep_entry")
	expvar.Publish("agatestep_table_age_ms", expvar.Func(c.tableAgeMs))
	expvar.Publish("agatestep_watch_way_ms", c.watches)
	return c
}

// tableAgeMs is -1 before the first table.
func (c *processCounters) tableAgeMs() any {
	asOf := c.tableAsOf.Load()
	if asOf == nil || (*asOf)().IsZero() {
		return -1
	}
	return time.Since((*asOf)()).Milliseconds()
}

func (c *processCounters) watchAnswered(way time.Duration) { c.watches.Record("answered", way) }
