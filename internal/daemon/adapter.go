package daemon

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/controlapi"
	"github.com/agatestep/agatestep/internal/gateway"
)

// Adapter translates between the protocol of the platform that a deployment runs
// on and the product's types.
type Adapter interface {
	gateway.Dialect
	// ControlHandler serves backend servers and operators on control hosts.
	ControlHandler(api controlapi.API, logger *zap.Logger) http.Handler
	// ReadinessHandler answers the load balancer's checks on entry hosts.
	ReadinessHandler(ready func() bool) http.Handler
}
