package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/agatestep/agatestep/internal/admin"
)

// maxPrintedServers bounds the candidates that the text form lists; JSON has them all.
const maxPrintedServers = 5

func printEntryExplanation(w io.Writer, r admin.ExplainReply) {
	e := r.Entry
	fmt.Fprintf(w, "revision %d, confirmed %d ms ago\n", r.Revision, e.TableAgeMs)
	if e.Route != "" {
		fmt.Fprintf(w, "route %s version %d, idempotent %v, priority %d, organisation %s\n", e.Route, e.RouteVersion, r.Idempotent, e.Priority, orNone(e.Organisation))
	}
	for _, s := range e.Services {
		fmt.Fprintf(w, "service %s, weight %g", s.Service, s.Weight)
		if s.Keyed {
			fmt.Fprintf(w, ", owner of the key by epoch %d", s.Epoch)
		}
		if s.Refusal != "" {
			fmt.Fprintf(w, ": not now, %s", s.Refusal)
		}
		fmt.Fprintln(w)
		for i, b := range s.Servers {
			if i == maxPrintedServers {
				fmt.Fprintf(w, "  and %d more\n", len(s.Servers)-i)
				break
			}
			printCandidate(w, b)
		}
	}
}

func printCandidate(w io.Writer, b admin.ServerCandidate) {
	fmt.Fprintf(w, "  %s in %s: wait %d ms, work %d ms, slowdown %.2f, failures %.0f%%, %d in flight", b.Name, b.DataCentre, b.WaitMs, b.WorkMs, b.Slowdown, 100*b.FailureRate, b.InFlight)
	if len(b.PermitHosts) > 0 {
		fmt.Fprintf(w, ", permit by %s", strings.Join(b.PermitHosts, ", then "))
	}
	if b.Unusable != "" {
		fmt.Fprintf(w, "; not used: %s", b.Unusable)
	}
	fmt.Fprintln(w)
}
