package daemon

import (
	"expvar"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/egress"
)

// crowdedLinkQueue is the queueing delay of the host's own link from which it is logged. It
// is a fraction of the time within which the end of a request must reach its backend server.
const crowdedLinkQueue = 100 * time.Millisecond

// linkUsageMetrics publishes the usage of the host's link, which is sampled once a second.
type linkUsageMetrics struct{ last atomic.Pointer[egress.Usage] }

var linkMetrics = newLinkUsageMetrics()

func newLinkUsageMetrics() *linkUsageMetrics {
	u := &linkUsageMetrics{}
	expvar.Publish("agatestep_link_peak_queue_ms", expvar.Func(func() any {
		if last := u.last.Load(); last != nil {
			return last.PeakQueueDelay.Milliseconds()
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

// reportLinkUsage samples the usage of the host's link and logs it when the link was
// crowded since the last sample.
func (h *EntryHost) reportLinkUsage() {
	usage := h.link.TakeUsage()
	before := linkMetrics.last.Swap(&usage)
	if max(usage.PeakQueueDelay, usage.PeakInboundDelay) < crowdedLinkQueue {
		return
	}
	fields := []zap.Field{zap.Duration("peak_queue", usage.PeakQueueDelay), zap.Duration("peak_inbound_queue", usage.PeakInboundDelay)}
	for kind, bytes := range usage.Bytes {
		if before != nil {
			bytes -= before.Bytes[kind]
		}
		fields = append(fields, zap.Int64(kind, bytes))
	}
	h.logger.Info("own link is crowded", fields...)
}
