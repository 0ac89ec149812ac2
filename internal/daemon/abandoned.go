package daemon

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/callerconn"
)

// dropAbandoned returns a handler that ignores calls whose caller has disconnected. Such a
// call may have waited while this process or its machine stood still; its caller has sent it
// to another host since, and may have changed what it asks for.
func (p *process) dropAbandoned(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if callerconn.Disconnected(r.Context()) {
			processMetrics.abandoned.Add(1)
			p.logger.Info("call dropped: its caller has disconnected", zap.String("path", r.URL.RequestURI()), zap.String("caller", r.RemoteAddr))
			return
		}
		handler.ServeHTTP(w, r)
	})
}
