package daemon

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/controlapi"
	"github.com/agatestep/agatestep/internal/gateway"
)

// Adapter translates between the protocol of the platform that a deployment runs
// on and the types of this module.
type Adapter interface {
	gateway.Dialect
	// ControlHandler returns the handler that serves backend servers and operators on
	// control hosts.
	ControlHandler(api controlapi.API, logger *zap.Logger) http.Handler
	// ReadinessHandler returns the handler that answers the load balancer's readiness
	// checks on entry hosts.
	ReadinessHandler(ready func() bool) http.Handler
}
