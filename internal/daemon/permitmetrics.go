package daemon

import (
	"expvar"

	"github.com/agatestep/agatestep/internal/permit"
)

// permitDecisions counts the decisions of this host on new permit requests: granted at once, queued,
// refused at once, and decided because another request came.
var permitDecisions = expvar.NewMap("agatestep_permit_decisions")

func countPermitDecision(s permit.State, displaced int) {
	switch s {
	case permit.Granted:
		permitDecisions.Add("granted", 1)
	case permit.Refused:
		permitDecisions.Add("refused", 1)
	default:
		permitDecisions.Add("queued", 1)
	}
	if displaced > 0 {
		permitDecisions.Add("displaced", int64(displaced))
	}
}
