package entry

import (
	"expvar"

	"github.com/agatestep/agatestep/internal/verdict"
)

// Counters counts callers' requests and their outcomes.
type Counters struct {
	Requests   expvar.Int
	InFlight   expvar.Int
	Answered   expvar.Int
	Aborted    expvar.Int // responses that were not completely delivered to the caller
	NotRun     expvar.Int
	MayHaveRun expvar.Int
	Local      expvar.Int // attempts dispatched on this host
	Relayed    expvar.Int // attempts relayed to another host
	Retries    expvar.Int
	Hedges     expvar.Int
	Reasons    expvar.Map // refusals and failures by reason
}

// Publish publishes the counters in expvar under name. It panics when the name is
// already in use in this process.
func (c *Counters) Publish(name string) {
	m := new(expvar.Map).Init()
	for key, v := range map[string]expvar.Var{"requests": &c.Requests, "in_flight": &c.InFlight,
		"answered": &c.Answered, "aborted": &c.Aborted, "not_run": &c.NotRun, "may_have_run": &c.MayHaveRun,
		"local": &c.Local, "relayed": &c.Relayed, "retries": &c.Retries, "hedges": &c.Hedges, "reasons": &c.Reasons} {
		m.Set(key, v)
	}
	expvar.Publish(name, m)
}

func (c *Counters) countRefusal(e *verdict.Error) {
	if e.Verdict == verdict.NotRun {
		c.NotRun.Add(1)
	} else {
		c.MayHaveRun.Add(1)
	}
	c.Reasons.Add(string(e.Reason), 1)
}
