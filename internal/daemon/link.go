package daemon

import (
	"expvar"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/egress"
)

// crowded is the wait on the host's own link from which it is logged. It is a part of the
// time in which the end of a request must reach its backend server.
const crowded = 100 * time.Millisecond

// linkUsage is the usage of the host's link, taken once a second.
type linkUsage struct{ last atomic.Pointer[egress.Usage] }

var linkMetrics = newLinkUsage()

func newLinkUsage() *linkUsage {
	u := &linkUsage{}
	expvar.Publish("agatestep_link_peak_queue_ms", expvar.Func(func() any {
		if last := u.last.Load(); last != nil {
			return last.Peak.Milliseconds()
		}
		return 0
	}))
	expvar.Publish("agatestep_link_bytes", expvar.Func(func() any {
		if last := u.last.Load(); last != nil {
			return last.Bytes
		}
		return map[string]int64{}
	}))
	return u
}

// reportLink takes the usage of the host's link and logs a second in which it was crowded.
func (h *EntryHost) reportLink() {
	usage := h.link.Take()
	before := linkMetrics.last.Swap(&usage)
	if usage.Peak < crowded {
		return
	}
	fields := []zap.Field{zap.Duration("peak_queue", usage.Peak)}
	for kind, bytes := range usage.Bytes {
		if before != nil {
			bytes -= before.Bytes[kind]
		}
		fields = append(fields, zap.Int64(kind, bytes))
	}
	h.logger.Info("own link is crowded", fields...)
}
