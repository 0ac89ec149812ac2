package daemon

import (
	"expvar"

	"github.com/agatestep/agatestep/internal/entry"
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
	entry     *entry.Counters
	revision  *expvar.Int // revision of the routing table
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
	}
	c.entry.Publish("agatestep_entry")
	return c
}
