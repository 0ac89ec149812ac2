package gateway

import (
	"expvar"
	"sync/atomic"

	"github.com/agatestep/agatestep/internal/heldbytes"
	"github.com/agatestep/agatestep/internal/latency"
)

// Counters are the metrics of the gateways of a process.
type Counters struct {
	Requests, Retries, Opened, Reused *expvar.Int
	// SentAhead counts the requests that were sent before the reply to their permit request.
	SentAhead *expvar.Int
	// Outcomes counts requests by kind and outcome, Refusals by reason.
	Outcomes, Refusals *expvar.Map
	// Repeats and RepeatsRefused count attempts beyond the first of their request, by the service
	// whose retry budget they were charged to, and those that the budget did not allow.
	Repeats, RepeatsRefused *expvar.Map
	// Misdirected counts the responses that say that a request was meant for another server, to
	// a first attempt and to a repeat.
	Misdirected *expvar.Map
	// Doubts counts what became of servers at whose addresses other processes may be: began, trial
	// and ended.
	Doubts *expvar.Map
	// Unkeyed counts how requests without keys got their server, while permits are in use.
	Unkeyed *expvar.Map
	// HeldEnded counts requests that were ended because this host holds too many bytes, by
	// direction.
	HeldEnded *expvar.Map
	held      atomic.Pointer[heldbytes.Account]
	// latencies are the times to the end of a response, by kind of request and outcome.
	latencies *latency.Histograms
}

var counters = newCounters()

func newCounters() *Counters {
	c := &Counters{
		Requests:       expvar.NewInt("agatestep_gateway_requests"),
		SentAhead:      expvar.NewInt("agatestep_gateway_sent_ahead"),
		Retries:        expvar.NewInt("agatestep_gateway_retries"),
		Opened:         expvar.NewInt("agatestep_gateway_connections_opened"),
		Reused:         expvar.NewInt("agatestep_gateway_connections_reused"),
		Outcomes:       expvar.NewMap("agatestep_gateway_outcomes"),
		Refusals:       expvar.NewMap("agatestep_gateway_refusals"),
		Repeats:        expvar.NewMap("agatestep_gateway_repeats"),
		RepeatsRefused: expvar.NewMap("agatestep_gateway_repeats_refused"),
		Doubts:         expvar.NewMap("agatestep_gateway_doubts"),
		Misdirected:    expvar.NewMap("agatestep_gateway_misdirected"),
		Unkeyed:        expvar.NewMap("agatestep_gateway_unkeyed"),
		HeldEnded:      expvar.NewMap("agatestep_gateway_held_ended"),
		latencies:      latency.New(),
	}
	expvar.Publish("agatestep_gateway_latency_ms", c.latencies)
	expvar.Publish("agatestep_gateway_held_bytes", expvar.Func(c.heldBytes))
	return c
}

// heldBytes returns the bytes that the host holds for others, by direction.
func (c *Counters) heldBytes() any { return c.held.Load().ByDirection() }
